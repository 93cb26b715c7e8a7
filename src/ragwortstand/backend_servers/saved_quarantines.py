"""ragwortstand.backend_servers.saved_quarantines: quarantines in a row.

A daemon that starts runs no request that is known to crash servers, also where
no other daemon is left that knows it.
"""

import time
from collections.abc import Callable

import msgspec

from ragwortstand import clock
from ragwortstand.backend_servers.crash_record import CrashCount, CrashRecord
from ragwortstand.decoding import decode_json
from ragwortstand.events import Event, EventLog
from ragwortstand.ids import Fingerprint

_PREFIX = 'quarantined/'
_MAX_SAVED = 256


class _Entry(msgspec.Struct, frozen=True):
    fingerprint: Fingerprint
    crashes: int
    # End of the quarantine in Unix seconds.
    until_unix_s: float


class _Content(msgspec.Struct, frozen=True):
    quarantined: tuple[_Entry, ...] = ()


class SavedQuarantines:
    """Merges the quarantined requests with those of the cluster's row.

    :param record: the crashes that this daemon knows.
    :param cluster: name of the cluster.
    :param log: logs rows that can't be decoded.
    :param unix_s: returns the time of day in Unix seconds.
    """

    def __init__(
        self,
        record: CrashRecord,
        cluster: str,
        log: EventLog,
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        """Store the record and the key of the row."""
        self._record = record
        self._log = log
        self._unix_s = unix_s
        self.key = f'{_PREFIX}{cluster}'

    def merge(self, stored_text: str) -> str:
        """Apply the quarantines of the row; return the content with both.

        :param stored_text: content of the row; empty if there is none.
        """
        now_s, now_unix_s = clock.now_s(), self._unix_s()
        stored = {
            entry.fingerprint: entry for entry in self._decode(stored_text)
        }
        kept = {
            fingerprint: entry
            for fingerprint, entry in stored.items()
            if entry.until_unix_s > now_unix_s
            and not self._record.is_cleared(fingerprint)
        }
        self._record.merge(
            [
                CrashCount(
                    entry.fingerprint,
                    entry.crashes,
                    entry.until_unix_s - now_unix_s,
                )
                for entry in kept.values()
            ],
            now_s,
        )
        for count in self._record.counts(now_s):
            if count.is_quarantined and count.fingerprint not in kept:
                kept[count.fingerprint] = _Entry(
                    count.fingerprint,
                    count.crashes,
                    now_unix_s + count.remaining_s,
                )
        latest = sorted(kept.values(), key=_end_of)[-_MAX_SAVED:]
        if set(latest) == set(stored.values()):
            return stored_text
        return msgspec.json.encode(_Content(tuple(latest))).decode()

    def _decode(self, text: str) -> tuple[_Entry, ...]:
        if not text:
            return ()
        try:
            return decode_json(text, _Content).quarantined
        except msgspec.DecodeError as error:
            self._log.emit(Event.ROW_REFUSED, key=self.key, problem=str(error))
            return ()


def _end_of(entry: _Entry) -> float:
    return entry.until_unix_s
