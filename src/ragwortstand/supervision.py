"""ragwortstand.supervision: restart background tasks that end or fail."""

from collections.abc import Awaitable, Callable

import anyio

from ragwortstand.events import Event, EventLog


async def supervise(
    task: Callable[[], Awaitable[None]],
    log: EventLog,
    restart_s: float,
) -> None:
    """Run a task forever and restart it when it ends or fails.

    :param task: the task.
    :param log: receives failures.
    :param restart_s: delay before a restart, in seconds.
    """
    while True:
        try:
            await task()
        except Exception as error:
            log.emit(
                Event.TASK_FAILED, task=task.__qualname__, problem=repr(error)
            )
        await anyio.sleep(restart_s)
