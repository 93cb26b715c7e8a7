"""ragwortstand.tools.background: load that runs beside a script."""

import threading
from collections.abc import Sequence

import anyio

from ragwortstand.tools.load import LoadGenerator, Plan, Record


class BackgroundLoad:
    """Callers that run a plan in a thread of their own.

    Usage::

        >>> load = BackgroundLoad(urls, plan, 'demo')
        >>> load.start()
        >>> records = load.finish()

    :param urls: base URLs of the callers' side of daemons.
    :param plan: what to send, and when.
    :param name: prefix of all tags.
    """

    def __init__(self, urls: Sequence[str], plan: Plan, name: str) -> None:
        """Prepare the callers."""
        self._plan = plan
        self._generator = LoadGenerator(urls, name, plan.seed)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def finish(self) -> list[Record]:
        """Wait for the last outcome and return all of them."""
        self._thread.join()
        return self._generator.records

    def _run(self) -> None:
        anyio.run(
            self._generator.run,
            self._plan,
            backend_options={'use_uvloop': True},
        )
