"""ragwortstand.peers.send_window: limits the bytes on the way from a host.

The connections of a host share its link. Bytes that wait there delay whatever
is sent after them, so the window follows the delay of the receipts, as the
congestion control of LEDBAT (RFC 6817) does.
"""

import math
from collections import deque
from collections.abc import Hashable
from dataclasses import dataclass

from ragwortstand.peers.recent_minimum import RecentMinimum

# Limits of the window: the bytes that a link of 5.5 Mbit/s passes in 48 ms, and
# those that one of 200 Mbit/s passes in 40 ms.
_MIN_PIECES = 2
_MAX_BYTES = 1_000_000
_INITIAL_PIECES = 4
# Queueing delay up to which the window grows.
_TARGET_DELAY_S = 0.04
_DECREASE_FACTOR = 0.7
# A receipt that takes longer no longer limits the other connections.
_RECEIPT_TIMEOUT_S = 0.4
# The shortest time to a receipt is measured anew at this interval, as the path
# may have changed.
_BASE_INTERVAL_S = 10.0
# Round trips without a queue differ by less than this: 24 ms between regions.
# A path that has only been used with a queue is recognised by it.
_MAX_BASE_SPREAD_S = 0.03


@dataclass(slots=True)
class _Transfer:
    """Bytes without a receipt yet."""

    number: int
    size_bytes: int
    sent_at_s: float
    is_counted: bool = True


@dataclass(slots=True)
class _Path:
    """Transfers over one connection, the oldest first."""

    transfers: deque[_Transfer]
    base: RecentMinimum

    def has_transfer(self, number: int) -> bool:
        return any(one.number == number for one in self.transfers)


class SendWindow:
    """Limits the bytes that are on the way over all connections of a host.

    :param piece_bytes: size of a transfer.
    """

    def __init__(self, piece_bytes: int) -> None:
        """Create a window without transfers."""
        self._min_bytes = _MIN_PIECES * piece_bytes
        self.size_bytes = float(_INITIAL_PIECES * piece_bytes)
        self.in_flight_bytes = 0
        self._paths: dict[Hashable, _Path] = {}
        self._transfers: deque[_Transfer] = deque()
        self._base = RecentMinimum(_BASE_INTERVAL_S)
        self._decreased_at_s = -math.inf

    @property
    def next_expiry_s(self) -> float | None:
        """Return when the oldest transfer stops to count, if there is one."""
        while self._transfers and not self._transfers[0].is_counted:
            self._transfers.popleft()
        if not self._transfers:
            return None
        return self._transfers[0].sent_at_s + _RECEIPT_TIMEOUT_S

    def has_room(self, now_s: float) -> bool:
        """Return whether another transfer may start.

        :param now_s: present time.
        """
        expiry_s = self.next_expiry_s
        while expiry_s is not None and expiry_s <= now_s:
            self._stop_counting(self._transfers.popleft())
            expiry_s = self.next_expiry_s
        return self.in_flight_bytes < self.size_bytes

    def record_sent(
        self, connection: Hashable, number: int, size_bytes: int, now_s: float
    ) -> None:
        """Record the start of a transfer.

        :param connection: the connection.
        :param number: number of the message that the bytes are of.
        :param size_bytes: its size.
        :param now_s: present time.
        """
        transfer = _Transfer(number, size_bytes, now_s)
        path = self._paths.setdefault(
            connection, _Path(deque(), RecentMinimum(_BASE_INTERVAL_S))
        )
        path.transfers.append(transfer)
        self._transfers.append(transfer)
        self.in_flight_bytes += size_bytes

    def record_receipt(
        self, connection: Hashable, number: int, now_s: float
    ) -> None:
        """Record the receipt of the oldest transfer of a message.

        Those sent before it over the same connection have arrived, too; their
        receipts are missing if their messages were given up.

        :param connection: the connection.
        :param number: number of the message.
        :param now_s: present time.
        """
        path = self._paths.get(connection)
        if path is None or not path.has_transfer(number):
            return
        was_full = self.in_flight_bytes >= self.size_bytes
        transfer = path.transfers.popleft()
        while transfer.number != number:
            self._stop_counting(transfer)
            transfer = path.transfers.popleft()
        self._stop_counting(transfer)
        self._adjust(path, transfer, was_full, now_s)

    def forget(self, connection: Hashable) -> None:
        """Stop counting the transfers of a connection that is lost."""
        path = self._paths.pop(connection, None)
        if path:
            for transfer in path.transfers:
                self._stop_counting(transfer)

    def _adjust(
        self, path: _Path, transfer: _Transfer, was_full: bool, now_s: float
    ) -> None:
        """Change the size of the window by the delay of a receipt."""
        taken_s = now_s - transfer.sent_at_s
        for base in (path.base, self._base):
            base.record(taken_s, now_s)
        base_s = min(path.base.minimum, self._base.minimum + _MAX_BASE_SPREAD_S)
        if taken_s - base_s > _TARGET_DELAY_S:
            self._decrease(taken_s, now_s)
        elif was_full:
            grown_bytes = self.size_bytes + transfer.size_bytes
            self.size_bytes = min(_MAX_BYTES, grown_bytes)

    def _decrease(self, taken_s: float, now_s: float) -> None:
        """Decrease the window once for all transfers sent before it."""
        if now_s - taken_s < self._decreased_at_s:
            return
        self._decreased_at_s = now_s
        self.size_bytes = max(
            self._min_bytes, self.size_bytes * _DECREASE_FACTOR
        )

    def _stop_counting(self, transfer: _Transfer) -> None:
        if transfer.is_counted:
            transfer.is_counted = False
            self.in_flight_bytes -= transfer.size_bytes
