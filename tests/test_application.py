"""Tests of graceful shutdown, restarts and partitioned failure domains."""

from typing import Any

import pytest
from twisted.internet import defer

from nutmegscale import call_controller
from nutmegscale import errors
from standins import answers
from standins import deployment


def _are_done(*sinks: deployment.Sink) -> bool:
    return all(sink.end_count or sink.failure for sink in sinks)


def test_a_planned_stop_cuts_off_no_request() -> None:
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    sinks = [system.send("maadi-1", f"{n} " * 200, 100) for n in range(8)]
    system.run(0.05)
    drained = defer.ensureDeferred(app.drain())
    system.run_until(lambda: drained.called, 20.0)
    assert [s.end_count for s in sinks] == [1] * 8
    late = system.send("maadi-1", "late", 8)
    assert late.failure and late.failure.outcome == "not_run"
    assert late.failure.retry_after_s


def test_a_rolling_restart_breaks_nothing() -> None:
    system = deployment.federation()
    sent: list[tuple[str, deployment.Sink]] = []

    def _send_some(seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            ready = [n for n, a in system.hosts.items() if a.board.is_ready]
            host = ready[len(sent) % len(ready)]
            prompt = f"{len(sent)} " * 150
            sent.append(
                (prompt, system.send(host, prompt, 24, f"r{len(sent)}"))
            )
            system.run(0.05)

    for name in list(system.hosts):
        drained = defer.ensureDeferred(system.hosts[name].drain())
        while not drained.called:
            _send_some(0.1)
        system.kill(name)
        _send_some(0.5)
        system.restart_host(name)
        _send_some(2.0)
    system.run_until(lambda: _are_done(*(s for _, s in sent)), 20.0)
    for prompt, sink in sent:
        if sink.end_count:
            assert sink.text == answers.answer_text(prompt, 24)
        else:
            assert sink.failure and sink.failure.outcome == "not_run"
            assert system.count_prefills(prompt) == 0
    assert sum(s.end_count for _, s in sent) > 0.95 * len(sent)
    system.run_until(lambda: not system.held_run_ids(), 10.0)


def test_a_domain_cut_off_goes_on_serving_what_it_can() -> None:
    system = deployment.federation()
    inside = ["maadi-1", "maadi-2", "prefill-maadi", "decode-maadi"]
    outside = [n for n in [*system.domains, *system.servers] if n not in inside]
    system.network.cut_off(inside, [*outside, "platform"])
    system.run(3.0)
    sinks = [system.send(h, f"{h} " * 60, 16) for h in ("maadi-1", "giza-1")]
    system.run_until(lambda: _are_done(*sinks), 4.0)
    assert [s.end_count for s in sinks] == [1, 1]
    system.network.cut.clear()
    system.run_until(
        lambda: all(
            len(a.board.membership.alive()) == 8 for a in system.hosts.values()
        ),
        10.0,
    )
    system.run_until(lambda: not system.held_run_ids(), 10.0)


def test_a_host_that_reaches_nothing_is_not_ready() -> None:
    system = deployment.federation()
    app = system.hosts["giza-1"]
    others = [n for n in system.names() if n != "giza-1"]
    system.network.cut_off(["giza-1"], others)
    system.run_until(lambda: not app.board.is_ready, 10.0)
    system.network.cut.clear()
    system.run_until(lambda: app.board.is_ready, 10.0)


def test_a_host_that_reaches_only_workers_stays_ready() -> None:
    system = deployment.federation()
    app = system.hosts["giza-1"]
    hosts = [h for h in system.hosts if h != "giza-1"]
    system.network.cut_off(["giza-1"], [*hosts, "platform"])
    system.run(10.0)
    sink = system.send("giza-1", "p " * 60, 8)
    system.run_until(lambda: _are_done(sink), 4.0)
    assert app.board.is_ready
    assert sink.end_count == 1


def test_a_leaving_worker_gets_no_new_work_whatever_the_list_says() -> None:
    system = deployment.federation()
    inside = ["maadi-1", "maadi-2", "prefill-maadi", "decode-maadi"]
    outside = [n for n in [*system.domains, *system.servers] if n not in inside]
    system.network.cut_off(["maadi-1", "maadi-2"], [*outside, "platform"])
    system.run(3.0)
    system.servers["decode-maadi"].model.leaving = True
    system.run(3.0)
    before = system.servers["prefill-maadi"].model.counts.copy()
    sink = system.send("maadi-1", "p " * 60, 8)
    system.run_until(lambda: _are_done(sink), 4.0)
    assert sink.failure and sink.failure.outcome == "not_run"
    assert system.servers["prefill-maadi"].model.counts == before
    healed = system.send("giza-1", "q " * 60, 8)
    system.run_until(lambda: _are_done(healed), 4.0)
    assert healed.end_count == 1


def test_a_draining_worker_finishes_what_runs() -> None:
    system = deployment.federation()
    sinks = [system.send("giza-1", f"{n} " * 200, 100) for n in range(12)]
    system.run(0.6)
    system.servers["decode-maadi"].model.leaving = True
    system.run_until(lambda: _are_done(*sinks), 20.0)
    ended = [s for s in sinks if s.end_count]
    assert len(ended) == 12


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_call_that_outlasts_a_planned_stop_ends_with_an_answer(
    method: str,
) -> None:
    """Its connection was closed without one when the process ended."""
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    app.board.settings["drain_limit_s"] = 2.0
    unanswered: defer.Deferred[Any] = defer.Deferred()

    class _SilentClient:
        """Client of a server that runs calls and never answers."""

        async def request(self, *_: Any, **more: Any) -> Any:
            await unanswered

    app.calls._clients = lambda _: _SilentClient()  # type: ignore
    call = call_controller.PlainCall(
        "entry-pages", "k1", "entries-app", method, "/bib", "text/plain", b"x"
    )
    results: list[Any] = []
    served = defer.ensureDeferred(app.calls.serve(call))
    served.addBoth(results.append)
    system.run(0.5)
    assert not results
    drained = defer.ensureDeferred(app.drain())
    system.run_until(lambda: drained.called, 5.0)
    assert isinstance(results[0], errors.Failure)
    assert (results[0].status, results[0].outcome) == (504, "maybe_run")
    assert app.calls.live_count == 0
