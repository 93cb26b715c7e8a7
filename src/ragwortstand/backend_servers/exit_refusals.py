"""ragwortstand.backend_servers.exit_refusals: requests that outlast a daemon.

A daemon that stops exits when its grace period ends. A request that still waits
for a slot then would get no response, so it is refused while there is time for
it to run elsewhere.
"""

import math

from ragwortstand.backend_servers.admission import Admission, Ticket
from ragwortstand.calls import Call
from ragwortstand.verdicts import Cause, Refused

#: Few requests take longer than this multiple of the mean service time.
LONG_REQUEST_FACTOR = 2.0
# Most requests take no longer than this multiple of the mean service time.
_USUAL_REQUEST_FACTOR = 1.3


class ExitRefusals:
    """Refuses requests that would not finish before a daemon exits.

    The daemon is this one, or the one that has forwarded the request.

    :param admission: the queue and the load of the backend server.
    """

    def __init__(self, admission: Admission) -> None:
        """Create an object for a daemon that does not stop."""
        self._admission = admission
        self._exit_s = math.inf

    def set_exit(self, exit_s: float) -> None:
        """Set when this daemon exits.

        :param exit_s: time of the exit.
        """
        self._exit_s = exit_s

    def on_enter(self, call: Call, ticket: Ticket, now_s: float) -> None:
        """Apply the limit of a request to its place in the queue.

        :param call: the request.
        :param ticket: its place, or the slot that it was granted.
        :param now_s: present time.
        """
        ticket.limit = call.limit
        if not math.isinf(call.limit.finish_by_s):
            self.refuse_late(now_s)

    def refusal(self, call: Call, now_s: float) -> Refused | None:
        """Return the refusal of a request that would probably be cut off.

        :param call: a request that has a slot.
        :param now_s: present time.
        """
        finish_by_s = min(self._exit_s, call.limit.finish_by_s)
        if math.isinf(finish_by_s):
            return None
        service_s = self._admission.service_s(call.rank.name, now_s)
        if now_s + service_s * _USUAL_REQUEST_FACTOR > finish_by_s:
            return Refused(Cause.LEAVING)
        return None

    def refuse_late(self, now_s: float) -> None:
        """Refuse waiting requests that would probably be cut off.

        :param now_s: present time.
        """
        load = self._admission.load(now_s)
        slot_interval_s = load.service_s / max(1, load.slots)
        start_s = now_s + slot_interval_s
        late: list[Ticket] = []
        for ticket in self._admission.waiting():
            if ticket.refusal:
                continue
            if self._is_late(ticket, start_s, now_s):
                late.append(ticket)
            else:
                start_s += slot_interval_s
        for ticket in late:
            ticket.refuse(Refused(Cause.LEAVING))

    def _is_late(self, ticket: Ticket, start_s: float, now_s: float) -> bool:
        """Return whether a request that starts at a time would be cut off.

        An exit of this daemon leaves more of a margin, as other daemons, which
        do not stop, would not know the outcome of what it cuts off.
        """
        service_s = self._admission.service_s(ticket.rank, now_s)
        usual_finish_s = start_s + service_s * _USUAL_REQUEST_FACTOR
        if usual_finish_s > ticket.limit.finish_by_s:
            return True
        return start_s + service_s * LONG_REQUEST_FACTOR > self._exit_s
