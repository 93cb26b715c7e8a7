"""ragwortstand.events: structured events, one JSON object a line."""

import enum
import time
from collections import Counter
from typing import Protocol, TextIO

import eliot

_BURST_PER_SECOND = 20


class Event(enum.Enum):
    """Names of the events; the value is eliot's ``message_type``."""

    LISTENING = 'ragwort:listening'
    STOPPED = 'ragwort:stopped'
    ACCEPTED = 'ragwort:accepted'
    SUBMISSION_REFUSED = 'ragwort:submission-refused'
    APPLIED = 'ragwort:applied'
    VERSION_REFUSED = 'ragwort:version-refused'
    SERVED = 'ragwort:served'
    REFUSED = 'ragwort:refused'
    UNKNOWN = 'ragwort:may-have-run'
    RETRIED = 'ragwort:retried'
    QUARANTINED = 'ragwort:quarantined'
    CRASH_SUSPECTS = 'ragwort:crash-suspects'
    DRAINING = 'ragwort:draining'
    MEMBER = 'ragwort:member'
    BACKEND_SERVER = 'ragwort:backend-server'
    PEER_MESSAGE_REFUSED = 'ragwort:peer-message-refused'
    LINK_RESET = 'ragwort:link-reset'
    PLATFORM_OUTAGE = 'ragwort:platform-outage'
    PLATFORM_BACK = 'ragwort:platform-back'
    ROLE = 'ragwort:role'
    ANNOUNCEMENT_REFUSED = 'ragwort:announcement-refused'
    ROW_REFUSED = 'ragwort:row-refused'
    RELOADED = 'ragwort:reloaded'
    RELOAD_REFUSED = 'ragwort:reload-refused'
    STOPPING = 'ragwort:stopping'
    TASK_FAILED = 'ragwort:task-failed'


class EventLog(Protocol):
    """Records events."""

    def emit(self, event: Event, **fields: object) -> None:
        """Record one event with its fields."""


class EliotLog:
    """Event log over eliot that bounds bursts of the same event.

    Events of one name beyond 20 a second are counted, and the count is
    written as ``suppressed`` with the next event of that name.

    :param host: name of the process in each event.
    :param stream: where the lines go.
    """

    def __init__(self, host: str, stream: TextIO) -> None:
        """Send all eliot messages to the stream."""
        self._host = host
        self._second = 0
        self._written: Counter[Event] = Counter()
        self._suppressed: Counter[Event] = Counter()
        eliot.to_file(stream)

    def emit(self, event: Event, **fields: object) -> None:
        """Record one event with its fields."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        self._written[event] += 1
        if self._written[event] > _BURST_PER_SECOND:
            self._suppressed[event] += 1
            return
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            fields['suppressed'] = suppressed
        eliot.log_message(message_type=event.value, host=self._host, **fields)


class NullLog:
    """Event log that drops everything."""

    def emit(self, event: Event, **fields: object) -> None:
        """Drop the event."""
