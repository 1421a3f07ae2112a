"""Decides which host is asked for a later configuration; has no I/O.

Answers many hosts that are outdated at once on links that are full: after each
failure the pause and the time to answer grow, so that little is transferred to
no use, and a link that became slow still gets a part through.
"""

import random

# Time in which a host answers, seconds: at first, and at most after failures.
FIRST_ANSWER_S = 0.3
MAX_ANSWER_S = 1.2
# Pause after a failure, seconds: after the first one, and at most.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
FAILURE_FACTOR = 2.0
JITTER_FRACTION = 0.3


class ConfigSources:
    """Hosts that may have a later configuration, and what they failed by.

    Args:
      rng: Source of random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # A dict keeps their order, so that choices follow from the seed.
        self._hosts: dict[str, None] = {}
        self._current = ""
        self._pause_s = FIRST_PAUSE_S
        self._answer_s = FIRST_ANSWER_S

    @property
    def answer_s(self) -> float:
        """Time in which the next host is to answer, seconds."""
        return self._answer_s

    def add(self, host: str) -> None:
        """Add a host that may have a later configuration."""
        self._hosts[host] = None

    def remove(self, host: str) -> None:
        """Remove a host that has none."""
        self._hosts.pop(host, None)

    def next_host(self) -> str | None:
        """Return the host to ask: the same one as long as it is a source.

        Returns:
          The host; None if there is none.
        """
        if self._current not in self._hosts:
            hosts = list(self._hosts)
            self._current = self._rng.choice(hosts) if hosts else ""
        return self._current or None

    def record_failure(self, host: str) -> float:
        """Remove a host that gave no usable answer.

        Returns:
          The pause before the next one is asked, seconds.
        """
        self.remove(host)
        jitter = 1.0 + JITTER_FRACTION * (2.0 * self._rng.random() - 1.0)
        pause_s = self._pause_s * jitter
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * FAILURE_FACTOR)
        self._answer_s = min(MAX_ANSWER_S, self._answer_s * FAILURE_FACTOR)
        return pause_s

    def record_success(self) -> None:
        """Forget all hosts and failures: a later configuration is in force.

        Those that have a yet later one announce it again.
        """
        self._hosts.clear()
        self._pause_s = FIRST_PAUSE_S
        self._answer_s = FIRST_ANSWER_S
