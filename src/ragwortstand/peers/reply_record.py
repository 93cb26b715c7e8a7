"""ragwortstand.peers.reply_record: how many own requests got a reply."""

from collections import deque

# Two probe intervals: one probe that fails and the two members that were asked
# to repeat it outnumber the replies to the probes before.
_WINDOW_S = 2.0


class ReplyRecord:
    """Records whether the recent requests to other members got a reply.

    A daemon that is cut off together with others still gets messages of them,
    but most of its requests go to the members on the other side.
    """

    def __init__(self) -> None:
        """Create a record without requests."""
        self._results: deque[tuple[float, bool]] = deque()
        self._answered_count = 0

    def record(self, now_s: float, *, is_answered: bool) -> None:
        """Record the result of a request.

        :param now_s: present time.
        :param is_answered: whether there was a reply.
        """
        self._results.append((now_s, is_answered))
        self._answered_count += is_answered
        self._forget_before(now_s - _WINDOW_S)

    def is_mostly_unanswered(self, now_s: float) -> bool:
        """Return whether most of the recent requests got no reply.

        :param now_s: present time.
        """
        self._forget_before(now_s - _WINDOW_S)
        return 2 * self._answered_count < len(self._results)

    def _forget_before(self, since_s: float) -> None:
        while self._results and self._results[0][0] < since_s:
            _, is_answered = self._results.popleft()
            self._answered_count -= is_answered
