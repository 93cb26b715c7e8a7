"""ragwortstand.tools.load: an open-loop load generator.

It avoids coordinated omission: requests start at times that a plan fixes
beforehand, whether or not earlier ones have a response, and latencies count
from the planned start.
"""

import random
from collections.abc import Sequence
from urllib.parse import urlsplit

import anyio
import msgspec

from ragwortstand.backend_servers.connections import (
    ConnectionPool,
    Endpoint,
    WireRequest,
)
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.exceptions import BackendServerError
from ragwortstand.tools.standin_backend import response_body
from ragwortstand.verdicts import Answered, Header, Verdict

_MAX_CONNECTIONS = 4000
_IDLE_REUSE_S = 5.0
_RESPONSE_GRACE_S = 1.0
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_MAX_RETRY_DELAY_S = 2.0
_NO_RESPONSE = 0


class Stream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one kind.

    :param rank: rank that their route assigns.
    :param method: HTTP method.
    :param path: path and query.
    :param rate_per_s: mean number of requests a second.
    :param timeout_s: deadline that callers send, counted from each attempt.
    :param target_s: latency target.
    :param is_keyed: whether requests carry an idempotency key.
    :param resends: how often a caller sends a request again after an
        outcome that allows it.
    :param service_ms: service time that the stand-in is to use; 0 for its own.
    :param start_s: start within the run.
    :param end_s: end within the run; 0 means the end of the run.
    """

    rank: str
    method: str
    path: str
    rate_per_s: float
    timeout_s: float = 2.0
    target_s: float = 0.5
    is_keyed: bool = False
    resends: int = 0
    service_ms: int = 0
    start_s: float = 0.0
    end_s: float = 0.0


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The load of one run.

    :param duration_s: period in which requests start.
    :param streams: the requests to send.
    :param seed: seed of all random choices.
    """

    duration_s: float
    streams: tuple[Stream, ...]
    seed: int = 0


class Record(msgspec.Struct):
    """Outcome of one request, as its caller saw it.

    :param tag: the caller's own id.
    :param rank: rank of its stream.
    :param is_repeatable: whether its method is idempotent, so that running it
        twice does no harm.
    :param planned_s: planned start within the run.
    :param taken_s: time from the planned start to the final outcome.
    :param target_s: target for that time.
    :param status: HTTP status; 0 without a response.
    :param verdict: verdict of the final outcome; empty without a response.
    :param cause: cause of the final outcome.
    :param is_whole: whether the body is the one expected for the request.
    :param sent: number of attempts.
    """

    tag: str
    rank: str
    is_repeatable: bool
    planned_s: float
    taken_s: float = 0.0
    target_s: float = 0.0
    status: int = _NO_RESPONSE
    verdict: str = ''
    cause: str = ''
    is_whole: bool = False
    sent: int = 0

    @property
    def is_served(self) -> bool:
        """Return whether a backend server ran it with status 200."""
        return self.verdict == Verdict.RAN.value and self.status == 200


class _PlannedRequest(msgspec.Struct, frozen=True):
    """A request and its planned start."""

    at_s: float
    stream: Stream
    tag: str


class LoadGenerator:
    """Sends the requests of plans to daemons, each to a random one.

    :param urls: base URLs of the callers' ports of daemons.
    :param name: prefix of all tags.
    :param seed: seed of all random choices.
    """

    def __init__(self, urls: Sequence[str], name: str, seed: int) -> None:
        """Create the pools; connections are opened on first use."""
        self._pools = [_pool(url) for url in urls]
        self._name = name
        self._rng = random.Random(seed)
        self.records: list[Record] = []

    async def run(self, plan: Plan) -> list[Record]:
        """Send all requests of a plan and return their records.

        :param plan: the requests and their times.
        """
        run_started_at_s = anyio.current_time()
        async with anyio.create_task_group() as calls:
            for planned in schedule(plan, self._name):
                await anyio.sleep_until(run_started_at_s + planned.at_s)
                calls.start_soon(self._run_request, planned, run_started_at_s)
        return self.records

    async def _run_request(
        self, planned: _PlannedRequest, run_started_at_s: float
    ) -> None:
        stream = planned.stream
        record = Record(
            tag=planned.tag,
            rank=stream.rank,
            is_repeatable=stream.method in {'GET', 'PUT'},
            planned_s=planned.at_s,
            target_s=stream.target_s,
        )
        self.records.append(record)
        body = b'' if stream.method == 'GET' else planned.tag.encode()
        request = _wire_request(planned, body)
        for _ in range(stream.resends + 1):
            record.sent += 1
            response = await self._send(request, stream.timeout_s)
            _record_response(record, response, body)
            if record.is_served or not _may_resend(record, stream):
                break
            await anyio.sleep(_retry_delay_s(response))
        record.taken_s = anyio.current_time() - run_started_at_s - planned.at_s

    async def _send(
        self,
        request: WireRequest,
        timeout_s: float,
    ) -> Answered | None:
        pool = self._rng.choice(self._pools)
        response_timeout_s = timeout_s + _RESPONSE_GRACE_S
        try:
            connection = await pool.acquire(_IDLE_REUSE_S, anyio.current_time())
        except BackendServerError:
            return None
        try:
            with anyio.fail_after(response_timeout_s):
                return await connection.exchange(request)
        except (BackendServerError, TimeoutError):
            connection.close()
            return None
        finally:
            pool.release(connection, anyio.current_time())


def schedule(plan: Plan, name: str) -> list[_PlannedRequest]:
    """Return the requests of a plan in the order of their start.

    Gaps are exponential, so requests arrive as a Poisson process.

    :param plan: the plan.
    :param name: prefix of all tags.
    """
    rng = random.Random(plan.seed)
    planned: list[_PlannedRequest] = []
    for number, stream in enumerate(plan.streams):
        end_s = stream.end_s or plan.duration_s
        at_s = stream.start_s + rng.expovariate(stream.rate_per_s)
        while at_s < end_s:
            tag = f'{name}-{number}-{len(planned)}'
            planned.append(_PlannedRequest(at_s, stream, tag))
            at_s += rng.expovariate(stream.rate_per_s)
    return sorted(planned, key=lambda one: one.at_s)


def _pool(url: str) -> ConnectionPool:
    parts = urlsplit(url)
    endpoint = Endpoint(parts.hostname or '127.0.0.1', parts.port or 80)
    return ConnectionPool(
        HttptoolsConnection.connect,
        endpoint,
        _MAX_CONNECTIONS,
        _MAX_RESPONSE_BYTES,
    )


def _wire_request(planned: _PlannedRequest, body: bytes) -> WireRequest:
    stream = planned.stream
    timeout_ms = int(stream.timeout_s * 1000)
    headers: list[Header] = [
        (b'ragwort-timeout-ms', b'%d' % timeout_ms),
        (b'standin-tag', planned.tag.encode()),
    ]
    if stream.is_keyed:
        headers.append((b'idempotency-key', planned.tag.encode()))
    if stream.service_ms:
        headers.append((b'standin-service-ms', b'%d' % stream.service_ms))
    return WireRequest(stream.method, stream.path, tuple(headers), body)


def _record_response(
    record: Record, response: Answered | None, body: bytes
) -> None:
    if response is None:
        record.status = _NO_RESPONSE
        record.verdict = ''
        return
    headers = dict(response.headers)
    record.status = response.status
    record.verdict = headers.get(b'ragwort-verdict', b'').decode()
    record.cause = headers.get(b'ragwort-cause', b'').decode()
    expected = response_body(record.tag, body)
    record.is_whole = response.body == expected


def _may_resend(record: Record, stream: Stream) -> bool:
    is_not_run = record.verdict == Verdict.NOT_RUN.value
    return is_not_run or stream.is_keyed or record.is_repeatable


def _retry_delay_s(response: Answered | None) -> float:
    if response is None:
        return 0.1
    headers = dict(response.headers)
    wait_ms = int(headers.get(b'ragwort-retry-after-ms', b'100'))
    return min(_MAX_RETRY_DELAY_S, wait_ms / 1000)
