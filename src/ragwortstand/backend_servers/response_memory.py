"""ragwortstand.backend_servers.response_memory: bounds buffered responses."""

from typing import Protocol


class ResponseReader(Protocol):
    """A connection that keeps the parts of an answer until it is whole."""

    def drop_response(self) -> None:
        """Give up the answer that is being read."""


class ResponseMemoryBudget:
    """Counts the parts of answers that are not whole yet.

    The largest answer is given up when all together exceed the limit, as one
    without end outgrows the others.

    :param max_bytes: limit of all parts together.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._bytes_by_reader: dict[ResponseReader, int] = {}
        self.total_bytes = 0

    def set_size(self, reader: ResponseReader, size_bytes: int) -> None:
        """Count what a connection holds.

        :param reader: the connection.
        :param size_bytes: all parts of its answer.
        """
        bytes_by_reader = self._bytes_by_reader
        self.total_bytes += size_bytes - bytes_by_reader.get(reader, 0)
        bytes_by_reader[reader] = size_bytes
        if self.total_bytes > self._max_bytes:
            largest = max(bytes_by_reader, key=bytes_by_reader.__getitem__)
            self.release(largest)
            largest.drop_response()

    def release(self, reader: ResponseReader) -> None:
        """Stop counting an answer, whatever became of it.

        :param reader: the connection that read it.
        """
        self.total_bytes -= self._bytes_by_reader.pop(reader, 0)
