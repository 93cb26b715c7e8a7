"""ragwortstand.backend_servers.request_sender: sends requests to a server."""

from collections.abc import Callable

import anyio

from ragwortstand import clock
from ragwortstand.backend_servers.announcements import (
    Announcement,
    Identity,
    identity_of,
)
from ragwortstand.backend_servers.connections import (
    Connect,
    ConnectionPool,
    Endpoint,
    HttpConnection,
)
from ragwortstand.backend_servers.crash_detector import (
    CrashDetector,
    InFlightRequests,
)
from ragwortstand.backend_servers.dialect import BackendDialect
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.backend_servers.in_band_signals import InBandSignals
from ragwortstand.backend_servers.rejection_breaker import (
    PROBE_INTERVAL_S,
    RejectionBreaker,
)
from ragwortstand.calls import Call
from ragwortstand.events import Event, EventLog
from ragwortstand.exceptions import (
    AnswerTooLargeError,
    BackendServerError,
    EndlessAnswerError,
)
from ragwortstand.settings import BackendServerSettings
from ragwortstand.verdicts import (
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)

_SECOND_PROBE_DELAY_S = 0.05
# Statuses of a backend server that rejects whatever it is sent; others, such as
# 400, concern one request.
_OVERLOAD_STATUSES = frozenset((429, 503))
# Outcome of a request that reached another backend server than intended.
_WRONG_SERVER = Refused(Cause.NO_BACKEND_SERVER)


class RequestSender:
    """Sends requests to one backend server and determines their outcomes.

    :param settings: settings for the reuse of connections.
    :param max_answer_bytes: limit of a response's body.
    :param dialect: builds requests and interprets responses.
    :param connect: opens connections.
    :param crash_detector: distinguishes crashes from lost connections.
    :param on_down: called with the reason why the backend server is
        unreachable.
    :param on_signals: called with what each response says of the server.
    :param log: logs when the backend server rejects requests, and when it
        runs them again.
    :ivar on_misdirected: called with the identity of the server when another
        one has rejected a request that was meant for it.
    """

    def __init__(
        self,
        settings: BackendServerSettings,
        max_answer_bytes: int,
        dialect: BackendDialect,
        connect: Connect,
        crash_detector: CrashDetector,
        on_down: Callable[[str], None],
        on_signals: Callable[[InBandSignals], None],
        log: EventLog,
    ) -> None:
        """Create a sender without a backend server."""
        self._settings = settings
        self._max_answer_bytes = max_answer_bytes
        self._dialect = dialect
        self._connect = connect
        self._crash_detector = crash_detector
        self._on_down = on_down
        self._on_signals = on_signals
        self._log = log
        self._breaker = RejectionBreaker()
        self._pool: ConnectionPool | None = None
        self._endpoint = Endpoint('', 0)
        self._identity: Identity = ('', 0)
        self.on_misdirected: Callable[[Identity], None] = _do_nothing

    def open(self, announcement: Announcement) -> None:
        """Send further requests to a backend server that has started.

        :param announcement: its address, port and limit of connections.
        """
        self.drop_idle()
        self._breaker = RejectionBreaker()
        self._identity = identity_of(announcement)
        self._endpoint = Endpoint(announcement.address, announcement.port)
        self._pool = ConnectionPool(
            self._connect,
            self._endpoint,
            announcement.connections,
            self._max_answer_bytes,
        )

    def drop_idle(self) -> None:
        """Close idle connections; others may be silent if one is."""
        if self._pool:
            self._pool.close()

    async def run(self, call: Call) -> Outcome:
        """Return the outcome of a request that has a slot."""
        pool = self._pool
        if pool is None:
            return Refused(Cause.BACKEND_SERVER_DOWN)
        if not self._breaker.allows(clock.now_s()):
            return Refused(Cause.BACKEND_SERVER_DOWN, PROBE_INTERVAL_S)
        max_idle_s = (
            self._settings.idle_reuse_s
            if call.is_idempotent
            else self._settings.strict_idle_reuse_s
        )
        try:
            connection = await pool.acquire(
                max_idle_s, clock.now_s(), self._dialect.echo(call)
            )
        except BackendServerError as error:
            self._on_down(str(error))
            return Refused(Cause.BACKEND_SERVER_DOWN)
        try:
            return await self._exchange(call, connection)
        finally:
            pool.release(connection, clock.now_s())

    async def _exchange(
        self, call: Call, connection: HttpConnection
    ) -> Outcome:
        in_flight = self._crash_detector.in_flight
        pool = self._pool
        call.is_dispatched = True
        is_suspect = self._crash_detector.is_suspect(call, clock.now_s())
        with in_flight.track(call, is_suspect=is_suspect):
            try:
                answered = await connection.exchange(
                    self._dialect.request(
                        call, self._identity[0], clock.now_s()
                    )
                )
            except AnswerTooLargeError:
                return Unknown(Cause.ANSWER_TOO_LARGE)
            except EndlessAnswerError:
                return Unknown(Cause.ENDLESS_ANSWER)
            except BackendServerError as error:
                return await self._outcome_of_error(call, in_flight, error)
        if self._crash_detector.is_suspect(call, clock.now_s()):
            await self._crash_detector.clear(call.fingerprint)
        signals = self._dialect.signals(answered)
        if signals and pool is self._pool:
            # Another server may have started since the request was sent.
            self._on_signals(signals)
        outcome = self._dialect.outcome(call, answered)
        self._update_breaker(outcome, answered.status)
        if isinstance(outcome, Refused):
            call.is_dispatched = False
        if outcome == _WRONG_SERVER and pool is self._pool:
            self.on_misdirected(self._identity)
            self._on_down('another backend server has the address')
        return outcome

    def _update_breaker(self, outcome: Outcome, status: int) -> None:
        """Record whether the backend server ran a request or rejected it."""
        was_open = self._breaker.is_open
        if not isinstance(outcome, Refused):
            self._breaker.close()
        elif status in _OVERLOAD_STATUSES:
            self._breaker.record_rejection(clock.now_s())
        if self._breaker.is_open != was_open:
            self._log.emit(
                Event.BACKEND_SERVER,
                state='running' if was_open else 'rejecting',
                instance=self._identity[0],
            )

    async def _outcome_of_error(
        self,
        call: Call,
        in_flight: InFlightRequests,
        error: BackendServerError,
    ) -> Outcome:
        if error.verdict is Verdict.NOT_RUN:
            call.is_dispatched = False
            return Refused(Cause.BACKEND_SERVER_DOWN)
        cause = await self._crash_detector.cause_of_lost_connection(
            call, in_flight, self._accepts_connections
        )
        return Unknown(cause)

    async def _accepts_connections(self) -> bool:
        """Try two connections; a crashing process may accept the first."""
        if not await self._accepts_connection():
            return False
        await anyio.sleep(_SECOND_PROBE_DELAY_S)
        return await self._accepts_connection()

    async def _accepts_connection(self) -> bool:
        try:
            probe = await HttptoolsConnection.connect(self._endpoint, 0)
        except BackendServerError as error:
            self._on_down(str(error))
            return False
        probe.close()
        return True


def _do_nothing(identity: Identity) -> None:
    """Ignore that a request has reached another server."""
