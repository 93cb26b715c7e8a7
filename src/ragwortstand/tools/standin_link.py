"""ragwortstand.tools.standin_link: a TCP relay that emulates a network link.

The link can delay traffic, and close or freeze connections.
"""

import enum
import math
from dataclasses import dataclass

import anyio
import msgspec
from anyio.abc import SocketStream
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

_CHUNK_BYTES = 65536


class LinkMode(enum.Enum):
    """How the relay handles connections.

    `PASS` relays traffic, `CUT` closes all connections, and `FREEZE` keeps
    connections open without traffic. A frozen connection stays frozen, even
    after the mode changes back and new connections work.
    """

    PASS = 'pass'
    CUT = 'cut'
    FREEZE = 'freeze'


class LinkState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of the relay.

    :param mode: how it handles connections.
    :param delay_s: delay in each direction.
    """

    mode: LinkMode = LinkMode.PASS
    delay_s: float = 0.0


class LinkStandin:
    """Relays TCP connections to one target.

    :param address: IP address of the target.
    :param port: TCP port of the target.
    :param delay_s: delay in each direction.
    """

    def __init__(self, address: str, port: int, delay_s: float = 0.0) -> None:
        """Create a relay in the mode `PASS`."""
        self._address = address
        self._port = port
        self._state = LinkState(delay_s=delay_s)
        self._connections: set[_Connection] = set()
        self.bytes_passed = 0
        self.admin_app = Starlette(
            routes=[
                Route('/state', self._set_state, methods=['POST']),
                Route('/bytes', self._get_bytes),
            ],
        )

    @property
    def delay_s(self) -> float:
        """Return the delay in each direction."""
        return self._state.delay_s

    async def handle(self, caller: SocketStream) -> None:
        """Relay one connection until either end closes it."""
        if self._state.mode is LinkMode.CUT:
            await caller.aclose()
            return
        connection = _Connection()
        connection.is_frozen = self._state.mode is LinkMode.FREEZE
        self._connections.add(connection)
        try:
            async with caller:
                await self._relay(caller, connection)
        finally:
            self._connections.discard(connection)

    async def _relay(
        self,
        caller: SocketStream,
        connection: '_Connection',
    ) -> None:
        try:
            target = await anyio.connect_tcp(self._address, self._port)
        except OSError:
            return
        async with target, anyio.create_task_group() as tasks:
            connection.scope = tasks.cancel_scope
            for source, sink in ((caller, target), (target, caller)):
                direction = _Direction(source, sink, connection, self)
                tasks.start_soon(direction.read)
                tasks.start_soon(direction.deliver, tasks.cancel_scope)

    async def _set_state(self, request: Request) -> Response:
        body = await request.body()
        self._state = msgspec.json.decode(body, type=LinkState)
        for connection in tuple(self._connections):
            if self._state.mode is LinkMode.FREEZE:
                connection.is_frozen = True
            if self._state.mode is LinkMode.CUT:
                connection.scope.cancel()
        return Response(status_code=204)

    async def _get_bytes(self, request: Request) -> Response:
        return Response(str(self.bytes_passed))


class _Connection:
    """A relayed connection."""

    def __init__(self) -> None:
        self.scope = anyio.CancelScope()
        self.is_frozen = False


class _Direction:
    """One direction of a connection; each chunk is sent after the delay."""

    def __init__(
        self,
        source: SocketStream,
        sink: SocketStream,
        connection: _Connection,
        link: LinkStandin,
    ) -> None:
        self._source = source
        self._sink = sink
        self._connection = connection
        self._link = link
        sender, receiver = anyio.create_memory_object_stream[_Chunk](math.inf)
        self._sender = sender
        self._receiver = receiver

    async def read(self) -> None:
        """Queue each received chunk with the time when it is due."""
        while True:
            content = await _receive_chunk(self._source)
            due_s = anyio.current_time() + self._link.delay_s
            self._sender.send_nowait(_Chunk(due_s, content))
            if not content:
                return

    async def deliver(self, scope: anyio.CancelScope) -> None:
        """Send chunks when they are due, then close the connection.

        :param scope: cancel scope of the whole connection.
        """
        async for chunk in self._receiver:
            await anyio.sleep_until(chunk.due_s)
            if self._connection.is_frozen:
                await anyio.sleep_forever()
            if not chunk.content:
                break
            self._link.bytes_passed += len(chunk.content)
            try:
                await self._sink.send(chunk.content)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                break
        scope.cancel()


@dataclass(frozen=True, slots=True)
class _Chunk:
    due_s: float
    content: bytes


async def _receive_chunk(source: SocketStream) -> bytes:
    try:
        return await source.receive(_CHUNK_BYTES)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        return b''
