"""ragwortstand.backend_servers.response_memory: bounds buffered responses."""

from typing import Protocol


class ResponseReader(Protocol):
    """A connection that buffers a response until it is complete."""

    def drop_response(self) -> None:
        """Drop the response that is being received."""


class ResponseMemoryBudget:
    """Limits the total size of responses that are not complete yet.

    When the total exceeds the limit, the largest response is dropped, as an
    endless response outgrows the others.

    :param max_bytes: limit of the total.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create a budget without responses."""
        self._max_bytes = max_bytes
        self._bytes_by_reader: dict[ResponseReader, int] = {}
        self.total_bytes = 0

    def set_size(self, reader: ResponseReader, size_bytes: int) -> None:
        """Set the number of bytes that a connection buffers.

        :param reader: the connection.
        :param size_bytes: present size of its response.
        """
        bytes_by_reader = self._bytes_by_reader
        self.total_bytes += size_bytes - bytes_by_reader.get(reader, 0)
        bytes_by_reader[reader] = size_bytes
        if self.total_bytes > self._max_bytes:
            largest = max(bytes_by_reader, key=bytes_by_reader.__getitem__)
            self.release(largest)
            largest.drop_response()

    def release(self, reader: ResponseReader) -> None:
        """Stop counting a response, whether it was completed or not.

        :param reader: the connection that received it.
        """
        self.total_bytes -= self._bytes_by_reader.pop(reader, 0)
