"""ragwortstand.sockets: listening sockets and TCP keepalive."""

import socket
from dataclasses import dataclass

# The shortest keepalive interval that the kernel supports.
_PROBE_INTERVAL_S = 1


def bind(address: str, port: int) -> socket.socket:
    """Return a TCP socket that is bound to an address.

    :param address: IP number.
    :param port: TCP port; 0 lets the operating system choose one.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port that a socket is bound to."""
    port: int = listener.getsockname()[1]
    return port


@dataclass(frozen=True, slots=True)
class KeepaliveSettings:
    """When the kernel closes a connection whose other end is unreachable.

    :param idle_s: idle time before the first keepalive probe.
    :param probes: number of unanswered probes, one second apart, after which
        the connection is closed.
    :param unacknowledged_ms: how long sent data may stay unacknowledged.
    """

    idle_s: int
    probes: int
    unacknowledged_ms: int


def enable_keepalive(
    connection: socket.socket | None,
    keepalive: KeepaliveSettings,
) -> None:
    """Let the kernel close a connection whose other end is unreachable.

    :param connection: an open TCP socket; None is ignored.
    :param keepalive: when the connection is closed.
    """
    if connection is None:
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, amount in (
        (socket.TCP_KEEPIDLE, keepalive.idle_s),
        (socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, keepalive.probes),
        (socket.TCP_USER_TIMEOUT, keepalive.unacknowledged_ms),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, amount)


def limit_unsent_bytes(
    connection: socket.socket | None, max_bytes: int
) -> None:
    """Limit how many bytes the kernel buffers before it sends them.

    Bytes that the kernel has taken can't be overtaken by more urgent ones.

    :param connection: an open TCP socket; None is ignored.
    :param max_bytes: the limit; what is on the way is not included.
    """
    if connection is not None:
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, max_bytes
        )
