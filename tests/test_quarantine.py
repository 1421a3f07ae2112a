"""Tests of content that crashes the servers that run it."""

from nutmegscale import quarantine
from standins import answers
from standins import deployment
from standins import engine_model

X = quarantine.Content(b"x")
POISON = "map " * 40 + engine_model.PREFILL_CRASH_MARK


def _all_ended(*sinks: deployment.Sink) -> bool:
    return all(sink.end_count or sink.failure for sink in sinks)


def _add_prefill_servers(system: deployment.Deployment) -> None:
    for number in range(3):
        system.add_server(f"extra-{number}", "nasr", "notes-prefill", "prefill")
    system.run(2.5)


def test_poison_takes_down_two_servers_at_most_and_refuses_no_other() -> None:
    system = deployment.federation()
    _add_prefill_servers(system)
    innocent = [
        (f"{n} " * 300, system.send("maadi-2", f"{n} " * 300, 40))
        for n in range(6)
    ]
    poison = [system.send("maadi-1", POISON, 8, "p1")]
    system.run_until(lambda: _all_ended(*poison), 15.0)
    for number, host in enumerate(("giza-1", "shorouk-2", "nasr-1")):
        poison.append(system.send(host, POISON, 8, f"again{number}"))
        system.run_until(lambda: _all_ended(*poison), 15.0)
    system.run_until(lambda: _all_ended(*(s for _, s in innocent)), 20.0)
    dead = [s.name for s in system.servers.values() if s.is_crashed]
    assert len(dead) == 2
    assert {s.failure.type for s in poison if s.failure} == {"quarantined"}
    for prompt, sink in innocent:
        assert sink.text == answers.answer_text(prompt, 40)


def test_poison_in_decode_among_many_innocent_runs() -> None:
    system = deployment.federation()
    system.add_server("decode-extra", "giza", "notes-decode", "decode")
    system.run(4.5)
    innocent = []
    for number in range(36):
        prompt = f"{number} " * 40
        host = f"maadi-{1 + number % 2}"
        innocent.append((prompt, system.send(host, prompt, 400)))
        system.run(0.02)
    system.run(0.3)
    held = [len(s.model.runs) for s in system.servers.values()]
    assert max(held) >= 8
    poison = "map " * 40 + engine_model.DECODE_CRASH_MARK
    first = system.send("giza-1", poison, 8, "p1")
    system.run_until(lambda: _all_ended(first), 30.0)
    second = system.send("nasr-1", poison, 8, "p2")
    system.run_until(lambda: _all_ended(second), 30.0)
    system.run_until(lambda: _all_ended(*(s for _, s in innocent)), 60.0)
    dead = [s.name for s in system.servers.values() if s.is_crashed]
    assert len(dead) == 2
    assert {s.failure.type for s in (first, second) if s.failure} == {
        "quarantined"
    }
    for prompt, sink in innocent:
        assert sink.failure is None
        assert sink.text == answers.answer_text(prompt, 400)


def test_one_crash_under_two_runs_of_a_prompt_counts_once() -> None:
    system = deployment.federation()
    decoders = [s for s in system.servers.values() if s.role == "decode"]
    for server in decoders[1:]:
        server.model.leaving = True
    system.run(3.0)
    prompt = "map " * 40
    sinks = [
        system.send(host, prompt, 400, f"r{number}")
        for number, host in enumerate(("maadi-1", "giza-1"))
    ]
    system.run(1.0)
    assert len(decoders[0].model.runs) == 2
    system.add_server("decode-extra", "giza", "notes-decode", "decode")
    decoders[0].crash()
    system.run_until(lambda: _all_ended(*sinks), 30.0)
    later = system.send("nasr-1", prompt, 8, "r2")
    system.run_until(lambda: _all_ended(later), 30.0)
    for sink in (*sinks, later):
        assert sink.failure is None


def test_a_suspect_that_runs_on_is_cleared() -> None:
    known = quarantine.Quarantine()
    known.suspect(0.0, b"x", "crash 1")
    assert known.is_suspect(1.0, b"x")
    known.clear(b"x")
    assert not known.is_suspect(1.0, b"x")
    known.suspect(2.0, b"x", "crash 2")
    assert not known.is_quarantined(2.0, b"x")


def test_two_crashes_quarantine_content_until_it_expires() -> None:
    known = quarantine.Quarantine()
    assert known.suspect(0.0, b"x", "crash 1")
    assert not known.suspect(0.0, b"x", "crash 1")
    known.suspect(1.0, b"x", "crash 2")
    known.clear(b"x")
    assert known.is_quarantined(2.0, b"x")
    assert not known.is_quarantined(quarantine.QUARANTINE_TTL_S + 2, b"x")


def test_runs_that_began_before_a_crash_count_with_it() -> None:
    known = quarantine.Quarantine()
    assert known.suspect(1.0, b"x", "a", began_at=0.9, crashed_at=1.0)
    assert not known.suspect(1.1, b"x", "a", began_at=0.8, crashed_at=1.0)
    assert not known.suspect(1.1, b"x", "b", began_at=0.9, crashed_at=1.1)
    assert not known.is_quarantined(1.1, b"x")
    # The server of the first crash is back, under the same name.
    assert known.suspect(1.3, b"x", "a", began_at=1.2, crashed_at=1.3)
    assert known.is_quarantined(1.3, b"x")


def _suspect_both(known: quarantine.Quarantine, now: float, crash: str) -> None:
    for content in (b"x", b"y"):
        known.suspect(now, content, crash, began_at=now - 0.1, crashed_at=now)


def test_contents_of_the_same_crashes_are_told_apart_by_a_third() -> None:
    known = quarantine.Quarantine()
    _suspect_both(known, 1.0, "a")
    _suspect_both(known, 2.0, "b")
    assert not known.is_quarantined(2.0, b"x")
    assert not known.is_quarantined(2.0, b"y")
    known.suspect(3.0, b"x", "c", began_at=2.9, crashed_at=3.0)
    assert known.is_quarantined(3.0, b"x")
    assert not known.is_quarantined(3.0, b"y")


def test_content_is_quarantined_when_the_other_of_its_crashes_is_cleared() -> (
    None
):
    known = quarantine.Quarantine()
    _suspect_both(known, 1.0, "a")
    _suspect_both(known, 2.0, "b")
    known.clear(b"y")
    assert known.is_quarantined(2.0, b"x")
    assert not known.is_suspect(2.0, b"y")


def test_suspects_of_a_crash_are_assigned_different_servers() -> None:
    suspects = [bytes([n]) for n in range(4)]
    servers = ["a", "b", "c", "d"]
    assigned = quarantine.assign_apart(suspects, servers)
    assert sorted(assigned.values()) == servers
    assert assigned == quarantine.assign_apart(suspects[::-1], servers[::-1])
    assert set(quarantine.assign_apart(suspects, ["a"]).values()) == {"a"}


def test_a_first_quarantine_ends_and_one_more_crash_renews_it() -> None:
    known = quarantine.Quarantine()
    for at in (1.0, 2.0):
        known.suspect(at, b"x", "a", began_at=at - 0.1, crashed_at=at)
    end = 2.0 + quarantine.FIRST_QUARANTINE_S
    assert known.refused_for_s(end - 10.0, X) == 10.0
    assert not known.is_quarantined(end, b"x")
    assert known.is_suspect(end, b"x")
    known.suspect(end, b"x", "a", began_at=end - 0.1, crashed_at=end)
    assert known.refused_for_s(end, X) == quarantine.QUARANTINE_TTL_S


def test_a_run_after_the_quarantine_clears_the_content() -> None:
    known = quarantine.Quarantine()
    for at in (1.0, 2.0):
        known.suspect(at, b"x", "a", began_at=at - 0.1, crashed_at=at)
    known.clear(b"x", now=10.0)
    assert known.count_quarantined(10.0) == 1
    known.clear(b"x", now=2.0 + quarantine.FIRST_QUARANTINE_S)
    assert not known.has_suspects


def test_evidence_of_another_host_is_taken_over_if_it_is_more() -> None:
    known, other = quarantine.Quarantine(), quarantine.Quarantine()
    for at in (1.0, 2.0):
        other.suspect(at, b"x", f"crash {at}", began_at=at, crashed_at=at)
    known.suspect(50.0, b"x", "crash 1.0", began_at=49.0, crashed_at=50.0)
    for evidence in other.evidence(3.0, limit=10):
        assert known.merge(51.0, evidence)
        assert not known.merge(51.0, evidence)
    assert known.refused_for_s(51.0, X) == other.refused_for_s(3.0, X)
    assert not other.merge(3.0, known.evidence(51.0, limit=10)[0])


def test_the_count_of_the_host_that_ran_the_content_is_taken_over() -> None:
    # The first message took 20 ms longer than the second one, so that the
    # second run seems to have begun before the first crash.
    known = quarantine.Quarantine()
    known.suspect(1.02, b"x", "a", began_at=1.01, crashed_at=1.02, rounds=1)
    known.suspect(1.05, b"x", "b", began_at=1.0, crashed_at=1.05, rounds=2)
    assert known.is_quarantined(1.05, b"x")
    known.suspect(1.06, b"x", "b", began_at=0.9, crashed_at=1.05, rounds=2)
    assert known.rounds(b"x") == 2


def _run(
    known: quarantine.Quarantine,
    at: float,
    crash: str,
    digest: bytes,
    *parts: bytes,
) -> None:
    """Record a crash under a run that began shortly before it."""
    run = frozenset(parts)
    known.suspect(at, digest, crash, began_at=at - 0.1, crashed_at=at)
    for part in parts:
        known.suspect(
            at, part, crash, began_at=at - 0.1, crashed_at=at, run=run
        )


def test_part_is_refused_only_with_all_that_it_always_ran_with() -> None:
    known = quarantine.Quarantine()
    for number in range(3):
        _run(known, 1.0 + number, f"c{number}", b"%d" % number, b"club", b"bad")
    refused = [
        known.refused_for_s(4.0, quarantine.Content(b"new", parts)) > 0.0
        for parts in ((b"club", b"bad"), (b"club",), (b"bad",), ())
    ]
    assert refused == [True, False, False, False]
    known.suspect(5.0, b"bad", "c9", began_at=4.9, run=frozenset((b"bad",)))
    assert known.refused_for_s(5.0, quarantine.Content(b"new", (b"bad",)))


def test_parts_that_ran_on_more_often_than_they_crashed_are_cleared() -> None:
    known = quarantine.Quarantine()
    for number in range(4):
        _run(known, 1.0 + number, f"c{number}", b"%d" % number, b"a", b"bad")
        for _ in range(2):
            known.clear(b"a", now=1.5 + number)
    assert known.rounds(b"a") == 0
    assert known.refused_for_s(5.0, quarantine.Content(b"new", (b"bad",))) > 0.0


def test_a_part_crashed_by_servers_lost_together_is_no_cause() -> None:
    known = quarantine.Quarantine()
    for number in range(4):
        known.suspect(
            1.0,
            b"a",
            f"server {number}",
            began_at=0.5,
            crashed_at=1.0,
            run=frozenset((b"a",)),
        )
    assert not known.refused_for_s(1.0, quarantine.Content(b"new", (b"a",)))


def test_memory_is_bounded_with_many_parts_and_keeps_contents() -> None:
    known = quarantine.Quarantine(capacity=50)
    for at in (1.0, 2.0):
        known.suspect(at, b"x", f"c{at}", began_at=at - 0.1, crashed_at=at)
    for number in range(500):
        part = b"part %d" % number
        known.suspect(
            3.0, part, "c", began_at=2.9, crashed_at=3.0, run=frozenset((part,))
        )
    assert known.is_quarantined(3.0, b"x")
    assert len(known.evidence(3.0, limit=1_000)) == 51
    assert known.evidence(3.0, limit=1)[0].fingerprint == b"x"


def test_two_rounds_are_enough_if_five_servers_crashed_in_them() -> None:
    known = quarantine.Quarantine()
    content = quarantine.Content(b"new", (b"bad",))
    run = frozenset((b"bad",))
    for number in range(5):
        assert not known.refused_for_s(2.0, content)
        at = 1.0 if number < 3 else 2.0
        known.suspect(
            at,
            b"bad",
            f"server {number}",
            began_at=at - 0.1,
            crashed_at=at,
            run=run,
        )
    assert known.refused_for_s(2.0, content) > 0.0
