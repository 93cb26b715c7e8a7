"""ragwortstand.peers.choice: selects the backend server for a request."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from itertools import chain
from typing import Protocol

from ragwortstand.ids import HostId, RegionName, ZoneName
from ragwortstand.models import Rank
from ragwortstand.peers.messages import Member
from ragwortstand.settings import DaemonSettings
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
)

_SMOOTHING_FACTOR = 0.2
_LATENCY_MAX_AGE_S = 3.0
_LOAD_MAX_AGE_S = 0.5
_SLOW_FACTOR = 3.0
_SLOW_SLACK_S = 0.05
_BASELINE_RISE_PER_S = 0.02
_BLOCK_MIN_S = 0.5
_BLOCK_MAX_S = 5.0
_TIERS = 4
_BLOCKING_CAUSES = frozenset(
    (
        Cause.BACKEND_SERVER_DOWN,
        Cause.CONNECTION_LOST,
        Cause.CRASHED,
        Cause.ENDLESS_ANSWER,
        Cause.LEAVING,
        Cause.NO_BACKEND_SERVER,
        Cause.PEER_UNREACHABLE,
    ),
)


@dataclass(slots=True)
class Signal:
    """Statistics of recent calls of one rank to one backend server.

    :param outstanding: calls of this daemon without an outcome yet.
    :param latency_s: moving average of response times; 0 means unknown.
    :param baseline_s: lowest average of about the last minute; 0 means unknown.
    :param busy: slots in use and requests queued, per slot.
    :param last_outcome_at_s: time of the last outcome.
    :param failures: consecutive failures.
    :param blocked_until_s: time until which requests are sent to it only if all
        other members are blocked for longer.
    """

    outstanding: int = 0
    latency_s: float = 0.0
    baseline_s: float = 0.0
    busy: float = 0.0
    last_outcome_at_s: float = 0.0
    failures: int = 0
    blocked_until_s: float = 0.0


class Choice(Protocol):
    """Selects one of the members that offer a service."""

    def choose(
        self,
        members: Sequence[Member],
        rank: Rank,
        tried: Collection[HostId],
        now_s: float,
    ) -> Member | None:
        """Return the member to send a request to."""

    def record_start(self, host: HostId, rank: Rank) -> None:
        """Record that a request was sent to a host."""

    def record_outcome(
        self,
        host: HostId,
        rank: Rank,
        outcome: Outcome,
        busy: float,
        taken_s: float,
        now_s: float,
    ) -> None:
        """Update the statistics of a host with the outcome of a request."""

    def record_size(self, rank: Rank, size_bytes: int) -> None:
        """Record the size of a request and its response."""


@dataclass(frozen=True, slots=True)
class Locality:
    """Host, availability zone and region of a daemon."""

    host: HostId
    zone: ZoneName
    region: RegionName

    def distance(self, member: Member) -> int:
        """Return 0 for the same host, 1 for zone, 2 for region, else 3."""
        if member.host == self.host:
            return 0
        if member.zone == self.zone:
            return 1
        return 2 if member.region == self.region else 3


class SignalChoice:
    """Power of two random choices by in-band signals, nearest members first.

    A request goes to the nearest tier in which the selected member has free
    slots and is not slow. Ranks that may not use links between regions stay in
    the region.

    :param locality: locality of this daemon.
    :param rng: source of randomness.
    """

    def __init__(self, locality: Locality, rng: random.Random) -> None:
        """Create a choice without any statistics."""
        self._locality = locality
        self._rng = rng
        self._signals: dict[tuple[HostId, str], Signal] = {}

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
        tiers = self._tiers(members, rank, tried)
        best_s = self._best_latency_s(members, rank, now_s)
        fallbacks: list[Member] = []
        for tier in tiers:
            open_members = [
                member
                for member in tier
                if self._signal(member.host, rank).blocked_until_s <= now_s
            ]
            if open_members:
                picked = self._pick(open_members, rank, now_s)
                if self._is_acceptable(picked, rank, best_s, now_s):
                    return picked
                fallbacks.append(picked)
        if fallbacks:
            return min(fallbacks, key=lambda one: self._cost(one, rank, now_s))
        return self._least_blocked(tiers, rank)

    def record_start(self, host: HostId, rank: Rank) -> None:
        """Record that a request was sent to a host."""
        self._signal(host, rank).outstanding += 1

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
        signal = self._signal(host, rank)
        signal.outstanding -= 1
        signal.busy = busy
        if isinstance(outcome, Answered):
            is_known = self._is_recent(signal, now_s) and signal.latency_s
            weight = _SMOOTHING_FACTOR if is_known else 1.0
            signal.latency_s += weight * (taken_s - signal.latency_s)
            _update_baseline(signal, now_s)
            signal.failures = 0
        else:
            self._record_failure(signal, outcome, taken_s, now_s)
        signal.last_outcome_at_s = now_s

    def record_size(self, rank: Rank, size_bytes: int) -> None:
        """Ignore the size; whole ranks are kept in their region instead."""

    def _signal(self, host: HostId, rank: Rank) -> Signal:
        key = (host, rank.name)
        signal = self._signals.get(key)
        if signal is None:
            signal = Signal()
            self._signals[key] = signal
        return signal

    def _tiers(
        self,
        members: Sequence[Member],
        rank: Rank,
        tried: Collection[HostId],
    ) -> list[list[Member]]:
        tiers: list[list[Member]] = [[] for _ in range(_TIERS)]
        for member in members:
            if member.host not in tried:
                tiers[self._locality.distance(member)].append(member)
        return tiers if rank.cross_region else tiers[:-1]

    def _pick(
        self,
        members: list[Member],
        rank: Rank,
        now_s: float,
    ) -> Member:
        if len(members) == 1:
            return members[0]
        pair = self._rng.sample(members, 2)
        return min(pair, key=lambda one: self._cost(one, rank, now_s))

    def _cost(self, member: Member, rank: Rank, now_s: float) -> float:
        signal = self._signal(member.host, rank)
        latency_s = 0.0
        if self._is_recent(signal, now_s):
            latency_s = signal.latency_s
        load = self._load(signal, member, now_s)
        return (1 + load) * (latency_s + _SLOW_SLACK_S / 10)

    def _load(self, signal: Signal, member: Member, now_s: float) -> float:
        own = signal.outstanding / max(1, member.slots)
        age_s = now_s - signal.last_outcome_at_s
        if age_s > _LOAD_MAX_AGE_S:
            return own
        return max(own, signal.busy)

    def _is_recent(self, signal: Signal, now_s: float) -> bool:
        return now_s - signal.last_outcome_at_s < _LATENCY_MAX_AGE_S

    def _best_latency_s(
        self,
        members: Sequence[Member],
        rank: Rank,
        now_s: float,
    ) -> float:
        """Return the lowest recent or baseline latency of the members.

        Baselines show that a member has become slow even when no other member
        has answered recently.
        """
        signals = [self._signal(member.host, rank) for member in members]
        known = [signal.baseline_s for signal in signals if signal.baseline_s]
        known.extend(
            signal.latency_s
            for signal in signals
            if signal.latency_s and self._is_recent(signal, now_s)
        )
        return min(known, default=0.0)

    def _is_acceptable(
        self,
        member: Member,
        rank: Rank,
        best_s: float,
        now_s: float,
    ) -> bool:
        signal = self._signal(member.host, rank)
        if self._load(signal, member, now_s) >= 1:
            return False
        if signal.latency_s <= best_s * _SLOW_FACTOR + _SLOW_SLACK_S:
            return True
        # Probe a slow member again with one request at a time.
        return not self._is_recent(signal, now_s) and not signal.outstanding

    def _least_blocked(
        self,
        tiers: list[list[Member]],
        rank: Rank,
    ) -> Member | None:
        blocked = chain.from_iterable(tiers)
        return min(
            blocked,
            key=lambda one: self._signal(one.host, rank).blocked_until_s,
            default=None,
        )

    def _record_failure(
        self,
        signal: Signal,
        outcome: Refused | Unknown,
        taken_s: float,
        now_s: float,
    ) -> None:
        if outcome.cause in _BLOCKING_CAUSES:
            self._block(signal, now_s)
        elif outcome.cause is Cause.DEADLINE:
            signal.latency_s = max(signal.latency_s, taken_s)
        elif isinstance(outcome, Refused) and (
            outcome.cause is Cause.RATE_LIMITED
        ):
            signal.blocked_until_s = now_s + outcome.retry_after_s

    def _block(self, signal: Signal, now_s: float) -> None:
        block_s = min(_BLOCK_MAX_S, _BLOCK_MIN_S * 2**signal.failures)
        signal.failures += 1
        signal.blocked_until_s = now_s + block_s


def _update_baseline(signal: Signal, now_s: float) -> None:
    """Lower the baseline latency at once, or raise it by 2% a second."""
    rise = 1 + _BASELINE_RISE_PER_S * (now_s - signal.last_outcome_at_s)
    baseline_s = signal.baseline_s * rise or signal.latency_s
    signal.baseline_s = min(baseline_s, signal.latency_s)


class RandomChoice:
    """Selects any member with equal probability; for comparisons.

    :param rng: source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a choice with a source of randomness."""
        self._rng = rng

    def choose(
        self,
        members: Sequence[Member],
        rank: Rank,
        tried: Collection[HostId],
        now_s: float,
    ) -> Member | None:
        """Return a random member that the request was not sent to."""
        untried = [member for member in members if member.host not in tried]
        return self._rng.choice(untried) if untried else None

    def record_start(self, host: HostId, rank: Rank) -> None:
        """Ignore the start."""

    def record_outcome(
        self,
        host: HostId,
        rank: Rank,
        outcome: Outcome,
        busy: float,
        taken_s: float,
        now_s: float,
    ) -> None:
        """Ignore the outcome."""

    def record_size(self, rank: Rank, size_bytes: int) -> None:
        """Ignore the size."""


def choice_from_settings(
    settings: DaemonSettings,
    own: Member,
    rng: random.Random,
) -> Choice:
    """Return the choice that the settings select.

    :param settings: the daemon's settings.
    :param own: this daemon's entry in the member list.
    :param rng: source of randomness.
    """
    if settings.policies.choice == 'random':
        return RandomChoice(rng)
    return SignalChoice(Locality(own.host, own.zone, own.region), rng)
