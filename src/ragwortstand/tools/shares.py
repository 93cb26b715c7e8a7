"""ragwortstand.tools.shares: shares of successful requests per second."""

from collections.abc import Iterable


def group_by_second(
    samples: Iterable[tuple[float, bool]],
) -> dict[int, list[bool]]:
    """Return results grouped by the second of their start, in order.

    :param samples: start of each request and whether it was served in target.
    """
    seconds: dict[int, list[bool]] = {}
    for at_s, is_in_target in samples:
        seconds.setdefault(int(at_s), []).append(is_in_target)
    return dict(sorted(seconds.items()))


def success_share(part: list[bool]) -> float:
    """Return the share of requests that were served in target.

    :param part: whether each request was served in target; not empty.
    """
    return sum(part) / len(part)
