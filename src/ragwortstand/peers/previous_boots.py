"""ragwortstand.peers.previous_boots: entries of earlier processes of daemons.

A daemon keeps nothing on its host. Its peers return what an earlier process of
it has published: which backend server has left, and the limit of the present
one.
"""

from msgspec.structs import replace

from ragwortstand.ids import HostId
from ragwortstand.peers.messages import Member


class PreviousBoots:
    """Keeps the last entry with state of earlier processes, for each host."""

    def __init__(self) -> None:
        """Create an object without entries."""
        self._entries: dict[HostId, Member] = {}
        self._returned_to: dict[HostId, int] = {}

    def keep(self, entry: Member) -> None:
        """Keep the entry of a process that another one has followed.

        :param entry: its last entry. The departure is that of an older entry
            where it has none, as its process may not have known of it.
        """
        older = self._entries.get(entry.host)
        if older and not entry.departed:
            entry = replace(entry, departed=older.departed)
        if entry.departed or entry.rate_limit:
            self._entries[entry.host] = entry

    def get(self, host: HostId) -> Member | None:
        """Return the entry that is kept for a host, None for none."""
        return self._entries.get(host)

    def unreturned(self, present: Member) -> Member | None:
        """Return the entry unless the present process has got it from here.

        :param present: entry of the present process.
        """
        if self._returned_to.get(present.host) == present.boot:
            return None
        return self._entries.get(present.host)

    def record_returned(self, present: Member) -> None:
        """Record that the present process has got the entry from here.

        :param present: entry of the present process.
        """
        self._returned_to[present.host] = present.boot

    def forget(self, host: HostId) -> None:
        """Remove what is kept for a host."""
        self._entries.pop(host, None)
        self._returned_to.pop(host, None)
