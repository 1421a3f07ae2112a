"""Network between hosts on a virtual clock, with partitions."""

from collections import Counter
from collections.abc import Callable

from twisted.internet import task

DELAY_S = 0.001


class Network:
    """Delivers messages between hosts; pairs can be cut, one way or both.

    Attributes:
      receivers: Function that receives the messages of a host, by name.
      cut: Pairs of sender and receiver whose messages are lost.
      link_bytes_per_s: Speed of each host's link in each direction; unlimited
        if 0.
      delivered_bytes: Bytes of the messages that each host has received.
    """

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.receivers: dict[str, Callable[[bytes], None]] = {}
        self.cut: set[tuple[str, str]] = set()
        self.link_bytes_per_s = 0.0
        self.delivered_bytes: Counter[str] = Counter()
        # When each link is free again, by host and direction, seconds.
        self._free_at: dict[tuple[str, str], float] = {}

    def cut_off(self, group: list[str], others: list[str]) -> None:
        """Cut two groups of names off from each other, both ways."""
        self.cut |= {(a, b) for a in group for b in others}
        self.cut |= {(b, a) for a in group for b in others}

    def heal(self, name: str) -> None:
        """Reconnect a name to all others."""
        self.cut = {pair for pair in self.cut if name not in pair}

    def is_cut(self, source: str, target: str) -> bool:
        """Whether messages from one name to another are lost."""
        return (source, target) in self.cut

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Deliver a message after `DELAY_S` and its time on both links.

        It is lost if the pair is cut when it is sent or arrives.
        """

        def _arrive() -> None:
            if target in self.receivers and not self.is_cut(source, target):
                self.delivered_bytes[target] += len(data)
                self.receivers[target](data)

        if not self.is_cut(source, target):
            link_s = self._link_s(source, target, len(data))
            self.clock.callLater(DELAY_S + link_s, _arrive)

    def _link_s(self, source: str, target: str, size: int) -> float:
        """Return the time until a message has crossed two links, seconds."""
        if not self.link_bytes_per_s:
            return 0.0
        now = self.clock.seconds()
        ends = ((source, "out"), (target, "in"))
        begins_at = max(now, *(self._free_at.get(end, now) for end in ends))
        ends_at = begins_at + size / self.link_bytes_per_s
        for end in ends:
            self._free_at[end] = ends_at
        return ends_at - now


class FakeTransport:
    """A `mesh.Transport` of one host."""

    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    def send(self, host: str, address: str, data: bytes) -> None:
        """Send to a host; see `mesh.Transport`."""
        self._network.deliver(self._host, host, data)

    def reset(self, host: str) -> None:
        """Do nothing: fake connections never become unresponsive."""
