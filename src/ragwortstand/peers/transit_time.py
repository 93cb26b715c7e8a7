"""ragwortstand.peers.transit_time: time that work spends on its way.

Work says how much time is left when it is sent. It may then lie unread at a
daemon that was paused or at a link that is busy, and must not run after its
caller has left. The clocks of two hosts differ by an unknown amount, so the
work that took the shortest time over the same connection is the measure.
"""

from msgspec.structs import replace

from ragwortstand.peers.messages import Work
from ragwortstand.peers.recent_minimum import RecentMinimum

# The fastest work of the last 10 to 20 s is the measure: clocks drift by less
# than a millisecond in this time.
_INTERVAL_S = 10.0


class TransitTimes:
    """Deducts the transit time from the remaining time of work.

    There is one object for each connection, as both ends are the same hosts
    then. Their boot-time clocks go on while a host is suspended.
    """

    def __init__(self) -> None:
        """Create an object that has seen no work."""
        self._shortest = RecentMinimum(_INTERVAL_S)

    def deduct(self, work: Work, now_s: float) -> Work:
        """Return the work with the time that is left on its arrival.

        :param work: the work, with its time of sending on the sender's clock.
        :param now_s: present time on the boot-time clock of this host.
        """
        if not work.sent_at_s:
            return work
        taken_s = now_s - work.sent_at_s
        self._shortest.record(taken_s, now_s)
        delay_s = taken_s - self._shortest.minimum
        if not delay_s:
            return work
        goal_s = None if work.goal_s is None else work.goal_s - delay_s
        remaining_s = work.remaining_s - delay_s
        return replace(work, remaining_s=remaining_s, goal_s=goal_s)
