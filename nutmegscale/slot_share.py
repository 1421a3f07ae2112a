"""A host's share of a worker's slots while no planner answers; pure."""

from collections.abc import Collection

from nutmegscale import rendezvous


def slots_of(
    worker: str, slots: int, host: str, sharers: Collection[str]
) -> int:
    """Return how many slots of a worker a host may use by itself.

    The shares of all hosts together are no more than the slots, as long as
    they know the same hosts.

    Args:
      worker: Name of the worker.
      slots: Its slots.
      host: The host.
      sharers: Names of all hosts that may use the worker, this one among them.
    """
    if len(sharers) <= slots:
        return slots // max(1, len(sharers))
    return int(host in rendezvous.rank(worker.encode(), sharers)[:slots])
