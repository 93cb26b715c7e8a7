"""Tests of the platform's settings file."""

import json
import pathlib
import tempfile
import unittest

from ragwortstand.exceptions import SettingsError
from ragwortstand.platform.program import main
from ragwortstand.platform.settings import load_node_settings

_NODE = {
    'nodeName': 'sidecar-dakar-a-1',
    'role': 'sidecar',
    'ip': '10.1.0.41',
    'zone': 'dakar-a',
    'region': 'dakar',
    'listen': {
        'inbound': '10.1.0.41:8624',
        'outbound': '10.1.0.41:8629',
        'ready': '10.1.0.41:8625',
        'control': '10.1.0.41:8620',
    },
    'seeds': ['10.1.0.41:8620', '10.1.0.42:8620'],
    'heartbeatMs': 1500,
    'bounds': ['graceS=5', 'retryRatio=0.3', 'retrySlack=62', 'x=true'],
    'appAddr': '10.1.0.41:8628',
    'service': 'huvo',
    'provider': {'address': '10.200.1.7:8627', 'form': 'table'},
    'somethingNew': {'a': 1},
}

_SMALLEST_HOST_BYTES = 200_000_000


class _Base(unittest.TestCase):
    def setUp(self) -> None:
        """Create a temporary folder for the settings file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'node.json'

    def _write(self, **changes) -> str:
        self.path.write_text(json.dumps({**_NODE, **changes}))
        return str(self.path)


class DecodeTests(_Base):
    """A valid file; unknown fields are ignored."""

    def test_becomes_the_products_settings(self) -> None:
        sidecar = load_node_settings(self._write()).sidecar()
        daemon = sidecar.daemon
        self.assertEqual(daemon.host, 'sidecar-dakar-a-1')
        self.assertEqual(daemon.availability_zone, 'dakar-a')
        self.assertEqual(daemon.callers.port, 8629)
        self.assertEqual(daemon.peers.port, 8624)
        self.assertEqual(sidecar.grace_s, 5)
        self.assertEqual(sidecar.retry_terms.ratio, 0.3)
        self.assertEqual(sidecar.retry_terms.window_s, 10)

    def test_seeds_are_other_daemons_by_their_port_for_daemons(self) -> None:
        seeds = load_node_settings(self._write()).sidecar().seeds
        self.assertEqual(seeds, ('tcp://10.1.0.42:8624',))

    def test_responses_fit_the_smallest_host(self) -> None:
        """A response is copied: parts, whole body, message and buffer."""
        limits = load_node_settings(self._write()).sidecar().daemon.limits
        copies_bytes = limits.max_reading_bytes * 4
        self.assertLess(copies_bytes, _SMALLEST_HOST_BYTES)
        self.assertLessEqual(limits.max_answer_bytes, limits.max_reading_bytes)


class FaultTests(_Base):
    """Invalid files are refused with the reason."""

    def _problem(self, path: str) -> str:
        with self.assertRaises(SettingsError) as caught:
            load_node_settings(path).sidecar()
        return str(caught.exception)

    def test_missing_file(self) -> None:
        self.assertIn('cannot read', self._problem('/nowhere/node.json'))

    def test_cut_short(self) -> None:
        self._write()
        self.path.write_text(self.path.read_text()[:100])
        self.assertTrue(self._problem(str(self.path)))

    def test_missing_field(self) -> None:
        node = {name: _NODE[name] for name in _NODE if name != 'appAddr'}
        self.path.write_text(json.dumps(node))
        self.assertIn('appAddr', self._problem(str(self.path)))

    def test_address_without_a_port(self) -> None:
        path = self._write(listen={**_NODE['listen'], 'ready': '10.1.0.41'})
        self.assertIn('10.1.0.41', self._problem(path))

    def test_bound_that_is_no_number(self) -> None:
        path = self._write(bounds=['graceS=soon'])
        self.assertIn('graceS=soon', self._problem(path))

    def test_values_out_of_bounds(self) -> None:
        cases = (
            ({'nodeName': 'a host'}, '$.host'),
            ({'zone': ''}, '$.availability_zone'),
            ({'heartbeatMs': 0}, '$.backend_server.announce_timeout_s'),
            ({'heartbeatMs': 60_000}, '$.backend_server.announce_timeout_s'),
            ({'seeds': ['10.1.0.41:65536']}, '$.port'),
        )
        for changes, path in cases:
            with self.subTest(path):
                self.assertIn(path, self._problem(self._write(**changes)))

    def test_command_line_checks_without_starting(self) -> None:
        path = self._write()
        arguments = ['--settings', path, '--check-settings']
        self.assertEqual(main(arguments), 0)
        self.path.write_text('{}')
        self.assertEqual(main(arguments), 2)
