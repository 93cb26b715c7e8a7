"""ragwortstand.lingering_close: ends connections without losing what was sent.

A socket that is closed while more comes in resets the connection, and the
other end may lose what it has not read. So the sending side ends first, and
the socket is closed after the other end has closed its own.
"""

import asyncio

# Time that the other end has to take what was sent and to close its side;
# most need one round trip.
_LINGER_TIMEOUT_S = 1.0


class LingeringClose:
    """Ends the sending side of a connection, and closes it later.

    The protocol of the connection discards what comes in meanwhile.

    :param transport: the open connection.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        """Send what waits, then the end of the stream."""
        self._transport = transport
        transport.write_eof()
        self._schedule_check()

    def _schedule_check(self) -> None:
        """Give the other end more time as long as it takes what was sent."""
        loop = asyncio.get_running_loop()
        unsent_bytes = self._transport.get_write_buffer_size()
        loop.call_later(
            _LINGER_TIMEOUT_S, self._close_unless_progressing, unsent_bytes
        )

    def _close_unless_progressing(self, unsent_bytes: int) -> None:
        """Close the connection unless it has sent some more.

        :param unsent_bytes: what was left to send at the last look.
        """
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() < unsent_bytes:
            self._schedule_check()
        else:
            self._transport.abort()
