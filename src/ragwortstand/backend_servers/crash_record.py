"""ragwortstand.backend_servers.crash_record: crash counts by request."""

from collections.abc import Iterable
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


class CrashRecord:
    """Counts the crashes during which each request was in flight.

    A request that was in flight in two crashes is quarantined. A suspect that
    completes is cleared.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._suspicions: dict[Fingerprint, Suspicion] = {}

    def __bool__(self) -> bool:
        """Return whether there is any suspicion."""
        return bool(self._suspicions)

    def add(
        self,
        fingerprints: Iterable[Fingerprint],
        now_s: float,
    ) -> tuple[Fingerprint, ...]:
        """Count one crash against the requests that were in flight.

        :param fingerprints: the requests in flight at the crash.
        :param now_s: present time.
        :returns: the requests that become quarantined by this crash.
        """
        quarantined = []
        for fingerprint in fingerprints:
            suspicion = self._suspicions.get(fingerprint)
            crashes = suspicion.crashes + 1 if suspicion else 1
            until_s = now_s + SUSPICION_S
            self._suspicions[fingerprint] = Suspicion(crashes, until_s)
            if crashes == QUARANTINE_CRASHES:
                quarantined.append(fingerprint)
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
