"""ragwortstand.peers.homes: which daemon runs a request with a key.

Rendezvous hashing gives each idempotency key of a service one home among the
members that offer it. A home answers repetitions from its own memory, which
is complete only while no other member can have been home of the key.
"""

from collections.abc import Iterable

from ragwortstand.ids import HostId, ServiceName
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member, StoreView
from ragwortstand.rendezvous import ranked

_REPORT_LIFE_S = 3.0


class Homes:
    """Computes homes from the list of members.

    :param members: the list of members.
    :param store_region: region of the platform's store.
    :param window_s: time within which callers repeat a request.
    """

    def __init__(
        self,
        members: Members,
        store_region: str,
        window_s: float,
    ) -> None:
        """Start without reports about the store."""
        self._members = members
        self._store_region = store_region
        self._window_s = window_s
        self._ready_since_s: float | None = None
        self._outage_at_s: float | None = None
        self._reports: dict[HostId, _StoreReport] = {}

    def note_ready(self, is_ready: bool, now_s: float) -> None:
        """Note whether this daemon's backend server takes work.

        :param is_ready: whether it does.
        :param now_s: present time.
        """
        if not is_ready:
            self._ready_since_s = None
        elif self._ready_since_s is None:
            self._ready_since_s = now_s

    def note_doubt(self, now_s: float) -> None:
        """Start the window again, as others took this daemon for dead."""
        if self._ready_since_s is not None:
            self._ready_since_s = now_s

    def note_store(
        self,
        host: HostId,
        view: StoreView,
        now_s: float,
    ) -> None:
        """Note what a peer says of the store.

        :param host: the peer.
        :param view: what it says.
        :param now_s: present time.
        """
        self._reports[host] = _StoreReport(view.is_reachable, now_s)
        if view.outage_age_s is not None:
            self.note_outage(now_s - view.outage_age_s)

    def store_view(self, is_reachable: bool, now_s: float) -> StoreView:
        """Return what this daemon says of the store.

        :param is_reachable: whether the store answers it.
        :param now_s: present time.
        """
        return StoreView(is_reachable, self.outage_age_s(now_s))

    def home(
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
        left = members.keys() - set(tried)
        order = ranked(f'{service}/{key}', left)
        return members[order[0]] if order else None

    def is_home(self, service: ServiceName, key: str) -> bool:
        """Return whether this daemon is the home of a key."""
        home = self.home(service, key)
        return home is not None and home.host == self._members.own.host

    def is_only_home(
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
        if not self._is_first(service, key):
            return False
        since_s = self._ready_since_s
        return since_s is not None and now_s - since_s >= self._window_s

    def is_in_doubt(
        self,
        service: ServiceName,
        key: str,
        now_s: float,
    ) -> bool:
        """Return whether another home may have run a key without a claim.

        That is so when another member was home of the key and the store
        failed anybody within the window.

        :param service: the service.
        :param key: the idempotency key.
        :param now_s: present time.
        """
        outage_s = self.outage_age_s(now_s)
        was_out = outage_s is not None and outage_s <= self._window_s
        return was_out and not self._is_first(service, key)

    def outage_age_s(self, now_s: float) -> float | None:
        """Return how long ago the store failed anybody, None for never.

        :param now_s: present time.
        """
        if self._outage_at_s is None:
            return None
        return now_s - self._outage_at_s

    def note_outage(self, at_s: float) -> None:
        """Note that the store failed a call at a time."""
        self._outage_at_s = max(at_s, self._outage_at_s or at_s)

    def is_store_out_for_all(self, now_s: float) -> bool:
        """Return whether the store itself is out, by what peers say.

        A daemon that is cut off from the store's region cannot tell, so it
        returns False.

        :param now_s: present time.
        """
        recent = {
            host: report
            for host, report in self._reports.items()
            if now_s - report.at_s <= _REPORT_LIFE_S
        }
        if any(report.is_reachable for report in recent.values()):
            return False
        if self._members.own.region == self._store_region:
            return True
        return any(self._is_in_store_region(host) for host in recent)

    def _is_first(self, service: ServiceName, key: str) -> bool:
        """Return whether this daemon leads among present and departed."""
        hosts = [
            member.host
            for member in self._members.all()
            if member.service == service
        ]
        order = ranked(f'{service}/{key}', hosts)
        return bool(order) and order[0] == self._members.own.host

    def _is_in_store_region(self, host: HostId) -> bool:
        member = self._members.get(host)
        return member is not None and member.region == self._store_region


class _StoreReport:
    """What a peer said of the store, and when."""

    def __init__(self, is_reachable: bool, at_s: float) -> None:
        self.is_reachable = is_reachable
        self.at_s = at_s
