"""ragwortstand.peers.latency_objective_choice: picks servers by latency."""

import random
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field

from ragwortstand.backend_servers import Load
from ragwortstand.ids import HostId
from ragwortstand.models import Rank
from ragwortstand.peers.choice import Locality
from ragwortstand.peers.messages import Member
from ragwortstand.verdicts import Answered, Cause, Outcome

# Round trip to a host, an availability zone and a region, in seconds: links
# of 1 ms between zones and of 12 ms between regions, one way.
_ROUND_TRIP_S = (0.0, 0.0005, 0.002, 0.025)
# Part of the rank's target within which a near server is preferred, though a
# distant one may be faster; bytes to other zones are billed.
_NEAR_FRACTION = 0.7
# What a kilobyte over a billed link may cost in time, as a part of the target:
# 10 KB to another region weigh as much as a whole target. By distance, as
# above; links inside a zone are free.
_KILOBYTE_COST_FRACTION = (0.0, 0.0, 0.05, 0.1)
# Headers of a request and its answer on the way between two daemons.
_HEADERS_BYTES = 500
_KILOBYTE = 1000
# First guess of the service time as a part of the target.
_INITIAL_SERVICE_FRACTION = 0.3
_SMOOTHING_FACTOR = 0.2
# Word of a server's load loses its meaning within this time.
_LOAD_MAX_AGE_S = 1.0
# A server that has refused is left alone this long: several service times.
_REFUSAL_PAUSE_S = 0.15
# Word of failures loses its meaning within this time.
_FAILURE_RATE_MAX_AGE_S = 3.0
_FAILURE_SMOOTHING_FACTOR = 0.08
# How much a server that fails every request is worse than a sound one.
_FAILURE_COST_FACTOR = 5.0
# Pauses after a host could not be reached, doubled up to the longest.
_BLOCK_MIN_S = 0.3
_BLOCK_MAX_S = 3.0
# A server further away must be cheaper by this factor, as costs of servers
# that all fail or fill up differ by chance.
_FARTHER_COST_FACTOR = 0.6
# Differences in cost below this part are left to chance.
_COST_JITTER = 0.15
_TIERS = 3
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
    """What recent calls told of one backend server."""

    outstanding: int = 0
    busy: float = 0.0
    updated_at_s: float = 0.0
    service_s: dict[str, float] = field(default_factory=dict)
    failure_rate: float = 0.0
    blocks: int = 0
    blocked_until_s: float = 0.0
    refused_until_s: float = 0.0


class LatencyObjectiveChoice:
    """The nearest backend server that is expected to meet the goal.

    Where none is, the one with the earliest expected answer.

    :param locality: where this daemon is.
    :param own_load: returns the load of the backend server on this host.
    :param rng: source of randomness.
    """

    def __init__(
        self,
        locality: Locality,
        own_load: Callable[[float], Load],
        rng: random.Random,
    ) -> None:
        """Start without signals."""
        self._locality = locality
        self._own_load = own_load
        self._rng = rng
        self._signals: dict[HostId, _Signal] = {}
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
        :param tried: hosts that the request was sent to before.
        :param now_s: present time.
        """
        open_members = [
            member
            for member in members
            if member.host not in tried
            and self._signal(member).blocked_until_s <= now_s
        ]
        best: Member | None = None
        best_s = 0.0
        for tier in self._tiers(open_members):
            picked, cost_s = self._cheapest(tier, rank, now_s)
            if cost_s <= rank.target_s * _NEAR_FRACTION:
                return picked
            if best is None or cost_s < best_s * _FARTHER_COST_FACTOR:
                best, best_s = picked, cost_s
        return best

    def record_size(self, rank: Rank, size_bytes: int) -> None:
        """Note the bytes of a request and its answer.

        :param rank: rank of the request.
        :param size_bytes: both bodies.
        """
        known = self._sizes_bytes.get(rank.name, float(size_bytes))
        known += _SMOOTHING_FACTOR * (size_bytes - known)
        self._sizes_bytes[rank.name] = known

    def forget(self, host: HostId) -> None:
        """Drop what is known of a host, as its daemon is a new process."""
        signal = self._signals.get(host)
        if signal:
            self._signals[host] = _Signal(outstanding=signal.outstanding)

    def record_start(self, host: HostId, rank: Rank) -> None:
        """Note that a request was sent to a host."""
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
        """Take in the outcome of a request.

        :param host: where it was sent.
        :param rank: rank of the request.
        :param outcome: what became of it.
        :param busy: load that came with the outcome.
        :param taken_s: time from sending to the outcome.
        :param now_s: present time.
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
                signal.refused_until_s = now_s + _REFUSAL_PAUSE_S
                signal.busy = busy
                signal.updated_at_s = now_s
            elif outcome.cause in _FAILURE_CAUSES:
                _update_failure_rate(signal, 1.0)
            return
        signal.blocks = 0
        signal.busy = busy
        signal.updated_at_s = now_s
        _update_failure_rate(signal, float(outcome.has_failed))
        # The time in the queue is taken off by the load.
        service_s = taken_s / max(1.0, busy)
        known_s = signal.service_s.get(rank.name, service_s)
        known_s += _SMOOTHING_FACTOR * (service_s - known_s)
        signal.service_s[rank.name] = known_s

    def _signal(self, member: Member) -> _Signal:
        return self._signals.setdefault(member.host, _Signal())

    def _tiers(self, members: Sequence[Member]) -> list[list[Member]]:
        """Return members by zone, region and the rest, the nearest first."""
        tiers: list[list[Member]] = [[] for _ in range(_TIERS)]
        for member in members:
            distance = self._locality.distance(member)
            tiers[max(0, distance - 1)].append(member)
        return [tier for tier in tiers if tier]

    def _cheapest(
        self,
        members: list[Member],
        rank: Rank,
        now_s: float,
    ) -> tuple[Member, float]:
        costs = [
            (
                self._cost_s(member, rank, now_s)
                * self._rng.uniform(1, 1 + _COST_JITTER),
                position,
            )
            for position, member in enumerate(members)
        ]
        cost_s, position = min(costs)
        return members[position], cost_s

    def _cost_s(self, member: Member, rank: Rank, now_s: float) -> float:
        signal = self._signal(member)
        service_s = signal.service_s.get(rank.name)
        service_s = service_s or rank.target_s * _INITIAL_SERVICE_FRACTION
        load = self._load(member, signal, now_s)
        expected_s = service_s * max(1.0, load)
        if signal.refused_until_s > now_s:
            expected_s = max(expected_s, rank.target_s)
        failure_rate = signal.failure_rate
        if now_s - signal.updated_at_s > _FAILURE_RATE_MAX_AGE_S:
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


def _update_failure_rate(signal: _Signal, failed: float) -> None:
    signal.failure_rate += _FAILURE_SMOOTHING_FACTOR * (
        failed - signal.failure_rate
    )
