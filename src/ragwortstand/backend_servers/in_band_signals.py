"""ragwortstand.backend_servers.in_band_signals: what responses say of a server.

A backend server may tell with each response how many requests it takes from
all hosts together, and that it is about to stop.
"""

import re
from dataclasses import dataclass

from ragwortstand.verdicts import Headers

_DECIMAL_NUMBER = re.compile(rb'[0-9]{1,12}([.][0-9]{0,12})?')
_MAX_LOGGED_LENGTH = 40


@dataclass(frozen=True, slots=True)
class InBandSignals:
    """State that a backend server reports with a response.

    :param rate_limit_per_s: requests per second that it takes from all hosts
        together; None for no limit.
    :param is_leaving: whether it is about to stop and takes no more requests.
    :param problem: why the limit can't be read; empty if it can. The previous
        limit remains valid then.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    problem: str = ''


@dataclass(frozen=True, slots=True)
class SignalHeaders:
    """Names of the headers with the signals, in lower case.

    :param rate_limit: requests per second, a decimal number.
    :param leaving: `1` from a server that is about to stop.
    """

    rate_limit: bytes
    leaving: bytes

    def read(self, headers: Headers) -> InBandSignals:
        """Return the signals in the headers of a response.

        The lowest of several limits counts.

        :param headers: headers of the response, names in lower case.
        """
        is_leaving = (self.leaving, b'1') in headers
        limits: list[float] = []
        for name, text in headers:
            if name != self.rate_limit:
                continue
            limit_per_s = _parse_limit(text)
            if limit_per_s is None:
                problem = repr(text[:_MAX_LOGGED_LENGTH])
                return InBandSignals(
                    is_leaving=is_leaving, problem=f'{problem} is no rate'
                )
            limits.append(limit_per_s)
        return InBandSignals(min(limits, default=None), is_leaving)

    def occur_in(self, headers: Headers) -> bool:
        """Return whether a response has any of the headers."""
        own = {self.rate_limit, self.leaving}
        return any(name in own for name, _ in headers)


def _parse_limit(text: bytes) -> float | None:
    return float(text) if _DECIMAL_NUMBER.fullmatch(text) else None
