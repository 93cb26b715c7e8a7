"""ragwortstand.events: log of structured events, one JSON object per line."""

import enum
import os
import time
from collections import Counter
from types import MappingProxyType
from typing import IO, Protocol, TextIO, cast

import eliot

# Maximum lines of one event per second; the others are counted. Metrics report
# the responses of backend servers, so a few samples of them are enough.
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
    DEPARTURE = 'ragwort:departure'
    SERVER_SIGNALS = 'ragwort:server-signals'
    PEER_MESSAGE_REFUSED = 'ragwort:peer-message-refused'
    LINK_SILENT = 'ragwort:link-silent'
    LINK_BACK = 'ragwort:link-back'
    LINK_RESET = 'ragwort:link-reset'
    PLATFORM_OUTAGE = 'ragwort:platform-outage'
    PLATFORM_BACK = 'ragwort:platform-back'
    STORE_READ_FOR_READERS = 'ragwort:store-read-for-readers'
    STORE_RESTORED = 'ragwort:store-restored'
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
    """Byte stream over a file descriptor that never blocks.

    Lines for which a pipe has no room are dropped and counted in `dropped`.

    :param descriptor: open file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = b''
        self.dropped = 0

    def write(self, line: bytes) -> int:
        """Write a line, or drop it as a whole if there is no room.

        :param line: the line with its line end.
        """
        if self._unwritten:
            self._unwritten = self._unwritten[self._send(self._unwritten) :]
        if self._unwritten:
            self.dropped += 1
            return len(line)
        sent = self._send(line)
        if sent:
            # The rest of a partly written line is sent before the next
            # line.
            self._unwritten = line[sent:]
        elif line:
            self.dropped += 1
        return len(line)

    def flush(self) -> None:
        """Do nothing: only the rest of a partly written line is buffered."""

    def _send(self, line: bytes) -> int:
        try:
            return os.write(self._descriptor, line)
        except BlockingIOError:
            return 0


class EliotLog:
    """Event log that uses eliot and limits the rate of each event.

    Events of one name beyond 20 per second are counted, and the count is
    written as ``suppressed`` with the next event of that name. The limit for
    served requests is two per second.

    :param host: name of the host in each event.
    :param stream: receives the lines.
    """

    def __init__(self, host: str, stream: TextIO | DroppingStream) -> None:
        """Write all eliot messages to the stream."""
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
    """Event log that discards all events."""

    def emit(self, event: Event, **fields: object) -> None:
        """Discard the event."""
