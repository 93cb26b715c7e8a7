"""Tests of the stand-ins that scenarios and experiments run against."""

import io
import unittest

import anyio

from ragwortstand.backend_servers.connections import Endpoint, WireRequest
from ragwortstand.backend_servers.httptools_client import HttptoolsConnection
from ragwortstand.sockets import bind, port_of
from ragwortstand.tools.standin_backend import (
    BackendServerStandin,
    Behaviour,
)
from ragwortstand.uvicorn_server import create_uvicorn_server

_MAX_CONNECTIONS = 2
_REQUEST = WireRequest('GET', '/a', (), b'')


class ConnectionLimitTests(unittest.IsolatedAsyncioTestCase):
    """A backend server that announces how many connections it takes."""

    async def test_requests_over_further_connections_are_refused(self) -> None:
        """A daemon that opened too many of them went unnoticed."""
        standin = BackendServerStandin(
            's', 'consult', Behaviour(service_time_s=0), io.StringIO()
        )
        listener = bind('127.0.0.1', 0)
        listener.listen()
        endpoint = Endpoint('127.0.0.1', port_of(listener))
        server = create_uvicorn_server(
            standin, max_connections=_MAX_CONNECTIONS
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, [listener])
            statuses = []
            for _ in range(_MAX_CONNECTIONS + 1):
                connection = await HttptoolsConnection.connect(endpoint, 1000)
                answered = await connection.exchange(_REQUEST)
                statuses.append(answered.status)
            self.assertEqual(statuses, [200, 200, 503])
            tasks.cancel_scope.cancel()
