"""ragwortstand.supervision: tasks that run as long as their process."""

from collections.abc import Awaitable, Callable

import anyio

from ragwortstand.events import Event, EventLog


async def supervise(
    task: Callable[[], Awaitable[None]],
    log: EventLog,
    restart_s: float,
) -> None:
    """Run a task for ever, and start it again when it ends or fails.

    :param task: the task.
    :param log: tells of failures.
    :param restart_s: pause before it is started again.
    """
    while True:
        try:
            await task()
        except Exception as error:
            log.emit(
                Event.TASK_FAILED, task=task.__qualname__, problem=repr(error)
            )
        await anyio.sleep(restart_s)
