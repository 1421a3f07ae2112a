"""Tests that callers get whole answers, and that engines hold nothing."""

import random

import pytest

from nutmegscale import errors
from standins import answers
from tests import fakes

FREE_AFTER_DETECTION_S = 2.0
FREE_AT_LAST_S = 10.0


def _done(*sinks: fakes.Sink) -> bool:
    return all(sink.ended or sink.failure for sink in sinks)


def test_a_thousand_interleaved_streams_are_whole() -> None:
    farm = fakes.federation()
    rng = random.Random(3)
    hosts = list(farm.hosts)
    sent: list[tuple[str, int, fakes.Sink]] = []
    whole = 0
    while whole < 1_000:
        prompt = f"{rng.random()} naïve 🧱 " * rng.randrange(1, 60)
        tokens = rng.randrange(1, 24)
        sink = farm.send(rng.choice(hosts), prompt, tokens)
        sent.append((prompt, tokens, sink))
        farm.run(0.012)
        whole = sum(s.ended for _, _, s in sent)
        assert len(sent) < 2_000
    farm.run_until(lambda: _done(*(s for _, _, s in sent)), 10.0)
    for prompt, tokens, sink in sent:
        if sink.ended:
            assert sink.text == answers.answer_text(prompt, tokens)
        else:
            assert sink.failure and sink.failure.outcome == "not_run"
            assert farm.prefills(prompt) == 0
    assert not farm.held()


def test_silent_stream_goes_on_without_missing_or_doubled_tokens() -> None:
    farm = fakes.federation()
    sink = farm.send("maadi-1", "p " * 300, 80)
    farm.run_until(lambda: len(sink.text) > 40, 3.0)
    for server in farm.servers.values():
        server.silent_streams = 1
    farm.run_until(lambda: _done(sink), 5.0)
    assert sink.text == answers.answer_text("p " * 300, 80)
    assert farm.prefills("p " * 300) == 1


def test_run_resumes_on_another_worker_after_its_worker_died() -> None:
    farm = fakes.federation()
    sink = farm.send("maadi-1", "p " * 300, 80)
    farm.run_until(lambda: len(sink.text) > 40, 3.0)
    (running,) = [s for s in farm.servers.values() if s.model.runs]
    running.die()
    farm.run_until(lambda: _done(sink), 5.0)
    assert sink.text == answers.answer_text("p " * 300, 80)
    assert sink.ended == 1


@pytest.mark.parametrize("after_s", [0.0, 0.005, 0.02, 0.03, 0.05, 0.1, 0.3])
def test_caller_gone_frees_memory(after_s: float) -> None:
    farm = fakes.federation()
    sink = farm.send("maadi-1", "p " * 1_500, 80, "r")
    farm.run(after_s)
    farm.leave("maadi-1", sink)
    farm.run_until(lambda: not farm.held(), FREE_AFTER_DETECTION_S)
    farm.run(3.0)
    assert not farm.held()
    assert farm.prefills("p " * 1_500) <= 1
    assert farm.hosts["maadi-1"].exchanges.live == 0


def test_caller_gone_isnt_taken_for_a_crash() -> None:
    farm = fakes.federation()
    sink = farm.send("maadi-1", "p " * 1_500, 80)
    farm.run(0.02)
    farm.leave("maadi-1", sink)
    farm.run(2.0)
    kinds = {e.kind for e in farm.hosts["maadi-1"].board.timeline.events()}
    assert "exchange.retried" not in kinds
    assert "content.suspected" not in kinds


def test_lost_cancel_is_sent_again() -> None:
    farm = fakes.federation()
    for server in farm.servers.values():
        server.lose_cancels = 2
    sink = farm.send("maadi-1", "p " * 1_500, 200)
    farm.run_until(lambda: bool(sink.text), 2.0)
    farm.leave("maadi-1", sink)
    farm.run_until(lambda: not farm.held(), FREE_AFTER_DETECTION_S)


def test_memory_is_freed_after_the_serving_host_died() -> None:
    farm = fakes.federation()
    sink = farm.send("maadi-1", "p " * 1_500, 2_000)
    farm.run_until(lambda: bool(sink.text), 2.0)
    farm.kill("maadi-1")
    farm.run_until(lambda: not farm.held(), FREE_AT_LAST_S)


def test_memory_is_freed_after_host_and_owner_died_together() -> None:
    farm = fakes.federation()
    app = farm.hosts["maadi-1"]
    place = app.board.cells["notes-model"][0]
    owner = app.exchanges.planning.owners(place)[0]
    server = next(h for h in farm.hosts if h != owner)
    sink = farm.send(server, "p " * 1_500, 2_000)
    farm.run_until(lambda: bool(sink.text), 2.0)
    farm.kill(owner)
    farm.kill(server)
    farm.run_until(lambda: not farm.held(), FREE_AT_LAST_S)


def test_request_is_planned_elsewhere_when_the_owner_died() -> None:
    farm = fakes.federation()
    app = farm.hosts["maadi-1"]
    place = app.board.cells["notes-model"][0]
    owner = app.exchanges.planning.owners(place)[0]
    farm.kill(owner)
    sink = farm.send(next(iter(farm.hosts)), "p " * 100, 8)
    farm.run_until(lambda: _done(sink), 3.0)
    assert sink.ended == 1


def test_two_owners_at_once_break_nothing() -> None:
    farm = fakes.federation()
    place = farm.hosts["maadi-1"].board.cells["notes-model"][0]
    owner = farm.hosts["maadi-1"].exchanges.planning.owners(place)[0]
    callers = [h for h in farm.hosts if h != owner]
    farm.network.cut_off(callers[:3], [owner])
    sent = []
    for number in range(120):
        prompt = f"{number} " * 400
        sent.append((prompt, farm.send(callers[number % 7], prompt, 40)))
        farm.run(0.02)
    farm.run_until(lambda: _done(*(s for _, s in sent)), 30.0)
    for prompt, sink in sent:
        if sink.failure is None:
            assert sink.text == answers.answer_text(prompt, 40)
        elif sink.failure.outcome == "not_run":
            assert farm.prefills(prompt) == 0
    assert sum(s.ended for _, s in sent) > 60
    farm.run_until(lambda: not farm.held(), FREE_AT_LAST_S)


def test_overload_is_refused_at_once_as_not_run_with_retry_after() -> None:
    farm = fakes.federation()
    sent = []
    for number in range(60):
        prompt = f"{number} " * 2_000
        began = farm.clock.seconds()
        sent.append((prompt, began, farm.send("maadi-1", prompt, 200)))
    farm.run(0.1)
    refused = [(p, s) for p, _, s in sent if s.failure]
    assert len(refused) > 20
    for prompt, sink in refused:
        assert isinstance(sink.failure, errors.Failure)
        assert sink.failure.outcome == "not_run"
        assert sink.failure.retry_after_s and sink.failure.retry_after_s > 0
        assert farm.prefills(prompt) == 0


def test_bad_requests_reach_no_engine() -> None:
    farm = fakes.federation()
    sinks = {
        "no_such_model": farm.send("maadi-1", "p", 8, service="nothing"),
        "no_rule": farm.send("maadi-1", "p", 8, caller="entry-pages"),
        "prompt_too_long": farm.send("maadi-1", "p" * 140_000, 8),
        "bad_max_tokens": farm.send("maadi-1", "p", 5_000),
    }
    farm.run(1.0)
    for kind, sink in sinks.items():
        assert sink.failure and sink.failure.type == kind
        assert sink.failure.outcome == "not_run"
    assert not any(s.started for s in farm.servers.values())
