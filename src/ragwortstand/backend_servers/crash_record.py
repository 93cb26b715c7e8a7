"""ragwortstand.backend_servers.crash_record: crash counts by request."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from ragwortstand.ids import Fingerprint

QUARANTINE_CRASHES = 2
SUSPICION_S = 600.0


@dataclass(slots=True)
class Suspicion:
    """Crashes that happened while a request was in flight.

    :param crashes: number of backend servers that crashed.
    :param until_s: when the suspicion expires.
    """

    crashes: int
    until_s: float


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Requests that were in flight when a backend server crashed.

    :param counted: requests that the crash is counted against.
    :param others: requests that become suspects at most, as a suspect was
        running, which is the likely cause.
    """

    counted: tuple[Fingerprint, ...]
    others: tuple[Fingerprint, ...] = ()


class CrashCount(NamedTuple):
    """What is known of a request that was in flight in crashes.

    :param fingerprint: the request.
    :param crashes: number of backend servers that crashed.
    :param remaining_s: time until the suspicion expires.
    """

    fingerprint: Fingerprint
    crashes: int
    remaining_s: float

    @property
    def is_quarantined(self) -> bool:
        """Return whether the request must not run."""
        return self.crashes >= QUARANTINE_CRASHES


class CrashRecord:
    """Counts the crashes during which each request was in flight.

    A request that was in flight in two crashes is quarantined. A suspect that
    completes is cleared. Suspects run one at a time, so a crash while one runs
    is not counted against the other requests: copies of a popular request are
    in flight in any crash.

    :ivar on_quarantine: called when a request becomes quarantined, or is
        cleared after it was.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._suspicions: dict[Fingerprint, Suspicion] = {}
        # Requests that were quarantined and then completed.
        self._cleared: set[Fingerprint] = set()
        self.on_quarantine: Callable[[], None] = _do_nothing

    def __bool__(self) -> bool:
        """Return whether there is any suspicion."""
        return bool(self._suspicions)

    def add(self, report: CrashReport, now_s: float) -> tuple[Fingerprint, ...]:
        """Count one crash against the requests that were in flight.

        :param report: the requests in flight at the crash.
        :param now_s: present time.
        :returns: the requests that become quarantined by this crash.
        """
        until_s = now_s + SUSPICION_S
        quarantined = []
        for fingerprint in report.counted:
            crashes = self.crashes(fingerprint, now_s) + 1
            self._suspicions[fingerprint] = Suspicion(crashes, until_s)
            if crashes == QUARANTINE_CRASHES:
                quarantined.append(fingerprint)
                self._cleared.discard(fingerprint)
        for fingerprint in report.others:
            if not self.crashes(fingerprint, now_s):
                self._suspicions[fingerprint] = Suspicion(1, until_s)
        if quarantined:
            self.on_quarantine()
        return tuple(quarantined)

    def counts(self, now_s: float) -> tuple[CrashCount, ...]:
        """Return all requests that were in flight in crashes.

        :param now_s: present time.
        """
        found = []
        for fingerprint in tuple(self._suspicions):
            crashes = self.crashes(fingerprint, now_s)
            if crashes:
                until_s = self._suspicions[fingerprint].until_s
                found.append(CrashCount(fingerprint, crashes, until_s - now_s))
        return tuple(found)

    def merge(self, counts: Iterable[CrashCount], now_s: float) -> bool:
        """Record what another daemon knows; return whether any of it is new.

        The same crashes may be known here already, so the higher count holds.

        :param counts: the requests and their crashes.
        :param now_s: present time.
        """
        is_new = False
        for fingerprint, crashes, remaining_s in counts:
            known_crashes = self.crashes(fingerprint, now_s)
            is_cleared = fingerprint in self._cleared
            if crashes <= known_crashes or remaining_s <= 0 or is_cleared:
                continue
            until_s = now_s + min(remaining_s, SUSPICION_S)
            self._suspicions[fingerprint] = Suspicion(crashes, until_s)
            is_new = True
            if known_crashes < QUARANTINE_CRASHES <= crashes:
                self.on_quarantine()
        return is_new

    def is_cleared(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request completed although it was quarantined."""
        return fingerprint in self._cleared

    def crashes(self, fingerprint: Fingerprint, now_s: float) -> int:
        """Return during how many crashes a request was in flight.

        :param fingerprint: the request.
        :param now_s: present time.
        """
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is None:
            return 0
        if suspicion.until_s <= now_s:
            self._suspicions.pop(fingerprint)
            return 0
        return suspicion.crashes

    def is_quarantined(self, fingerprint: Fingerprint, now_s: float) -> bool:
        """Return whether a request must not run.

        :param fingerprint: the request.
        :param now_s: present time.
        """
        return self.crashes(fingerprint, now_s) >= QUARANTINE_CRASHES

    def clear(self, fingerprint: Fingerprint) -> None:
        """Remove the suspicion against a request that completed."""
        suspicion = self._suspicions.pop(fingerprint, None)
        if suspicion and suspicion.crashes >= QUARANTINE_CRASHES:
            self._cleared.add(fingerprint)
            self.on_quarantine()


def _do_nothing() -> None:
    """Ignore a change of what is quarantined."""
