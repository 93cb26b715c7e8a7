"""ragwortstand.tools.added_latency: measures the latency daemons add.

Sends one call at a time, alternating between three paths: directly to a
backend server, through the daemon on the same host, and through the daemon of
another host, which forwards the call.
"""

import pathlib
import time

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from ragwortstand.authoring import Configuration, Rank, Route, Service
from ragwortstand.backend_servers.connections import Endpoint, WireRequest
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.exceptions import RagwortstandError
from ragwortstand.ids import NO_VERSION, SubmissionId
from ragwortstand.tools.deployment import Host
from ragwortstand.tools.fleet import Fleet
from ragwortstand.tools.processes import LOOPBACK, wait_until

_MAX_LATENCY_US = 10_000_000
_SIGNIFICANT_DIGITS = 3
_WARM_UP_CALLS = 500
_MAX_RESPONSE_BYTES = 100_000
_CONVERGENCE_TIMEOUT_S = 10.0
_REGION = 'one'


class PathReport(msgspec.Struct, frozen=True):
    """Latency of one path.

    :param name: `direct`, `own` (daemon on the same host) or `other` (daemon of
        another host).
    :param p50_ms: median.
    :param p99_ms: 99th percentile.
    :param added_p50_ms: median minus that of the direct path.
    :param added_p99_ms: 99th percentile minus that of the direct path.
    """

    name: str
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


class AddedLatencyReport(msgspec.Struct, frozen=True):
    """Latency of all paths, with their calls alternating.

    :param client: HTTP client between daemons and backend servers.
    :param calls: calls recorded on each path, without the warm-up.
    :param ways: reports of the paths in the order direct, own, other.
    :param own_cpu_ms: processor time of a daemon for a call to its own
        backend server.
    :param entry_cpu_ms: processor time of the daemon that forwards a call.
    :param remote_cpu_ms: processor time of the daemon that runs it.
    """

    client: str
    calls: int
    ways: tuple[PathReport, ...]
    own_cpu_ms: float
    entry_cpu_ms: float
    remote_cpu_ms: float


def measure_added_latency(
    folder: pathlib.Path, calls: int, client: str
) -> AddedLatencyReport:
    """Start two hosts and measure all paths in one run.

    :param folder: folder for logs.
    :param calls: calls to record on each path, without the warm-up.
    :param client: HTTP client between daemons and backend servers.
    """
    hosts = tuple(_host(name) for name in ('near', 'far'))
    overrides = {'backend_server': {'client': client}}
    with Fleet(hosts, folder, 'gain', _REGION, overrides) as fleet:
        fleet.start()
        fleet.await_members(len(hosts))
        _submit(fleet)
        near, far = fleet.nodes['near'], fleet.nodes['far']
        ports = {
            'direct': near.server_port,
            'own': near.callers_port,
            'other': far.callers_port,
        }
        histograms = _run_measurement(ports, calls)
        own_ms, _ = _cpu_ms(fleet, near.callers_port, calls)
        remote_ms, entry_ms = _cpu_ms(fleet, far.callers_port, calls)
        ways = _path_reports(histograms)
    return AddedLatencyReport(client, calls, ways, own_ms, entry_ms, remote_ms)


def _run_measurement(
    ports: dict[str, int], calls: int
) -> dict[str, HdrHistogram]:
    return anyio.run(
        _measure, ports, calls, backend_options={'use_uvloop': True}
    )


def _cpu_ms(fleet: Fleet, port: int, calls: int) -> tuple[float, float]:
    """Return the processor time per call of the near and the far daemon."""
    daemons = [node.daemon for node in fleet.nodes.values() if node.daemon]
    before = [daemon.cpu_s for daemon in daemons]
    _run_measurement({'way': port}, calls)
    used_s = [
        daemon.cpu_s - earlier_s
        for daemon, earlier_s in zip(daemons, before, strict=True)
    ]
    total = calls + _WARM_UP_CALLS
    near_ms, far_ms = (round(one / total * 1000, 3) for one in used_s)
    return near_ms, far_ms


def _host(name: str) -> Host:
    return Host(
        name=name,
        region=_REGION,
        availability_zone=_REGION,
        service=f'{name}-service',
        slots=15,
        connections=130,
        service_time_s=0,
    )


def _submit(fleet: Fleet) -> None:
    mesh = Configuration(
        ranks=(Rank(name='urgent'),),
        services=(Service(name='near-service'), Service(name='far-service')),
        routes=(Route(path='/', service='near-service', rank='urgent'),),
    )
    with fleet.admin() as client:
        content = mesh.to_json().encode()
        submission = SubmissionId('gain')
        outcome = client.submit(content, submission, NO_VERSION, 'gain')
        if outcome.record is None:
            raise RagwortstandError(f'submission was {outcome.outcome}')
        version = outcome.record.version
        wait_until(
            lambda: client.applied(version).is_complete,
            _CONVERGENCE_TIMEOUT_S,
            'configuration applied on all daemons',
        )


async def _measure(
    ports: dict[str, int],
    calls: int,
) -> dict[str, HdrHistogram]:
    request = WireRequest('GET', '/a', ((b'accept', b'*/*'),), b'')
    connections = {
        name: await HttptoolsConnection.connect(
            Endpoint(LOOPBACK, port), _MAX_RESPONSE_BYTES
        )
        for name, port in ports.items()
    }
    histograms = {
        name: HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        for name in ports
    }
    for number in range(calls + _WARM_UP_CALLS):
        for name, connection in connections.items():
            started_ns = time.perf_counter_ns()
            await connection.exchange(request)
            taken_us = (time.perf_counter_ns() - started_ns) // 1000
            if number >= _WARM_UP_CALLS:
                histograms[name].record_value(max(1, taken_us))
    return histograms


def _path_reports(
    histograms: dict[str, HdrHistogram],
) -> tuple[PathReport, ...]:
    direct = histograms['direct']
    direct_p50, direct_p99 = _percentiles_ms(direct)
    reports = []
    for name, histogram in histograms.items():
        p50_ms, p99_ms = _percentiles_ms(histogram)
        report = PathReport(
            name=name,
            p50_ms=p50_ms,
            p99_ms=p99_ms,
            added_p50_ms=round(p50_ms - direct_p50, 3),
            added_p99_ms=round(p99_ms - direct_p99, 3),
        )
        reports.append(report)
    return tuple(reports)


def _percentiles_ms(histogram: HdrHistogram) -> tuple[float, float]:
    p50_us = histogram.get_value_at_percentile(50)
    p99_us = histogram.get_value_at_percentile(99)
    return p50_us / 1000, p99_us / 1000
