"""ragwortstand.peers.pynng_operations: awaiting pynng under anyio."""

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
    """Await a step of pynng; its failures become errors with a verdict.

    :param timeout_s: time to wait for the step.
    :param operation: the step.
    :param verdict: what a failure of the step leaves open.
    """
    try:
        with anyio.fail_after(timeout_s):
            return await _await_uncancelled(operation, verdict)
    except TimeoutError as error:
        raise PeerError(f'no answer in {timeout_s} s', verdict) from error
    except pynng.NNGException as error:
        raise PeerError(repr(error), verdict) from error


async def _await_uncancelled(
    operation: Awaitable[object], verdict: Verdict
) -> object:
    """Await a step of pynng and make its cancellation anyio's own.

    pynng ends a cancelled operation with a `CancelledError` of its own, which
    anyio does not take for the cancellation of its scope and so would pass on
    to the whole task group.

    :param operation: the step.
    :param verdict: what an operation that pynng gave up leaves open.
    """
    try:
        return await operation
    except asyncio.CancelledError as error:
        await checkpoint_if_cancelled()
        task = asyncio.current_task()
        if task and task.cancelling():
            raise
        raise PeerError('operation cancelled', verdict) from error
