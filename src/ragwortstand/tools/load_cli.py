"""ragwortstand.tools.load_cli: the command line `ragwort-load`."""

import argparse
import pathlib
import sys
import tempfile
from collections.abc import Sequence

import msgspec

from ragwortstand.commands import Commands, ExitCode, report
from ragwortstand.exceptions import RagwortstandError
from ragwortstand.program_version import add_version
from ragwortstand.tools.added_latency import measure_added_latency
from ragwortstand.tools.audit import rank_report
from ragwortstand.tools.background import BackgroundLoad
from ragwortstand.tools.experiments import EXPERIMENTS, run_experiment
from ragwortstand.tools.load import Plan
from ragwortstand.tools.member_cost import measure_members
from ragwortstand.tools.model.report import compare
from ragwortstand.tools.model.scenarios import SCENARIOS
from ragwortstand.tools.plots import plot_model
from ragwortstand.tools.scale import measure_scale


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command of `ragwort-load`.

    :param arguments: command line without the program's name.
    :returns: exit code.
    """
    options = _parser().parse_args(arguments)
    try:
        document = options.run(options)
    except msgspec.DecodeError as error:
        return report(f'malformed plan: {error}', ExitCode.FAULTY)
    except (RagwortstandError, OSError) as error:
        return report(error, ExitCode.FAILED)
    sys.stdout.write(f'{msgspec.json.encode(document).decode()}\n')
    return ExitCode.DONE


def _run_plan(options: argparse.Namespace) -> object:
    text = pathlib.Path(options.plan).read_bytes()
    plan = msgspec.json.decode(text, type=Plan)
    load = BackgroundLoad(options.url, plan, options.name)
    load.start()
    records = load.finish()
    ranks = sorted({record.rank for record in records})
    return {
        rank: rank_report([one for one in records if one.rank == rank])
        for rank in ranks
    }


def _gain(options: argparse.Namespace) -> object:
    with tempfile.TemporaryDirectory(prefix='ragwort-gain-') as folder:
        return measure_added_latency(
            pathlib.Path(folder), options.calls, options.client
        )


def _scale(options: argparse.Namespace) -> object:
    with tempfile.TemporaryDirectory(prefix='ragwort-scale-') as folder:
        reports = measure_scale(
            options.sizes, pathlib.Path(folder), options.distribution
        )
    return {'sizes': reports}


def _members(options: argparse.Namespace) -> object:
    return {'sizes': measure_members(options.sizes)}


def _experiment(options: argparse.Namespace) -> object:
    return run_experiment(
        options.name,
        pathlib.Path(options.example),
        options.seed,
        pathlib.Path(options.report),
    )


def _model(options: argparse.Namespace) -> object:
    document, results = compare(options.scene, options.seed)
    if options.plot:
        plot_model(results, pathlib.Path(options.plot), options.scene)
    return document


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='ragwort-load',
        description='Send open-loop load, run experiments; prints JSON.',
    )
    add_version(parser)
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    run = commands.add_parser('run', help='send the load of a plan')
    run.set_defaults(run=_run_plan)
    run.add_argument('plan', help='JSON file: duration_s, streams, seed')
    run.add_argument('--url', action='append', required=True)
    run.add_argument('--name', default='load', help='prefix of request tags')
    _add_measurements(commands)
    _add_experiment(commands)
    _add_model(commands)
    return parser


def _add_measurements(commands: Commands) -> None:
    gain = commands.add_parser('gain', help='measure the added latency')
    gain.set_defaults(run=_gain)
    gain.add_argument('--calls', type=int, default=5000)
    gain.add_argument(
        '--client', choices=('httptools', 'httpcore'), default='httptools'
    )
    members = commands.add_parser(
        'members', help='measure the cost of long member lists'
    )
    members.set_defaults(run=_members)
    members.add_argument(
        '--sizes', type=int, nargs='+', default=(200, 1000, 2200)
    )
    scale = commands.add_parser(
        'scale', help='measure control-plane cost by fleet size'
    )
    scale.set_defaults(run=_scale)
    scale.add_argument('--sizes', type=int, nargs='+', default=(18, 60))
    scale.add_argument(
        '--distribution', choices=('push', 'poll'), default='push'
    )


def _add_experiment(commands: Commands) -> None:
    experiment = commands.add_parser(
        'experiment', help='compare the policy with its baseline'
    )
    experiment.set_defaults(run=_experiment)
    experiment.add_argument('name', choices=sorted(EXPERIMENTS))
    experiment.add_argument('--example', default='examples/fichier')
    experiment.add_argument('--seed', type=int, default=1)
    experiment.add_argument('--report', required=True, metavar='DIR')


def _add_model(commands: Commands) -> None:
    model = commands.add_parser(
        'model',
        help='simulate a scenario, comparing the policy with its baseline',
    )
    model.set_defaults(run=_model)
    model.add_argument('scene', choices=sorted(SCENARIOS))
    model.add_argument('--seed', type=int, default=1)
    model.add_argument('--plot', metavar='PNG')


if __name__ == '__main__':
    sys.exit(main())
