"""ragwortstand.peers.pynng_operations: awaits pynng operations under anyio."""

import asyncio
from collections.abc import Awaitable

import anyio
import pynng
from anyio.lowlevel import checkpoint_if_cancelled

from ragwortstand.exceptions import PeerError
from ragwortstand.verdicts import Verdict


async def await_operation(
    timeout_s: float,
    operation: Awaitable[object],
    verdict: Verdict,
) -> object:
    """Await a pynng operation and convert its failures.

    :param timeout_s: time to wait for the operation.
    :param operation: the operation.
    :param verdict: whether the request may have run when the operation fails.
    :raises PeerError: with the verdict, when the operation fails.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await _await_uncancelled(operation, verdict)
    except TimeoutError as error:
        raise PeerError(f'no reply within {timeout_s} s', verdict) from error
    except pynng.NNGException as error:
        raise PeerError(repr(error), verdict) from error


async def _await_uncancelled(
    operation: Awaitable[object], verdict: Verdict
) -> object:
    """Await a pynng operation and convert cancellations by pynng.

    pynng ends a cancelled operation with a `CancelledError` of its own. anyio
    does not recognise it as the cancellation of its scope and would pass it on
    to the whole task group.

    :param operation: the operation.
    :param verdict: whether the request may have run when pynng cancels it.
    :raises PeerError: with the verdict, when pynng cancels the operation.
    """
    try:
        return await operation
    except asyncio.CancelledError as error:
        await checkpoint_if_cancelled()
        task = asyncio.current_task()
        if task and task.cancelling():
            raise
        raise PeerError('operation cancelled by pynng', verdict) from error
