"""ragwortstand.tools.event_logs: reads the event logs of processes."""

import json
import pathlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

_ENVELOPE_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'host'),
)


@dataclass(frozen=True, slots=True)
class TimedEvent:
    """An event that a process logged.

    :param unix_s: time of the event, seconds since 1970.
    :param host: host of the process.
    :param name: name of the event.
    :param details: the other fields.
    """

    unix_s: float
    host: str
    name: str
    details: dict[str, Any]


def read_log(path: pathlib.Path) -> list[TimedEvent]:
    """Return the events of a log in the order in which they were written.

    Lines without an event are skipped, and so is text before the JSON object
    of a line, such as the prefix that a log collector adds.

    :param path: file with JSON lines.
    """
    lines = path.read_text(errors='replace').splitlines()
    return [
        event for line in lines if (event := _parse_event(line)) is not None
    ]


def read_events(paths: Iterable[pathlib.Path]) -> list[TimedEvent]:
    """Return the events of several logs in the order of time.

    :param paths: files with JSON lines.
    """
    events = [event for path in paths for event in read_log(path)]
    return sorted(events, key=lambda event: event.unix_s)


def _parse_event(line: str) -> TimedEvent | None:
    try:
        fields = json.loads(line[max(0, line.find('{')) :])
    except json.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or 'message_type' not in fields:
        return None
    details = {
        name: content
        for name, content in fields.items()
        if name not in _ENVELOPE_FIELDS
    }
    return TimedEvent(
        unix_s=float(fields.get('timestamp', 0)),
        host=str(fields.get('host', '?')),
        name=str(fields['message_type']),
        details=details,
    )
