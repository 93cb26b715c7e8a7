"""ragwortstand.tools.explain: the story of one request over all processes.

Lines are ordered by cause and effect: the attempts in the order in which the
daemon that took the request made them, each after what the daemon beside the
backend server wrote about it, the outcome last. Clocks of hosts are only used
for ages within one log, and a clock that was set back is told.
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

_OUTCOMES = frozenset(
    (
        Event.SERVED.value,
        Event.FAILED.value,
        Event.REFUSED.value,
        Event.UNKNOWN.value,
    ),
)
# What a daemon last wrote of these before a line is what it went by then.
_BELIEFS = frozenset(
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
_STEPS = frozenset((Event.RETRIED.value, Event.NO_CANDIDATE.value))
_SUPPRESSED = 'suppressed'


@dataclass(frozen=True, slots=True)
class _Line:
    """A line of a log and where it stands there."""

    log: Sequence[TimedEvent]
    position: int

    @property
    def event(self) -> TimedEvent:
        return self.log[self.position]


@dataclass(slots=True)
class _Story:
    """The lines of one request.

    :param steps: further attempts and dead ends, at the taking daemon.
    :param declined: what daemons beside backend servers wrote.
    :param others: other lines that name the request.
    :param outcome: the line of the outcome, where there is one.
    """

    steps: list[_Line] = field(default_factory=list)
    declined: list[_Line] = field(default_factory=list)
    others: list[_Line] = field(default_factory=list)
    outcome: _Line | None = None

    @property
    def hosts(self) -> set[str]:
        """Return the hosts that wrote these lines, and those they name."""
        lines = [*self.steps, *self.declined, *self.others]
        if self.outcome:
            lines.append(self.outcome)
        tried = {str(line.event.details.get('tried')) for line in self.steps}
        return {line.event.host for line in lines} | tried


def explain(
    logs: Sequence[Sequence[TimedEvent]],
    request: str,
) -> Iterator[str]:
    """Return the lines of the story of a request.

    :param logs: events in the order in which they were written; one log may
        hold the events of several hosts.
    :param request: id of the request.
    """
    logs = _by_host(logs)
    stories = _collect(logs, request)
    story = stories.pop(request, _Story())
    for call, part in sorted(stories.items()):
        yield f'call {call}'
        yield from _attempts(part)
        yield from _outcome_of(part)
    yield f'request {request}'
    yield from _attempts(story)
    for line in story.others:
        yield _shown(line.event)
    yield from _outcome_of(story)
    if story.outcome is None:
        yield from _without_outcome(story, logs)
    yield from _missing(story, logs)


def main(arguments: Sequence[str]) -> int:
    """Print the story of a request.

    :param arguments: command line after the word `explain`.
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


def _by_host(
    logs: Sequence[Sequence[TimedEvent]],
) -> Sequence[Sequence[TimedEvent]]:
    hosts: dict[str, list[TimedEvent]] = {}
    for event in itertools.chain.from_iterable(logs):
        hosts.setdefault(event.host, []).append(event)
    return tuple(hosts.values())


def _collect(
    logs: Sequence[Sequence[TimedEvent]],
    request: str,
) -> dict[str, _Story]:
    """Return the stories of a request and of the calls that its runs made.

    Backend servers that tell put the id of the request and a dot before the
    ids of their calls.
    """
    stories: dict[str, _Story] = {}
    for log in logs:
        for position, event in enumerate(log):
            name = str(event.details.get('request'))
            if name == request or name.startswith(f'{request}.'):
                story = stories.setdefault(name, _Story())
                _sort_in(story, _Line(log, position))
    return stories


def _outcome_of(story: _Story) -> Iterator[str]:
    if story.outcome:
        yield from _told(story.outcome)


def _sort_in(story: _Story, line: _Line) -> None:
    name = line.event.name
    if name in _OUTCOMES:
        story.outcome = line
    elif name in _STEPS:
        story.steps.append(line)
    elif name == Event.DECLINED.value:
        story.declined.append(line)
    else:
        story.others.append(line)


def _attempts(story: _Story) -> Iterator[str]:
    """Return the attempts, each server's own account before its effect."""
    declined = list(story.declined)
    for step in story.steps:
        tried = step.event.details.get('tried')
        for line in tuple(declined):
            if line.event.host == tried:
                declined.remove(line)
                yield from _told(line)
        yield _shown(step.event)
    for line in declined:
        yield from _told(line)


def _told(line: _Line) -> Iterator[str]:
    yield _shown(line.event)
    yield from _beliefs(line)


def _beliefs(line: _Line) -> Iterator[str]:
    """Return what the process went by when it wrote a line, with its age."""
    seen: set[str] = set()
    for event in reversed(line.log[: line.position]):
        if event.name in _BELIEFS and event.name not in seen:
            seen.add(event.name)
            age_s = line.event.unix_s - event.unix_s
            age = f'{age_s:.3f} s before'
            if age_s < 0:
                age = 'before, by a clock that was set back since'
            yield f'    {age}: {_shown(event)}'


def _without_outcome(
    story: _Story,
    logs: Sequence[Sequence[TimedEvent]],
) -> Iterator[str]:
    if not (story.steps or story.declined or story.others):
        yield 'no line of these logs names this request'
    yield 'no line tells its outcome: it was served and not sampled, or'
    yield '    its line was left out (see below), or the log of the daemon'
    yield '    that took it is not among these, or that daemon was killed'
    for log in logs:
        boots = sum(one.name == Event.LISTENING.value for one in log)
        if boots > 1:
            yield f'{log[0].host} was started {boots} times'


def _missing(
    story: _Story,
    logs: Sequence[Sequence[TimedEvent]],
) -> Iterator[str]:
    """Tell which lines about this request may have been left out."""
    wanted = {Event.DECLINED.value, Event.RETRIED.value}
    if story.outcome is None:
        wanted |= _OUTCOMES
    left_out: Counter[tuple[str, str]] = Counter()
    for event in itertools.chain.from_iterable(logs):
        if event.name in wanted:
            count = event.details.get(_SUPPRESSED, 0)
            left_out[event.host, _name(event)] += count
    for (host, name), lines in sorted(left_out.items()):
        if lines and (host in story.hosts or not story.hosts):
            yield f'{host} left out {lines} lines: {name}'


def _name(event: TimedEvent) -> str:
    return event.name.removeprefix('ragwort:')


def _shown(event: TimedEvent) -> str:
    details = ' '.join(
        f'{name}={content}'
        for name, content in event.details.items()
        if name != 'request'
    )
    return f'{event.host}: {_name(event)} {details}'


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='ragwort-timeline explain',
        description='Tell what became of one request and why, from the logs '
        'of all daemons.',
    )
    add_version(parser)
    parser.add_argument('request', metavar='REQUEST-ID')
    parser.add_argument('logs', nargs='+', metavar='LOG')
    return parser
