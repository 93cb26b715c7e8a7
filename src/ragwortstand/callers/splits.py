"""ragwortstand.callers.splits: which part of a split route gets a request."""

import random

from ragwortstand.models import Service
from ragwortstand.versions import Match, WeightedTarget

# Splits that are remembered; the largest configurations have thousands of
# routes, and those of former versions are not needed.
_MAX_SPLITS = 10_000


class WeightedSplits:
    """Draws the parts of each route in proportion to their weights.

    Smooth weighted round robin keeps each part within one request of its
    share; a random start keeps daemons from drawing in step.

    :param rng: source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start without routes."""
        self._rng = rng
        self._credits: dict[tuple[WeightedTarget, ...], list[float]] = {}

    def draw(self, match: Match) -> Service:
        """Return the service that gets the next request of a route.

        :param match: the route.
        """
        targets = match.targets
        if len(targets) == 1:
            return targets[0].service
        credits = self._credits.get(targets)
        if credits is None:
            if len(self._credits) >= _MAX_SPLITS:
                self._credits.clear()
            credits = [self._rng.uniform(0, part.weight) for part in targets]
            self._credits[targets] = credits
        for position, part in enumerate(targets):
            credits[position] += part.weight
        drawn = credits.index(max(credits))
        credits[drawn] -= sum(part.weight for part in targets)
        return targets[drawn].service

    def clear(self) -> None:
        """Forget all routes, as a new configuration is in force."""
        self._credits.clear()
