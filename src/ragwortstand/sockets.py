"""ragwortstand.sockets: listening sockets and watched connections."""

import socket
from dataclasses import dataclass

# The shortest interval between probes that the kernel knows.
_PROBE_INTERVAL_S = 1


def bind(address: str, port: int) -> socket.socket:
    """Return a listening TCP socket.

    :param address: IP number.
    :param port: TCP port; 0 lets the operating system choose one.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address, port))
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port that a socket listens on."""
    port: int = listener.getsockname()[1]
    return port


@dataclass(frozen=True, slots=True)
class KeepaliveSettings:
    """How soon the kernel ends a connection out of reach.

    :param idle_s: silence before the first probe.
    :param probes: unanswered probes, a second apart, that end it.
    :param unacknowledged_ms: how long sent bytes may stay unacknowledged.
    """

    idle_s: int
    probes: int
    unacknowledged_ms: int


def enable_keepalive(
    connection: socket.socket | None,
    keepalive: KeepaliveSettings,
) -> None:
    """Let the kernel end a connection whose other end is out of reach.

    :param connection: an open TCP socket; None is left alone.
    :param keepalive: how soon.
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
