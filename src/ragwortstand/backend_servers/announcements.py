"""ragwortstand.backend_servers.announcements: what backend servers say."""

from typing import TypeAlias

import msgspec

from ragwortstand.ids import ServiceName

#: Instance of a backend server and the number of its boot.
Identity: TypeAlias = tuple[str, int]


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a backend server says of itself, about once a second.

    :param instance: changes with each start of the backend server.
    :param service: the service that it offers.
    :param address: IP number it listens on.
    :param port: TCP port it listens on.
    :param slots: requests that it runs at once.
    :param connections: connections that it accepts.
    :param is_draining: whether it wants no more work.
    :param boot: grows with each start; 0 where it is not told.
    :param sequence: grows with each announcement of one boot.
    :param cold_s: how much longer it is slow after its start.
    """

    instance: str
    service: ServiceName
    address: str
    port: int
    slots: int
    connections: int
    is_draining: bool = False
    boot: int = 0
    sequence: int = 0
    cold_s: float = 0.0


def identity_of(announcement: Announcement) -> Identity:
    """Return which start of which backend server speaks."""
    return (announcement.instance, announcement.boot)


class Departures:
    """Backend servers that said that they leave.

    They are not believed again: word of them that comes later was sent before.
    """

    def __init__(self) -> None:
        """Start without departures."""
        self._departed: set[Identity] = set()
        self.last: Identity | None = None

    def record(self, identity: Identity) -> None:
        """Remember that a backend server leaves."""
        self._departed.add(identity)
        self.last = identity

    def is_outdated(
        self,
        announcement: Announcement,
        previous: Announcement | None,
    ) -> bool:
        """Return whether something newer is known of the address.

        :param announcement: what has just come in.
        :param previous: the newest announcement so far.
        """
        if identity_of(announcement) in self._departed:
            return True
        if previous is None:
            return False
        order = (announcement.boot, announcement.sequence)
        return order < (previous.boot, previous.sequence)
