"""ragwortstand.tools.demo: demonstrates an example deployment end to end.

Starts the platform's stand-in, the backend servers and their daemons, puts
version 1 in force and sends load over all ranks. Under load, it puts version 2
in force, stops one daemon gracefully and kills one backend server.
"""

import argparse
import pathlib
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from uuid import uuid4

import msgspec

from ragwortstand import api
from ragwortstand.authoring import Configuration, Rank
from ragwortstand.commands import ExitCode, report
from ragwortstand.exceptions import RagwortstandError
from ragwortstand.ids import SubmissionId, Version
from ragwortstand.program_version import add_version
from ragwortstand.tools.audit import Audit, RankReport, audit, read_journals
from ragwortstand.tools.background import BackgroundLoad
from ragwortstand.tools.deployment import Deployment, load_deployment
from ragwortstand.tools.fleet import Fleet, Node
from ragwortstand.tools.load import Plan
from ragwortstand.tools.processes import wait_until

_LOAD_S = 20.0
_SETTLE_S = 2.0
_LOAD_BEFORE_CHANGE_S = 4.0
_CONVERGENCE_LIMIT_S = 10.0
_AUTHOR = 'demo'


class Summary(msgspec.Struct, frozen=True):
    """Last line that the demo prints, as JSON.

    The fields without a description are totals of `Audit`.

    :param version: version in force at the end.
    :param in_force: whether every live daemon has applied it.
    :param convergence_s: time from the acceptance of a version until the last
        daemon has applied it, the longer of both versions.
    :param graceful_exit: exit code of the daemon that was stopped.
    :param control_bytes: control traffic that daemons sent to each other.
    :param regional_control_bytes: the part of it on links between regions.
    :param by_rank: results by rank.
    """

    version: int
    in_force: bool
    convergence_s: float
    graceful_exit: int
    sent: int
    answered: int
    refused_not_run: int
    may_have_run: int
    lost: int
    doubled: int
    mismatched: int
    false_not_run: int
    control_bytes: int
    regional_control_bytes: int
    by_rank: dict[str, RankReport]


class Demo:
    """One run of the demo.

    :param folder: folder of the example deployment.
    :param output: folder for logs and journals.
    :param seed: seed of the load's random numbers.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        output: pathlib.Path,
        seed: int,
    ) -> None:
        """Load the deployment and its configuration."""
        self._deployment: Deployment = load_deployment(folder)
        self._mesh = api.parse(_run_script(folder / 'mesh.py'))
        self._seed = seed
        self._fleet = Fleet(
            self._deployment.hosts,
            output,
            self._deployment.cluster,
            self._deployment.store_region,
        )

    def run(self) -> Summary:
        """Run the demo and return its results."""
        with self._fleet as fleet:
            _print_line(f'starting {len(fleet.nodes)} hosts on loopback')
            fleet.start()
            fleet.await_members(len(fleet.nodes))
            first_s = self._submit_and_wait(self._mesh)
            _print_line(
                f'version 1 is in force everywhere after {first_s:.2f} s'
            )
            load = self._start_load()
            time.sleep(_LOAD_BEFORE_CHANGE_S)
            second_s = self._submit_and_wait(_with_longer_deadline(self._mesh))
            _print_line(
                f'version 2 is in force everywhere after {second_s:.2f} s'
            )
            exit_code = self._stop_one_daemon()
            self._kill_one_server()
            records = load.finish()
            time.sleep(_SETTLE_S)
            audit_result = audit(records, read_journals(fleet.journals()))
            return self._summary(
                audit_result, max(first_s, second_s), exit_code
            )

    def _start_load(self) -> BackgroundLoad:
        urls = [node.url for node in self._nodes_under_load()]
        plan = Plan(_LOAD_S, self._deployment.streams, self._seed)
        load = BackgroundLoad(urls, plan, 'demo')
        load.start()
        return load

    def _nodes_under_load(self) -> list[Node]:
        """Return all nodes but the one whose daemon will be stopped."""
        stopped = self._nodes()[-1]
        return [node for node in self._nodes() if node is not stopped]

    def _nodes(self) -> list[Node]:
        return list(self._fleet.nodes.values())

    def _submit_and_wait(self, mesh: Configuration) -> float:
        content = mesh.to_json().encode()
        with self._fleet.admin() as client:
            newest = client.history(1).versions
            base = newest[0].version if newest else Version(0)
            submission = SubmissionId(uuid4().hex)
            outcome = client.submit(content, submission, base, _AUTHOR)
            if outcome.record is None:
                raise RagwortstandError(f'submission was {outcome.outcome}')
            version = outcome.record.version
            return wait_until(
                lambda: client.applied(version).is_complete,
                _CONVERGENCE_LIMIT_S,
                f'version {version} in force',
            )

    def _stop_one_daemon(self) -> int:
        node = self._nodes()[-1]
        assert node.daemon
        exit_code = node.daemon.stop()
        _print_line(
            f'daemon of {node.host.name} stopped with exit code {exit_code}'
        )
        return exit_code

    def _kill_one_server(self) -> None:
        node = self._nodes()[0]
        assert node.server
        node.server.kill()
        _print_line(f'backend server of {node.host.name} killed')

    def _summary(
        self,
        audit_result: Audit,
        convergence_s: float,
        exit_code: int,
    ) -> Summary:
        fleet = self._fleet
        with fleet.admin() as client:
            version = client.status().version
            in_force = client.applied(version).is_complete
        return Summary(
            version=version,
            in_force=in_force,
            convergence_s=round(convergence_s, 3),
            graceful_exit=exit_code,
            sent=audit_result.sent,
            answered=audit_result.answered,
            refused_not_run=audit_result.refused_not_run,
            may_have_run=audit_result.may_have_run,
            lost=audit_result.lost,
            doubled=audit_result.doubled,
            mismatched=audit_result.mismatched,
            false_not_run=audit_result.false_not_run,
            control_bytes=fleet.control_bytes(),
            regional_control_bytes=fleet.control_bytes(('regional',)),
            by_rank=audit_result.by_rank,
        )


def has_passed(summary: Summary) -> bool:
    """Return whether all guarantees held and all steps succeeded in time."""
    violations = (
        summary.lost
        + summary.doubled
        + summary.mismatched
        + summary.false_not_run
    )
    is_on_time = summary.convergence_s <= _CONVERGENCE_LIMIT_S
    is_in_force = summary.in_force and summary.version == 2
    is_graceful = summary.graceful_exit == 0
    return is_in_force and is_on_time and is_graceful and not violations


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo and print a table by rank and the summary.

    :param arguments: command line without the program's name.
    :returns: exit code; non-zero when a guarantee was violated.
    """
    options = _parser().parse_args(arguments)
    output = options.output or tempfile.mkdtemp(prefix='ragwort-demo-')
    try:
        summary = Demo(
            pathlib.Path(options.example), pathlib.Path(output), options.seed
        ).run()
    except (RagwortstandError, OSError) as error:
        return report(error, ExitCode.FAILED)
    _print_line(f'logs and journals are in {output}\n')
    _print_line(_format_table(summary))
    _print_line(msgspec.json.encode(summary).decode())
    return ExitCode.DONE if has_passed(summary) else ExitCode.FAILED


def _run_script(script: pathlib.Path) -> bytes:
    return subprocess.run(
        [sys.executable, str(script)], capture_output=True, check=True
    ).stdout


def _with_longer_deadline(mesh: Configuration) -> Configuration:
    """Return the configuration with a longer deadline for the last rank."""
    last = mesh.ranks[-1]
    longer = Rank(**{**last.model_dump(), 'deadline_s': last.deadline_s + 1})
    return mesh.model_copy(update={'ranks': (*mesh.ranks[:-1], longer)})


def _format_table(summary: Summary) -> str:
    format_row = '{0:<18}{1:>7}{2:>8}{3:>10}{4:>9}{5:>9}{6:>9}{7:>9}'.format
    lines = [
        format_row(
            'RANK',
            'SENT',
            'SERVED',
            'IN TARGET',
            'NOT RUN',
            'UNKNOWN',
            'P50 MS',
            'P99 MS',
        ),
    ]
    lines.extend(
        format_row(
            rank,
            rank_report.sent,
            rank_report.served,
            rank_report.in_target,
            rank_report.refused_not_run,
            rank_report.may_have_run,
            f'{rank_report.p50_ms:.1f}',
            f'{rank_report.p99_ms:.1f}',
        )
        for rank, rank_report in sorted(summary.by_rank.items())
    )
    return '\n'.join((*lines, ''))


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='ragwort-demo',
        description='Demonstrate an example deployment end to end.',
    )
    add_version(parser)
    parser.add_argument('example', help='folder of the example')
    parser.add_argument('--output', help='folder for logs and journals')
    parser.add_argument('--seed', type=int, default=1)
    return parser


if __name__ == '__main__':
    sys.exit(main())
