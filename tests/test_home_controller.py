"""Tests that one request id runs once, wherever it is sent again."""

import functools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from nutmegscale import exchange
from nutmegscale import home
from standins import answers
from tests import fakes

PROMPT = "start list of Fayoum é 🧭 " * 40
TEXT = answers.answer_text(PROMPT, 64)


def _done(*sinks: fakes.Sink) -> bool:
    return all(sink.ended or sink.failure for sink in sinks)


def test_repeat_while_running_takes_the_answer_over_at_the_same_host() -> None:
    farm = fakes.federation()
    first = farm.send("maadi-1", PROMPT, 64, "r")
    farm.run_until(lambda: bool(first.text), 2.0)
    second = farm.send("maadi-1", PROMPT, 64, "r")
    farm.run_until(lambda: _done(first, second), 5.0)
    assert (second.text, second.ended) == (TEXT, 1)
    assert first.failure and first.failure.type == "superseded"
    assert (first.ended, farm.prefills(PROMPT)) == (0, 1)


def test_repeat_while_running_takes_the_run_over_at_another_host() -> None:
    farm = fakes.federation()
    first = farm.send("maadi-1", PROMPT, 64, "r")
    farm.run_until(lambda: bool(first.text), 2.0)
    second = farm.send("giza-2", PROMPT, 64, "r")
    farm.run_until(lambda: _done(first, second), 5.0)
    assert (second.text, second.ended) == (TEXT, 1)
    assert (first.ended, farm.prefills(PROMPT)) == (0, 1)
    farm.run_until(lambda: not farm.held(), 2.0)


def test_repeat_during_prefill_takes_over_without_a_second_run() -> None:
    farm = fakes.federation()
    first = farm.send("maadi-1", PROMPT, 64, "r")
    farm.run(0.01)
    second = farm.send("giza-2", PROMPT, 64, "r")
    farm.run_until(lambda: _done(first, second), 5.0)
    assert (second.text, farm.prefills(PROMPT)) == (TEXT, 1)


def test_repeat_after_the_end_gets_the_same_answer_without_a_run() -> None:
    farm = fakes.federation()
    first = farm.send("maadi-1", PROMPT, 64, "r")
    farm.run_until(lambda: _done(first), 5.0)
    repeats = [farm.send(h, PROMPT, 64, "r") for h in ("maadi-1", "nasr-2")]
    farm.run_until(lambda: _done(*repeats), 1.0)
    assert [r.text for r in repeats] == [TEXT, TEXT]
    assert farm.prefills(PROMPT) == 1


def test_two_copies_at_once_at_two_hosts_run_once() -> None:
    farm = fakes.federation()
    for number in range(20):
        prompt = f"{number} {PROMPT}"
        sinks = [
            farm.send(host, prompt, 64, f"r{number}")
            for host in ("maadi-1", "nasr-1", "giza-1")
        ]
        farm.run_until(functools.partial(_done, *sinks), 8.0)
        assert [s.ended for s in sinks].count(1) == 1, number
        assert farm.prefills(prompt) == 1, number


def test_same_id_of_two_callers_is_two_exchanges() -> None:
    farm = fakes.federation()
    one = farm.send("maadi-1", "one " * 30, 20, "r", caller="cairo-club")
    two = farm.send("maadi-1", "two " * 30, 20, "r", caller="alex-club")
    farm.run_until(lambda: _done(one, two), 5.0)
    assert one.text == answers.answer_text("one " * 30, 20)
    assert two.text == answers.answer_text("two " * 30, 20)


def _homes(farm: fakes.Farm, request_id: str) -> list[str]:
    name = exchange.exchange_id("cairo-club", request_id)
    return next(iter(farm.hosts.values())).homes.homes(name)


def test_repeat_after_the_first_home_died_runs_once() -> None:
    farm = fakes.federation()
    first_home, _ = _homes(farm, "r")
    server, other = [h for h in farm.hosts if h != first_home][:2]
    first = farm.send(server, PROMPT, 64, "r")
    farm.run_until(lambda: bool(first.text), 2.0)
    farm.kill(first_home)
    second = farm.send(other, PROMPT, 64, "r")
    farm.run_until(lambda: _done(first, second), 6.0)
    assert (second.text, farm.prefills(PROMPT)) == (TEXT, 1)


def test_two_hosts_that_believe_to_be_the_home_agree() -> None:
    farm = fakes.federation()
    homes = _homes(farm, "r")
    others = [h for h in farm.hosts if h not in homes]
    # One serving host can't reach the first home, the other one can.
    farm.network.cut_off([others[0]], [homes[0]])
    sinks = [farm.send(h, PROMPT, 64, "r") for h in others[:2]]
    farm.run_until(lambda: _done(*sinks), 8.0)
    assert [s.ended for s in sinks].count(1) == 1
    assert farm.prefills(PROMPT) == 1


def test_repeat_after_the_serving_host_died_is_answered() -> None:
    farm = fakes.federation()
    homes = _homes(farm, "r")
    server, other = [h for h in farm.hosts if h not in homes][:2]
    first = farm.send(server, PROMPT, 64, "r")
    farm.run_until(lambda: bool(first.text), 2.0)
    farm.kill(server)
    second = farm.send(other, PROMPT, 64, "r")
    farm.run_until(lambda: _done(second), 8.0)
    assert (second.text, first.ended) == (TEXT, 0)
    farm.run_until(lambda: not farm.held(), 6.0)


def test_thawed_host_does_not_answer_what_another_has_answered() -> None:
    farm = fakes.federation()
    homes = _homes(farm, "r")
    server, other = [h for h in farm.hosts if h not in homes][:2]
    first = farm.send(server, PROMPT, 64, "r")
    farm.run_until(lambda: bool(first.text), 2.0)
    everyone = [*farm.domains, *farm.servers, "platform"]
    farm.network.cut_off([server], everyone)
    second = farm.send(other, PROMPT, 64, "r")
    farm.run_until(lambda: _done(second), 8.0)
    farm.network.cut.clear()
    farm.run(5.0)
    assert (second.text, second.ended, first.ended) == (TEXT, 1, 0)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["claim", "end", "replace"]),
            st.integers(1, 3),
        ),
        max_size=30,
    )
)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_a_claim_stands_until_its_holder_ends_it(
    steps: list[tuple[str, int]],
) -> None:
    known = home.Home()
    holder: tuple[str, int] | None = None
    for kind, number in steps:
        host = f"h{number}"
        if kind == "end":
            known.end(1.0, "x", host, number, False)
            if holder == (host, number):
                holder = None
            continue
        replaces = holder if kind == "replace" and holder else ("", 0)
        claim = known.claim(1.0, "x", host, number, replaces=replaces)
        if holder is None or kind == "replace":
            holder = (host, number)
        assert (claim.host, claim.attempt) == holder
