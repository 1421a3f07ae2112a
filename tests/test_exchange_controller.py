"""Tests that answers are complete and that engine memory is freed."""

import random

import pytest

from nutmegscale import errors
from standins import answers
from standins import deployment

FREE_AFTER_DISCONNECT_S = 2.0
FREE_AFTER_CRASH_S = 10.0


def _are_done(*sinks: deployment.Sink) -> bool:
    return all(sink.end_count or sink.failure for sink in sinks)


def test_a_thousand_interleaved_streams_are_whole() -> None:
    system = deployment.federation()
    rng = random.Random(3)
    hosts = list(system.hosts)
    sent: list[tuple[str, int, deployment.Sink]] = []
    completed = 0
    while completed < 1_000:
        prompt = f"{rng.random()} naïve 🧱 " * rng.randrange(1, 60)
        tokens = rng.randrange(1, 24)
        sink = system.send(rng.choice(hosts), prompt, tokens)
        sent.append((prompt, tokens, sink))
        system.run(0.012)
        completed = sum(s.end_count for _, _, s in sent)
        assert len(sent) < 2_000
    system.run_until(lambda: _are_done(*(s for _, _, s in sent)), 10.0)
    for prompt, tokens, sink in sent:
        if sink.end_count:
            assert sink.text == answers.answer_text(prompt, tokens)
        else:
            assert sink.failure and sink.failure.outcome == "not_run"
            assert system.count_prefills(prompt) == 0
    assert not system.held_run_ids()


def test_silent_stream_goes_on_without_missing_or_doubled_tokens() -> None:
    system = deployment.federation()
    sink = system.send("maadi-1", "p " * 300, 80)
    system.run_until(lambda: len(sink.text) > 40, 3.0)
    for server in system.servers.values():
        server.streams_to_stall = 1
    system.run_until(lambda: _are_done(sink), 5.0)
    assert sink.text == answers.answer_text("p " * 300, 80)
    assert system.count_prefills("p " * 300) == 1


def test_run_resumes_on_another_worker_after_its_worker_died() -> None:
    system = deployment.federation()
    sink = system.send("maadi-1", "p " * 300, 80)
    system.run_until(lambda: len(sink.text) > 40, 3.0)
    (running,) = [s for s in system.servers.values() if s.model.runs]
    running.crash()
    system.run_until(lambda: _are_done(sink), 5.0)
    assert sink.text == answers.answer_text("p " * 300, 80)
    assert sink.end_count == 1


@pytest.mark.parametrize("after_s", [0.0, 0.005, 0.02, 0.03, 0.05, 0.1, 0.3])
def test_caller_gone_frees_memory(after_s: float) -> None:
    system = deployment.federation()
    sink = system.send("maadi-1", "p " * 1_500, 80, "r")
    system.run(after_s)
    system.disconnect("maadi-1", sink)
    system.run_until(lambda: not system.held_run_ids(), FREE_AFTER_DISCONNECT_S)
    system.run(3.0)
    assert not system.held_run_ids()
    assert system.count_prefills("p " * 1_500) <= 1
    assert system.hosts["maadi-1"].exchanges.live_count == 0


def test_caller_gone_isnt_taken_for_a_crash() -> None:
    system = deployment.federation()
    sink = system.send("maadi-1", "p " * 1_500, 80)
    system.run(0.02)
    system.disconnect("maadi-1", sink)
    system.run(2.0)
    kinds = {e.kind for e in system.hosts["maadi-1"].board.timeline.events()}
    assert "exchange.retried" not in kinds
    assert "content.suspected" not in kinds


def test_lost_cancel_is_sent_again() -> None:
    system = deployment.federation()
    for server in system.servers.values():
        server.lose_cancels = 2
    sink = system.send("maadi-1", "p " * 1_500, 200)
    system.run_until(lambda: bool(sink.text), 2.0)
    system.disconnect("maadi-1", sink)
    system.run_until(lambda: not system.held_run_ids(), FREE_AFTER_DISCONNECT_S)


def test_memory_is_freed_after_the_serving_host_died() -> None:
    system = deployment.federation()
    sink = system.send("maadi-1", "p " * 1_500, 2_000)
    system.run_until(lambda: bool(sink.text), 2.0)
    system.kill("maadi-1")
    system.run_until(lambda: not system.held_run_ids(), FREE_AFTER_CRASH_S)


def test_memory_is_freed_after_host_and_owner_died_together() -> None:
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    target_cell = app.board.cells["notes-model"][0]
    owner = app.exchanges.planning.owners(target_cell)[0]
    server = next(h for h in system.hosts if h != owner)
    sink = system.send(server, "p " * 1_500, 2_000)
    system.run_until(lambda: bool(sink.text), 2.0)
    system.kill(owner)
    system.kill(server)
    system.run_until(lambda: not system.held_run_ids(), FREE_AFTER_CRASH_S)


def test_request_is_planned_elsewhere_when_the_owner_died() -> None:
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    target_cell = app.board.cells["notes-model"][0]
    owner = app.exchanges.planning.owners(target_cell)[0]
    system.kill(owner)
    sink = system.send(next(iter(system.hosts)), "p " * 100, 8)
    system.run_until(lambda: _are_done(sink), 3.0)
    assert sink.end_count == 1


def test_a_cut_in_one_direction_breaks_nothing() -> None:
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    target_cell = app.board.cells["notes-model"][0]
    owner = app.exchanges.planning.owners(target_cell)[0]
    others = [h for h in system.hosts if h != owner]
    # Requests reach the owner, but its replies are lost.
    system.network.cut |= {(owner, other) for other in others}
    sinks = []
    for number in range(30):
        host = others[number % len(others)]
        prompt = f"{number} " * 100
        sinks.append((prompt, system.send(host, prompt, 16, f"r{number}")))
        system.run(0.2)
    system.run_until(lambda: _are_done(*(s for _, s in sinks)), 10.0)
    for prompt, sink in sinks:
        if sink.failure is None:
            assert sink.text == answers.answer_text(prompt, 16)
        else:
            assert sink.failure.outcome == "not_run"
            assert system.count_prefills(prompt) == 0
    assert sum(s.end_count for _, s in sinks) >= 25
    system.run_until(lambda: not system.held_run_ids(), FREE_AFTER_CRASH_S)


def test_two_owners_at_once_break_nothing() -> None:
    system = deployment.federation()
    target_cell = system.hosts["maadi-1"].board.cells["notes-model"][0]
    owner = system.hosts["maadi-1"].exchanges.planning.owners(target_cell)[0]
    callers = [h for h in system.hosts if h != owner]
    system.network.cut_off(callers[:3], [owner])
    sent = []
    for number in range(120):
        prompt = f"{number} " * 400
        sent.append((prompt, system.send(callers[number % 7], prompt, 40)))
        system.run(0.02)
    system.run_until(lambda: _are_done(*(s for _, s in sent)), 30.0)
    for prompt, sink in sent:
        if sink.failure is None:
            assert sink.text == answers.answer_text(prompt, 40)
        elif sink.failure.outcome == "not_run":
            assert system.count_prefills(prompt) == 0
    assert sum(s.end_count for _, s in sent) > 60
    system.run_until(lambda: not system.held_run_ids(), FREE_AFTER_CRASH_S)


def test_overload_is_refused_at_once_as_not_run_with_retry_after() -> None:
    system = deployment.federation()
    sent = []
    for number in range(60):
        prompt = f"{number} " * 2_000
        began = system.clock.seconds()
        sent.append((prompt, began, system.send("maadi-1", prompt, 200)))
    system.run(0.1)
    refused = [(p, s) for p, _, s in sent if s.failure]
    assert len(refused) > 20
    for prompt, sink in refused:
        assert isinstance(sink.failure, errors.Failure)
        assert sink.failure.outcome == "not_run"
        assert sink.failure.retry_after_s and sink.failure.retry_after_s > 0
        assert system.count_prefills(prompt) == 0


def test_every_failure_is_counted_by_its_reason() -> None:
    system = deployment.federation()
    counted: list[str] = []
    metrics = system.hosts["maadi-1"].board.metrics
    metrics.record_failure = lambda service, failure: counted.append(  # type: ignore[method-assign]
        failure.type
    )
    sinks = [system.send("maadi-1", f"{n} " * 2_000, 200) for n in range(40)]
    sinks.append(system.send("maadi-1", "p", 8, service="nothing"))
    system.run(0.5)
    reported = [s.failure.type for s in sinks if s.failure]
    assert "first_token_too_late" in reported
    assert sorted(counted) == sorted(reported)


def test_bad_requests_reach_no_engine() -> None:
    system = deployment.federation()
    sinks = {
        "no_such_model": system.send("maadi-1", "p", 8, service="nothing"),
        "no_rule": system.send("maadi-1", "p", 8, caller="entry-pages"),
        "prompt_too_long": system.send("maadi-1", "p" * 140_000, 8),
        "bad_max_tokens": system.send("maadi-1", "p", 5_000),
    }
    system.run(1.0)
    for kind, sink in sinks.items():
        assert sink.failure and sink.failure.type == kind
        assert sink.failure.outcome == "not_run"
    assert not any(s.prefill_prompts for s in system.servers.values())
