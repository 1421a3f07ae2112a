"""Tests that a request and its body are freed when it ends.

Bodies that wait for the garbage collector add up beyond a host's memory.
"""

from collections.abc import Iterator
import gc
from typing import Any
import weakref

import pytest

from nutmegscale import request_context
from standins import router_world

BODY = b"x" * 50_000


@pytest.fixture(name="contexts")
def _contexts(
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[list[weakref.ref[Any]]]:
    """Record all requests, without garbage collection meanwhile."""
    found: list[weakref.ref[Any]] = []
    create = request_context.RequestContext.__init__

    def _create(self: Any, *arguments: Any, **options: Any) -> None:
        found.append(weakref.ref(self))
        create(self, *arguments, **options)

    monkeypatch.setattr(request_context.RequestContext, "__init__", _create)
    gc.disable()
    yield found
    gc.enable()


def _world() -> router_world.Simulation:
    world = router_world.Simulation()
    world.start_default_workers()
    world.start()
    gc.collect()
    return world


def _alive(contexts: list[weakref.ref[Any]]) -> int:
    assert contexts
    return sum(context() is not None for context in contexts)


@pytest.mark.parametrize("route", ["confirm", "slot", "brief", "digest"])
def test_request_that_was_answered_is_freed(
    route: str, contexts: list[weakref.ref[Any]]
) -> None:
    world = _world()
    for _ in range(3):
        assert world.ask(route, 6.0, body=BODY).status == 200
    assert _alive(contexts) == 0


@pytest.mark.parametrize("route", ["confirm", "slot"])
def test_request_whose_servers_broke_off_is_freed(
    route: str, contexts: list[weakref.ref[Any]]
) -> None:
    world = _world()
    for name in ("w1", "w2"):
        world.workers[name].raw_response = b"HTTP/1.1 200 OK\r\n"
    for _ in range(3):
        assert world.ask(route, 2.0, body=BODY).status in (502, 503)
    assert _alive(contexts) == 0


@pytest.mark.parametrize("route", ["confirm", "slot", "digest"])
def test_request_whose_caller_left_is_freed(
    route: str, contexts: list[weakref.ref[Any]]
) -> None:
    world = _world()
    caller = world.send(route, body=BODY)
    world.run(0.02)
    caller.transport.abortConnection()
    world.run(3.0)
    assert _alive(contexts) == 0
