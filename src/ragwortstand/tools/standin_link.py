"""ragwortstand.tools.standin_link: a TCP relay with delay, cut and freeze."""

import enum
from collections import deque

import anyio
import anyio.abc
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

_CHUNK_BYTES = 65536


class LinkMode(enum.Enum):
    """What the relay does with traffic.

    A frozen connection stays silent for good, also when new ones work again.
    """

    PASS = 'pass'
    CUT = 'cut'
    FREEZE = 'freeze'


class LinkState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of the relay.

    :param mode: what it does with traffic.
    :param delay_s: delay in each direction.
    """

    mode: LinkMode = LinkMode.PASS
    delay_s: float = 0.0


class LinkStandin:
    """Relays TCP connections to one target.

    :param address: IP number of the target.
    :param port: TCP port of the target.
    :param delay_s: delay in each direction.
    """

    def __init__(self, address: str, port: int, delay_s: float = 0.0) -> None:
        """Start passing traffic."""
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

    async def handle(self, caller: anyio.abc.SocketStream) -> None:
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
        caller: anyio.abc.SocketStream,
        connection: '_Connection',
    ) -> None:
        try:
            target = await anyio.connect_tcp(self._address, self._port)
        except OSError:
            return
        async with target, anyio.create_task_group() as tasks:
            connection.scope = tasks.cancel_scope
            tasks.start_soon(self._pump, caller, target, connection, tasks)
            tasks.start_soon(self._pump, target, caller, connection, tasks)

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        connection: '_Connection',
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Copy one direction, each chunk after the delay."""
        pending: deque[tuple[float, bytes]] = deque()
        arrived = anyio.Event()

        async def deliver() -> None:
            nonlocal arrived
            while True:
                while not pending:
                    arrived = anyio.Event()
                    await arrived.wait()
                due_s, chunk = pending.popleft()
                await anyio.sleep_until(due_s)
                if connection.is_frozen:
                    await anyio.sleep_forever()
                if not chunk:
                    tasks.cancel_scope.cancel()
                    return
                self.bytes_passed += len(chunk)
                try:
                    await sink.send(chunk)
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    tasks.cancel_scope.cancel()

        tasks.start_soon(deliver)
        while True:
            chunk = await _receive(source)
            due_s = anyio.current_time() + self._state.delay_s
            pending.append((due_s, chunk))
            arrived.set()
            if not chunk:
                return

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


async def _receive(source: anyio.abc.SocketStream) -> bytes:
    try:
        return await source.receive(_CHUNK_BYTES)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        return b''
