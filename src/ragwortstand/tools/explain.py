"""ragwortstand.tools.explain: traces one request through all event logs.

The lines are in causal order: the attempts in the order in which the daemon
that received the request made them, each after the lines that the backend
server's own daemon logged about it, and the outcome last. Clocks of different
hosts are never compared: times only give ages within the log of one host, and
a clock that was set back is reported.
"""

import argparse
import itertools
import pathlib
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from ragwortstand.commands import ExitCode, report
from ragwortstand.events import Event
from ragwortstand.program_version import add_version
from ragwortstand.tools.event_logs import TimedEvent, read_log

_OUTCOME_EVENTS = frozenset(
    (
        Event.SERVED.value,
        Event.FAILED.value,
        Event.REFUSED.value,
        Event.UNKNOWN.value,
    ),
)
# The last event of each kind before a line shows the state on which the daemon
# based its decision.
_STATE_EVENTS = frozenset(
    (
        Event.APPLIED.value,
        Event.VERSION_REFUSED.value,
        Event.PLATFORM_OUTAGE.value,
        Event.PLATFORM_BACK.value,
        Event.BACKEND_SERVER.value,
        Event.LISTENING.value,
        Event.STOPPING.value,
    ),
)
_ATTEMPT_EVENTS = frozenset((Event.RETRIED.value, Event.NO_CANDIDATE.value))
_SUPPRESSED = 'suppressed'


@dataclass(frozen=True, slots=True)
class _LogLine:
    """A line of a log and its position in this log."""

    log: Sequence[TimedEvent]
    position: int

    @property
    def event(self) -> TimedEvent:
        return self.log[self.position]


@dataclass(slots=True)
class _RequestTrace:
    """The lines of one request.

    :param attempts: retries and failed searches for a candidate, logged by the
        daemon that received the request.
    :param declined: refusals that the backend servers' own daemons logged.
    :param others: other lines that name the request.
    :param outcome: the line of the outcome, if there is one.
    """

    attempts: list[_LogLine] = field(default_factory=list)
    declined: list[_LogLine] = field(default_factory=list)
    others: list[_LogLine] = field(default_factory=list)
    outcome: _LogLine | None = None

    @property
    def hosts(self) -> set[str]:
        """Return the hosts that logged these lines or were tried."""
        lines = [*self.attempts, *self.declined, *self.others]
        if self.outcome:
            lines.append(self.outcome)
        tried = {str(line.event.details.get('tried')) for line in self.attempts}
        return {line.event.host for line in lines} | tried


def explain(
    logs: Sequence[Sequence[TimedEvent]],
    request: str,
) -> Iterator[str]:
    """Return the trace of a request as lines of text.

    :param logs: events in the order in which they were written; one log may
        contain the events of several hosts.
    :param request: id of the request.
    """
    logs = _group_by_host(logs)
    traces = _collect_traces(logs, request)
    trace = traces.pop(request, _RequestTrace())
    for call, call_trace in sorted(traces.items()):
        yield f'call {call}'
        yield from _attempt_lines(call_trace)
        yield from _outcome_lines(call_trace)
    yield f'request {request}'
    yield from _attempt_lines(trace)
    for line in trace.others:
        yield _format_event(line.event)
    yield from _outcome_lines(trace)
    if trace.outcome is None:
        yield from _missing_outcome_lines(trace, logs)
    yield from _suppressed_lines(trace, logs)


def main(arguments: Sequence[str]) -> int:
    """Print the trace of a request.

    :param arguments: command line after `explain`.
    :returns: exit code.
    """
    options = _parser().parse_args(arguments)
    try:
        logs = [read_log(pathlib.Path(name)) for name in options.logs]
    except OSError as error:
        return report(error, ExitCode.FAULTY)
    if not any(logs):
        return report('no events in these logs', ExitCode.FAILED)
    lines = explain(logs, options.request)
    try:
        sys.stdout.writelines(f'{line}\n' for line in lines)
    except BrokenPipeError:
        sys.stderr.close()
    return ExitCode.DONE


def _group_by_host(
    logs: Sequence[Sequence[TimedEvent]],
) -> Sequence[Sequence[TimedEvent]]:
    hosts: dict[str, list[TimedEvent]] = {}
    for event in itertools.chain.from_iterable(logs):
        hosts.setdefault(event.host, []).append(event)
    return tuple(hosts.values())


def _collect_traces(
    logs: Sequence[Sequence[TimedEvent]],
    request: str,
) -> dict[str, _RequestTrace]:
    """Return the traces of a request and of its nested calls by request id.

    Backend servers that propagate request ids prefix the ids of their calls
    with the id of the request and a dot.
    """
    traces: dict[str, _RequestTrace] = {}
    for log in logs:
        for position, event in enumerate(log):
            request_id = str(event.details.get('request'))
            if request_id == request or request_id.startswith(f'{request}.'):
                trace = traces.setdefault(request_id, _RequestTrace())
                _add_line(trace, _LogLine(log, position))
    return traces


def _outcome_lines(trace: _RequestTrace) -> Iterator[str]:
    if trace.outcome:
        yield from _line_with_state(trace.outcome)


def _add_line(trace: _RequestTrace, line: _LogLine) -> None:
    name = line.event.name
    if name in _OUTCOME_EVENTS:
        trace.outcome = line
    elif name in _ATTEMPT_EVENTS:
        trace.attempts.append(line)
    elif name == Event.DECLINED.value:
        trace.declined.append(line)
    else:
        trace.others.append(line)


def _attempt_lines(trace: _RequestTrace) -> Iterator[str]:
    """Return the attempts, each after the lines of the daemon it tried."""
    declined = list(trace.declined)
    for attempt in trace.attempts:
        tried = attempt.event.details.get('tried')
        for line in tuple(declined):
            if line.event.host == tried:
                declined.remove(line)
                yield from _line_with_state(line)
        yield _format_event(attempt.event)
    for line in declined:
        yield from _line_with_state(line)


def _line_with_state(line: _LogLine) -> Iterator[str]:
    yield _format_event(line.event)
    yield from _preceding_state(line)


def _preceding_state(line: _LogLine) -> Iterator[str]:
    """Return the state events that precede a line in its log, with ages."""
    found_names: set[str] = set()
    for event in reversed(line.log[: line.position]):
        if event.name in _STATE_EVENTS and event.name not in found_names:
            found_names.add(event.name)
            age_s = line.event.unix_s - event.unix_s
            age = f'{age_s:.3f} s before'
            if age_s < 0:
                age = 'before, by a clock that was set back since'
            yield f'    {age}: {_format_event(event)}'


def _missing_outcome_lines(
    trace: _RequestTrace,
    logs: Sequence[Sequence[TimedEvent]],
) -> Iterator[str]:
    if not (trace.attempts or trace.declined or trace.others):
        yield 'no line of these logs names this request'
    yield 'no line tells its outcome: it was served and not sampled, or'
    yield '    its line was left out (see below), or the log of the daemon'
    yield '    that received it is not among these, or that daemon was killed'
    for log in logs:
        starts = sum(one.name == Event.LISTENING.value for one in log)
        if starts > 1:
            yield f'{log[0].host} was started {starts} times'


def _suppressed_lines(
    trace: _RequestTrace,
    logs: Sequence[Sequence[TimedEvent]],
) -> Iterator[str]:
    """Report which lines about this request may have been suppressed."""
    event_names = {Event.DECLINED.value, Event.RETRIED.value}
    if trace.outcome is None:
        event_names |= _OUTCOME_EVENTS
    suppressed: Counter[tuple[str, str]] = Counter()
    for event in itertools.chain.from_iterable(logs):
        if event.name in event_names:
            count = event.details.get(_SUPPRESSED, 0)
            suppressed[event.host, _short_name(event)] += count
    for (host, name), lines in sorted(suppressed.items()):
        if lines and (host in trace.hosts or not trace.hosts):
            yield f'{host} left out {lines} lines: {name}'


def _short_name(event: TimedEvent) -> str:
    return event.name.removeprefix('ragwort:')


def _format_event(event: TimedEvent) -> str:
    details = ' '.join(
        f'{name}={content}'
        for name, content in event.details.items()
        if name != 'request'
    )
    return f'{event.host}: {_short_name(event)} {details}'


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='ragwort-timeline explain',
        description='Show the outcome of one request and its causes, from '
        'the logs of all daemons.',
    )
    add_version(parser)
    parser.add_argument('request', metavar='REQUEST-ID')
    parser.add_argument('logs', nargs='+', metavar='LOG')
    return parser
