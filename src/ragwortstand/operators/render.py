"""ragwortstand.operators.render: formats admin API documents as text."""

import datetime
import difflib
import json
from collections.abc import Sequence

import msgspec

from ragwortstand.operators.documents import (
    AppliedReport,
    FaultReport,
    HistoryReport,
    MembersReport,
    StatusReport,
    SubmissionReport,
)
from ragwortstand.storage import VersionRecord


class Difference(msgspec.Struct, frozen=True):
    """Unified diff of two versions."""

    difference: str


def faults(fault_reports: Sequence[FaultReport]) -> str:
    """Format faults, one per line."""
    if not fault_reports:
        return 'no faults'
    return '\n'.join(
        f'{fault.path}: {fault.problem}' for fault in fault_reports
    )


def submission(outcome: SubmissionReport) -> str:
    """Format the outcome of a submission."""
    record = outcome.record
    match outcome.outcome:
        case 'accepted' if record:
            return f'accepted as version {record.version}'
        case 'conflict' if record:
            return (
                f'refused: version {record.version} by {record.author} '
                f'(submission {record.submission}) came first; '
                'base the file on it and submit again'
            )
        case 'faulty':
            return faults(outcome.faults)
        case 'conflict':
            return 'refused: the base version does not exist'
    return f'{outcome.verdict}: {outcome.problem}'


def status(report: StatusReport) -> str:
    """Format the state of one daemon."""
    platform = 'reachable' if report.is_platform_reachable else 'unreachable'
    lines = (
        f'host            {report.host}',
        f'version         {report.version}',
        f'ready           {_yes_or_no(report.is_ready)}',
        f'backend server  {report.backend_server}',
        f'in flight       {report.in_flight}',
        f'platform        {platform}',
    )
    return '\n'.join(lines)


def applied(report: AppliedReport) -> str:
    """Format how many daemons have a version in force and which do not."""
    if report.is_complete:
        count = len(report.applied)
        return f'version {report.version} is in force on all {count} daemons'
    lines = [
        f'version {report.version} is in force on '
        f'{len(report.applied)} daemons',
    ]
    lines.extend(f'lagging: {host}' for host in report.lagging)
    lines.extend(f'silent:  {host}' for host in report.silent)
    return '\n'.join(lines)


def history(report: HistoryReport) -> str:
    """Format accepted versions, one per line."""
    if not report.versions:
        return 'no version has been accepted yet'
    return '\n'.join(_version_line(record) for record in report.versions)


def members(report: MembersReport) -> str:
    """Format members as a table."""
    line = '{0:<20} {1:<16} {2:<18} {3:<8} {4:<12} {5:>5} {6}'.format
    lines = [
        line('HOST', 'REGION', 'ZONE', 'STATE', 'SERVICE', 'SLOTS', 'READY'),
    ]
    lines.extend(
        line(
            member.host,
            member.region,
            member.zone,
            member.state,
            member.service or '-',
            member.slots,
            _yes_or_no(member.is_ready),
        )
        for member in report.members
    )
    return '\n'.join(lines)


def difference(
    old: bytes,
    new: bytes,
    old_version: int,
    new_version: int,
) -> str:
    """Format the unified diff of two configurations in canonical JSON."""
    lines = difflib.unified_diff(
        _pretty_lines(old),
        _pretty_lines(new),
        f'version {old_version}',
        f'version {new_version}',
        lineterm='',
    )
    return '\n'.join(lines)


def _pretty_lines(content: bytes) -> list[str]:
    return json.dumps(json.loads(content), indent=2).splitlines()


def _version_line(record: VersionRecord) -> str:
    moment = datetime.datetime.fromtimestamp(
        record.accepted_unix_s, tz=datetime.UTC
    )
    when = moment.isoformat(timespec='seconds')
    digest = record.digest[:12]
    return f'{record.version:>6}  {when}  {digest}  {record.author}'


def _yes_or_no(flag: bool) -> str:
    return 'yes' if flag else 'no'
