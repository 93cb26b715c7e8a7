"""A server that repeats an earlier response on a connection in use again."""

import unittest

import anyio
from anyio.abc import SocketStream

from ragwortstand.backend_servers.connections import Endpoint
from ragwortstand.calls import Call
from ragwortstand.platform.headers import (
    NOT_RUN,
    REQUEST_ID,
    STAMP,
)
from ragwortstand.verdicts import Answered, Cause, Outcome, Refused, Unknown
from tests.fakes import sidecar_server
from tests.forwarded import new_call
from tests.servers import Script, running_server
from tests.test_in_band_signals import announcement

_SERVED = (b'200 OK', STAMP + b': s')
_REFUSED = (b'503 Service Unavailable', NOT_RUN + b': 1')


def _response(start: tuple[bytes, bytes], *ids: bytes) -> bytes:
    status, header = start
    lines = [b'HTTP/1.1 ' + status, b'content-length: 0', header]
    lines.extend(REQUEST_ID + b': ' + text for text in ids)
    return b'\r\n'.join((*lines, b'', b''))


def _call(name: str) -> Call:
    call = new_call(name or 'none', 2.0)
    call.headers = ((REQUEST_ID, name.encode()),) if name else ()
    return call


def _sending(*responses: bytes) -> Script:
    """Return a script that answers each request of any connection in turn."""
    left = list(responses)

    async def script(stream: SocketStream) -> None:
        async with stream:
            while left:
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                await stream.send(left.pop(0))

    return script


class RepeatedRefusalTests(unittest.IsolatedAsyncioTestCase):
    """A refusal never stands for a request that has run."""

    def setUp(self) -> None:
        """Create the daemon's part for one server."""
        self.server = sidecar_server()

    async def _run(self, endpoint: Endpoint, *names: str) -> list[Outcome]:
        await self.server.announce(announcement(endpoint), anyio.current_time())
        outcomes = []
        for name in names:
            outcomes.append(await self.server.run(_call(name)))
            await anyio.sleep(0.01)
        return outcomes

    async def test_of_another_request(self) -> None:
        refusal = _response(_REFUSED, b'a')
        script = _sending(refusal, refusal + _response(_SERVED, b'b'))
        async with running_server(script) as endpoint:
            first, second = await self._run(endpoint, 'a', 'b')
        self.assertEqual(first, Refused(Cause.REJECTED, 0.02))
        self.assertIsInstance(second, Answered)

    # A request that came again under its id was told that it had not run, by
    # the refusal of its first attempt, while the server ran it.
    async def test_of_the_same_request_before(self) -> None:
        refusal = _response(_REFUSED, b'a')
        served = _response(_SERVED, b'a')

        async def script(stream: SocketStream) -> None:
            # Each connection repeats the last refusal before it serves.
            async with stream:
                await stream.receive()
                await stream.send(served if seen else refusal)
                seen.append(stream)
                try:
                    await stream.receive()
                except anyio.EndOfStream:
                    return
                await stream.send(refusal + served)

        seen: list[SocketStream] = []
        async with running_server(script) as endpoint:
            _, second = await self._run(endpoint, 'a', 'a')
        self.assertIsInstance(second, Answered)

    # A request without an id took any response for its own.
    async def test_before_a_request_without_an_id(self) -> None:
        refusal = _response(_REFUSED, b'a')
        script = _sending(refusal, refusal + _response(_SERVED))
        async with running_server(script) as endpoint:
            _, second = await self._run(endpoint, 'a', '')
        self.assertIsInstance(second, Answered)

    # A response with several ids counted for each of them.
    async def test_with_the_ids_of_two_requests(self) -> None:
        script = _sending(_response(_REFUSED, b'a', b'b'))
        async with running_server(script) as endpoint:
            outcomes = await self._run(endpoint, 'b')
        self.assertIsInstance(outcomes[0], Unknown)
