"""ragwortstand.backend_servers.exit_refusals: requests that outlast a daemon.

A daemon that stops exits when its grace period ends. A request that still waits
for a slot then would get no response, so it is refused while there is time for
it to run elsewhere.
"""

import math

from ragwortstand.backend_servers.admission import Admission, Ticket
from ragwortstand.calls import Call, FinishLimit
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
        if math.isinf(min(self._exit_s, call.limit.finish_by_s)):
            return None
        service_s = self._admission.service_s(call.rank.name, now_s)
        return self._late_refusal(call.limit, service_s, now_s)

    def refuse_late(self, now_s: float) -> None:
        """Refuse waiting requests that would probably be cut off.

        :param now_s: present time.
        """
        load = self._admission.load(now_s)
        slot_interval_s = load.service_s / max(1, load.slots)
        start_s = now_s + slot_interval_s
        late: list[tuple[Ticket, Refused]] = []
        for ticket in self._admission.waiting():
            if ticket.refusal:
                continue
            service_s = self._admission.service_s(ticket.rank, now_s)
            refusal = self._late_refusal(ticket.limit, service_s, start_s)
            if refusal:
                late.append((ticket, refusal))
            else:
                start_s += slot_interval_s
        for ticket, refusal in late:
            ticket.refuse(refusal)

    def _late_refusal(
        self, limit: FinishLimit, service_s: float, start_s: float
    ) -> Refused | None:
        """Return the refusal of a request that would probably be cut off.

        An exit of this daemon leaves more of a margin, as other daemons, which
        do not stop, would not know the outcome of what it cuts off.

        :param limit: when the daemon that has sent the request exits.
        :param service_s: the mean time for such a request.
        :param start_s: when it starts.
        """
        if limit.finish_by_s <= self._exit_s:
            finish_s = start_s + service_s * _USUAL_REQUEST_FACTOR
            is_late = finish_s > limit.finish_by_s
            return Refused(Cause.SENDER_LEAVING) if is_late else None
        finish_s = start_s + service_s * LONG_REQUEST_FACTOR
        return Refused(Cause.LEAVING) if finish_s > self._exit_s else None
