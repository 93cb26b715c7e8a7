"""ragwortstand.tools.timeline: merges the event logs of many processes.

Lines that are not JSON events are skipped. An event is marked with `~` when
it is out of order: it applies a version lower than one that was applied before
it, or it belongs to a request whose outcome another host has already logged.
"""

import argparse
import pathlib
import sys
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ragwortstand.commands import ExitCode, report
from ragwortstand.events import Event
from ragwortstand.program_version import add_version
from ragwortstand.tools import explain
from ragwortstand.tools.event_logs import TimedEvent, read_events

_OUTCOME_EVENTS = frozenset((Event.REFUSED.value, Event.UNKNOWN.value))


@dataclass(frozen=True, slots=True)
class Filter:
    """Conditions that an event must meet to be shown; None accepts all.

    :param request: id of a request.
    :param version: version of the configuration.
    :param host: host name.
    :param event: substring of the name of the event.
    """

    request: str | None = None
    version: int | None = None
    host: str | None = None
    event: str | None = None

    def matches(self, event: TimedEvent) -> bool:
        """Return whether an event meets all conditions."""
        details = event.details
        return (
            self.request in {None, details.get('request')}
            and self.version in {None, details.get('version')}
            and self.host in {None, event.host}
            and (self.event or '') in event.name
        )


def find_out_of_order(events: Sequence[TimedEvent]) -> list[bool]:
    """Return for each event whether it is out of order.

    :param events: events in the order of time.
    """
    newest_version = 0
    outcome_hosts: dict[str, str] = {}
    out_of_order = []
    for event in events:
        version = event.details.get('version') or 0
        request = event.details.get('request') or ''
        is_applied = event.name == Event.APPLIED.value
        is_after_outcome = outcome_hosts.get(request, event.host) != event.host
        out_of_order.append(
            (is_applied and version < newest_version) or is_after_outcome
        )
        if is_applied:
            newest_version = max(newest_version, version)
        if event.name in _OUTCOME_EVENTS and request:
            outcome_hosts[request] = event.host
    return out_of_order


def render(events: Sequence[TimedEvent], event_filter: Filter) -> Iterator[str]:
    """Return one line for each event that passes a filter.

    :param events: events in the order of time.
    :param event_filter: selects the events to show.
    """
    if not events:
        return
    start_s = events[0].unix_s
    marks = find_out_of_order(events)
    for event, is_out_of_order in zip(events, marks, strict=True):
        if event_filter.matches(event):
            mark = '~' if is_out_of_order else ' '
            after_s = event.unix_s - start_s
            details = ' '.join(
                f'{name}={content}' for name, content in event.details.items()
            )
            name = event.name.removeprefix('ragwort:')
            yield f'{after_s:10.3f} {mark} {event.host:<20} {name} {details}'


def main(arguments: Sequence[str] | None = None) -> int:
    """Print a time line, or with `explain` the trace of one request.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and arguments[0] == 'explain':
        return explain.main(arguments[1:])
    options = _parser().parse_args(arguments)
    event_filter = Filter(
        options.request, options.version_filter, options.host, options.event
    )
    try:
        events = read_events(pathlib.Path(name) for name in options.logs)
    except OSError as error:
        return report(error, ExitCode.FAULTY)
    if not events:
        return report('no events in these logs', ExitCode.FAILED)
    try:
        sys.stdout.writelines(
            f'{line}\n' for line in render(events, event_filter)
        )
    except BrokenPipeError:
        sys.stderr.close()
    return ExitCode.DONE


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='ragwort-timeline',
        description='Merge event logs into one time line; ~ marks events '
        'that are out of order. `%(prog)s explain REQUEST-ID LOG...` shows '
        'the trace of one request.',
    )
    add_version(parser)
    parser.add_argument('logs', nargs='+', metavar='LOG')
    parser.add_argument('--request', metavar='ID')
    parser.add_argument(
        '--in-version', type=int, dest='version_filter', metavar='VERSION'
    )
    parser.add_argument('--host')
    parser.add_argument('--event', help='substring of the name of the event')
    return parser


if __name__ == '__main__':
    sys.exit(main())
