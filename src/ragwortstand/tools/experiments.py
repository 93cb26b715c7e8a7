"""ragwortstand.tools.experiments: compares the policies with a baseline.

Each experiment runs an example deployment twice in a row, first with the
baseline (first come first served, random choice, naive retries) and then with
the default policies, under the same seeded load and the same faults.
"""

import pathlib
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from types import MappingProxyType
from uuid import uuid4

import msgspec

from ragwortstand.ids import NO_VERSION, SubmissionId
from ragwortstand.tools.audit import Audit, audit, read_journals
from ragwortstand.tools.background import BackgroundLoad
from ragwortstand.tools.deployment import Deployment, load_deployment
from ragwortstand.tools.fleet import Fleet, Node
from ragwortstand.tools.load import Plan, Record, Stream
from ragwortstand.tools.plots import plot_served
from ragwortstand.tools.processes import wait_until
from ragwortstand.tools.standin_backend import Behaviour
from ragwortstand.tools.standin_platform import Faults

_WARM_UP_S = 5.0
_FAULT_S = 20.0
_POST_FAULT_S = 10.0
_DURATION_S = _WARM_UP_S + _FAULT_S + _POST_FAULT_S
_CONVERGENCE_TIMEOUT_S = 10.0
_FLOOD_FACTOR = 3.0
_FLOOD_SERVICE_MS = 450
_SLOW_FACTOR = 20
# Shorter than the warm-up, so that key owners have owned their keys for a
# whole window before the fault.
_CLAIM_WINDOW_S = 3.0
_RECOVERY_S = 5.0
_BASELINE = MappingProxyType(
    {'admission': 'fifo', 'choice': 'random', 'retry': 'naive'},
)


class RunReport(msgspec.Struct, frozen=True):
    """One run of an experiment.

    :param policies: settings of the policies; empty for the defaults.
    :param audit: audit of the records of callers and backend servers over the
        whole run.
    :param under_fault: share of requests served within their target, by rank,
        among those planned during the fault.
    :param after_fault: the same for requests planned at least five seconds
        after the fault.
    :param goodput: service time of the flood's served requests as a share of
        the time that the slots of the flooded service offered during the
        fault; 0 without a flood.
    """

    policies: dict[str, str]
    audit: Audit
    under_fault: dict[str, float]
    after_fault: dict[str, float]
    goodput: float


class ExperimentReport(msgspec.Struct, frozen=True):
    """Results of both runs of an experiment.

    :param name: name of the experiment.
    :param deployment: name of the example.
    :param seed: seed of the load.
    :param baseline: result of the run with the baseline.
    :param policy: result of the run with the default policies.
    """

    name: str
    deployment: str
    seed: int
    baseline: RunReport
    policy: RunReport


class Experiment(msgspec.Struct, frozen=True):
    """A fault and the extra load that it consists of, if any.

    :param flood: returns the streams that overload a service, if any.
    :param begin: starts the fault.
    :param end: ends the fault.
    """

    flood: Callable[[Deployment], tuple[Stream, ...]]
    begin: Callable[[Fleet], None]
    end: Callable[[Fleet], None]


def run_experiment(
    name: str,
    example: pathlib.Path,
    seed: int,
    target: pathlib.Path,
) -> ExperimentReport:
    """Run an experiment and write `report.json` and a plot.

    :param name: name of the experiment.
    :param example: folder of the example deployment.
    :param seed: seed of the load.
    :param target: folder for the report and the plot.
    """
    target.mkdir(parents=True, exist_ok=True)
    runs = {}
    records = {}
    for label, policies in (('baseline', dict(_BASELINE)), ('policy', {})):
        run = _Run(name, example, seed, target / f'{label}-logs', policies)
        runs[label] = run.report()
        records[label] = run.records
    found = ExperimentReport(name, example.name, seed, **runs)
    text = msgspec.json.format(msgspec.json.encode(found), indent=2)
    (target / 'report.json').write_bytes(text)
    plot_served(records, target / 'served.png', _WARM_UP_S, _FAULT_S)
    return found


class _Run:
    """One run of an experiment."""

    def __init__(
        self,
        name: str,
        example: pathlib.Path,
        seed: int,
        folder: pathlib.Path,
        policies: dict[str, str],
    ) -> None:
        self._experiment = EXPERIMENTS[name]
        self._deployment = load_deployment(example)
        self._policies = policies
        self._mesh = subprocess.run(
            [sys.executable, str(example / 'mesh.py')],
            capture_output=True,
            check=True,
        ).stdout
        self._flood_streams = self._experiment.flood(self._deployment)
        self._plan = Plan(
            _DURATION_S, (*self._deployment.streams, *self._flood_streams), seed
        )
        self._fleet = Fleet(
            self._deployment.hosts,
            folder,
            self._deployment.cluster,
            self._deployment.store_region,
            {'policies': policies, 'claims': {'window_s': _CLAIM_WINDOW_S}},
        )
        self.records: list[Record] = []

    def report(self) -> RunReport:
        """Run the load and the fault and return the results."""
        with self._fleet as fleet:
            fleet.start()
            fleet.await_members(len(fleet.nodes))
            self._submit()
            urls = [node.url for node in fleet.nodes.values()]
            load = BackgroundLoad(urls, self._plan, 'load')
            load.start()
            time.sleep(_WARM_UP_S)
            self._experiment.begin(fleet)
            time.sleep(_FAULT_S)
            self._experiment.end(fleet)
            self.records = load.finish()
            found = audit(self.records, read_journals(fleet.journals()))
        fault_end_s = _WARM_UP_S + _FAULT_S
        return RunReport(
            policies=self._policies,
            audit=found,
            under_fault=in_target(self.records, _WARM_UP_S, fault_end_s),
            after_fault=in_target(
                self.records, fault_end_s + _RECOVERY_S, _DURATION_S
            ),
            goodput=self._goodput(),
        )

    def _submit(self) -> None:
        with self._fleet.admin() as client:
            submission = SubmissionId(uuid4().hex)
            client.submit(self._mesh, submission, NO_VERSION, 'experiment')
            wait_until(
                lambda: client.applied().is_complete,
                _CONVERGENCE_TIMEOUT_S,
                'configuration applied on all daemons',
            )

    def _goodput(self) -> float:
        """Return the share of the flooded slots' time spent on the flood."""
        if not self._flood_streams:
            return 0.0
        served = sum(
            record.is_served
            for record in self.records
            if record.tag.split('-')[1] in self._flood_numbers()
        )
        work_s = served * _FLOOD_SERVICE_MS / 1000
        service = flooded_service(self._flood_streams[0])
        slots = sum(
            host.slots
            for host in self._deployment.hosts
            if host.service == service
        )
        return round(work_s / (slots * _FAULT_S), 3)

    def _flood_numbers(self) -> frozenset[str]:
        first = len(self._deployment.streams)
        return frozenset(
            str(first + number) for number in range(len(self._flood_streams))
        )


def in_target(
    records: Sequence[Record],
    start_s: float,
    end_s: float,
) -> dict[str, float]:
    """Return the share of requests served within their target, by rank.

    :param records: the callers' records.
    :param start_s: only requests planned at or after this time count.
    :param end_s: only requests planned before this time count.
    """
    planned = [one for one in records if start_s <= one.planned_s < end_s]
    shares = {}
    for rank in sorted({record.rank for record in planned}):
        rank_records = [one for one in planned if one.rank == rank]
        within_target = sum(
            one.is_served and one.taken_s <= one.target_s
            for one in rank_records
        )
        shares[rank] = round(within_target / len(rank_records), 4)
    return shares


def flooded_service(stream: Stream) -> str:
    """Return the service that a flood stream calls."""
    return _SERVICE_OF_PATH[stream.path.split('/')[1]]


_SERVICE_OF_PATH = MappingProxyType(
    {
        'slips': 'consult',
        'previews': 'consult',
        'jobs': 'jobboard',
        'galleries': 'jobboard',
    },
)
_BULK_PATHS = MappingProxyType(
    {'fichier': '/previews/senses', 'lustreline': '/galleries/ballroom'},
)
_URGENT_PATHS = MappingProxyType(
    {'fichier': '/slips/flood', 'lustreline': '/jobs/flood'},
)


def _build_flood(path: str, rank: str, deployment: Deployment) -> Stream:
    """Return a stream at three times the capacity of its service."""
    service = _SERVICE_OF_PATH[path.split('/')[1]]
    slots = sum(
        host.slots for host in deployment.hosts if host.service == service
    )
    capacity_per_s = slots / (_FLOOD_SERVICE_MS / 1000)
    return Stream(
        rank=rank,
        method='GET',
        path=path,
        rate_per_s=capacity_per_s * _FLOOD_FACTOR,
        timeout_s=10,
        target_s=5,
        service_ms=_FLOOD_SERVICE_MS,
        start_s=_WARM_UP_S,
        end_s=_WARM_UP_S + _FAULT_S,
    )


def _bulk_flood(deployment: Deployment) -> tuple[Stream, ...]:
    path = _BULK_PATHS[deployment.cluster]
    return (_build_flood(path, 'bulk flood', deployment),)


def _urgent_flood(deployment: Deployment) -> tuple[Stream, ...]:
    path = _URGENT_PATHS[deployment.cluster]
    return (_build_flood(path, 'urgent flood', deployment),)


def _no_flood(deployment: Deployment) -> tuple[Stream, ...]:
    return ()


def _no_action(fleet: Fleet) -> None:
    """Do nothing, as the load itself is the fault."""


def _start_platform_outage(fleet: Fleet) -> None:
    fleet.set_faults(Faults(is_out=True))


def _end_platform_outage(fleet: Fleet) -> None:
    fleet.set_faults(Faults())


def _third_of_nodes(fleet: Fleet) -> list[Node]:
    """Return a third of the nodes, spread over services and zones."""
    return [
        node
        for position, node in enumerate(fleet.nodes.values())
        if (position + position // 3) % 3 == 0
    ]


def _kill_third(fleet: Fleet) -> None:
    for node in _third_of_nodes(fleet):
        if node.daemon:
            node.daemon.kill()


def _restart_third(fleet: Fleet) -> None:
    nodes = _third_of_nodes(fleet)
    for node in nodes:
        fleet.spawn_daemon(node)
    for node in nodes:
        fleet.await_daemon(node)


def _slow_first(fleet: Fleet) -> None:
    node = next(iter(fleet.nodes.values()))
    service_time_s = node.host.service_time_s * _SLOW_FACTOR
    behaviour = Behaviour(service_time_s, slots=node.host.slots)
    fleet.set_behaviour(node, behaviour)


def _restore_first(fleet: Fleet) -> None:
    node = next(iter(fleet.nodes.values()))
    behaviour = Behaviour(node.host.service_time_s, slots=node.host.slots)
    fleet.set_behaviour(node, behaviour)


EXPERIMENTS: Mapping[str, Experiment] = MappingProxyType(
    {
        'flood': Experiment(_bulk_flood, _no_action, _no_action),
        'urgent-flood': Experiment(_urgent_flood, _no_action, _no_action),
        'outage': Experiment(
            _no_flood, _start_platform_outage, _end_platform_outage
        ),
        'herd': Experiment(_no_flood, _kill_third, _restart_third),
        'slow-server': Experiment(_no_flood, _slow_first, _restore_first),
    },
)
