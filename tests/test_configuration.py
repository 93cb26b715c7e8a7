"""Tests of configurations, route matching and the version gate."""

import io
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

import ragwortstand
from ragwortstand.ids import Digest, Version
from ragwortstand.models import digest_of
from ragwortstand.versions import OfferResult, Snapshot, VersionGate
from tests.fakes import MESH

CONTENT = MESH.to_json().encode()


class ConfigurationTest(unittest.TestCase):
    """Printing and validating configurations."""

    def test_canonical_json_round_trips(self) -> None:
        """Parsing and printing again gives the same text."""
        stream = io.StringIO()
        MESH.print(stream)
        again = ragwortstand.parse(stream.getvalue())
        self.assertEqual(again.to_json(), stream.getvalue())

    def test_every_fault_is_listed_with_its_path(self) -> None:
        """One check finds all conflicts between fields."""
        text = (
            '{"ranks":[{"name":"a","guaranteed_share":0.7},'
            '{"name":"a","guaranteed_share":0.7}],'
            '"services":[{"name":"s"}],'
            '"routes":[{"path":"/x","service":"t","rank":"b"},'
            '{"path":"/x","service":"s","rank":"a"}]}'
        )
        paths = [fault.path for fault in ragwortstand.check(text)]
        self.assertEqual(
            paths,
            [
                '$.ranks[1].name',
                '$.ranks',
                '$.routes[0].service',
                '$.routes[0].rank',
                '$.routes[1].path',
            ],
        )

    def test_structure_faults_have_paths(self) -> None:
        """Unknown keys and wrong types are reported with their paths."""
        text = '{"ranks":[{"name":"A B","colour":1}],"services":7}'
        paths = {fault.path for fault in ragwortstand.check(text)}
        self.assertEqual(
            paths, {'$.ranks[0].name', '$.ranks[0].colour', '$.services'}
        )

    def test_malformed_and_oversized_texts_are_refused(self) -> None:
        """Text that is not JSON or is too long is a fault."""
        self.assertTrue(ragwortstand.check('{'))
        self.assertTrue(ragwortstand.check(b' ' * (5 * 1024 * 1024)))

    def test_print_refuses_a_faulty_configuration(self) -> None:
        """Nothing is printed when a route has no service."""
        route = ragwortstand.Route(path='/', service='none', rank='bulk')
        faulty = MESH.model_copy(update={'routes': (route,)})
        stream = io.StringIO()
        with self.assertRaises(ragwortstand.ConfigurationError):
            faulty.print(stream)
        self.assertEqual(stream.getvalue(), '')


class SnapshotTest(unittest.TestCase):
    """Matching of requests to routes."""

    def test_longest_prefix_by_whole_segments(self) -> None:
        """A prefix matches whole segments, and the longest one wins."""
        longer = ragwortstand.Route(
            path='/slips/old', service='export', rank='bulk'
        )
        mesh = MESH.model_copy(update={'routes': (*MESH.routes, longer)})
        snapshot = Snapshot(Version(1), mesh, mesh.to_json().encode())
        matches = {
            path: match.service.name if match else None
            for path in ('/slips', '/slips/a', '/slips/old/a', '/slipsx')
            for match in (snapshot.match('GET', path),)
        }
        self.assertEqual(
            matches,
            {
                '/slips': 'consult',
                '/slips/a': 'consult',
                '/slips/old/a': 'export',
                '/slipsx': None,
            },
        )

    def test_method_routes_win_over_general_ones(self) -> None:
        """A route for a method is preferred at the same path."""
        post = ragwortstand.Route(
            path='/slips', service='export', rank='bulk', methods=('POST',)
        )
        mesh = MESH.model_copy(update={'routes': (*MESH.routes, post)})
        snapshot = Snapshot(Version(1), mesh, b'')
        found = snapshot.match('POST', '/slips/a')
        assert found
        self.assertEqual(found.service.name, 'export')


def _offer(gate: VersionGate, number: int) -> OfferResult:
    return gate.offer(Version(number), digest_of(CONTENT), CONTENT)


class VersionGateTest(unittest.TestCase):
    """Only valid newer versions are applied."""

    @settings(max_examples=200, derandomize=True)
    @given(st.lists(st.integers(min_value=0, max_value=9), max_size=40))
    def test_versions_only_grow(self, offered: list[int]) -> None:
        """Repeated and reordered offers never lower the version."""
        gate = VersionGate()
        seen = [gate.version]
        for number in offered:
            _offer(gate, number)
            seen.append(gate.version)
        self.assertEqual(seen, sorted(seen))
        self.assertEqual(gate.version, max([0, *offered]))

    @settings(max_examples=100, derandomize=True)
    @given(st.integers(min_value=0, max_value=len(CONTENT) - 1))
    def test_truncated_content_is_refused(self, length: int) -> None:
        """Truncated content is not applied."""
        gate = VersionGate()
        _offer(gate, 1)
        part = CONTENT[:length]
        outcome = gate.offer(Version(2), digest_of(CONTENT), part)
        self.assertIs(outcome, OfferResult.WRONG_DIGEST)
        self.assertEqual(gate.version, 1)

    def test_faulty_content_with_its_own_digest_is_refused(self) -> None:
        """Content is validated even if it matches its digest."""
        gate = VersionGate()
        for content in (b'{}', CONTENT.replace(b'"consult"', b'"x"', 1)):
            outcome = gate.offer(Version(1), digest_of(content), content)
            self.assertIs(outcome, OfferResult.INVALID)
        self.assertEqual(gate.version, 0)

    def test_wrong_digest_is_refused(self) -> None:
        """Complete content with another digest is refused."""
        gate = VersionGate()
        outcome = gate.offer(Version(1), Digest('0' * 64), CONTENT)
        self.assertIs(outcome, OfferResult.WRONG_DIGEST)

    def test_every_route_has_its_service_in_force(self) -> None:
        """Each snapshot has the services that its routes name."""
        gate = VersionGate()
        snapshots: list[Snapshot] = []
        gate.subscribe(snapshots.append)
        _offer(gate, 1)
        smaller = MESH.model_copy(
            update={'services': MESH.services[:1], 'routes': MESH.routes[:1]}
        )
        content = smaller.to_json().encode()
        gate.offer(Version(2), digest_of(content), content)
        for snapshot in snapshots:
            services = {
                service.name for service in snapshot.configuration.services
            }
            for route in snapshot.configuration.routes:
                self.assertIn(route.service, services)
        self.assertEqual(len(snapshots), 2)
