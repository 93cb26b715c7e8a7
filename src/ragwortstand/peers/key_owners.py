"""ragwortstand.peers.key_owners: which daemon runs requests with a key.

Rendezvous hashing assigns each idempotency key of a service one owner among
the members that offer the service. The owner answers repeated requests from
its own memory. This memory is complete only if no other member can have owned
the key within the window in which callers repeat requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ragwortstand.ids import HostId, ServiceName
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member
from ragwortstand.rendezvous import ranked


@dataclass(frozen=True, slots=True)
class _Outage:
    """Times of the first and the last failed call of an outage."""

    first_failure_s: float
    last_failure_s: float


class KeyOwners:
    """Computes the owners of keys from the list of members.

    :param members: the member list.
    :param window_s: time within which callers repeat a request.
    """

    def __init__(self, members: Members, window_s: float) -> None:
        """Create owners without a known outage of the store."""
        self._members = members
        self._window_s = window_s
        self._ready_since_s: float | None = None
        self._memory_since_s: float | None = None
        self._outage: _Outage | None = None

    def set_ready(self, is_ready: bool, now_s: float) -> None:
        """Record whether this daemon's backend server accepts work.

        :param is_ready: whether it does.
        :param now_s: current time.
        """
        if not is_ready:
            self._ready_since_s = None
            self._memory_since_s = None
        elif self._ready_since_s is None:
            self._ready_since_s = now_s
            self._memory_since_s = now_s

    def restart_window(self, now_s: float) -> None:
        """Restart the window after this daemon refuted an entry about itself.

        Members that took it for dead may have treated another member as the
        owner of its keys.
        """
        if self._ready_since_s is not None:
            self._ready_since_s = now_s

    def record_reported_outage(
        self,
        outage_age_s: float | None,
        now_s: float,
        began_age_s: float | None = None,
    ) -> None:
        """Record the last outage of the store that a peer reports.

        :param outage_age_s: seconds since its last failure; None if the peer
            knows no outage.
        :param now_s: current time.
        :param began_age_s: seconds since its first failure; None if unknown.
        """
        if outage_age_s is None:
            return
        if began_age_s is None:
            began_age_s = outage_age_s
        self._merge_outage(now_s - began_age_s, now_s - outage_age_s)

    def owner(
        self,
        service: ServiceName,
        key: str,
        tried: Iterable[HostId] = (),
    ) -> Member | None:
        """Return the owner of a key among the members that accept work.

        :param service: the service.
        :param key: the idempotency key.
        :param tried: hosts to exclude.
        """
        members = {
            member.host: member for member in self._members.offering(service)
        }
        candidates = members.keys() - set(tried)
        order = ranked(f'{service}/{key}', candidates)
        return members[order[0]] if order else None

    def is_owner(self, service: ServiceName, key: str) -> bool:
        """Return whether this daemon is the owner of a key."""
        owner = self.owner(service, key)
        return owner is not None and owner.host == self._members.own.host

    def is_sole_owner(
        self,
        service: ServiceName,
        key: str,
        now_s: float,
    ) -> bool:
        """Return whether no other member owned the key within the window.

        :param service: the service.
        :param key: the idempotency key.
        :param now_s: current time.
        """
        if not self._is_first_candidate(service, key, now_s):
            return False
        since_s = self._ready_since_s
        return since_s is not None and now_s - since_s >= self._window_s

    def may_have_run_unclaimed(
        self,
        service: ServiceName,
        key: str,
        now_s: float,
    ) -> bool:
        """Return whether a key may have run without a claim or a record here.

        This is possible if the store failed for any daemon within the window
        and, since the outage began, another member owned the key or this
        daemon was not up: it may have run the key before a restart.

        :param service: the service.
        :param key: the idempotency key.
        :param now_s: current time.
        """
        outage_s = self.outage_age_s(now_s)
        if outage_s is None or outage_s > self._window_s:
            return False
        is_memory_complete = self._is_memory_complete(now_s)
        return not (
            is_memory_complete and self._is_first_candidate(service, key, now_s)
        )

    def outage_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the store last failed for any daemon.

        :param now_s: current time.
        :returns: the age; None if no outage is known.
        """
        return now_s - self._outage.last_failure_s if self._outage else None

    def outage_began_age_s(self, now_s: float) -> float | None:
        """Return the seconds since the last outage of the store began.

        :param now_s: current time.
        :returns: the age; None if no outage is known.
        """
        return now_s - self._outage.first_failure_s if self._outage else None

    def record_outage(self, failed_at_s: float) -> None:
        """Record that a call to the store failed at a time."""
        self._merge_outage(failed_at_s, failed_at_s)

    def _merge_outage(
        self, first_failure_s: float, last_failure_s: float
    ) -> None:
        """Merge an outage with the last one unless a window separates them."""
        last = self._outage
        if (
            last is None
            or first_failure_s - last.last_failure_s > self._window_s
        ):
            self._outage = _Outage(first_failure_s, last_failure_s)
        elif last.first_failure_s - last_failure_s <= self._window_s:
            first_failure_s = min(first_failure_s, last.first_failure_s)
            self._outage = _Outage(
                first_failure_s, max(last_failure_s, last.last_failure_s)
            )

    def _is_memory_complete(self, now_s: float) -> bool:
        """Return whether this daemon was up during all of the last outage.

        If the outage is longer than the window, only the window counts.

        :param now_s: current time.
        """
        since_s = self._memory_since_s
        if since_s is None or self._outage is None:
            return False
        return since_s <= max(
            self._outage.first_failure_s, now_s - self._window_s
        )

    def _is_first_candidate(
        self, service: ServiceName, key: str, now_s: float
    ) -> bool:
        """Return whether this daemon ranks first, counting departed members.

        A daemon that restarts offers no service until its backend server is
        detected again, but may have owned the key just before.
        """
        since_s = now_s - self._window_s
        hosts = self._members.hosts_offering_since(service, since_s)
        order = ranked(f'{service}/{key}', hosts)
        return bool(order) and order[0] == self._members.own.host
