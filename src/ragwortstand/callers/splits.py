"""ragwortstand.callers.splits: selects a service for a split route."""

import random

from ragwortstand.models import Service
from ragwortstand.versions import Match, Part

# Stored splits. The largest configurations have thousands of routes; splits of
# earlier versions are no longer needed.
_MAX_SPLITS = 10_000


class WeightedSplits:
    """Selects the targets of each route in proportion to their weights.

    Smooth weighted round robin keeps each target within one request of its
    share; random initial credits keep daemons from selecting the same targets
    in lockstep.

    :param rng: source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a selector without routes."""
        self._rng = rng
        self._credits: dict[tuple[Part, ...], list[float]] = {}

    def draw(self, match: Match) -> Service:
        """Return the service that gets the next request of a route.

        :param match: the route.
        """
        parts = match.parts
        if len(parts) == 1:
            return parts[0].service
        credits = self._credits.get(parts)
        if credits is None:
            if len(self._credits) >= _MAX_SPLITS:
                self._credits.clear()
            credits = [self._rng.uniform(0, part.weight) for part in parts]
            self._credits[parts] = credits
        for position, part in enumerate(parts):
            credits[position] += part.weight
        drawn = credits.index(max(credits))
        credits[drawn] -= sum(part.weight for part in parts)
        return parts[drawn].service

    def clear(self) -> None:
        """Remove the state of all routes when the configuration changes."""
        self._credits.clear()
