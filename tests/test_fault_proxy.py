"""Tests that the fault proxy keeps or drops bytes as TCP would."""

from twisted.internet import task

from standins import fault_proxy


class _Transport:
    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data


def test_bytes_stay_in_order_when_delays_change() -> None:
    # Bytes with a shorter delay overtook earlier ones, so that the soak saw
    # stream events out of order (seeds 7, 8, 10, 12, 18 and 24).
    clock = task.Clock()
    proxy = fault_proxy.FaultProxy(clock, "127.0.0.1", 1)
    client_side = proxy.buildProtocol(None)
    transport = _Transport()
    client_side.transport = transport
    for number, delay_s in enumerate((0.3, 0.0, 0.1, 0.0, 0.0)):
        proxy.delay_s = delay_s
        proxy.forward(client_side, b"%d" % number, is_to_target=False)
    clock.pump([0.01] * 50)
    assert transport.written == b"01234"


def test_connection_forwards_nothing_after_it_dropped_bytes() -> None:
    clock = task.Clock()
    proxy = fault_proxy.FaultProxy(clock, "127.0.0.1", 1)
    client_side = proxy.buildProtocol(None)
    transport = _Transport()
    client_side.transport = transport
    proxy.forward(client_side, b"a", is_to_target=False)
    clock.advance(0.1)
    proxy.drops_from_target = True
    proxy.forward(client_side, b"b", is_to_target=False)
    proxy.heal()
    proxy.forward(client_side, b"c", is_to_target=False)
    clock.advance(0.1)
    assert transport.written == b"a"
