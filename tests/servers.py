"""Small TCP servers whose connections run a script."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream

from ragwortstand.backend_servers.connections import Endpoint
from ragwortstand.http_server import HttpServer
from ragwortstand.sockets import bind, port_of

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-a: b\r\n\r\nbody'

Script = Callable[[SocketStream], Awaitable[None]]


@asynccontextmanager
async def running_server(script: Script) -> AsyncIterator[Endpoint]:
    """Run a script for each connection; stop listening before cancelling."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    single = listener.listeners[0]
    port = single.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_serve, single, script)
        yield Endpoint('127.0.0.1', port)
        await single.aclose()
        await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()


def answering(*responses: bytes) -> Script:
    """Return a script that sends one response for each request."""

    async def script(stream: SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                for response in responses:
                    await stream.receive()
                    await stream.send(response)

    return script


async def _serve(listener: SocketListener, script: Script) -> None:
    async with anyio.create_task_group() as tasks:
        with contextlib.suppress(anyio.ClosedResourceError):
            while True:
                tasks.start_soon(script, await listener.accept())


@asynccontextmanager
async def running_http(server: HttpServer) -> AsyncIterator[int]:
    """Serve on a port assigned by the system, and return the port."""
    listener = bind('127.0.0.1', 0)
    listener.listen()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve, listener)
        yield port_of(listener)
        tasks.cancel_scope.cancel()
