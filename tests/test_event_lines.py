"""Every outcome and every change of state is logged."""

import asyncio
import itertools
import pathlib
import random
import re
import unittest
from typing import cast

import anyio

import ragwortstand
from ragwortstand import clock
from ragwortstand.backend_servers import (
    Announcement,
    BackendServer,
    BackendState,
)
from ragwortstand.callers.dispatch import Dispatcher
from ragwortstand.callers.proxy import ParsedRequest, Proxy
from ragwortstand.callers.weighted_targets import WeightedTargetSelector
from ragwortstand.calls import Call
from ragwortstand.events import Event
from ragwortstand.http_server import CallerRequest, CancelReason
from ragwortstand.ids import ServiceName, Version
from ragwortstand.metrics import Metrics
from ragwortstand.settings import parse_settings
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Outcome,
    Refused,
    Unknown,
    Verdict,
)
from ragwortstand.versions import Snapshot
from tests.fakes import MESH, ListLog

_SETTINGS = parse_settings(
    '{"cluster":"c","host":"h","region":"r","availability_zone":"z",'
    '"admin":{"token":"0123456789abcdef"},'
    '"platform":{"url":"http://127.0.0.1:1","region":"r"}}',
)
_VERSION = Version(7)
_EVENTS_BY_VERDICT = {
    Verdict.RAN: Event.SERVED,
    Verdict.NOT_RUN: Event.REFUSED,
    Verdict.MAY_HAVE_RUN: Event.UNKNOWN,
}
_OUTCOMES: tuple[Outcome, ...] = (
    Answered(200, (), b''),
    Answered(500, (), b''),
    *itertools.chain.from_iterable(
        (Refused(cause, 0.25), Unknown(cause)) for cause in Cause
    ),
)


class _Dialect:
    """A dialect whose requests carry only an id."""

    def read(self, request: CallerRequest) -> ParsedRequest | Refused:
        return ParsedRequest('r-1', '', request.target, None, ())

    def render(self, outcome: Outcome, request_id: str) -> Answered:
        return Answered(200, (), b'')


class _Dispatcher:
    """Returns the same outcome for every request."""

    def __init__(self, outcome: Outcome) -> None:
        self._outcome = outcome

    async def dispatch(self, call: Call) -> Outcome:
        return self._outcome


class _SlowDispatcher:
    """Never returns an outcome."""

    async def dispatch(self, call: Call) -> Outcome:
        await anyio.sleep_forever()
        raise AssertionError


def _request(target: str) -> CallerRequest:
    return CallerRequest('GET', target, (), b'', clock.now_s())


class OutcomeLineTests(unittest.TestCase):
    """The daemon that received a request logs its outcome."""

    def setUp(self) -> None:
        """Create an empty log."""
        self.log = ListLog()

    def _handle_request(self, outcome: Outcome, target: str = '/slips') -> None:
        proxy = Proxy(
            lambda: Snapshot(_VERSION, MESH, b''),
            cast(Dispatcher, _Dispatcher(outcome)),
            _Dialect(),
            WeightedTargetSelector(random.Random(1)),
            Metrics(),
            self.log,
        )
        anyio.run(proxy.answer, _request(target))

    def test_each_outcome_has_one_line_with_its_inputs(self) -> None:
        """The test covers every verdict and cause, also new ones."""
        for outcome in _OUTCOMES:
            with self.subTest(outcome=outcome):
                self.log = ListLog()
                self._handle_request(outcome)
                self._check_line(outcome)

    def test_a_request_without_a_route_has_its_line(self) -> None:
        """The request is refused before it is dispatched."""
        self._handle_request(Answered(200, (), b''), '/nowhere')
        self.assertEqual(self.log.events, [Event.REFUSED])
        fields = self.log.lines[0]
        self.assertEqual(fields['cause'], Cause.NO_ROUTE.value)
        self.assertEqual(fields['request'], 'r-1')

    def test_a_request_that_is_given_up_has_its_line(self) -> None:
        """The line has the cancel reason, as the request has no outcome."""
        for reason in CancelReason:
            with self.subTest(reason=reason):
                self.log = ListLog()
                asyncio.run(self._abandon(reason))
                self.assertEqual(self.log.events, [Event.ABANDONED])
                fields = self.log.lines[0]
                self.assertEqual(fields['request'], 'r-1')
                self.assertEqual(fields['ended_by'], reason.value)

    async def _abandon(self, reason: CancelReason) -> None:
        proxy = Proxy(
            lambda: Snapshot(_VERSION, MESH, b''),
            cast(Dispatcher, _SlowDispatcher()),
            _Dialect(),
            WeightedTargetSelector(random.Random(1)),
            Metrics(),
            self.log,
        )
        task = asyncio.create_task(proxy.answer(_request('/slips')))
        await anyio.sleep(0.01)
        task.cancel(reason)
        with self.assertRaises(asyncio.CancelledError):
            await task

    def _check_line(self, outcome: Outcome) -> None:
        is_failure = isinstance(outcome, Answered) and outcome.status >= 500
        event = (
            Event.FAILED if is_failure else _EVENTS_BY_VERDICT[outcome.verdict]
        )
        self.assertEqual(self.log.events, [event])
        fields = self.log.lines[0]
        cause = '' if isinstance(outcome, Answered) else outcome.cause.value
        self.assertEqual(fields['cause'], cause)
        self.assertEqual(fields['request'], 'r-1')
        self.assertEqual(fields['version'], _VERSION)
        self.assertEqual(fields['rank'], 'urgent')


class StateChangeLineTests(unittest.TestCase):
    """Changes of a backend server's state."""

    def test_each_state_of_the_backend_server_has_its_line(self) -> None:
        """It starts, drains, is ready again and stops announcing itself."""
        log = ListLog()
        server = BackendServer(_SETTINGS, log)
        for is_draining in (False, True, False):
            anyio.run(
                server.announce,
                Announcement(
                    instance='i',
                    service=ServiceName('consult'),
                    address='127.0.0.1',
                    port=1,
                    slots=4,
                    connections=4,
                    is_draining=is_draining,
                ),
                clock.now_s(),
            )
        server.expire(clock.now_s() + 60)
        logged = {fields['state'] for fields in log.lines}
        reachable = set(BackendState) - {BackendState.ABSENT}
        self.assertEqual(logged, {state.value for state in reachable})


class EventNameTests(unittest.TestCase):
    """Names of events."""

    def test_each_event_is_written_somewhere(self) -> None:
        """Each event is emitted, so that a search for its name succeeds."""
        root = pathlib.Path(ragwortstand.__file__).parent
        written = {
            name
            for path in root.rglob('*.py')
            if path.name != 'events.py' and 'tools' not in path.parts
            for name in re.findall(r'Event\.([A-Z_]+)', path.read_text())
        }
        self.assertEqual({event.name for event in Event} - written, set())

    def test_names_are_unique_and_marked(self) -> None:
        """All names have the same prefix, so that one search finds them."""
        names = {event.value for event in Event}
        self.assertEqual(len(names), len(Event))
        self.assertTrue(all(name.startswith('ragwort:') for name in names))
