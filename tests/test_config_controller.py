"""Tests that an accepted configuration is in force and never reverts."""

from nutmegscale import config
from nutmegscale import config_controller
from tests import fakes

IN_FORCE_S = 10.0


def _revisions(farm: fakes.Farm) -> set[int]:
    return {app.configs.revision for app in farm.hosts.values()}


def _contents(farm: fakes.Farm) -> set[bytes]:
    return {
        config.canonical(app.board.config.document)
        for app in farm.hosts.values()
        if app.board.config
    }


def _changed(farm: fakes.Farm, weight: float) -> config.Document:
    return farm.document_with(
        objective={"goodput_weight": weight, "waste_weight": 1.0}
    )


def test_a_change_is_in_force_everywhere_with_the_same_bytes() -> None:
    farm = fakes.federation()
    applied = farm.wait(
        farm.hosts["giza-2"].configs.apply(_changed(farm, 0.5), 1, "two")
    )
    assert applied == config_controller.Applied("accepted", 2)
    farm.run_until(lambda: _revisions(farm) == {2}, IN_FORCE_S)
    assert len(_contents(farm)) == 1


def test_a_lost_race_names_the_winner() -> None:
    farm = fakes.federation()
    one = farm.hosts["maadi-1"].configs
    two = farm.hosts["giza-1"].configs
    first = farm.wait(one.apply(_changed(farm, 0.5), 1, "a"))
    second = farm.wait(two.apply(_changed(farm, 0.7), 1, "b"))
    assert (first.state, second) == (
        "accepted",
        config_controller.Applied("conflict", 2),
    )


def test_racing_operators_without_a_base_each_get_a_revision() -> None:
    farm = fakes.federation()
    results: list[config_controller.Applied] = []

    async def _race() -> None:
        from twisted.internet import defer

        works = [
            defer.ensureDeferred(
                app.configs.apply(_changed(farm, 0.1 + n), None, f"op{n}")
            )
            for n, app in enumerate(list(farm.hosts.values())[:4])
        ]
        results.extend(await defer.gatherResults(works))

    farm.wait(_race())
    accepted = [r.revision for r in results if r.state == "accepted"]
    assert len(accepted) == len(set(accepted)) >= 1
    farm.run_until(lambda: _revisions(farm) == {max(accepted)}, IN_FORCE_S)
    assert len(_contents(farm)) == 1


def test_a_lost_answer_is_resolved_by_reading_back() -> None:
    farm = fakes.federation()
    farm.platform.lose_answers = 2
    applied = farm.wait(
        farm.hosts["giza-2"].configs.apply(_changed(farm, 0.5), 1, "two")
    )
    assert applied == config_controller.Applied("accepted", 2)
    again = farm.wait(
        farm.hosts["nasr-1"].configs.apply(_changed(farm, 0.5), 1, "two")
    )
    assert again == config_controller.Applied("accepted", 2)
    farm.run_until(lambda: _revisions(farm) == {2}, IN_FORCE_S)


def test_an_outage_just_after_acceptance_doesnt_stop_it() -> None:
    farm = fakes.federation()
    farm.wait(farm.hosts["giza-2"].configs.apply(_changed(farm, 0.5), 1, "x"))
    farm.platform.is_down = True
    farm.run_until(lambda: _revisions(farm) == {2}, IN_FORCE_S)


def test_a_host_restarted_during_an_outage_learns_from_a_peer() -> None:
    farm = fakes.federation()
    farm.wait(farm.hosts["giza-2"].configs.apply(_changed(farm, 0.5), 1, "x"))
    farm.run_until(lambda: _revisions(farm) == {2}, IN_FORCE_S)
    farm.kill("maadi-1")
    farm.run(4.0)
    farm.platform.is_down = True
    farm.revive("maadi-1")
    farm.run_until(lambda: _revisions(farm) == {2}, IN_FORCE_S)


def test_a_domain_cut_off_goes_on_and_catches_up_after_healing() -> None:
    farm = fakes.federation()
    inside = [h for h, d in farm.domains.items() if d == "maadi"]
    outside = [h for h in farm.domains if h not in inside]
    farm.network.cut_off(inside, [*outside, "platform"])
    farm.run(4.0)
    farm.wait(farm.hosts["giza-2"].configs.apply(_changed(farm, 0.5), 1, "x"))
    farm.run(6.0)
    assert {farm.hosts[h].configs.revision for h in inside} == {1}
    assert {farm.hosts[h].configs.revision for h in outside} == {2}
    sink = farm.send("maadi-1", "p " * 50, 8)
    farm.run_until(lambda: bool(sink.ended or sink.failure), 3.0)
    assert sink.ended == 1
    refused = farm.wait(
        farm.hosts["maadi-1"].configs.apply(_changed(farm, 0.9), None, "y")
    )
    assert refused.state == "unavailable"
    farm.network.cut.clear()
    farm.run_until(lambda: _revisions(farm) == {2}, IN_FORCE_S)


def test_an_old_revision_from_a_peer_is_never_taken() -> None:
    farm = fakes.federation()
    app = farm.hosts["maadi-1"]
    old = config.canonical(farm.document)
    farm.wait(farm.hosts["giza-2"].configs.apply(_changed(farm, 0.5), 1, "x"))
    farm.run_until(lambda: _revisions(farm) == {2}, IN_FORCE_S)
    app.configs._adopt(1, old, "nasr-1")
    assert app.configs.revision == 2


def test_a_host_that_slept_confirms_before_it_takes_requests() -> None:
    farm = fakes.federation()
    app = farm.hosts["maadi-1"]
    farm.platform.is_down = True
    others = [h for h in farm.domains if h != "maadi-1"]
    farm.network.cut_off(["maadi-1"], others)
    farm.clock.advance(30.0)
    farm.run(2.0)
    assert not app.board.is_ready
    farm.network.cut.clear()
    farm.run_until(lambda: app.board.is_ready, IN_FORCE_S)
