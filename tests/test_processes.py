"""Tests with real processes: kills, freezes, outages and drains.

The tests wait for events; no test asserts a duration.
"""

from collections.abc import Iterator
import http.client
import json
import signal
import threading
from typing import Any
import urllib.error
import urllib.request

import pytest

from nutmegscale import cli
from standins import answers
from tools import cluster

CALLER_KEY = "cairo-club-key"
PROMPT = "start list of Fayoum é 🧭 " * 30
LONG_ANSWER_TOKENS = 900


@pytest.fixture(scope="module")
def running() -> Iterator[cluster.Cluster]:
    """Start the Federation's deployment once for this module."""
    with cluster.Cluster(cluster.federation_plan()) as deployment:
        yield deployment


class _Stream:
    """One streamed completion, read event by event.

    Attributes:
      text: Text received so far.
      is_complete: Whether the end of the answer was received.
      error: Error that the host sent, or the text of the exception if the
        connection broke; None without a failure.
    """

    def __init__(
        self, url: str, prompt: str, tokens: int, request_id: str
    ) -> None:
        host, _, port = url.removeprefix("http://").partition(":")
        self._connection = http.client.HTTPConnection(
            host, int(port), timeout=20.0
        )
        body = json.dumps(
            {
                "model": "notes-model",
                "prompt": prompt,
                "max_tokens": tokens,
                "stream": True,
            }
        )
        headers = {
            "authorization": f"Bearer {CALLER_KEY}",
            "x-request-id": request_id,
        }
        self._connection.request(
            "POST", "/v1/completions", body.encode(), headers
        )
        self._response = self._connection.getresponse()
        self.text = ""
        self.is_complete = False
        self.error: Any = None

    def read_event(self) -> bool:
        """Read one event; return False at the end of the stream."""
        while True:
            line = self._response.readline()
            if not line:
                return False
            if line.startswith(b"data: "):
                break
        if line == b"data: [DONE]\n":
            self.is_complete = True
            return False
        value = json.loads(line[6:])
        self.error = value.get("error", self.error)
        if "choices" in value:
            self.text += value["choices"][0]["text"]
        return True

    def read_all(self) -> "_Stream":
        """Read until the stream is complete or breaks."""
        try:
            while self.read_event():
                pass
        except (OSError, http.client.HTTPException) as exc:
            self.error = self.error or repr(exc)
        return self

    def close(self) -> None:
        """Close the connection, as a caller that disconnects."""
        self._response.close()
        self._connection.close()


def _list_running(deployment: cluster.Cluster) -> list[Any]:
    return [
        run
        for w in deployment.workers.values()
        if w.plan.role != "plain"
        for run in cluster.call("GET", f"{w.url}/v1/running")
    ]


def _send_call(
    deployment: cluster.Cluster, host: str, key: str
) -> tuple[int, Any]:
    request = urllib.request.Request(
        f"{deployment.hosts[host].caller_url}/services/entries-app/pay",
        data=b"pay",
        headers={
            "authorization": f"Bearer {CALLER_KEY}",
            "idempotency-key": key,
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=20.0) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, json.loads(exc.read())


def _count_runs(deployment: cluster.Cluster, key: str) -> int:
    return sum(
        cluster.call("GET", f"{w.url}/_counts").get(key, 0)
        for w in deployment.workers.values()
        if w.plan.role == "plain"
    )


def _caller_url(deployment: cluster.Cluster, name: str) -> str:
    return deployment.hosts[name].caller_url


def test_memory_is_freed_when_the_caller_closes(
    running: cluster.Cluster,
) -> None:
    stream = _Stream(
        _caller_url(running, "maadi-1"), PROMPT, LONG_ANSWER_TOKENS, "close"
    )
    stream.read_event()
    assert _list_running(running)
    stream.close()
    running.wait(lambda: not _list_running(running))


def test_a_silent_engine_connection_costs_no_token(
    running: cluster.Cluster,
) -> None:
    stream = _Stream(_caller_url(running, "maadi-1"), PROMPT, 200, "silent")
    stream.read_event()
    for w in running.workers.values():
        if w.plan.role == "decode":
            fault = {"kind": "silent", "for_s": 0.2}
            cluster.call("POST", f"{w.url}/v1/faults", fault)
    stream.read_all()
    assert stream.is_complete
    assert stream.text == answers.answer_text(PROMPT, 200)


def test_a_frozen_host_does_not_answer_after_another_did(
    running: cluster.Cluster,
) -> None:
    stream = _Stream(_caller_url(running, "giza-1"), PROMPT, 400, "frozen")
    stream.read_event()
    frozen = running.hosts["giza-1"].process
    frozen.send_signal(signal.SIGSTOP)
    try:
        repeat = _Stream(_caller_url(running, "nasr-2"), PROMPT, 400, "frozen")
        repeat.read_all()
    finally:
        frozen.send_signal(signal.SIGCONT)
    stream.read_all()
    assert repeat.text == answers.answer_text(PROMPT, 400)
    assert (repeat.is_complete, stream.is_complete) == (True, False)
    running.wait(lambda: not _list_running(running))
    running.wait_ready(list(running.hosts))


def test_a_killed_host_loses_no_answer_and_holds_no_memory(
    running: cluster.Cluster,
) -> None:
    stream = _Stream(_caller_url(running, "nasr-1"), PROMPT, 300, "killed")
    stream.read_event()
    running.kill(running.hosts["nasr-1"].process)
    repeat = _Stream(_caller_url(running, "maadi-2"), PROMPT, 300, "killed")
    repeat.read_all()
    assert repeat.text == answers.answer_text(PROMPT, 300)
    assert not stream.read_all().is_complete
    running.wait(lambda: not _list_running(running))
    running.start_host(running.hosts["nasr-1"].plan)
    running.wait_ready(list(running.hosts))


def test_a_lost_answer_is_maybe_run_at_every_host(
    running: cluster.Cluster,
) -> None:
    plain = [w for w in running.workers.values() if w.plan.role == "plain"]
    for w in plain:
        cluster.call("POST", f"{w.url}/_faults", {"after_run": "lose"})
    replies = [
        _send_call(running, h, "lost-1") for h in ("maadi-1", "shorouk-1")
    ]
    assert [
        reply[1].get("error", {}).get("outcome", reply) for reply in replies
    ] == ["maybe_run"] * 2
    assert _count_runs(running, "lost-1") == 1
    for w in plain:
        cluster.call("POST", f"{w.url}/_faults", {"after_run": ""})


def test_a_platform_outage_refuses_claims_and_serves_the_rest(
    running: cluster.Cluster,
) -> None:
    running.platform_faults(down=True)
    try:
        status, reply = _send_call(running, "maadi-1", "down-1")
        stream = _Stream(_caller_url(running, "maadi-1"), PROMPT, 40, "down-2")
        stream.read_all()
    finally:
        running.platform_faults(down=False)
    assert (status, reply["error"]["outcome"]) == (503, "not_run")
    assert reply["error"]["retry_after_s"] > 0
    assert stream.text == answers.answer_text(PROMPT, 40)
    assert _count_runs(running, "down-1") == 0
    running.wait(lambda: _send_call(running, "maadi-1", "down-1")[0] == 200)
    assert _count_runs(running, "down-1") == 1


def test_a_table_answer_lost_after_the_write_runs_the_call_once(
    running: cluster.Cluster,
) -> None:
    running.platform_faults(lose_answers=1)
    running.wait(lambda: _send_call(running, "giza-2", "table-1")[0] == 200)
    assert _count_runs(running, "table-1") == 1


def test_a_leaving_worker_gets_no_new_work(running: cluster.Cluster) -> None:
    leaving = running.workers["prefill-maadi"]
    order = {"fence": 1, "leaving": True}
    cluster.call("POST", f"{leaving.url}/v1/orders", order)
    running.wait(
        lambda: all(_reports_leaving(running, h) for h in running.hosts)
    )
    before = cluster.call("GET", f"{leaving.url}/v1/counts")["runs"]
    for number in range(6):
        stream = _Stream(
            _caller_url(running, "maadi-1"), PROMPT, 8, f"leaving-{number}"
        )
        assert stream.read_all().is_complete
    after = cluster.call("GET", f"{leaving.url}/v1/counts")["runs"]
    assert before == after
    order = {"fence": 1, "leaving": False}
    cluster.call("POST", f"{leaving.url}/v1/orders", order)


def _reports_leaving(deployment: cluster.Cluster, host: str) -> bool:
    workers = deployment.status(host)["workers"]
    return any(w["worker"] == "prefill-maadi" and w["leaving"] for w in workers)


def test_a_planned_stop_cuts_off_no_request(running: cluster.Cluster) -> None:
    name = "shorouk-2"
    streams = [
        _Stream(_caller_url(running, name), f"{n} {PROMPT}", 150, f"stop-{n}")
        for n in range(4)
    ]
    for stream in streams:
        stream.read_event()
    process = running.hosts[name].process
    process.send_signal(signal.SIGTERM)
    readers = [threading.Thread(target=s.read_all) for s in streams]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    assert [s.is_complete for s in streams] == [True] * 4
    assert process.wait(timeout=30.0) == 0
    running.start_host(running.hosts[name].plan)
    running.wait_ready(list(running.hosts))


def test_the_tool_applies_shows_and_refuses(
    running: cluster.Cluster, capsys: pytest.CaptureFixture[str]
) -> None:
    urls = []
    for host in running.hosts.values():
        urls += ["--host", host.operator_url]
    folder = "examples/federation"
    arguments = ["config", "apply", folder, "--json", *urls]
    assert cli.main([*arguments, "--base-revision", "1"]) == cli.EXIT_OK
    assert json.loads(capsys.readouterr().out)["revision"] == 2
    running.wait(
        lambda: all(running.status(h)["revision"] == 2 for h in running.hosts)
    )
    assert cli.main([*arguments, "--base-revision", "1"]) == cli.EXIT_FAILED
    assert "conflict: revision 2 won" in capsys.readouterr().err
    assert cli.main(["config", "status", "--json", *urls]) == cli.EXIT_OK
    assert json.loads(capsys.readouterr().out)["same"] is True
    difference = ["config", "diff", "--in-force", "--json", *urls]
    assert cli.main([*difference, folder, "--strict"]) == cli.EXIT_OK
    assert json.loads(capsys.readouterr().out)["differences"] == []
    assert cli.main([*difference, "examples/consortium"]) == cli.EXIT_OK
    notes = json.loads(capsys.readouterr().out)["findings"]
    assert "service_removed" in {note["code"] for note in notes}
    assert cli.main(["status", *urls]) == cli.EXIT_OK
    assert "prefill-maadi" in capsys.readouterr().out
    assert cli.main(["timeline", "--json", *urls]) == cli.EXIT_OK
    events = json.loads(capsys.readouterr().out)["events"]
    order = [event["lamport"] for event in events]
    assert order == sorted(order)


@pytest.mark.parametrize(
    ("path", "headers", "body", "status"),
    [
        ("/v1/completions", {}, b"{}", 401),
        ("/v1/completions", {"authorization": "Bearer x"}, b"{}", 401),
        (
            "/v1/completions",
            {"authorization": f"Bearer {CALLER_KEY}"},
            b"{",
            400,
        ),
        (
            "/v1/completions",
            {"authorization": f"Bearer {CALLER_KEY}"},
            b"{}",
            400,
        ),
        ("/nothing", {"authorization": f"Bearer {CALLER_KEY}"}, b"", 404),
        (
            "/services/entries-app/pay",
            {"authorization": f"Bearer {CALLER_KEY}"},
            b"pay",
            400,
        ),
    ],
)
def test_bad_requests_get_a_typed_error(
    running: cluster.Cluster,
    path: str,
    headers: dict[str, str],
    body: bytes,
    status: int,
) -> None:
    request = urllib.request.Request(
        _caller_url(running, "maadi-1") + path, data=body, headers=headers
    )
    with pytest.raises(urllib.error.HTTPError) as caught:
        urllib.request.urlopen(request, timeout=20.0)
    error = json.loads(caught.value.read())["error"]
    assert caught.value.code == status
    assert error["outcome"] == "not_run"
    assert error["type"] and error["message"]


def test_operators_need_the_token(running: cluster.Cluster) -> None:
    url = running.hosts["maadi-1"].operator_url
    for path in ("/v1/status", "/metrics", "/v1/timeline"):
        with pytest.raises(urllib.error.HTTPError) as caught:
            cluster.call("GET", url + path, token="wrong")
        assert caught.value.code == 401


def test_large_bodies_are_served_up_to_the_limit(
    running: cluster.Cluster,
) -> None:
    words = "control " * 30_000
    stream = _Stream(_caller_url(running, "maadi-1"), words, 4, "large")
    assert stream.error is None
    body = json.dumps({"model": "notes-model", "prompt": "x" * (5 << 20)})
    request = urllib.request.Request(
        _caller_url(running, "maadi-1") + "/v1/completions",
        data=body.encode(),
        headers={"authorization": f"Bearer {CALLER_KEY}"},
    )
    with pytest.raises(urllib.error.HTTPError) as caught:
        urllib.request.urlopen(request, timeout=20.0)
    assert caught.value.code == 413


def test_metrics_report_slots_and_control(running: cluster.Cluster) -> None:
    url = running.hosts["maadi-1"].operator_url + "/metrics"
    request = urllib.request.Request(
        url, headers={"authorization": f"Bearer {cluster.OPERATOR_TOKEN}"}
    )
    with urllib.request.urlopen(request, timeout=20.0) as response:
        text = response.read().decode()
    for name in (
        "nutmegscale_requests_total",
        "nutmegscale_goodput_total",
        "nutmegscale_prefill_tokens_total",
        "nutmegscale_first_token_seconds_bucket",
        "nutmegscale_token_gap_seconds_bucket",
        "nutmegscale_slots_held",
        "nutmegscale_control_bytes",
        "process_cpu_seconds_total",
        "process_resident_memory_bytes",
    ):
        assert name in text, name
