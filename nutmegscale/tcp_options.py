"""Socket options that detect unresponsive connections and avoid delays."""

import fcntl
import socket
import struct
import termios
from typing import Any

# An unresponsive connection should be detected before a configuration change
# that it delays is due: two seconds, the shortest bound of the deployments.
# These values detect it later, after 3 to 4 s: USER_TIMEOUT_MS decides for
# a connection with unacknowledged data, and for an idle one with the first
# unanswered probe after it, whatever KEEPALIVE_PROBES says. A sound server may
# be silent for 1.5 s, which all of them bear.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000


def apply(transport: Any) -> None:
    """Set the options on a TCP transport.

    A transport without a socket handle is left unchanged.

    Args:
      transport: Transport of a Twisted connection.
    """
    handle = _handle(transport)
    if handle is None:
        return
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    options = (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in options:
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


def unacknowledged_bytes(transport: Any) -> int:
    """Return how many of the bytes in the socket's buffer the peer lacks.

    Args:
      transport: Transport of a Twisted connection; 0 is returned for one
        without a socket handle.
    """
    handle = _handle(transport)
    if handle is None:
        return 0
    answer = fcntl.ioctl(handle.fileno(), termios.TIOCOUTQ, bytes(4))
    return int(struct.unpack("i", answer)[0])


def _handle(transport: Any) -> Any:
    get_handle = getattr(transport, "getHandle", None)
    return get_handle() if get_handle is not None else None
