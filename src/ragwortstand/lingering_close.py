"""ragwortstand.lingering_close: close connections without losing sent data.

Closing a socket that still receives data resets the connection, and the other
end may lose data that it has not read. So the sending side is shut down first,
and the socket is closed after the other end has closed its own side.
"""

import asyncio

# Time without progress after which the connection is aborted: the other end has
# to read what was sent and to close its side. Most need one round trip.
_LINGER_TIMEOUT_S = 1.0


class LingeringClose:
    """Shuts down the sending side of a connection, and closes it later.

    The connection's protocol must discard what is received meanwhile.

    :param transport: the open connection.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        """Send the buffered data and the end of the stream."""
        self._transport = transport
        transport.write_eof()
        self._schedule_check()

    def _schedule_check(self) -> None:
        """Check later whether the other end has read more of the data."""
        loop = asyncio.get_running_loop()
        unsent_bytes = self._transport.get_write_buffer_size()
        loop.call_later(_LINGER_TIMEOUT_S, self._abort_if_stalled, unsent_bytes)

    def _abort_if_stalled(self, unsent_bytes: int) -> None:
        """Abort the connection unless more data was sent since last time.

        :param unsent_bytes: size of the write buffer at the previous check.
        """
        if self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() < unsent_bytes:
            self._schedule_check()
        else:
            self._transport.abort()
