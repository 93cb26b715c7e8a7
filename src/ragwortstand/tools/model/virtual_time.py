"""ragwortstand.tools.model.virtual_time: an event loop on a virtual clock.

The clock stands still while tasks run and advances to the next timer when no
task is ready. Seconds of a busy fleet take only as long as their computation,
and the same seed gives the same run.
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
    """Advances the clock by each time-out instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> _ReadyEvents:
        """Advance the clock by the time-out and return no file events."""
        if timeout is None:
            raise RuntimeError(
                'deadlock: all tasks wait and no timer is scheduled'
            )
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is virtual and starts at zero."""

    def __init__(self) -> None:
        """Create a loop whose time is zero."""
        self._clock_selector = _VirtualClockSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._clock_selector.now_s


def run_in_virtual_time(
    main: Callable[[], Coroutine[Any, Any, _Result]],
) -> _Result:
    """Run a coroutine function in a `VirtualLoop`.

    Meanwhile `ragwortstand.clock.now_s` returns the virtual time too.

    :param main: the coroutine function.
    :returns: its result.
    """
    loop = VirtualLoop()
    with (
        mock.patch.object(clock, 'now_s', loop.time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(main())
