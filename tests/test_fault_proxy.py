"""The soak's proxy: bytes stay in order, whatever the delays."""

from twisted.internet import task

from standins import fault_proxy


class _Transport:
    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        self.written += data


def test_bytes_stay_in_order_when_delays_change() -> None:
    # Seeds 7, 8, 10, 12, 18 and 24 of the soak: events out of order.
    clock = task.Clock()
    proxy = fault_proxy.FaultProxy(clock, "127.0.0.1", 1)
    near = proxy.buildProtocol(None)
    transport = _Transport()
    near.transport = transport
    for number, delay_s in enumerate((0.3, 0.0, 0.1, 0.0, 0.0)):
        proxy.delay_s = delay_s
        proxy.carry(near, b"%d" % number, inward=False)
    clock.pump([0.01] * 50)
    assert transport.written == b"01234"


def test_a_connection_that_lost_bytes_passes_on_no_more() -> None:
    clock = task.Clock()
    proxy = fault_proxy.FaultProxy(clock, "127.0.0.1", 1)
    near = proxy.buildProtocol(None)
    transport = _Transport()
    near.transport = transport
    proxy.carry(near, b"a", inward=False)
    clock.advance(0.1)
    proxy.is_silent_out = True
    proxy.carry(near, b"b", inward=False)
    proxy.heal()
    proxy.carry(near, b"c", inward=False)
    clock.advance(0.1)
    assert transport.written == b"a"
