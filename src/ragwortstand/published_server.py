"""ragwortstand.published_server: the local server in the member list.

Peers keep the entry of a daemon and return it after a restart, so that the
restarted daemon knows which servers have left and the limit of the present one.
"""

from ragwortstand.backend_servers import BackendServer, BackendState
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member


class PublishedServer:
    """Publishes the state of the local server, and restores it.

    :param backend_server: the backend server on this host.
    :param members: the member list, with this daemon's own entry.
    """

    def __init__(self, backend_server: BackendServer, members: Members) -> None:
        """Create an object that has published nothing."""
        self._backend_server = backend_server
        self._members = members

    def publish(self, *, accepts_work: bool) -> None:
        """Update the own entry with the state and the last departure.

        :param accepts_work: whether this daemon accepts work for the server.
        """
        server = self._backend_server
        announcement = server.announcement
        is_ready = server.state is BackendState.READY
        self._members.update_own(
            service=announcement.service if announcement else None,
            slots=announcement.slots if announcement else 0,
            is_ready=is_ready and accepts_work,
            departed=server.last_departed,
        )

    def publish_rate_limit(self) -> None:
        """Update the own entry if the limit of the server has changed."""
        limit = self._backend_server.rate_limit
        published = self._members.own.rate_limit
        is_known = limit.is_like(published) if limit else published is None
        if not is_known:
            self._members.update_own(rate_limit=limit)

    def restore(self, entry: Member, now_s: float) -> None:
        """Apply an entry of this daemon that a peer has returned.

        Entries of the present process are ignored.

        :param entry: the entry.
        :param now_s: present time.
        """
        if entry.boot == self._members.own.boot:
            return
        server = self._backend_server
        if entry.rate_limit:
            server.restore_rate_limit(entry.rate_limit, now_s)
        if entry.departed and not server.has_departed(entry.departed):
            server.depart(*entry.departed)
