"""ragwortstand.peers.key_owners: which daemon runs a request with a key.

Rendezvous hashing gives each idempotency key of a service one home among the
members that offer it. A home answers repetitions from its own memory, which
is complete only while no other member can have been home of the key.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ragwortstand.ids import HostId, ServiceName
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member
from ragwortstand.rendezvous import ranked


@dataclass(frozen=True, slots=True)
class _Outage:
    """Times of the first and the last failure of the store."""

    first_failure_s: float
    last_failure_s: float


class KeyOwners:
    """Computes homes from the list of members.

    :param members: the list of members.
    :param window_s: time within which callers repeat a request.
    """

    def __init__(self, members: Members, window_s: float) -> None:
        """Start without word of an outage."""
        self._members = members
        self._window_s = window_s
        self._ready_since_s: float | None = None
        self._memory_since_s: float | None = None
        self._outage: _Outage | None = None

    def set_ready(self, is_ready: bool, now_s: float) -> None:
        """Note whether this daemon's backend server takes work.

        :param is_ready: whether it does.
        :param now_s: present time.
        """
        if not is_ready:
            self._ready_since_s = None
            self._memory_since_s = None
        elif self._ready_since_s is None:
            self._ready_since_s = now_s
            self._memory_since_s = now_s

    def restart_window(self, now_s: float) -> None:
        """Start the window again, as others took this daemon for dead."""
        if self._ready_since_s is not None:
            self._ready_since_s = now_s

    def record_reported_outage(
        self,
        outage_age_s: float | None,
        now_s: float,
        began_age_s: float | None = None,
    ) -> None:
        """Note what a peer says of the last outage.

        :param outage_age_s: how long ago it was; None for never.
        :param now_s: present time.
        :param began_age_s: how long ago it began; None where that is not
            known.
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
        """Return the home of a key among the members that take work.

        :param service: the service.
        :param key: the idempotency key.
        :param tried: hosts that are out of the question.
        """
        members = {
            member.host: member for member in self._members.offering(service)
        }
        candidates = members.keys() - set(tried)
        order = ranked(f'{service}/{key}', candidates)
        return members[order[0]] if order else None

    def is_owner(self, service: ServiceName, key: str) -> bool:
        """Return whether this daemon is the home of a key."""
        owner = self.owner(service, key)
        return owner is not None and owner.host == self._members.own.host

    def is_sole_owner(
        self,
        service: ServiceName,
        key: str,
        now_s: float,
    ) -> bool:
        """Return whether no other member was home within the window.

        :param service: the service.
        :param key: the idempotency key.
        :param now_s: present time.
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
        """Return whether a key may have run without a claim, unknown here.

        That is so when the store failed anybody within the window, and since
        it began to, another member was home of the key, or this daemon was
        not up: it may have run the key before a restart.

        :param service: the service.
        :param key: the idempotency key.
        :param now_s: present time.
        """
        outage_s = self.outage_age_s(now_s)
        if outage_s is None or outage_s > self._window_s:
            return False
        is_memory_complete = self._is_memory_complete(now_s)
        return not (
            is_memory_complete and self._is_first_candidate(service, key, now_s)
        )

    def outage_age_s(self, now_s: float) -> float | None:
        """Return how long ago the store failed anybody, None for never.

        :param now_s: present time.
        """
        return now_s - self._outage.last_failure_s if self._outage else None

    def outage_began_age_s(self, now_s: float) -> float | None:
        """Return how long ago the last outage began, None for never.

        :param now_s: present time.
        """
        return now_s - self._outage.first_failure_s if self._outage else None

    def record_outage(self, failed_at_s: float) -> None:
        """Note that the store failed a call at a time."""
        self._merge_outage(failed_at_s, failed_at_s)

    def _merge_outage(
        self, first_failure_s: float, last_failure_s: float
    ) -> None:
        """Join an outage to the last one unless a window lies between."""
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
        """Return whether this daemon was up in all of the last outage.

        Of an outage that is longer than the window, only the window counts.

        :param now_s: present time.
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
        """Return whether this daemon leads among present and departed.

        A daemon that restarts offers nothing until its backend server is
        found again, but may have been home just before.
        """
        since_s = now_s - self._window_s
        hosts = self._members.hosts_offering_since(service, since_s)
        order = ranked(f'{service}/{key}', hosts)
        return bool(order) and order[0] == self._members.own.host
