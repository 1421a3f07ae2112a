"""Tests of orders to engines under expired and contested leases."""

import pytest

from nutmegscale import errors
from standins import deployment


def _apply_target(system: deployment.Deployment, leaving: bool) -> None:
    document = system.document_with(
        workers={"decode-maadi": {"leaving": leaving}}
    )
    app = next(iter(system.hosts.values()))
    name = f"leaving-{leaving}-{system.clock.seconds()}"
    applied = system.wait(app.configs.apply(document, None, name))
    assert applied.state == "accepted"


def test_a_target_state_is_ordered_once_by_one_host() -> None:
    system = deployment.federation()
    model = system.servers["decode-maadi"].model
    _apply_target(system, True)
    system.run_until(lambda: model.leaving, 8.0)
    system.run(6.0)
    assert model.orders == [(1, True)]
    _apply_target(system, False)
    system.run_until(lambda: not model.leaving, 8.0)
    assert model.orders == [(1, True), (1, False)]


@pytest.mark.parametrize("honours", [True, False])
def test_a_new_holder_waits_and_a_reconnected_one_gives_no_order(
    honours: bool,
) -> None:
    system = deployment.federation()
    model = system.servers["decode-maadi"].model
    model.checks_fence = honours
    _apply_target(system, True)
    system.run_until(lambda: model.leaving, 8.0)
    row = system.platform.rows["lease/maadi"]
    holder = "maadi-1" if b"maadi-1" in row.value else "maadi-2"
    others = [n for n in system.names() if n != holder]
    system.network.cut_off([holder], others)
    system.run(12.0)
    _apply_target_at(system, holder)
    system.run_until(lambda: not model.leaving, 20.0)
    assert model.orders[-1] == (2, False)
    system.network.cut.clear()
    system.run(10.0)
    fences = [fence for fence, _ in model.orders]
    assert fences == sorted(fences)
    assert not model.leaving


def _apply_target_at(system: deployment.Deployment, cut_off: str) -> None:
    """Change the target state at a host that isn't cut off."""
    app = next(a for n, a in system.hosts.items() if n != cut_off)
    document = system.document_with(
        workers={"decode-maadi": {"leaving": False}}
    )
    applied = system.wait(app.configs.apply(document, None, "again"))
    assert applied.state == "accepted"


def test_without_the_platform_no_orders_are_given() -> None:
    system = deployment.federation()
    model = system.servers["decode-maadi"].model
    _apply_target(system, True)
    system.platform.is_down = True
    system.run(15.0)
    given = len(model.orders)
    model.leaving = False
    system.run(15.0)
    assert len(model.orders) == given


def test_unknown_keys_of_a_worker_are_refused() -> None:
    system = deployment.Deployment({}, {}, ready=False)
    with pytest.raises(errors.ConfigError, match="unknown key"):
        system.document_with(workers={"x": {"leaving": True, "role": "y"}})
