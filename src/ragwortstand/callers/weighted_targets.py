"""ragwortstand.callers.weighted_targets: selects services by weight."""

import random

from ragwortstand.models import Service
from ragwortstand.versions import Match, WeightedTarget

# Split routes whose credits are stored. The largest configurations have
# thousands of routes; those of earlier versions are no longer needed.
_MAX_STORED_ROUTES = 10_000


class WeightedTargetSelector:
    """Selects the targets of each route in proportion to their weights.

    Smooth weighted round robin keeps each target within one request of its
    share; random initial credits keep daemons from selecting the same targets
    in lockstep.

    :param rng: source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a selector without routes."""
        self._rng = rng
        self._credits: dict[tuple[WeightedTarget, ...], list[float]] = {}

    def select(self, match: Match) -> Service:
        """Return the service that gets the next request of a route.

        :param match: the route.
        """
        targets = match.targets
        if len(targets) == 1:
            return targets[0].service
        credits = self._credits.get(targets)
        if credits is None:
            if len(self._credits) >= _MAX_STORED_ROUTES:
                self._credits.clear()
            credits = [
                self._rng.uniform(0, target.weight) for target in targets
            ]
            self._credits[targets] = credits
        for position, target in enumerate(targets):
            credits[position] += target.weight
        selected = credits.index(max(credits))
        credits[selected] -= sum(target.weight for target in targets)
        return targets[selected].service

    def clear(self) -> None:
        """Remove the state of all routes when the configuration changes."""
        self._credits.clear()
