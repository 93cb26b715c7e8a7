"""ragwortstand.backend_servers.crash_record: crash counts by request."""

from dataclasses import dataclass

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


class CrashRecord:
    """Counts the crashes during which each request was in flight.

    A request that was in flight in two crashes is quarantined. A suspect that
    completes is cleared. Suspects run one at a time, so a crash while one runs
    is not counted against the other requests: copies of a popular request are
    in flight in any crash.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._suspicions: dict[Fingerprint, Suspicion] = {}

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
        for fingerprint in report.others:
            if not self.crashes(fingerprint, now_s):
                self._suspicions[fingerprint] = Suspicion(1, until_s)
        return tuple(quarantined)

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
        self._suspicions.pop(fingerprint, None)
