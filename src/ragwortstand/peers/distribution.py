"""ragwortstand.peers.distribution: distributes versions to every daemon.

The readers in the store's region poll the head row. Other regions read the
store themselves only while they know no peer in the store's region. A daemon
that puts a version in force offers it to a few members of its region, and
the bridges offer it to the bridge of each other region. Probes carry the
version too, so daemons that no offer reached catch up.
"""

import contextlib
import random

import anyio
import zstandard
from anyio.abc import TaskGroup

from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PeerError, PlatformError
from ragwortstand.ids import NO_VERSION, PeerAddress, RegionName, Version
from ragwortstand.metrics import Metrics
from ragwortstand.peers.deltas import compress, decompress
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    Applied,
    AskApplied,
    FetchVersion,
    Member,
    MemberState,
    NotHeld,
    OfferVersion,
    VersionContent,
)
from ragwortstand.peers.offer_fetcher import OfferFetcher
from ragwortstand.peers.protocols import PeerLinks
from ragwortstand.peers.push_targets import push_targets
from ragwortstand.peers.version_sources import DistributionPolicy, VersionSource
from ragwortstand.rendezvous import ranked
from ragwortstand.storage import VersionRecord
from ragwortstand.versions import OfferResult, Snapshot, VersionGate

_READER_COUNT = 2
_QUERIED_AT_START = 16
_PEER_TIMEOUT_S = 2.0
_RETRY_S = 0.5
_HERD_READS_PER_S = 100
_JOIN_POLL_S = 0.05


class Distributor:
    """Fetches, applies and offers versions of the configuration.

    :param gate: holds the version in force.
    :param source: reads accepted versions from the platform.
    :param members: the member list.
    :param links: links to the other daemons.
    :param policy: how versions are distributed.
    :param metrics: counts refused versions.
    :param log: logs applied and refused versions.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        gate: VersionGate,
        source: VersionSource,
        members: Members,
        links: PeerLinks,
        policy: DistributionPolicy,
        metrics: Metrics,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        """Create a distributor and subscribe it to the gate."""
        self._gate = gate
        self._source = source
        self._members = members
        self._links = links
        self._policy = policy
        self._poll_once = (
            self._poll_head if policy.is_pushing else self._poll_content
        )
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._tasks: TaskGroup | None = None
        # Compressed content of the version in force, by the base of the delta.
        self._payloads: dict[Version, bytes] = {}
        self._offer_fetcher = OfferFetcher(self._fetch, lambda: gate.version)
        self.is_initialized = False
        gate.subscribe(self._on_applied)

    @property
    def version_in_force(self) -> Version:
        """Return the version that serves callers; 0 before there is one."""
        return self._gate.version if self.is_initialized else NO_VERSION

    async def run(self) -> None:
        """Find an initial version, then poll for newer ones until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._initialize()
            while True:
                position = self._reader_position(anyio.current_time())
                is_reader = position is not None
                await self._source.wait(is_reader)
                await self._poll_once()

    def on_peer_version(self, version: Version, address: PeerAddress) -> None:
        """Fetch the version of a peer in the background if it is newer.

        :param version: the version of the peer.
        :param address: address that the peer listens on.
        """
        if self._tasks and self._policy.is_pushing:
            self._offer_fetcher.add(version, address, self._tasks)

    def apply_accepted(self, record: VersionRecord, content: bytes) -> None:
        """Put in force a version that was submitted here and accepted.

        :param record: the accepted version.
        :param content: its canonical JSON in UTF-8.
        """
        offer = self._gate.offer(record.version, record.digest, content)
        self._report_refusal(offer, record.version)

    def on_fetch(self, request: FetchVersion) -> VersionContent | NotHeld:
        """Return the content of the version in force, or `NotHeld`.

        :param request: the version that the peer requests and the one it has,
            which is the base of the delta if its content is known here.
        """
        snapshot = self._gate.snapshot
        if snapshot is None or snapshot.version < request.version:
            return NotHeld()
        base = self._gate.content(request.held) or b''
        held = request.held if base else NO_VERSION
        payload = self._payloads.get(held)
        if payload is None:
            payload = compress(snapshot.content, base)
            self._payloads[held] = payload
        return VersionContent(snapshot.version, snapshot.digest, held, payload)

    async def read_store(self) -> bool:
        """Read the store once, also as no reader, and apply a newer version.

        :returns: whether the store responded.
        """
        try:
            head = await self._source.read_head()
        except PlatformError:
            return False
        if head and head.version > self._gate.version:
            return await self._fetch_from_store(head)
        return True

    def readers(self) -> list[Member]:
        """Return the members that read the store for this daemon."""
        store_region = self._policy.store_region
        if store_region is None:
            return store_readers(self._members)
        region = self._members.own.region
        if self._has_peer_in_region(store_region):
            region = RegionName(store_region)
        return self._members.role_holders(
            'reader', _READER_COUNT, region=region
        )

    async def query_applied(self, member: Member) -> Version | None:
        """Return the version in force at a member, None without a reply."""
        try:
            reply = await self._links.send_request(
                member.peer_address, AskApplied(), _PEER_TIMEOUT_S
            )
        except PeerError:
            return None
        return reply.version if isinstance(reply, Applied) else None

    async def _initialize(self) -> None:
        """Find a version that is no older than the last one served here."""
        with anyio.move_on_after(self._policy.join_wait_s):
            while not self._members.peers():  # noqa: ASYNC110
                await anyio.sleep(_JOIN_POLL_S)
        await anyio.sleep(self._herd_delay_s())
        while not self.is_initialized:
            self.is_initialized = await self._initialize_once()
            if not self.is_initialized:
                await anyio.sleep(_RETRY_S * self._rng.uniform(0.5, 1.5))

    def _herd_delay_s(self) -> float:
        """Return a random delay that avoids a thundering herd of reads.

        All daemons that are listed as dead may be restarting together.
        """
        dead_count = len(self._members.in_state(MemberState.DEAD))
        return self._rng.uniform(0, dead_count / _HERD_READS_PER_S)

    async def _initialize_once(self) -> bool:
        try:
            head = await self._source.head()
        except PlatformError:
            return await self._initialize_from_peers()
        if head is None or head.version <= self._gate.version:
            return True
        return await self._fetch_from_any(head)

    async def _initialize_from_peers(self) -> bool:
        """Fetch the highest version of peers; the store is unavailable."""
        peers = self._members.peers()
        chosen = self._rng.sample(peers, min(_QUERIED_AT_START, len(peers)))
        version_by_address: dict[PeerAddress, Version] = {}

        async def query(member: Member) -> None:
            version = await self.query_applied(member)
            if version is not None:
                version_by_address[member.peer_address] = version

        async with anyio.create_task_group() as queries:
            for member in chosen:
                queries.start_soon(query, member)
        if not version_by_address:
            return False
        address = max(version_by_address, key=version_by_address.__getitem__)
        if version_by_address[address] > self._gate.version:
            await self._fetch(version_by_address[address], address)
        return 0 < version_by_address[address] <= self._gate.version

    async def _fetch_from_any(self, record: VersionRecord) -> bool:
        """Fetch a version from a peer of the region, else from the store.

        If the source has cached the content, it is used first.
        """
        if self._source.is_cached(record.digest):
            return await self._fetch_from_store(record)
        near = [
            peer
            for peer in self._members.peers()
            if peer.region == self._members.own.region
        ]
        for peer in self._rng.sample(near, min(2, len(near))):
            if await self._fetch(record.version, peer.peer_address):
                return True
        return await self._fetch_from_store(record)

    async def _poll_content(self) -> None:
        """Read the head row and the whole content; baseline for experiments."""
        with contextlib.suppress(PlatformError):
            head = await self._source.head()
            if head:
                await self._fetch_from_store(head)

    async def _poll_head(self) -> None:
        """Read the head row if this daemon is a reader."""
        position = self._reader_position(anyio.current_time())
        if position is None:
            return
        try:
            head = await self._source.head()
            if head is None or head.version <= self._gate.version:
                return
            if position:
                await anyio.sleep(self._policy.standby_delay_s)
            if head.version > self._gate.version:
                await self._fetch_from_store(head)
        except PlatformError:
            return

    def _reader_position(self, now_s: float) -> int | None:
        """Return this daemon's position among the readers, or None.

        A daemon that is cut off from most others is its own reader, as the
        readers' offers may not reach it.
        """
        own = self._members.own
        if self._members.peers() and self._is_isolated(now_s):
            return 0
        readers = self.readers()
        return readers.index(own) if own in readers else None

    def _is_isolated(self, now_s: float) -> bool:
        silence_s = now_s - self._members.last_contact_s
        return (
            silence_s > self._policy.isolated_after_s
            or self._members.replies.is_mostly_unanswered(now_s)
        )

    def _has_peer_in_region(self, region: str) -> bool:
        return any(peer.region == region for peer in self._members.peers())

    async def _fetch_from_store(self, record: VersionRecord) -> bool:
        try:
            content = await self._source.content(record.digest)
        except PlatformError:
            return False
        if content is None:
            return False
        offer = self._gate.offer(record.version, record.digest, content)
        self._report_refusal(offer, record.version)
        return record.version <= self._gate.version

    async def _fetch(self, version: Version, address: PeerAddress) -> bool:
        request = FetchVersion(version, self._gate.version)
        try:
            reply = await self._links.send_request(
                address, request, _PEER_TIMEOUT_S
            )
        except PeerError:
            return False
        if not isinstance(reply, VersionContent):
            return False
        base = self._gate.content(reply.base) or b''
        try:
            content = decompress(reply.payload, base)
        except zstandard.ZstdError:
            content = b''
        offer = self._gate.offer(reply.version, reply.digest, content)
        self._report_refusal(offer, reply.version)
        return version <= self._gate.version

    def _report_refusal(self, offer: OfferResult, version: Version) -> None:
        if offer in {OfferResult.WRONG_DIGEST, OfferResult.INVALID}:
            self._metrics.versions_refused.labels(offer.value).inc()
            self._log.emit(
                Event.VERSION_REFUSED, version=version, cause=offer.value
            )

    def _on_applied(self, snapshot: Snapshot) -> None:
        self._payloads.clear()
        self._metrics.version.set(snapshot.version)
        self._log.emit(
            Event.APPLIED, version=snapshot.version, digest=snapshot.digest
        )
        if self._tasks is None or not self._policy.is_pushing:
            return
        for peer in self._push_targets():
            self._tasks.start_soon(self._offer, snapshot.version, peer)

    def _push_targets(self) -> list[Member]:
        own = self._members.own
        peers = self._members.peers()
        if self._policy.is_flat:
            return push_targets(
                own,
                peers,
                self._policy.fanout,
                self._policy.far_fanout,
                self._rng,
            )
        near = [peer for peer in peers if peer.region == own.region]
        fanout = min(self._policy.fanout, len(near))
        chosen = self._rng.sample(near, fanout)
        if own in self._members.role_holders('bridge', 2, region=own.region):
            regions = {peer.region for peer in peers} - {own.region}
            for region in sorted(regions):
                chosen.extend(
                    self._members.role_holders('bridge', 1, region=region)
                )
        return chosen

    async def _offer(self, version: Version, peer: Member) -> None:
        with contextlib.suppress(PeerError):
            await self._links.send_request(
                peer.peer_address, OfferVersion(version), _PEER_TIMEOUT_S
            )


def store_readers(members: Members) -> list[Member]:
    """Return the members that read the store for all daemons.

    They are selected by rendezvous hashing among the members that reach the
    store best. Suspected members are selected only if there are no others.

    :param members: the member list.
    """
    candidates = members.in_state(MemberState.ALIVE) or members.usable()
    reach = max((member.store_reach for member in candidates), default=0)
    by_host = {
        member.host: member
        for member in candidates
        if member.store_reach == reach
    }
    order = ranked('store-reader', list(by_host))
    return [by_host[host] for host in order[:_READER_COUNT]]
