"""ragwortstand.tools.model.virtual_time: an event loop without waiting.

Time stands still while tasks run and jumps to the next timer when none can
go on, so that seconds of a busy fleet take as long as their computation, and
the same seed gives the same run.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar
from unittest import mock

from ragwortstand import clock

_Result = TypeVar('_Result')
_ReadyEvents = list[tuple[selectors.SelectorKey, int]]


class _VirtualClockSelector(selectors.SelectSelector):
    """Adds the time that it should wait to the clock and does not wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> _ReadyEvents:
        """Return no file events, after the time-out has passed."""
        if timeout is None:
            raise RuntimeError('all tasks wait for something that never comes')
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on a clock of its own."""

    def __init__(self) -> None:
        """Start at zero."""
        self._clock_selector = _VirtualClockSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._clock_selector.now_s


def run_in_virtual_time(
    main: Callable[[], Coroutine[Any, Any, _Result]],
) -> _Result:
    """Run a coroutine function on a virtual clock, which `clock` shows too.

    :param main: the coroutine function.
    :returns: its result.
    """
    loop = VirtualLoop()
    with (
        mock.patch.object(clock, 'now_s', loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(main())
