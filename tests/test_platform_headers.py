"""Tests of the platform's headers and statuses."""

import random
import unittest

from ragwortstand.callers.proxy import ParsedRequest
from ragwortstand.callers.weighted_targets import WeightedTargetSelector
from ragwortstand.calls import Call
from ragwortstand.http_server import CallerRequest
from ragwortstand.ids import RequestId, Version
from ragwortstand.models import Rank, Route, Service
from ragwortstand.platform.headers import (
    CALLER,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    NOT_RUN,
    REQUEST_ID,
    STAMP,
    PlatformBackendDialect,
    PlatformCallerDialect,
)
from ragwortstand.verdicts import (
    Answered,
    Cause,
    Refused,
    Unknown,
)
from ragwortstand.versions import Match, WeightedTarget


def _parsed(
    *headers: tuple[bytes, bytes], target: str = '/a/b?q=1'
) -> ParsedRequest:
    request = CallerRequest('GET', target, headers, b'', 0.0)
    found = PlatformCallerDialect('mine', random.Random(1)).read(request)
    assert isinstance(found, ParsedRequest)
    return found


def _call(**changes) -> Call:
    fields = {
        'request_id': RequestId('id'),
        'method': 'GET',
        'target': '/a',
        'headers': ((REQUEST_ID, b'id'), (b'host', b'h.example')),
        'body': b'',
        'service': Service(name='s'),
        'rank': Rank(name='r'),
        'is_idempotent': True,
        'deadline_s': 10.8,
        'version': Version(1),
    }
    return Call(**{**fields, **changes})


class CallerTests(unittest.TestCase):
    """Requests of callers."""

    def test_parsed_fields(self) -> None:
        parsed = _parsed(
            (b'host', b'Jepu.Example:80'),
            (REQUEST_ID, b'9c41'),
            (DEADLINE_MS, b'1500'),
        )
        self.assertEqual(parsed.request_id, '9c41')
        self.assertEqual(parsed.host, 'jepu.example')
        self.assertEqual(parsed.path, '/a/b')
        self.assertEqual(parsed.budget_s, 1.5)

    def test_caller_is_this_hosts_service_whatever_was_sent(self) -> None:
        parsed = _parsed((CALLER, b'forged'), (EXPECT_INSTANCE, b'forged'))
        self.assertEqual(parsed.headers, ((CALLER, b'mine'),))

    def test_connection_headers_are_dropped(self) -> None:
        parsed = _parsed(
            (b'connection', b'close, X-Hop'),
            (b'x-hop', b'1'),
            (b'te', b'trailers'),
            (b'x-kept', b'2'),
        )
        names = [name for name, _ in parsed.headers]
        self.assertEqual(names, [b'x-kept', CALLER])

    def test_invalid_budgets_are_none(self) -> None:
        for text in (b'', b'soon', b'-5', b'0'):
            self.assertIsNone(_parsed((DEADLINE_MS, text)).budget_s)


class StatusTests(unittest.TestCase):
    """Statuses say whether a request may have run."""

    def setUp(self) -> None:
        """Create the dialect of callers."""
        self.callers = PlatformCallerDialect('mine', random.Random(1))

    def test_refusals_have_statuses_of_requests_not_run(self) -> None:
        statuses = {
            cause: self.callers.render(Refused(cause), 'id').status
            for cause in Cause
        }
        final = {Cause.NO_ROUTE, Cause.BAD_REQUEST, Cause.BODY_TOO_LARGE}
        for cause, status in statuses.items():
            expected = {400, 404, 413} if cause in final else {503}
            self.assertIn(status, expected, cause)

    def test_unknown_outcomes_have_gateway_statuses(self) -> None:
        for cause in Cause:
            answered = self.callers.render(Unknown(cause), 'id')
            self.assertIn(answered.status, {502, 504}, cause)
            self.assertNotIn(b'retry-after', dict(answered.headers))

    def test_retry_after_has_jitter(self) -> None:
        refusal = Refused(Cause.OVERLOADED, 0.2)
        times = {
            float(dict(self.callers.render(refusal, '').headers)[key])
            for key in [b'retry-after'] * 20
        }
        self.assertGreater(len(times), 10)
        self.assertGreaterEqual(min(times), 0.2)
        self.assertLessEqual(max(times), 0.26)

    def test_responses_pass_unchanged(self) -> None:
        answered = Answered(503, ((STAMP, b's'), (b'x', b'y')), b'body')
        self.assertIs(self.callers.render(answered, 'id'), answered)


class BackendServerTests(unittest.TestCase):
    """Requests to backend servers and their answers."""

    def setUp(self) -> None:
        """Create the dialect of backend servers."""
        self.dialect = PlatformBackendDialect()

    def test_time_left_instance_and_host(self) -> None:
        request = self.dialect.request(_call(), 'i-1', 10.0)
        headers = dict(request.headers)
        self.assertEqual(headers[EXPECT_INSTANCE], b'i-1')
        self.assertTrue(700 < int(headers[DEADLINE_MS]) < 800)
        self.assertEqual(request.host, b'h.example')
        self.assertEqual(request.echo, (REQUEST_ID, b'id'))

    def test_time_left_is_never_negative(self) -> None:
        request = self.dialect.request(_call(), 'i-1', 99.0)
        self.assertEqual(dict(request.headers)[DEADLINE_MS], b'1')

    def test_request_without_an_id_expects_a_response_without_one(
        self,
    ) -> None:
        request = self.dialect.request(_call(headers=()), 'i-1', 10.0)
        self.assertEqual(request.echo, (REQUEST_ID, b''))

    def test_outcomes_of_responses(self) -> None:
        stamped = ((STAMP, b's'),)
        cases = (
            (Answered(200, stamped, b''), Answered),
            (Answered(500, stamped, b''), Answered),
            (Answered(504, stamped, b''), Answered),
            (Answered(503, ((NOT_RUN, b'1'),), b''), Refused),
            (Answered(429, ((NOT_RUN, b'1'),), b''), Refused),
            (Answered(421, (), b''), Refused),
            (Answered(200, (), b''), Unknown),
        )
        for answered, expected in cases:
            found = self.dialect.outcome(_call(), answered)
            self.assertIsInstance(found, expected, answered)


class SplitTests(unittest.TestCase):
    """Selection of a service of a split route."""

    def _match(self, *weights: float) -> Match:
        targets = tuple(
            WeightedTarget(Service(name=f's{number}'), weight)
            for number, weight in enumerate(weights)
        )
        route = Route(path='/a', service='s0', rank='r')
        return Match(route, Rank(name='r'), targets)

    def test_each_service_gets_its_weight(self) -> None:
        target_selector = WeightedTargetSelector(random.Random(1))
        match = self._match(90, 10)
        selected = [target_selector.select(match).name for _ in range(300)]
        for start in range(0, 300, 50):
            found = selected[start : start + 50].count('s1')
            self.assertTrue(4 <= found <= 6, found)

    def test_daemons_select_independently(self) -> None:
        match = self._match(50, 50)
        firsts = {
            WeightedTargetSelector(random.Random(seed)).select(match).name
            for seed in range(20)
        }
        self.assertEqual(firsts, {'s0', 's1'})
