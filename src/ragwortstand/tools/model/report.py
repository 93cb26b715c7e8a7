"""ragwortstand.tools.model.report: compares the policy with its baseline."""

import math
import random
from collections.abc import Callable, Sequence
from typing import TypeAlias

import msgspec

from ragwortstand.backend_servers.admission import FifoAdmission, Load
from ragwortstand.backend_servers.latency_objective_admission import (
    LatencyObjectiveAdmission,
)
from ragwortstand.peers.choice import Choice, Locality, RandomChoice
from ragwortstand.peers.latency_objective_choice import LatencyObjectiveChoice
from ragwortstand.peers.retries import NaiveRetries, RetryPolicy
from ragwortstand.peers.shared_budget import RetryBudget, SharedBudgetRetries
from ragwortstand.tools.model.fleet import FleetModel
from ragwortstand.tools.model.plans import Policy, RequestResult
from ragwortstand.tools.model.scenarios import build_scenario
from ragwortstand.tools.model.virtual_time import run_in_virtual_time
from ragwortstand.tools.shares import group_by_second, success_share

# Shares of seconds with fewer requests of a rank mean nothing.
_MIN_REQUESTS_PER_SECOND = 20

ResultsByPolicy: TypeAlias = dict[str, tuple[RequestResult, ...]]


class RankFigures(msgspec.Struct, frozen=True):
    """Outcomes of the requests of one rank.

    :param asked: number of requests of callers.
    :param in_goal: share served within the target of the rank.
    :param served: share that got a successful response.
    :param worst_second: lowest share within the target in any second.
    :param refused: share that was refused and retried at least once.
    :param refusal_p99_s: 99th percentile of the time until the first such
        refusal; 0 without any.
    """

    asked: int
    in_goal: float
    served: float
    worst_second: float
    refused: float
    refusal_p99_s: float


class ModelReport(msgspec.Struct, frozen=True):
    """Figures of one scenario under several policies.

    :param scene: name of the scenario.
    :param seed: seed of all random choices.
    :param policies: figures by policy and rank.
    """

    scene: str
    seed: int
    policies: dict[str, dict[str, RankFigures]]


def sidecar_policy() -> Policy:
    """Return the policy that the sidecar uses."""
    return Policy(
        'goals',
        LatencyObjectiveAdmission,
        LatencyObjectiveChoice,
        _shared_budget,
    )


def baseline_policy() -> Policy:
    """Return first come first served, random choice and naive retries."""
    return Policy('baseline', FifoAdmission, _random_choice, _naive_retries)


def simulate(name: str, policy: Policy, seed: int) -> tuple[RequestResult, ...]:
    """Simulate a scenario and return the results of its requests.

    :param name: name of the scenario.
    :param policy: the policy classes of all daemons.
    :param seed: seed of all random choices.
    """
    fleet = FleetModel(build_scenario(name), policy, seed)
    return run_in_virtual_time(fleet.simulate)


def compare(name: str, seed: int) -> tuple[ModelReport, ResultsByPolicy]:
    """Simulate a scenario with the baseline and with the policy.

    :param name: name of the scenario.
    :param seed: seed of all random choices.
    :returns: the report, and the results by policy for a plot.
    """
    results = {
        policy.name: simulate(name, policy, seed)
        for policy in (baseline_policy(), sidecar_policy())
    }
    figures = {label: compute_figures(part) for label, part in results.items()}
    return ModelReport(name, seed, figures), results


def compute_figures(results: Sequence[RequestResult]) -> dict[str, RankFigures]:
    """Return the figures of each rank.

    :param results: all requests of one run.
    """
    ranks = sorted({result.rank for result in results})
    return {
        rank: _compute_rank_figures(
            [one for one in results if one.rank == rank]
        )
        for rank in ranks
    }


def _compute_rank_figures(results: Sequence[RequestResult]) -> RankFigures:
    refusals = sorted(
        result.refused_after_s
        for result in results
        if math.isfinite(result.refused_after_s)
    )
    asked = len(results)
    seconds = group_by_second(
        (one.began_at_s, one.is_in_goal) for one in results
    )
    shares = (
        success_share(part)
        for part in seconds.values()
        if len(part) >= _MIN_REQUESTS_PER_SECOND
    )
    refusal_p99_s = refusals[int(len(refusals) * 0.99)] if refusals else 0.0
    return RankFigures(
        asked,
        round(sum(result.is_in_goal for result in results) / asked, 4),
        round(sum(result.is_served for result in results) / asked, 4),
        round(min(shares, default=0), 4),
        round(len(refusals) / asked, 4),
        round(refusal_p99_s, 4),
    )


def _random_choice(
    locality: Locality,
    own_load: Callable[[float], Load],
    rng: random.Random,
) -> Choice:
    return RandomChoice(rng)


def _naive_retries(daemons: int) -> RetryPolicy:
    return NaiveRetries()


def _shared_budget(daemons: int) -> RetryPolicy:
    return SharedBudgetRetries(RetryBudget(), lambda: daemons)
