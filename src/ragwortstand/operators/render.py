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


def faults(found: Sequence[FaultReport]) -> str:
    """Format faults, one per line."""
    if not found:
        return 'no faults'
    return '\n'.join(f'{fault.path}: {fault.problem}' for fault in found)


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


def status(found: StatusReport) -> str:
    """Format the state of one daemon."""
    platform = 'reachable' if found.is_platform_reachable else 'unreachable'
    lines = (
        f'host            {found.host}',
        f'version         {found.version}',
        f'ready           {_yes(found.is_ready)}',
        f'backend server  {found.backend_server}',
        f'in flight       {found.in_flight}',
        f'platform        {platform}',
    )
    return '\n'.join(lines)


def applied(found: AppliedReport) -> str:
    """Format how many daemons have a version in force and which do not."""
    if found.is_complete:
        count = len(found.applied)
        return f'version {found.version} is in force on all {count} daemons'
    lines = [
        f'version {found.version} is in force on {len(found.applied)} daemons',
    ]
    lines.extend(f'lagging: {host}' for host in found.lagging)
    lines.extend(f'silent:  {host}' for host in found.silent)
    return '\n'.join(lines)


def history(found: HistoryReport) -> str:
    """Format accepted versions, one per line."""
    if not found.versions:
        return 'no version has been accepted yet'
    return '\n'.join(_version_line(record) for record in found.versions)


def members(found: MembersReport) -> str:
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
            _yes(member.is_ready),
        )
        for member in found.members
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
        _pretty(old),
        _pretty(new),
        f'version {old_version}',
        f'version {new_version}',
        lineterm='',
    )
    return '\n'.join(lines)


def _pretty(content: bytes) -> list[str]:
    return json.dumps(json.loads(content), indent=2).splitlines()


def _version_line(record: VersionRecord) -> str:
    moment = datetime.datetime.fromtimestamp(
        record.accepted_unix_s, tz=datetime.UTC
    )
    when = moment.isoformat(timespec='seconds')
    digest = record.digest[:12]
    return f'{record.version:>6}  {when}  {digest}  {record.author}'


def _yes(flag: bool) -> str:
    return 'yes' if flag else 'no'
