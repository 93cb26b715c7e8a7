"""Tests of the operators' client of the admin API."""

import unittest
from unittest import mock

from anyio.to_thread import run_sync

from ragwortstand.http_server import CallerRequest, HttpServer
from ragwortstand.ids import Version
from ragwortstand.models import CallerLimits
from ragwortstand.operators import client as client_module
from ragwortstand.operators.client import (
    AdminClient,
    AdminError,
    AdminUnreachableError,
)
from ragwortstand.verdicts import Answered
from tests.fakes import ListLog
from tests.platform_fleet import free_ports
from tests.servers import running_http

_PAGE = b'<html>Bad gateway</html>'


def _content(client: AdminClient) -> bytes:
    return client.content(Version(3))


class ErrorPageTests(unittest.IsolatedAsyncioTestCase):
    """Something between the client and the daemon answers with a page."""

    async def _fails_with(self, status: int, call) -> AdminError:
        async def answer(request: CallerRequest) -> Answered:
            return Answered(status, (), _PAGE)

        server = HttpServer(answer, CallerLimits, ListLog())
        async with running_http(server) as port:
            with (
                AdminClient([f'http://127.0.0.1:{port}'], 'token') as client,
                self.assertRaises(AdminError) as raised,
            ):
                await run_sync(call, client)
        return raised.exception

    async def test_page_is_no_content(self) -> None:
        """A page must not be saved or submitted as a configuration."""
        for call in (_content, AdminClient.metrics):
            self.assertEqual((await self._fails_with(502, call)).status, 502)

    async def test_page_is_no_document(self) -> None:
        for status in (200, 502):
            error = await self._fails_with(status, AdminClient.status)
            self.assertEqual(error.status, status)


class UnreachableTests(unittest.TestCase):
    """No daemon can be reached."""

    def test_no_pause_after_the_last_attempt(self) -> None:
        url = f'http://127.0.0.1:{free_ports(1)[0]}'
        with (
            mock.patch.object(client_module.time, 'sleep') as sleep,
            self.assertRaises(AdminUnreachableError),
            AdminClient([url], 'token') as client,
        ):
            client.status()
        self.assertEqual(sleep.call_count, 2)
