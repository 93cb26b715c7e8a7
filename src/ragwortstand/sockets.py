"""ragwortstand.sockets: listening sockets."""

import socket


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
