"""Tests of parsing and validating settings."""

import json
import pathlib
import unittest

from ragwortstand.exceptions import SettingsError
from ragwortstand.settings import load_settings, parse_settings

_ROOT = pathlib.Path(__file__).parent.parent
_REQUIRED_SETTINGS = {
    'cluster': 'c',
    'host': 'h',
    'region': 'r',
    'availability_zone': 'z',
    'admin': {'token': '0123456789abcdef'},
    'platform': {'url': 'http://127.0.0.1:1', 'region': 'r'},
}


class SettingsTest(unittest.TestCase):
    """Parsing reports all faults and fills in defaults."""

    def test_defaults_fill_in(self) -> None:
        """Only the required settings have to be given."""
        settings = parse_settings(json.dumps(_REQUIRED_SETTINGS))
        self.assertEqual(settings.limits.max_in_flight, 1000)

    def test_every_fault_is_listed(self) -> None:
        """All faults are reported at once, with paths and legal ranges."""
        bad = {
            **_REQUIRED_SETTINGS,
            'callers': {'port': 70000},
            'colour': 1,
            'limits': {'max_request_bytes': -1},
            'admin': {'token': 'short'},
        }
        with self.assertRaises(SettingsError) as caught:
            parse_settings(json.dumps(bad))
        faults = {one.path: one.problem for one in caught.exception.faults}
        self.assertEqual(
            set(faults),
            {
                '$.callers.port',
                '$.colour',
                '$.limits.max_request_bytes',
                '$.admin.token',
            },
        )
        self.assertIn('65535', faults['$.callers.port'])

    def test_missing_file_is_a_fault(self) -> None:
        """A file that can't be read is reported as a fault."""
        with self.assertRaises(SettingsError):
            load_settings('/nonexistent/settings.json')

    def test_example_settings_are_sound(self) -> None:
        """Each settings file of the examples is valid."""
        paths = sorted((_ROOT / 'examples').glob('*/settings/*.json'))
        self.assertEqual(len(paths), 36)
        for path in paths:
            load_settings(str(path))
