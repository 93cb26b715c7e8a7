"""What a sidecar loads at its start."""

import subprocess
import sys
import unittest

# Each start of a sidecar pays for what it loads, on every host at once after
# an outage.
_NOT_LOADED = frozenset(
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
_LOAD = """
import sys
import ragwortstand.platform.program
print(*sys.modules)
"""


class SidecarImportTests(unittest.TestCase):
    """Modules in a fresh interpreter."""

    def test_loads_only_what_it_uses(self) -> None:
        found = subprocess.run(
            [sys.executable, '-c', _LOAD],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = set(found.stdout.split())
        self.assertIn('ragwortstand.sidecar', loaded)
        self.assertEqual(loaded & _NOT_LOADED, set())
