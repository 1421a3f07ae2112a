"""Tests that an accepted configuration takes force and never reverts."""

import functools

import msgspec

from nutmegscale import config
from nutmegscale import config_controller
from standins import deployment

IN_FORCE_S = 10.0
SLOW_LINK_BYTES_PER_S = 5e6 / 8


def _revisions(system: deployment.Deployment) -> set[int]:
    return {app.configs.revision for app in system.hosts.values()}


def _all_have(system: deployment.Deployment, wanted: set[int]) -> bool:
    return _revisions(system) == wanted


def _contents(system: deployment.Deployment) -> set[bytes]:
    return {
        config.canonical(app.board.config.document)
        for app in system.hosts.values()
        if app.board.config
    }


def _changed(system: deployment.Deployment, weight: float) -> config.Document:
    return system.document_with(
        objective={"goodput_weight": weight, "waste_weight": 1.0}
    )


def test_a_change_is_in_force_everywhere_with_the_same_bytes() -> None:
    system = deployment.federation()
    applied = system.wait(
        system.hosts["giza-2"].configs.apply(_changed(system, 0.5), 1, "two")
    )
    assert applied == config_controller.ApplyResult("accepted", 2)
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)
    assert len(_contents(system)) == 1


def test_a_lost_race_names_the_winner() -> None:
    system = deployment.federation()
    one = system.hosts["maadi-1"].configs
    two = system.hosts["giza-1"].configs
    first = system.wait(one.apply(_changed(system, 0.5), 1, "a"))
    second = system.wait(two.apply(_changed(system, 0.7), 1, "b"))
    assert (first.state, second) == (
        "accepted",
        config_controller.ApplyResult("conflict", 2),
    )


def test_racing_operators_without_a_base_each_get_a_revision() -> None:
    system = deployment.federation()
    results: list[config_controller.ApplyResult] = []

    async def _race() -> None:
        from twisted.internet import defer

        works = [
            defer.ensureDeferred(
                app.configs.apply(_changed(system, 0.1 + n), None, f"op{n}")
            )
            for n, app in enumerate(list(system.hosts.values())[:4])
        ]
        results.extend(await defer.gatherResults(works))

    system.wait(_race())
    accepted = [r.revision for r in results if r.state == "accepted"]
    assert len(accepted) == len(set(accepted)) >= 1
    system.run_until(lambda: _revisions(system) == {max(accepted)}, IN_FORCE_S)
    assert len(_contents(system)) == 1


def test_a_lost_answer_is_resolved_by_reading_back() -> None:
    system = deployment.federation()
    system.platform.lose_answers = 2
    applied = system.wait(
        system.hosts["giza-2"].configs.apply(_changed(system, 0.5), 1, "two")
    )
    assert applied == config_controller.ApplyResult("accepted", 2)
    again = system.wait(
        system.hosts["nasr-1"].configs.apply(_changed(system, 0.5), 1, "two")
    )
    assert again == config_controller.ApplyResult("accepted", 2)
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)


def test_an_outage_just_after_acceptance_doesnt_stop_it() -> None:
    system = deployment.federation()
    system.wait(
        system.hosts["giza-2"].configs.apply(_changed(system, 0.5), 1, "x")
    )
    system.platform.is_down = True
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)


def test_a_host_restarted_during_an_outage_learns_from_a_peer() -> None:
    system = deployment.federation()
    system.wait(
        system.hosts["giza-2"].configs.apply(_changed(system, 0.5), 1, "x")
    )
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)
    system.kill("maadi-1")
    system.run(4.0)
    system.platform.is_down = True
    system.restart_host("maadi-1")
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)


def test_a_domain_cut_off_goes_on_and_catches_up_after_healing() -> None:
    system = deployment.federation()
    inside = [h for h, d in system.domains.items() if d == "maadi"]
    outside = [h for h in system.domains if h not in inside]
    system.network.cut_off(inside, [*outside, "platform"])
    system.run(4.0)
    system.wait(
        system.hosts["giza-2"].configs.apply(_changed(system, 0.5), 1, "x")
    )
    system.run(6.0)
    assert {system.hosts[h].configs.revision for h in inside} == {1}
    assert {system.hosts[h].configs.revision for h in outside} == {2}
    sink = system.send("maadi-1", "p " * 50, 8)
    system.run_until(lambda: bool(sink.end_count or sink.failure), 3.0)
    assert sink.end_count == 1
    refused = system.wait(
        system.hosts["maadi-1"].configs.apply(_changed(system, 0.9), None, "y")
    )
    assert refused.state == "unavailable"
    system.network.cut.clear()
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)


def test_small_changes_are_taken_as_patches() -> None:
    system = deployment.federation()
    configs = system.hosts["giza-2"].configs
    for number in range(3):
        changed = _changed(system, 0.5 + number)
        system.wait(configs.apply(changed, None, str(number)))
        wanted = {number + 2}
        system.run_until(
            functools.partial(_all_have, system, wanted), IN_FORCE_S
        )
    assert len(_contents(system)) == 1
    sources = {
        event.detail.split()[-1]
        for name, app in system.hosts.items()
        if name != "giza-2"
        for event in app.board.timeline.events()
        if event.kind == "config.in_force" and "revision=1 " not in event.detail
    }
    assert sources == {"source=patch"}


def test_a_patch_that_gives_another_content_is_not_taken() -> None:
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    assert not app.configs._apply_patches(
        2, "wrong", ((2, b'{"rules": null}'),)
    )
    assert app.configs.revision == 1


def test_an_old_revision_from_a_peer_is_never_taken() -> None:
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    old = config.canonical(system.document)
    system.wait(
        system.hosts["giza-2"].configs.apply(_changed(system, 0.5), 1, "x")
    )
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)
    app.configs._adopt(1, old, "nasr-1")
    assert app.configs.revision == 2


def test_a_host_that_slept_confirms_before_it_takes_requests() -> None:
    system = deployment.federation()
    app = system.hosts["maadi-1"]
    system.platform.is_down = True
    others = [h for h in system.domains if h != "maadi-1"]
    system.network.cut_off(["maadi-1"], others)
    system.clock.advance(30.0)
    system.run(2.0)
    assert not app.board.is_ready
    system.network.cut.clear()
    system.run_until(lambda: app.board.is_ready, IN_FORCE_S)


def _apply(
    system: deployment.Deployment, host: str, weight: float, attempt: str
) -> config_controller.ApplyResult:
    applied: config_controller.ApplyResult = system.wait(
        system.hosts[host].configs.apply(
            _changed(system, weight), None, attempt
        )
    )
    return applied


def test_a_revision_lost_in_a_restore_is_written_again() -> None:
    system = deployment.federation()
    system.run(10.0)
    assert _apply(system, "maadi-1", 0.5, "a").state == "accepted"
    system.run(IN_FORCE_S)
    contents = _contents(system)
    system.platform.restore(IN_FORCE_S + 1.0)
    system.run(5.0)
    assert (_revisions(system), _contents(system)) == ({2}, contents)
    row = system.platform.rows[config_controller.ROW_KEY]
    stored = msgspec.msgpack.decode(
        row.value, type=config_controller.CurrentRow
    )
    assert (stored.revision, stored.era) == (2, 1)
    system.kill("giza-2")
    system.restart_host("giza-2")
    system.run_until(lambda: _all_have(system, {2}), IN_FORCE_S)
    assert _contents(system) == contents


def test_a_change_after_a_restore_is_later_than_every_lost_one() -> None:
    """Two contents must not get the same revision.

    The only host with the lost revision is cut off from the platform, so it
    can't write it again before the next change is accepted.
    """
    system = deployment.federation()
    system.run(10.0)
    others = [name for name in system.hosts if name != "maadi-1"]
    system.network.cut_off(["maadi-1"], others)
    assert _apply(system, "maadi-1", 0.5, "a").revision == 2
    system.network.cut_off(["maadi-1"], ["platform"])
    system.platform.restore(1.0)
    system.run(10.0)
    second = _apply(system, "giza-1", 0.7, "b")
    assert second.state == "accepted"
    assert second.revision > config_controller.RESTORE_REVISION_GAP
    system.network.heal("maadi-1")
    system.run_until(lambda: len(_revisions(system)) == 1, IN_FORCE_S)
    assert len(_contents(system)) == 1


def test_no_change_is_accepted_until_a_lost_one_had_time_to_return() -> None:
    system = deployment.federation()
    system.run(10.0)
    assert _apply(system, "maadi-1", 0.5, "a").revision == 2
    system.platform.restore(0.5)
    system.run(0.01)
    result = _apply(system, "giza-1", 0.7, "b")
    assert result.state == "unavailable" or result.revision > 2
    system.run(IN_FORCE_S)
    assert _apply(system, "giza-1", 0.7, "c").state == "accepted"
    system.run_until(lambda: len(_revisions(system)) == 1, IN_FORCE_S)


def test_large_configuration_reaches_a_host_over_a_slow_link() -> None:
    system = deployment.federation()
    first = next(iter(system.document["callers"].values()))
    added = {
        f"caller-{n}": {**first, "key_sha256": f"{n:064x}"}
        for n in range(2_200)
    }
    callers = {**system.document["callers"], **added}
    document = system.document_with(callers=callers)
    system.wait(system.hosts["giza-2"].configs.apply(document, 1, "x"))
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)
    system.kill("maadi-1")
    system.run(4.0)
    system.platform.is_down = True
    system.network.link_bytes_per_s = SLOW_LINK_BYTES_PER_S
    system.restart_host("maadi-1")
    system.run_until(lambda: _revisions(system) == {2}, IN_FORCE_S)
    assert len(_contents(system)) == 1
