"""Tests of decoding the operator's row."""

import copy
import json
import unittest
from typing import Any

import msgspec

import ragwortstand
from ragwortstand.exceptions import ConfigurationError
from ragwortstand.models import Configuration, decode
from ragwortstand.platform.configuration import (
    RowDecoder,
    decode_configuration,
)
from ragwortstand.versions import Snapshot

_ROW: dict[str, Any] = {
    'version': 7,
    'routes': {
        'columns': [
            'name',
            'host',
            'prefix',
            'kind',
            'timeoutMs',
            'goalMs',
            'priority',
            'backends',
            'attempts',
            'service',
        ],
        'rows': [
            [
                'r-1',
                'jepu.example',
                '/lepu/',
                'idempotent',
                800,
                250,
                0,
                [
                    {'service': 'huvo', 'weight': 90},
                    {'service': 'kafi', 'weight': 10},
                ],
                2,
                None,
            ],
            [
                'r-2',
                'Hulo.example',
                '/lepu/ny/',
                'non_idempotent',
                1000,
                300,
                1,
                None,
                3,
                'kafi',
            ],
        ],
    },
    'services': {
        'columns': ['name', 'healthPath', 'maxConns', 'protocol', 'tls'],
        'rows': [
            ['huvo', '/healthz', 130, 'h1', False],
            ['kafi', '/healthz', None, 'h1', False],
        ],
    },
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1000,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'baseVersion': 5,
}


def row_of(version: int) -> bytes:
    """Return the operator's row with a version."""
    return msgspec.json.encode({**_ROW, 'version': version})


def _decoded(row: dict[str, Any]) -> Configuration:
    return decode_configuration(msgspec.json.encode(row))[1]


class DecodeTests(unittest.TestCase):
    """A valid row."""

    def setUp(self) -> None:
        """Decode the row."""
        version, mesh = decode_configuration(row_of(7))
        self.version = version
        self.mesh = mesh

    def test_version_and_limits(self) -> None:
        self.assertEqual(self.version, 7)
        self.assertEqual(self.mesh.limits.max_body_bytes, 1000)
        self.assertEqual(self.mesh.limits.idle_timeout_s, 15)

    def test_split_route(self) -> None:
        route = self.mesh.routes[0]
        targets = {part.service: part.weight for part in route.backends}
        self.assertEqual(targets, {'huvo': 90, 'kafi': 10})
        self.assertTrue(route.is_idempotent('POST'))
        self.assertEqual(route.deadline_s, 0.8)
        self.assertEqual(route.max_attempts, 2)

    def test_single_route(self) -> None:
        route = self.mesh.routes[1]
        self.assertEqual(route.service, 'kafi')
        self.assertEqual(route.host, 'hulo.example')
        self.assertFalse(route.is_idempotent('GET'))

    def test_downloads_are_idempotent(self) -> None:
        row = copy.deepcopy(_ROW)
        row['routes']['rows'][1][3] = 'download'
        self.assertTrue(_decoded(row).routes[1].is_idempotent('POST'))

    def test_latency_objectives_and_priorities_become_ranks(self) -> None:
        targets = [rank.target_s for rank in self.mesh.ranks]
        self.assertEqual(targets, [0.25, 0.3])

    def test_connections(self) -> None:
        limits = [service.max_connections for service in self.mesh.services]
        self.assertEqual(limits, [130, None])

    def test_json_round_trip(self) -> None:
        text = self.mesh.to_json()
        self.assertEqual(decode(text.encode()), self.mesh)

    def test_operators_parse_the_same_json(self) -> None:
        text = self.mesh.to_json()
        again = ragwortstand.parse(text)
        self.assertEqual(json.loads(again.to_json()), json.loads(text))

    def test_longest_prefix_of_the_host(self) -> None:
        snapshot = Snapshot(self.version, self.mesh, b'')
        cases = {
            ('/lepu/2f', 'jepu.example'): '/lepu/',
            ('/lepu/', 'jepu.example'): '/lepu/',
            ('/lepu/ny/2f', 'hulo.example'): '/lepu/ny/',
            ('/lepu/ny/2f', 'jepu.example'): '/lepu/',
            ('/lepu', 'jepu.example'): None,
            ('/lepux/2f', 'jepu.example'): None,
            ('/lepu/2f', 'hulo.example'): None,
            ('/lepu/2f', ''): None,
        }
        for (path, host), expected in cases.items():
            match = snapshot.match('GET', path, host)
            found = match.route.path if match else None
            self.assertEqual(found, expected, (path, host))


class RowDecoderTests(unittest.TestCase):
    """Successive versions, whose unchanged routes are cached."""

    def setUp(self) -> None:
        """Decode a first version."""
        self.decoder = RowDecoder()
        self.decoder.decode(row_of(7))

    def _decode(self, row: dict[str, Any]) -> Configuration:
        """Decode a row; check that the cached routes don't change it."""
        content = msgspec.json.encode(row)
        version, mesh = self.decoder.decode(content)
        self.assertEqual((version, mesh), decode_configuration(content))
        return mesh

    def test_changed_added_removed_and_reordered_routes(self) -> None:
        row = copy.deepcopy(_ROW)
        rows = row['routes']['rows']
        rows[0][4] = 700
        self.assertEqual(self._decode(row).routes[0].deadline_s, 0.7)
        rows.append(['r-3', 'a.example', '/', *rows[1][3:]])
        self.assertEqual(len(self._decode(row).routes), 3)
        rows.reverse()
        self.assertEqual(self._decode(row).routes[0].path, '/')
        rows.pop()
        self.assertEqual(len(self._decode(row).ranks), 1)

    def test_other_order_of_columns(self) -> None:
        row = copy.deepcopy(_ROW)
        columns = row['routes']['columns']
        row['routes']['columns'] = ['host', 'name', *columns[2:]]
        self.assertEqual(self._decode(row).routes[0].host, 'r-1')

    def test_unchanged_route_whose_service_is_gone(self) -> None:
        row = copy.deepcopy(_ROW)
        row['services']['rows'].pop()
        with self.assertRaises(ConfigurationError):
            self.decoder.decode(msgspec.json.encode(row))
        self._decode(_ROW)

    def test_after_a_row_that_was_refused(self) -> None:
        row = copy.deepcopy(_ROW)
        row['routes']['rows'][1][3] = 'sometimes'
        for _ in range(2):
            with self.assertRaises(ConfigurationError):
                self.decoder.decode(msgspec.json.encode(row))
        self._decode(_ROW)


class RefusalTests(unittest.TestCase):
    """Rows with any invalid or missing part are refused as a whole."""

    def _changed(self, **changes: Any) -> dict[str, Any]:
        return {**copy.deepcopy(_ROW), **changes}

    def test_cut_short_and_unreadable(self) -> None:
        whole = row_of(7)
        for content in (whole[:200], whole[:-1], b'', b'\xff', b'[]', b'{}'):
            with self.assertRaises(ConfigurationError):
                decode_configuration(content)

    def test_unknown_service(self) -> None:
        row = self._changed()
        row['routes']['rows'][1][-1] = 'nobody'
        with self.assertRaises(ConfigurationError):
            _decoded(row)

    def test_unknown_kind(self) -> None:
        row = self._changed()
        row['routes']['rows'][1][3] = 'sometimes'
        with self.assertRaises(ConfigurationError) as raised:
            _decoded(row)
        fault = raised.exception.faults[0]
        self.assertEqual(fault.path, '$.routes[r-2].kind')
        self.assertIn("'sometimes'", fault.problem)

    def test_route_without_a_service(self) -> None:
        row = self._changed()
        row['routes']['rows'][1][-1] = None
        with self.assertRaises(ConfigurationError):
            _decoded(row)

    def test_row_of_another_length(self) -> None:
        row = self._changed()
        row['routes']['rows'][0].pop()
        with self.assertRaises(ConfigurationError):
            _decoded(row)

    def test_wrong_types(self) -> None:
        for position, value in ((4, 'soon'), (8, 0), (2, 'lepu')):
            row = self._changed()
            row['routes']['rows'][0][position] = value
            with self.assertRaises(ConfigurationError):
                _decoded(row)

    def test_values_out_of_bounds(self) -> None:
        cases = (
            (0, 'routes', 1, 'jepu example'),
            (0, 'routes', 2, '/le pu/'),
            (0, 'routes', 2, '/lepu/\n'),
            (0, 'routes', 4, 600_001),
            (0, 'routes', 5, -1),
            (0, 'routes', 8, 101),
            (1, 'routes', 9, 'Kafi'),
            (0, 'routes', 7, [{'service': 'huvo', 'weight': 1e7}]),
            (0, 'services', 0, 'huvo\n'),
            (0, 'services', 2, 0),
        )
        for number, part, position, value in cases:
            row = self._changed()
            row[part]['rows'][number][position] = value
            with (
                self.subTest(part=part, value=value),
                self.assertRaises(ConfigurationError),
            ):
                _decoded(row)

    def test_limits_out_of_bounds(self) -> None:
        for name, value in (
            ('maxHeaderBytes', 255),
            ('maxBodyBytes', -1),
            ('headerTimeoutMs', 0),
            ('idleTimeoutMs', 3_600_001),
        ):
            with self.subTest(name), self.assertRaises(ConfigurationError):
                _decoded(self._changed(limits={name: value}))

    def test_the_same_route_twice(self) -> None:
        row = self._changed()
        row['routes']['rows'].append(row['routes']['rows'][0])
        with self.assertRaises(ConfigurationError):
            _decoded(row)
