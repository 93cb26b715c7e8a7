"""ragwortstand.events: structured events, one JSON object a line."""

import enum
import os
import time
from collections import Counter
from types import MappingProxyType
from typing import IO, Protocol, TextIO, cast

import eliot

# Lines of one event a second; the rest are counted. Answers that a backend
# server gave are told by the metrics, so that few of them are enough as
# samples.
_DEFAULT_LINES_PER_SECOND = 20
_SERVED_LINES_PER_SECOND = 2


class Event(enum.Enum):
    """Names of the events; the value is eliot's ``message_type``."""

    LISTENING = 'ragwort:listening'
    STOPPED = 'ragwort:stopped'
    ACCEPTED = 'ragwort:accepted'
    SUBMISSION_REFUSED = 'ragwort:submission-refused'
    APPLIED = 'ragwort:applied'
    VERSION_REFUSED = 'ragwort:version-refused'
    SERVED = 'ragwort:served'
    FAILED = 'ragwort:failed'
    DECLINED = 'ragwort:declined'
    NO_CANDIDATE = 'ragwort:no-candidate'
    REFUSED = 'ragwort:refused'
    UNKNOWN = 'ragwort:may-have-run'
    ABANDONED = 'ragwort:abandoned'
    CONNECTION_ENDED = 'ragwort:connection-ended'
    RETRIED = 'ragwort:retried'
    QUARANTINED = 'ragwort:quarantined'
    CRASH_SUSPECTS = 'ragwort:crash-suspects'
    DRAINING = 'ragwort:draining'
    MEMBER = 'ragwort:member'
    BACKEND_SERVER = 'ragwort:backend-server'
    PEER_MESSAGE_REFUSED = 'ragwort:peer-message-refused'
    LINK_SILENT = 'ragwort:link-silent'
    LINK_BACK = 'ragwort:link-back'
    LINK_RESET = 'ragwort:link-reset'
    PLATFORM_OUTAGE = 'ragwort:platform-outage'
    PLATFORM_BACK = 'ragwort:platform-back'
    ANNOUNCEMENT_REFUSED = 'ragwort:announcement-refused'
    ROW_REFUSED = 'ragwort:row-refused'
    RELOADED = 'ragwort:reloaded'
    RELOAD_REFUSED = 'ragwort:reload-refused'
    STOPPING = 'ragwort:stopping'
    TASK_FAILED = 'ragwort:task-failed'


_LINES_PER_SECOND = MappingProxyType({Event.SERVED: _SERVED_LINES_PER_SECOND})


class EventLog(Protocol):
    """Records events."""

    def emit(self, event: Event, **fields: object) -> None:
        """Record one event with its fields."""


class DroppingStream:
    """Byte stream over a descriptor that never waits for its reader.

    What a full pipe does not take is dropped, and `dropped` counts it.

    :param descriptor: open file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        """Make writes return at once."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b''
        self.dropped = 0

    def write(self, line: bytes) -> int:
        """Write a whole line or none of it.

        :param line: the line with its end.
        """
        if self._unwritten:
            self._unwritten = self._unwritten[self._send(self._unwritten) :]
        if self._unwritten:
            self.dropped += 1
            return len(line)
        sent = self._send(line)
        if sent:
            # The end of a line that was begun goes before the next one.
            self._unwritten = line[sent:]
        elif line:
            self.dropped += 1
        return len(line)

    def flush(self) -> None:
        """Do nothing, as nothing is held back but the end of a line."""

    def _send(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0


class EliotLog:
    """Event log over eliot that bounds bursts of the same event.

    Events of one name beyond 20 a second are counted, and the count is
    written as ``suppressed`` with the next event of that name. Of requests
    that were served two a second are written.

    :param host: name of the process in each event.
    :param stream: where the lines go.
    """

    def __init__(self, host: str, stream: TextIO | DroppingStream) -> None:
        """Send all eliot messages to the stream."""
        self._host = host
        self._second = 0
        self._written: Counter[Event] = Counter()
        self._suppressed: Counter[Event] = Counter()
        eliot.to_file(cast(IO[str], stream))

    def emit(self, event: Event, **fields: object) -> None:
        """Record one event with its fields."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        self._written[event] += 1
        if self._written[event] > _LINES_PER_SECOND.get(
            event, _DEFAULT_LINES_PER_SECOND
        ):
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
