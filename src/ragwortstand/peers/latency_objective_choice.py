"""ragwortstand.peers.latency_objective_choice: picks servers by latency.

A request goes to the nearest backend server that is expected to respond within
the latency objective of the request's rank.
"""

import itertools
import math
import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from ragwortstand.backend_servers import Load
from ragwortstand.ids import HostId
from ragwortstand.models import Rank
from ragwortstand.peers.choice import Locality
from ragwortstand.peers.messages import Member
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
)

# Round trip times by distance, see `Locality.distance`: this host, this
# availability zone, this region, another region. Links take 1 ms between zones
# and 12 ms between regions, one way.
_ROUND_TRIP_S = (0.0, 0.0005, 0.002, 0.025)
# A near server is preferred while its cost is below this fraction of the rank's
# target, even if a distant one is faster: bytes to other zones are billed.
_NEAR_FRACTION = 0.7
# Cost of a kilobyte over a billed link as a fraction of the target, by distance
# as above: 10 KB to another region cost as much as the whole target. Links
# inside a zone are free.
_KILOBYTE_COST_FRACTION = (0.0, 0.0, 0.05, 0.1)
# Headers of a forwarded request and its response.
_HEADERS_BYTES = 500
_KILOBYTE = 1000
# Initial estimate of the service time as a fraction of the target.
_INITIAL_SERVICE_FRACTION = 0.3
_SMOOTHING_FACTOR = 0.2
# Time in which the weight of a reported load decays to zero.
_LOAD_MAX_AGE_S = 1.0
# Time for which a server that refused a request costs at least a whole target:
# several service times.
_REFUSAL_PAUSE_S = 0.15
# A failure rate is ignored after this time without a response or a failure, so
# that requests try a failing server again.
_FAILURE_RATE_MAX_AGE_S = 3.0
_FAILURE_SMOOTHING_FACTOR = 0.08
# Additional cost of a server that fails every request, as a multiple of its
# expected response time.
_FAILURE_COST_FACTOR = 5.0
# Exponential backoff after a host could not be reached.
_BLOCK_MIN_S = 0.3
_BLOCK_MAX_S = 3.0
# A server in a farther tier must cost less than this fraction of the best
# nearer one, because costs vary at random when all servers fail or are full.
_FARTHER_COST_FACTOR = 0.6
# Random spread of costs: smaller relative differences do not decide.
_COST_JITTER = 0.15
_TIERS = 3
# Candidates that are drawn from a tier. Daemons that all compare all servers
# send to the same one, as the reported loads are older than their requests.
_DRAWN = 3
_MAX_DRAWS = 2 * _DRAWN
# Capacity of a server that takes no requests at present; it is tried at times.
_MIN_CAPACITY_PER_S = 0.1
# Interval after which the probabilities of a tier's servers are computed again.
_WEIGHTS_MAX_AGE_S = 0.5
_UNREACHABLE_CAUSES = frozenset(
    (
        Cause.BACKEND_SERVER_DOWN,
        Cause.CRASHED,
        Cause.LEAVING,
        Cause.NO_BACKEND_SERVER,
        Cause.PEER_UNREACHABLE,
    ),
)
_FAILURE_CAUSES = frozenset(
    (
        Cause.REJECTED,
        Cause.CONNECTION_LOST,
        Cause.DEADLINE,
        Cause.ENDLESS_ANSWER,
    ),
)


@dataclass(slots=True)
class _Signal:
    """Statistics of recent calls to one backend server."""

    outstanding: int = 0
    busy: float = 0.0
    updated_at_s: float = 0.0
    service_s: dict[str, float] = field(default_factory=dict)
    failure_rate: float = 0.0
    failure_updated_at_s: float = 0.0
    blocks: int = 0
    blocked_until_s: float = 0.0
    refused_until_s: float = 0.0


class _Candidate(NamedTuple):
    """A server and its cost; without a server the cost is infinite."""

    member: Member | None
    cost_s: float


class _Weights(NamedTuple):
    """Running totals of the capacities of servers, and their time."""

    computed_at_s: float
    totals: list[float]


@dataclass(slots=True)
class _Tier:
    """Servers of one service at about the same distance.

    :param members: the servers.
    :param weights: capacities of the servers by rank.
    """

    members: list[Member] = field(default_factory=list)
    weights: dict[str, _Weights] = field(default_factory=dict)


class _ServiceTiers(NamedTuple):
    """The servers of a service, and their tiers, the nearest first."""

    members: Sequence[Member]
    tiers: list[_Tier]


class LatencyObjectiveChoice:
    """Selects a near server expected to meet the latency objective.

    A few servers of the nearest tier are drawn at random, in proportion to
    their capacity, and the least busy one is selected. If it is not expected to
    meet the objective, all are compared, and after them those of the next tier,
    which must be clearly cheaper.

    :param locality: locality of this daemon.
    :param own_load: returns the load of the backend server on this host.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        locality: Locality,
        own_load: Callable[[float], Load],
        rng: random.Random,
    ) -> None:
        """Create a choice without any statistics."""
        self._locality = locality
        self._own_load = own_load
        self._rng = rng
        self._signals: dict[HostId, _Signal] = {}
        self._identities: dict[HostId, tuple[object, ...]] = {}
        self._tiers: dict[str, _ServiceTiers] = {}
        self._sizes_bytes: dict[str, float] = {}

    def choose(
        self,
        members: Sequence[Member],
        rank: Rank,
        tried: Collection[HostId],
        now_s: float,
    ) -> Member | None:
        """Return the member to send a request to.

        :param members: the members that offer the service.
        :param rank: rank of the request.
        :param tried: hosts that the request was already sent to.
        :param now_s: current time.
        """
        best = _Candidate(None, math.inf)
        for tier in self._tiers_of(members):
            found = self._select(tier, rank, tried, now_s)
            if found.cost_s <= rank.target_s * _NEAR_FRACTION:
                return found.member
            if found.cost_s < best.cost_s * _FARTHER_COST_FACTOR:
                best = found
        return best.member

    def record_size(self, rank: Rank, size_bytes: int) -> None:
        """Record the size of a request and its response.

        :param rank: rank of the request.
        :param size_bytes: size of both bodies.
        """
        known = self._sizes_bytes.get(rank.name, float(size_bytes))
        known += _SMOOTHING_FACTOR * (size_bytes - known)
        self._sizes_bytes[rank.name] = known

    def record_member(self, member: Member) -> None:
        """Reset the statistics of a host whose daemon or server was restarted.

        :param member: the present entry of the host.
        """
        identity = (member.boot, member.service, member.is_ready)
        if self._identities.get(member.host) == identity:
            return
        self._identities[member.host] = identity
        signal = self._signals.get(member.host)
        if signal:
            self._signals[member.host] = _Signal(outstanding=signal.outstanding)

    def record_start(self, host: HostId, rank: Rank) -> None:
        """Record that a request was sent to a host."""
        self._signals.setdefault(host, _Signal()).outstanding += 1

    def record_outcome(
        self,
        host: HostId,
        rank: Rank,
        outcome: Outcome,
        busy: float,
        taken_s: float,
        now_s: float,
    ) -> None:
        """Update the statistics of a host with the outcome of a request.

        :param host: the host that the request was sent to.
        :param rank: rank of the request.
        :param outcome: outcome of the request.
        :param busy: load that was reported with the outcome.
        :param taken_s: time from sending to the outcome.
        :param now_s: current time.
        """
        signal = self._signals.setdefault(host, _Signal())
        signal.outstanding -= 1
        if (
            not isinstance(outcome, Answered)
            and outcome.cause in _UNREACHABLE_CAUSES
        ):
            self._block(signal, now_s)
            return
        if not isinstance(outcome, Answered):
            if outcome.cause is Cause.OVERLOADED:
                signal.busy = busy
                signal.updated_at_s = now_s
            elif outcome.cause in _FAILURE_CAUSES:
                _update_failure_rate(signal, 1.0, now_s)
            signal.refused_until_s = max(
                signal.refused_until_s, now_s + _pause_s(outcome)
            )
            return
        signal.blocks = 0
        signal.busy = busy
        signal.updated_at_s = now_s
        _update_failure_rate(signal, float(outcome.has_failed), now_s)
        # Dividing by the load removes the time in the queue.
        service_s = taken_s / max(1.0, busy)
        known_s = signal.service_s.get(rank.name, service_s)
        known_s += _SMOOTHING_FACTOR * (service_s - known_s)
        signal.service_s[rank.name] = known_s

    def _signal(self, member: Member) -> _Signal:
        return self._signals.setdefault(member.host, _Signal())

    def _tiers_of(self, members: Sequence[Member]) -> list[_Tier]:
        """Return tiers, nearest first: this zone, region, other regions."""
        if not members:
            return []
        service = members[0].service or ''
        known = self._tiers.get(service)
        if known and known.members is members:
            return known.tiers
        tiers = [_Tier() for _ in range(_TIERS)]
        for member in members:
            distance = self._locality.distance(member)
            tiers[max(0, distance - 1)].members.append(member)
        tiers = [tier for tier in tiers if tier.members]
        self._tiers[service] = _ServiceTiers(members, tiers)
        return tiers

    def _open_members(
        self,
        members: Sequence[Member],
        tried: Collection[HostId],
        now_s: float,
    ) -> list[Member]:
        return [
            member
            for member in members
            if member.host not in tried
            and self._signal(member).blocked_until_s <= now_s
        ]

    def _select(
        self,
        tier: _Tier,
        rank: Rank,
        tried: Collection[HostId],
        now_s: float,
    ) -> _Candidate:
        """Return a drawn server that meets the objective, or the cheapest."""
        is_retry = bool(tried)
        drawn = self._draw(tier, rank, tried, now_s)
        if drawn:
            picked = self._least_busy(drawn, rank, is_retry, now_s)
            if picked.cost_s <= rank.target_s * _NEAR_FRACTION:
                return picked
        usable = self._open_members(tier.members, tried, now_s)
        if not usable:
            return _Candidate(None, math.inf)
        return self._cheapest(usable, rank, is_retry, now_s)

    def _least_busy(
        self,
        drawn: Sequence[Member],
        rank: Rank,
        is_retry: bool,
        now_s: float,
    ) -> _Candidate:
        """Return the server with the lowest cost relative to its speed.

        Fast servers are drawn more often already.
        """
        costs_s = [
            self._cost_s(member, rank, is_retry, now_s) for member in drawn
        ]
        _, position = min(
            (cost_s / self._service_s(member, rank) * self._jitter(), position)
            for position, (member, cost_s) in enumerate(
                zip(drawn, costs_s, strict=True)
            )
        )
        return _Candidate(drawn[position], costs_s[position])

    def _draw(
        self,
        tier: _Tier,
        rank: Rank,
        tried: Collection[HostId],
        now_s: float,
    ) -> list[Member]:
        """Return a few different servers; none where a full search is short."""
        if len(tier.members) <= _DRAWN:
            return []
        drawn: list[Member] = []
        for member in self._rng.choices(
            tier.members,
            cum_weights=self._cumulative_weights(tier, rank, now_s),
            k=_MAX_DRAWS,
        ):
            if member not in drawn:
                drawn.extend(self._open_members((member,), tried, now_s))
            if len(drawn) == _DRAWN:
                break
        return drawn

    def _cumulative_weights(
        self, tier: _Tier, rank: Rank, now_s: float
    ) -> list[float]:
        """Return the running totals of requests per second of the servers."""
        known = tier.weights.get(rank.name)
        if known and now_s - known.computed_at_s < _WEIGHTS_MAX_AGE_S:
            return known.totals
        totals = list(
            itertools.accumulate(
                self._capacity_per_s(member, rank) for member in tier.members
            )
        )
        tier.weights[rank.name] = _Weights(now_s, totals)
        return totals

    def _capacity_per_s(self, member: Member, rank: Rank) -> float:
        capacity_per_s = max(1, member.slots) / self._service_s(member, rank)
        if member.rate_limit:
            limit_per_s = max(_MIN_CAPACITY_PER_S, member.rate_limit.per_s)
            return min(capacity_per_s, limit_per_s)
        return capacity_per_s

    def _service_s(self, member: Member, rank: Rank) -> float:
        known_s = self._signal(member).service_s.get(rank.name)
        return known_s or rank.target_s * _INITIAL_SERVICE_FRACTION

    def _cheapest(
        self,
        members: Sequence[Member],
        rank: Rank,
        is_retry: bool,
        now_s: float,
    ) -> _Candidate:
        cost_s, position = min(
            (
                self._cost_s(member, rank, is_retry, now_s) * self._jitter(),
                position,
            )
            for position, member in enumerate(members)
        )
        return _Candidate(members[position], cost_s)

    def _jitter(self) -> float:
        return self._rng.uniform(1, 1 + _COST_JITTER)

    def _cost_s(
        self, member: Member, rank: Rank, is_retry: bool, now_s: float
    ) -> float:
        signal = self._signal(member)
        # A server with a rate limit often refuses; one refusal is enough.
        is_spared = is_retry and member.rate_limit is not None
        service_s = self._service_s(member, rank)
        load = self._load(member, signal, now_s)
        expected_s = service_s * max(1.0, load)
        if is_spared or signal.refused_until_s > now_s:
            expected_s = max(expected_s, rank.target_s)
        failure_rate = signal.failure_rate
        if now_s - signal.failure_updated_at_s > _FAILURE_RATE_MAX_AGE_S:
            failure_rate = 0.0
        distance = self._locality.distance(member)
        size_bytes = _HEADERS_BYTES + self._sizes_bytes.get(rank.name, 0)
        transfer_cost = (
            size_bytes / _KILOBYTE * _KILOBYTE_COST_FRACTION[distance]
        )
        return (
            _ROUND_TRIP_S[distance]
            + expected_s * (1 + _FAILURE_COST_FACTOR * failure_rate)
            + rank.target_s * transfer_cost
        )

    def _load(self, member: Member, signal: _Signal, now_s: float) -> float:
        if member.host == self._locality.host:
            return self._own_load(now_s).busy
        own = signal.outstanding / max(1, member.slots)
        age = (now_s - signal.updated_at_s) / _LOAD_MAX_AGE_S
        return max(own, signal.busy * max(0.0, 1 - age))

    def _block(self, signal: _Signal, now_s: float) -> None:
        block_s = min(_BLOCK_MAX_S, _BLOCK_MIN_S * 2**signal.blocks)
        signal.blocks = min(signal.blocks + 1, 10)
        signal.blocked_until_s = now_s + block_s


def _pause_s(outcome: Refused | Unknown) -> float:
    """Return for how long a server costs at least a whole target."""
    if not isinstance(outcome, Refused):
        return 0.0
    if outcome.cause is Cause.RATE_LIMITED:
        return outcome.retry_after_s
    return _REFUSAL_PAUSE_S if outcome.cause is Cause.OVERLOADED else 0.0


def _update_failure_rate(signal: _Signal, failed: float, now_s: float) -> None:
    signal.failure_rate += _FAILURE_SMOOTHING_FACTOR * (
        failed - signal.failure_rate
    )
    signal.failure_updated_at_s = now_s
