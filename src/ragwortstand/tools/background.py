"""ragwortstand.tools.background: sends load in a background thread."""

import threading
from collections.abc import Sequence

import anyio

from ragwortstand.tools.load import LoadGenerator, Plan, Record


class BackgroundLoad:
    """Runs a load plan in a thread of its own.

    Usage::

        >>> load = BackgroundLoad(urls, plan, 'demo')
        >>> load.start()
        >>> records = load.finish()

    :param urls: base URLs of the callers' ports of daemons.
    :param plan: the requests and their times.
    :param name: prefix of all tags.
    """

    def __init__(self, urls: Sequence[str], plan: Plan, name: str) -> None:
        """Create the load generator and its thread."""
        self._plan = plan
        self._generator = LoadGenerator(urls, name, plan.seed)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread that sends the requests."""
        self._thread.start()

    def finish(self) -> list[Record]:
        """Wait for the end of the plan and return all records."""
        self._thread.join()
        return self._generator.records

    def _run(self) -> None:
        anyio.run(
            self._generator.run,
            self._plan,
            backend_options={'use_uvloop': True},
        )
