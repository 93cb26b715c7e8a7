"""ragwortstand.tools.scale: measures control cost by fleet size.

Starts daemons without backend servers and measures, for each fleet size, the
idle cost, the convergence time of changes and the bytes sent per change.
`ragwortstand.tools.capacity` fits lines to the results for docs/CAPACITY.md.
"""

import itertools
import pathlib
import re
import statistics
import time
from collections.abc import Iterator, Sequence

import msgspec

from ragwortstand.authoring import Configuration, Rank, Route, Service
from ragwortstand.events import Event
from ragwortstand.ids import NO_VERSION, SubmissionId, Version
from ragwortstand.tools.deployment import Host
from ragwortstand.tools.event_logs import read_events
from ragwortstand.tools.fleet import Fleet
from ragwortstand.tools.processes import wait_until

_REGIONS = ('east', 'west')
_ZONES = 3
_IDLE_MEASUREMENT_S = 20.0
_SETTLE_S = 40.0
_CHANGE_GAP_S = 1.0
_CHANGES = 10
_JOIN_TIMEOUT_S = 120.0
_CONVERGENCE_TIMEOUT_S = 30.0
_SERVICES = 170
_ROUTES = 400


class SizeReport(msgspec.Struct, frozen=True):
    """Control cost of a fleet of one size, per daemon unless noted otherwise.

    :param daemons: number of daemons.
    :param distribution: `push`, or `poll` for the baseline.
    :param join_s: time until each daemon listed all others as members, when all
        were started at once.
    :param rest_bytes_per_s: control bytes sent to daemons and the platform
        while idle.
    :param rest_regional_bytes_per_s: control bytes sent to other regions while
        idle, by the whole fleet.
    :param change_bytes: control bytes for one change beyond the idle traffic.
    :param change_regional_bytes: those of them sent to other regions, by the
        whole fleet.
    :param cpu_share: processor time while idle, as a share of a core.
    :param memory_bytes: resident memory.
    :param store_reads_per_s: reads of the store by the whole fleet.
    :param store_writes_per_s: writes of the store by the whole fleet.
    :param convergence_p50_s: time from the acceptance of a version until a
        daemon applied it, median.
    :param convergence_max_s: time from the acceptance of a version until the
        last daemon applied it, for the slowest change.
    """

    daemons: int
    distribution: str
    join_s: float
    rest_bytes_per_s: float
    rest_regional_bytes_per_s: float
    change_bytes: float
    change_regional_bytes: float
    cpu_share: float
    memory_bytes: float
    store_reads_per_s: float
    store_writes_per_s: float
    convergence_p50_s: float
    convergence_max_s: float


class _CounterSnapshot(msgspec.Struct, frozen=True):
    """Counters of the whole fleet, or their difference or rate."""

    at_s: float
    peer_bytes: float
    regional_bytes: float
    platform_bytes: float
    cpu_s: float
    reads: int
    writes: int


def measure_scale(
    sizes: Sequence[int],
    folder: pathlib.Path,
    distribution: str,
) -> list[SizeReport]:
    """Measure fleets of several sizes.

    :param sizes: numbers of daemons.
    :param folder: folder for logs.
    :param distribution: `push`, or `poll` for the baseline.
    """
    return [
        _Measurement(
            size, folder / f'{distribution}-{size}', distribution
        ).report()
        for size in sizes
    ]


class _Measurement:
    """Measurement of a fleet of one size."""

    def __init__(
        self,
        size: int,
        folder: pathlib.Path,
        distribution: str,
    ) -> None:
        self._size = size
        self._distribution = distribution
        self._folder = folder
        self._fleet = Fleet(
            _hosts(size),
            folder,
            'scale',
            _REGIONS[0],
            {'policies': {'distribution': distribution}},
        )

    def report(self) -> SizeReport:
        """Start the fleet, measure and stop it."""
        with self._fleet as fleet:
            started_s = time.monotonic()
            fleet.start_daemons()
            wait_until(
                self._is_joined, _JOIN_TIMEOUT_S, f'{self._size} members'
            )
            join_s = time.monotonic() - started_s
            self._apply_change(0)
            time.sleep(_SETTLE_S)
            idle = self._idle_rates()
            change = self._cost_per_change(idle)
            memory_bytes = self._memory_bytes()
        delays = sorted(self._convergence_delays())
        return SizeReport(
            daemons=self._size,
            distribution=self._distribution,
            join_s=round(join_s, 2),
            rest_bytes_per_s=self._per_daemon(
                idle.peer_bytes + idle.platform_bytes
            ),
            rest_regional_bytes_per_s=round(idle.regional_bytes, 1),
            change_bytes=self._per_daemon(
                change.peer_bytes + change.platform_bytes
            ),
            change_regional_bytes=round(change.regional_bytes, 1),
            cpu_share=round(idle.cpu_s / self._size, 5),
            memory_bytes=round(memory_bytes / self._size),
            store_reads_per_s=idle.reads,
            store_writes_per_s=idle.writes,
            convergence_p50_s=round(statistics.median(delays), 4),
            convergence_max_s=round(max(delays), 4),
        )

    def _cost_per_change(self, idle: _CounterSnapshot) -> _CounterSnapshot:
        """Apply several changes and return the mean cost of one."""
        before = self._read_counters()
        for number in range(1, _CHANGES + 1):
            self._apply_change(number)
            time.sleep(_CHANGE_GAP_S)
        return _cost_beyond_idle(before, self._read_counters(), idle)

    def _memory_bytes(self) -> int:
        daemons = [node.daemon for node in self._fleet.running()]
        return sum(daemon.memory_bytes for daemon in daemons if daemon)

    def _per_daemon(self, amount: float) -> float:
        return round(amount / self._size, 1)

    def _is_joined(self) -> bool:
        for node in self._fleet.running():
            with node.admin() as client:
                if len(client.members().members) < self._size:
                    return False
        return True

    def _apply_change(self, number: int) -> None:
        """Submit a version and wait until all daemons have applied it."""
        content = large_mesh(number).to_json().encode()
        with self._fleet.admin() as client:
            newest = client.history(1).versions
            base = newest[0].version if newest else NO_VERSION
            submission = SubmissionId(f'change-{number}')
            client.submit(content, submission, base, 'scale')
            wait_until(
                lambda: client.applied(Version(base + 1)).is_complete,
                _CONVERGENCE_TIMEOUT_S,
                f'version {base + 1}',
            )

    def _idle_rates(self) -> _CounterSnapshot:
        """Return the rates per second while idle."""
        before = self._read_counters()
        time.sleep(_IDLE_MEASUREMENT_S)
        after = self._read_counters()
        span_s = after.at_s - before.at_s
        return _scaled(_difference(before, after), 1 / span_s)

    def _read_counters(self) -> _CounterSnapshot:
        metrics = []
        cpu_s = 0.0
        for node in self._fleet.running():
            with node.admin() as client:
                metrics.append(client.metrics())
            if node.daemon:
                cpu_s += node.daemon.cpu_s
        tally = self._fleet.tally()
        return _CounterSnapshot(
            at_s=time.monotonic(),
            peer_bytes=sum(_counter_values(metrics, 'direction="sent",link=')),
            regional_bytes=sum(
                _counter_values(metrics, 'direction="sent",link="regional"')
            ),
            platform_bytes=sum(_counter_values(metrics, None)),
            cpu_s=cpu_s,
            reads=tally.reads,
            writes=tally.writes,
        )

    def _convergence_delays(self) -> Iterator[float]:
        """Yield the time from acceptance until applied for each daemon."""
        paths = sorted(self._folder.glob('*.log'))
        events = read_events(paths)
        accepted = {
            event.details['version']: event.unix_s
            for event in events
            if event.name == Event.ACCEPTED.value
        }
        for event in events:
            if event.name == Event.APPLIED.value:
                version = event.details['version']
                if version > 1:
                    yield max(0.0, event.unix_s - accepted[version])


def large_mesh(number: int) -> Configuration:
    """Return a configuration of 170 services and 400 routes.

    :param number: number of the change, which sets the deadline of the route
        at this position.
    """
    routes = (
        Route(
            path=f'/service-{position % _SERVICES}/part-{position}',
            service=f'service-{position % _SERVICES}',
            rank='urgent' if position % 2 else 'bulk',
            deadline_s=1 + number if position == number else None,
        )
        for position in range(_ROUTES)
    )
    return Configuration(
        ranks=(
            Rank(name='urgent', guaranteed_share=0.5),
            Rank(name='bulk', guaranteed_share=0.2, deadline_s=30),
        ),
        services=tuple(
            Service(name=f'service-{position}') for position in range(_SERVICES)
        ),
        routes=tuple(routes),
    )


def _hosts(size: int) -> tuple[Host, ...]:
    places = [
        (region, f'{region}-{zone}')
        for region, zone in itertools.product(_REGIONS, range(_ZONES))
    ]
    return tuple(
        Host(
            name=f'd{number}',
            region=places[number % len(places)][0],
            availability_zone=places[number % len(places)][1],
            service='none',
            slots=1,
            connections=1,
            service_time_s=0,
        )
        for number in range(size)
    )


def _counter_values(
    metrics: Sequence[str], labels: str | None
) -> Iterator[float]:
    """Yield byte counts without the messages that poll for applied versions.

    An operator who waits for a version causes these messages.
    """
    name = 'ragwort_control_bytes' if labels else 'ragwort_platform_bytes'
    selected = f'({labels or ""}[^}}]*)'
    pattern = re.compile(rf'^{name}_total{{{selected}}} (\S+)$', re.MULTILINE)
    for text in metrics:
        for found, amount in pattern.findall(text):
            if 'Applied"' not in found:
                yield float(amount)


def _difference(
    before: _CounterSnapshot, after: _CounterSnapshot
) -> _CounterSnapshot:
    return _CounterSnapshot(
        *(
            getattr(after, name) - getattr(before, name)
            for name in _CounterSnapshot.__struct_fields__
        ),
    )


def _scaled(reading: _CounterSnapshot, factor: float) -> _CounterSnapshot:
    return _CounterSnapshot(
        *(
            getattr(reading, name) * factor
            for name in _CounterSnapshot.__struct_fields__
        ),
    )


def _cost_beyond_idle(
    before: _CounterSnapshot, after: _CounterSnapshot, idle: _CounterSnapshot
) -> _CounterSnapshot:
    """Return the mean cost of a change beyond the idle cost."""
    total = _difference(before, after)
    idle_cost = _scaled(idle, total.at_s)
    return _scaled(_difference(idle_cost, total), 1 / _CHANGES)
