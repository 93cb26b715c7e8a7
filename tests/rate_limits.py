"""What the users allow a backend server with a rate limit to get."""

from collections.abc import Sequence

_WINDOW_S = 4.0
_TOLERANCE = 1.5
_TOLERATED_REQUESTS = 5


def most_in_window(times_s: Sequence[float]) -> int:
    """Return the largest number of requests in any window."""
    return max(
        (
            sum(start_s <= at_s < start_s + _WINDOW_S for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


def allowed_in_window(limit_per_s: float) -> float:
    """Return the number of requests that a window may have."""
    return limit_per_s * _WINDOW_S * _TOLERANCE + _TOLERATED_REQUESTS
