"""ragwortstand.peers.distribution: carries versions to every daemon.

The readers of the store's region poll the head row; other regions read the
store themselves only while no peer of another region is in sight. A daemon
that puts a version in force offers it to a few members of its region, and
the bridges offer it to the bridge of each other region. Probes carry the
version too, which repairs whatever an offer missed.
"""

import contextlib
import random

import anyio
import zstandard
from anyio.abc import TaskGroup

from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import PeerError, PlatformError
from ragwortstand.ids import NO_VERSION, PeerAddress, Version
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
from ragwortstand.peers.protocols import PeerLinks
from ragwortstand.peers.push_targets import push_targets
from ragwortstand.peers.version_sources import DistributionPolicy, VersionSource
from ragwortstand.rendezvous import ranked
from ragwortstand.storage import VersionRecord
from ragwortstand.versions import Offer, Snapshot, VersionGate

_READER_COUNT = 2
_QUERIED_AT_START = 16
_PEER_TIMEOUT_S = 2.0
_RETRY_S = 0.5
_HERD_READS_PER_S = 100
_JOIN_POLL_S = 0.05


class Distributor:
    """Fetches, applies and passes on versions of the configuration.

    :param gate: holds the version in force.
    :param source: reads accepted versions from the platform.
    :param members: the list of members.
    :param links: links to the other daemons.
    :param policy: how versions travel.
    :param metrics: counts refused versions.
    :param log: tells of applied and refused versions.
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
        """Keep the collaborators."""
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
        # Content of the version in force, by the version it is a delta to.
        self._payloads: dict[Version, bytes] = {}
        self._is_fetching = False
        self.is_initialized = False
        gate.subscribe(self._on_applied)

    @property
    def version_in_force(self) -> Version:
        """Return the version that serves callers; 0 until one does."""
        return self._gate.version if self.is_initialized else NO_VERSION

    async def run(self) -> None:
        """Settle on a version, then follow newer ones until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._initialize()
            while True:
                position = self._reader_position(anyio.current_time())
                is_reader = position is not None
                await self._source.wait(is_reader)
                await self._poll_once()

    def on_peer_version(self, version: Version, address: PeerAddress) -> None:
        """Fetch a version from a peer that holds a newer one.

        :param version: the version that the peer holds.
        :param address: where the peer listens.
        """
        if version <= self._gate.version or self._is_fetching:
            return
        if self._tasks and self._policy.is_pushing:
            self._is_fetching = True
            self._tasks.start_soon(self._fetch_in_background, version, address)

    def apply_accepted(self, record: VersionRecord, content: bytes) -> None:
        """Put a version in force that this daemon has just had accepted.

        :param record: the accepted version.
        :param content: its canonical JSON in UTF-8.
        """
        offer = self._gate.offer(record.version, record.digest, content)
        self._report_refusal(offer, record.version)

    def on_fetch(self, request: FetchVersion) -> VersionContent | NotHeld:
        """Answer with the content of the version in force.

        :param request: what the peer wants and what it holds.
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

    async def query_applied(self, member: Member) -> Version | None:
        """Return the version in force at a member, None without an answer."""
        try:
            reply = await self._links.send_request(
                member.peer_address, AskApplied(), _PEER_TIMEOUT_S
            )
        except PeerError:
            return None
        return reply.version if isinstance(reply, Applied) else None

    async def _initialize(self) -> None:
        """Find a version no older than the one served here before."""
        with anyio.move_on_after(self._policy.join_wait_s):
            while not self._members.peers():  # noqa: ASYNC110
                await anyio.sleep(_JOIN_POLL_S)
        await anyio.sleep(self._herd_delay_s())
        while not self.is_initialized:
            self.is_initialized = await self._initialize_once()
            if not self.is_initialized:
                await anyio.sleep(_RETRY_S * self._rng.uniform(0.5, 1.5))

    def _herd_delay_s(self) -> float:
        """Return a random delay that spreads the reads of a herd.

        As many daemons as have died lately may be coming back together.
        """
        herd = len(self._members.in_state(MemberState.DEAD))
        return self._rng.uniform(0, herd / _HERD_READS_PER_S)

    async def _initialize_once(self) -> bool:
        try:
            head = await self._source.head()
        except PlatformError:
            return await self._initialize_from_peers()
        if head is None or head.version <= self._gate.version:
            return True
        return await self._fetch_from_any(head)

    async def _initialize_from_peers(self) -> bool:
        """Take the highest version among peers while the store is out."""
        peers = self._members.peers()
        chosen = self._rng.sample(peers, min(_QUERIED_AT_START, len(peers)))
        held: dict[PeerAddress, Version] = {}

        async def query(member: Member) -> None:
            version = await self.query_applied(member)
            if version is not None:
                held[member.peer_address] = version

        async with anyio.create_task_group() as queries:
            for member in chosen:
                queries.start_soon(query, member)
        if not held:
            return False
        address = max(held, key=held.__getitem__)
        if held[address] > self._gate.version:
            await self._fetch(held[address], address)
        return 0 < held[address] <= self._gate.version

    async def _fetch_from_any(self, record: VersionRecord) -> bool:
        """Fetch a version from a peer of the region, else from the store.

        A source that holds the content already is asked first.
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
        """Read the head row and the whole content; the baseline."""
        with contextlib.suppress(PlatformError):
            head = await self._source.head()
            if head:
                await self._fetch_from_store(head)

    async def _poll_head(self) -> None:
        """Read the head row where this daemon is a reader."""
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
        """Return this daemon's place among the readers, None without one.

        One that hears no other reads for itself, as the readers can't tell it.
        """
        own = self._members.own
        silence_s = now_s - self._members.last_contact_s
        if self._members.peers() and silence_s > self._policy.isolated_after_s:
            return 0
        store_region = self._policy.store_region
        if store_region is None:
            readers = store_readers(self._members)
        elif own.region != store_region and self._has_peer_in_region(
            store_region
        ):
            return None
        else:
            readers = self._members.role_holders(
                'reader', _READER_COUNT, region=own.region
            )
        return readers.index(own) if own in readers else None

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

    async def _fetch_in_background(
        self,
        version: Version,
        address: PeerAddress,
    ) -> None:
        try:
            await self._fetch(version, address)
        finally:
            self._is_fetching = False

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

    def _report_refusal(self, offer: Offer, version: Version) -> None:
        if offer in {Offer.WRONG_DIGEST, Offer.INVALID}:
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
    """Return the members that read the store for all.

    They are chosen among those that reach it best, by rendezvous hashing.

    :param members: the list of members.
    """
    usable = {member.host: member for member in members.usable()}
    reach = max(member.store_reach for member in usable.values())
    hosts = [
        host for host, member in usable.items() if member.store_reach == reach
    ]
    order = ranked('store-reader', hosts)
    return [usable[host] for host in order[:_READER_COUNT]]
