"""Share of a worker's slots that a host uses without a planner; pure."""

from collections.abc import Collection

from nutmegscale import rendezvous


def slots_of(
    worker: str, slots: int, host: str, sharers: Collection[str]
) -> int:
    """Return the number of a worker's slots that a host may use on its own.

    The shares of all hosts add up to no more than the slots, as long as all
    hosts pass the same sharers.

    Args:
      worker: Name of the worker.
      slots: Number of its slots.
      host: Name of the host.
      sharers: Names of all hosts that may use the worker, including this one.
    """
    if len(sharers) <= slots:
        return slots // max(1, len(sharers))
    return int(host in rendezvous.rank(worker.encode(), sharers)[:slots])
