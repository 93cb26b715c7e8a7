"""ragwortstand.backend_servers.announcements: state of backend servers."""

from collections.abc import Callable
from typing import Annotated, TypeAlias

import msgspec

from ragwortstand.decoding import Count, DialledPort
from ragwortstand.ids import ServiceName

#: Bounds of plausible announcements, far beyond those of any backend server:
#: slots or connections, and the longest cold start.
MAX_PLACES = 1_000_000
MAX_COLD_START_S = 86_400.0

_PlaceCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_PLACES)]
_ColdStart = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_START_S)]

#: Instance of a backend server and its boot number.
Identity: TypeAlias = tuple[str, int]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State that a backend server announces about once a second.

    :param instance: changes with each start of the backend server.
    :param service: the service that it provides.
    :param address: IP address that it listens on.
    :param port: TCP port that it listens on.
    :param slots: number of requests that it runs concurrently.
    :param connections: number of connections that it accepts.
    :param is_draining: whether it accepts no more requests.
    :param boot: boot number, grows with each start; 0 means unknown.
    :param sequence: grows with each announcement of one boot.
    :param cold_s: remaining time during which it is slow after its start.
    """

    instance: str
    service: ServiceName
    address: str
    port: DialledPort
    slots: _PlaceCount
    connections: _PlaceCount
    is_draining: bool = False
    boot: Count = 0
    sequence: Count = 0
    cold_s: _ColdStart = 0.0


def identity_of(announcement: Announcement) -> Identity:
    """Return the backend server and the boot that sent an announcement."""
    return (announcement.instance, announcement.boot)


class Departures:
    """Backend servers that have left, with the highest boot that has.

    Announcements of these boots that are received later are ignored, as they
    were sent before the departure.

    :ivar last: the departure of the newest boot, None if there is none.
    :ivar on_record: called when a departure is recorded.
    """

    def __init__(self) -> None:
        """Create an empty record."""
        self._departed_boots: dict[str, int] = {}
        self.last: Identity | None = None
        self.on_record: Callable[[], None] = _do_nothing

    def record(self, identity: Identity) -> None:
        """Record that all boots of a backend server up to one have left.

        :param identity: the backend server and the highest boot that left.
        """
        if self.has_departed(identity):
            return
        instance, boot = identity
        # The one that has departed last stands at the end.
        self._departed_boots.pop(instance, None)
        self._departed_boots[instance] = boot
        if self.last is None or boot >= self.last[1]:
            self.last = identity
        self.on_record()

    def all(self) -> tuple[Identity, ...]:
        """Return all departures, the last one at the end."""
        return tuple(self._departed_boots.items())

    def has_departed(self, identity: Identity) -> bool:
        """Return whether a boot of a backend server has left."""
        instance, boot = identity
        departed_boot = self._departed_boots.get(instance)
        return departed_boot is not None and boot <= departed_boot


def _do_nothing() -> None:
    """Ignore a departure."""
