"""ragwortstand.backend_servers.announcement_filter: which ones count.

Another writer may announce a server that is not there. Its announcement must
not replace that of the server at the address, which may have started earlier.
"""

from collections import deque
from collections.abc import Iterable

from ragwortstand.backend_servers.announcements import (
    Announcement,
    Departures,
    Identity,
    identity_of,
)
from ragwortstand.events import Event, EventLog
from ragwortstand.models import Service

_MAX_MISDIRECTED = 64


class AnnouncementFilter:
    """Decides which announcements are ignored.

    A server is in doubt if its service is in no configuration, or if requests
    that were meant for it were rejected by another server at its address. A
    server that is not in doubt replaces one that is, whichever started first,
    and is not replaced by it while it announces itself.

    Announcements of one boot may overtake each other. One that was overtaken is
    ignored, unless the server drains, which is final, or is followed by another
    one that continues its count: then the higher count was not the server's.

    :param departures: the servers that have left.
    :param timeout_s: time without an announcement after which a server is
        silent.
    :param log: logs ignored announcements.
    :ivar timeout_s: may be changed.
    :ivar announced_at_s: when an announcement was accepted last.
    """

    def __init__(
        self, departures: Departures, timeout_s: float, log: EventLog
    ) -> None:
        """Create a filter that knows no services, so that all are accepted."""
        self._departures = departures
        self.timeout_s = timeout_s
        self._log = log
        self.announced_at_s = 0.0
        self._overtaken: Announcement | None = None
        self._services: frozenset[str] | None = None
        self._misdirected: deque[Identity] = deque(maxlen=_MAX_MISDIRECTED)

    def configure(self, services: Iterable[Service]) -> None:
        """Replace the services of the configuration."""
        self._services = frozenset(service.name for service in services)

    def record_misdirected(self, identity: Identity) -> None:
        """Record that another server rejected a request meant for this one."""
        if identity not in self._misdirected:
            self._misdirected.append(identity)

    def record_response(self, identity: Identity) -> None:
        """Record that a server has responded to a request meant for it."""
        if identity in self._misdirected:
            self._misdirected.remove(identity)

    def is_silent(self, now_s: float) -> bool:
        """Return whether the server has stopped to announce itself.

        :param now_s: present time.
        """
        return now_s - self.announced_at_s > self.timeout_s

    def accepts(
        self,
        announcement: Announcement,
        previous: Announcement | None,
        now_s: float,
    ) -> bool:
        """Return whether an announcement is that of the present server.

        :param announcement: the announcement just received.
        :param previous: the one in force, if any.
        :param now_s: present time.
        """
        if self._is_outdated(announcement, previous, now_s):
            is_in_doubt = self._is_in_doubt(announcement)
            kind = 'doubtful' if is_in_doubt else 'outdated'
            self._log.emit(
                Event.BACKEND_SERVER,
                state=f'{kind}-announcement',
                service=announcement.service,
                instance=announcement.instance,
                boot=announcement.boot,
                sequence=announcement.sequence,
            )
            if _is_older(announcement, previous):
                self.record_draining(announcement)
            return False
        self.announced_at_s = now_s
        self._overtaken = None
        return True

    def record_draining(self, announcement: Announcement) -> None:
        """Record the departure of a server if it drains.

        One whose service is in no configuration is not recorded, as it may
        bear the instance of the server at the address.
        """
        if not announcement.is_draining or not announcement.boot:
            return
        if not self._is_in_doubt(announcement):
            self._departures.record(identity_of(announcement))

    def _is_in_doubt(self, announcement: Announcement) -> bool:
        services = self._services
        if services is not None and announcement.service not in services:
            return True
        return identity_of(announcement) in self._misdirected

    def _is_outdated(
        self,
        announcement: Announcement,
        previous: Announcement | None,
        now_s: float,
    ) -> bool:
        identity = identity_of(announcement)
        if self._departures.has_departed(identity):
            return True
        if previous is None:
            return False
        is_same = identity == identity_of(previous)
        if is_same and announcement.service == previous.service:
            return self._is_overtaken(announcement, previous)
        if self.is_silent(now_s) or self._is_in_doubt(previous):
            return False
        if is_same or self._is_in_doubt(announcement):
            # A boot provides one service.
            return True
        return announcement.boot < previous.boot

    def _is_overtaken(
        self, announcement: Announcement, previous: Announcement
    ) -> bool:
        """Return whether a later announcement of the same boot came before."""
        if announcement.is_draining:
            return False
        if announcement.sequence >= previous.sequence:
            return False
        overtaken = self._overtaken
        self._overtaken = announcement
        return (
            overtaken is None
            or identity_of(overtaken) != identity_of(announcement)
            or announcement.sequence <= overtaken.sequence
        )


def _is_older(
    announcement: Announcement, previous: Announcement | None
) -> bool:
    """Return whether an earlier boot than the one in force has sent it."""
    return previous is not None and announcement.boot < previous.boot
