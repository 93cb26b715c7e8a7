"""Tests which modules a sidecar imports when it starts."""

import subprocess
import sys
import unittest

# Each module delays the start of a sidecar; after an outage the sidecars of all
# hosts start at once.
_FORBIDDEN_MODULES = frozenset(
    (
        'httpcore',
        'importlib.metadata',
        'matplotlib',
        'pydantic',
        'pydantic_core',
        'pynng',
        'ragwortstand.api',
        'ragwortstand.authoring',
        'ragwortstand.daemon',
        'ragwortstand.operators',
        'ragwortstand.storage.version_store',
        'ragwortstand.storage.client',
        'ragwortstand.tools',
        'starlette',
        'uvicorn',
    ),
)
_PRINT_MODULES = """
import sys
import ragwortstand.platform.program
print(*sys.modules)
"""


class SidecarImportTests(unittest.TestCase):
    """Imported modules in a new interpreter."""

    def test_loads_only_what_it_uses(self) -> None:
        found = subprocess.run(
            [sys.executable, '-c', _PRINT_MODULES],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = set(found.stdout.split())
        self.assertIn('ragwortstand.sidecar', loaded)
        self.assertEqual(loaded & _FORBIDDEN_MODULES, set())
