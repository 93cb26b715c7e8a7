"""ragwortstand.backend_servers.response_memory: bounds buffered responses."""

from typing import Protocol


class Holder(Protocol):
    """A connection that keeps the parts of an answer until it is whole."""

    def drop(self) -> None:
        """Give up the answer that is being read."""


class AnswerMemory:
    """Counts the parts of answers that are not whole yet.

    The largest answer is given up when all together exceed the limit, as one
    without end outgrows the others.

    :param max_bytes: limit of all parts together.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._held_bytes: dict[Holder, int] = {}
        self.total_bytes = 0

    def hold(self, holder: Holder, size_bytes: int) -> None:
        """Count what a connection holds.

        :param holder: the connection.
        :param size_bytes: all parts of its answer.
        """
        held_bytes = self._held_bytes
        self.total_bytes += size_bytes - held_bytes.get(holder, 0)
        held_bytes[holder] = size_bytes
        if self.total_bytes > self._max_bytes:
            largest = max(held_bytes, key=held_bytes.__getitem__)
            self.release(largest)
            largest.drop()

    def release(self, holder: Holder) -> None:
        """Stop counting an answer, whatever became of it.

        :param holder: the connection that read it.
        """
        self.total_bytes -= self._held_bytes.pop(holder, 0)
