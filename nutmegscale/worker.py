"""Backend servers and their load reports."""

from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from nutmegscale import decoding

Role = Literal["prefill", "decode", "plain"]


class Worker(NamedTuple):
    """A backend server of a pool.

    Attributes:
      name: Unique name.
      address: Base address, as http://IP:PORT.
      failure_domain: Its failure domain.
      pool: Name of its pool in the configuration.
      service: Service of the pool.
      role: Role of the pool.
      leaving: Whether the platform lists it as leaving.
    """

    name: str
    address: str
    failure_domain: str
    pool: str
    service: str
    role: Role
    leaving: bool


class Running(NamedTuple):
    """A run or prefill result that occupies an engine.

    Attributes:
      run_id: Id of the run; see `exchange_of`.
      host: Host that started it.
      phase: "prefill" while queued or running there, "kv" for a stored prefill
        result, "decode" for a decode run.
      age_s: Age in seconds.
    """

    run_id: str
    host: str
    phase: Literal["prefill", "kv", "decode"]
    age_s: float


class CacheEvent(NamedTuple):
    """A change of the prefix cache of a worker.

    Attributes:
      number: Number of the event; later events have higher numbers.
      kind: "add" for a block that was added, "drop" for an evicted one.
      digest: Digest of the block, in hexadecimal.
    """

    number: int
    kind: Literal["add", "drop"]
    digest: str


class Report(NamedTuple):
    """Load report of a worker; its age is unknown.

    Attributes:
      leaving: Whether the worker is leaving.
      slots: Number of its slots.
      running: Runs and prefill results that occupy it.
      queued: Number of prefills that are queued or running.
      cache_last: Number of its latest cache event.
      cache_events: Latest cache events after the number in the request, in
        order.
    """

    leaving: bool
    slots: int
    running: tuple[Running, ...]
    queued: int
    cache_last: int
    cache_events: tuple[CacheEvent, ...]


def exchange_of(run_id: str) -> str:
    """Return the exchange that a run belongs to."""
    return run_id.partition(".")[0]


class _Row(msgspec.Struct):
    name: str
    address: str
    failure_domain: str
    pool: str = ""
    state: str = ""


def from_row(row: dict[str, Any], pools: dict[str, Any]) -> Worker | None:
    """Build a worker from a row of the platform's host list.

    Args:
      row: Row with name, address, failure_domain, pool and state.
      pools: Pools of the configuration.

    Returns:
      The worker, or None when its pool isn't in the configuration.

    Raises:
      errors.MalformedDataError: A field is missing or of another type.
    """
    entry = decoding.convert(row, _Row)
    pool = pools.get(entry.pool)
    if pool is None:
        return None
    return Worker(
        entry.name,
        entry.address,
        entry.failure_domain,
        entry.pool,
        pool["service"],
        pool["role"],
        entry.state == "leaving",
    )
