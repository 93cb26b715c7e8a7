"""ragwortstand.tools.shares: how a share of requests changes over a run."""

from collections.abc import Iterable


def group_by_second(
    samples: Iterable[tuple[float, bool]],
) -> dict[int, list[bool]]:
    """Return samples by the second in which they began, in order.

    :param samples: start of each request and whether it was served in target.
    """
    seconds: dict[int, list[bool]] = {}
    for at_s, is_in_target in samples:
        seconds.setdefault(int(at_s), []).append(is_in_target)
    return dict(sorted(seconds.items()))


def success_share(part: list[bool]) -> float:
    """Return the part of the samples that are good.

    :param part: at least one sample.
    """
    return sum(part) / len(part)
