"""Tests of the pynng links between daemons over loopback."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pynng

from ragwortstand.events import Event
from ragwortstand.exceptions import PeerError
from ragwortstand.ids import HostId, PeerAddress, RequestId, Version
from ragwortstand.metrics import Metrics
from ragwortstand.peers.links import Links
from ragwortstand.peers.listener import Listener
from ragwortstand.peers.messages import (
    Applied,
    AskApplied,
    Done,
    Ping,
    Pong,
    Refusal,
    Reply,
    Request,
    Work,
    decode_reply,
)
from ragwortstand.verdicts import Verdict
from tests.fakes import ListLog

_LIMIT_BYTES = 100_000
# A busy test process may need more time to send than a daemon is allowed.
_CONNECT_TIMEOUT_S = 3.0
_HOST = HostId('h')


class _Peer:
    """A peer that replies to requests; `Work` gets no reply."""

    def __init__(self) -> None:
        self.log = ListLog()
        self.listener = Listener(
            'tcp://127.0.0.1:0', 'c', _LIMIT_BYTES, Metrics(), self.log
        )
        self.requests: list[Request] = []

    async def handle(self, sender: HostId, request: Request) -> Reply:
        """Record the request and reply to it."""
        self.requests.append(request)
        match request:
            case Ping():
                return Pong(Version(7), None, 0)
            case Work():
                await anyio.sleep(30)
            case AskApplied():
                return Applied(Version(7))
        return Done()

    async def arrived(self, count: int) -> None:
        """Wait until a number of requests have arrived."""
        with anyio.fail_after(_CONNECT_TIMEOUT_S):
            while len(self.requests) < count:  # noqa: ASYNC110
                await anyio.sleep(0.01)


@asynccontextmanager
async def _peer() -> AsyncIterator[_Peer]:
    peer = _Peer()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(peer.listener.serve, peer.handle)
        yield peer
        tasks.cancel_scope.cancel()


def _links(cluster: str = 'c') -> Links:
    return Links(
        cluster,
        _HOST,
        Metrics(),
        ListLog(),
        _LIMIT_BYTES,
        lambda _: 'zone',
        _CONNECT_TIMEOUT_S,
    )


def _work() -> Work:
    return Work(
        request_id=RequestId('r'),
        method='GET',
        target='/',
        headers=(),
        body=b'',
        service='s',
        rank='urgent',
        is_idempotent=False,
        remaining_s=1,
        version=Version(1),
        attempt=1,
    )


class LinksTest(unittest.IsolatedAsyncioTestCase):
    """Requests are delivered once, and failures have the right verdict."""

    async def test_question_and_answer(self) -> None:
        """A request gets its reply."""
        async with _peer() as peer:
            links = _links()
            reply = await links.send_request(
                peer.listener.address, AskApplied(), 1
            )
            self.assertEqual(reply, Applied(Version(7)))
            links.close()

    async def test_many_at_once_do_not_block_probes(self) -> None:
        """A probe gets a reply while a hundred requests are pending."""
        async with _peer() as peer, anyio.create_task_group() as tasks:
            links = _links()
            address = peer.listener.address
            for _ in range(100):
                tasks.start_soon(links.send_request, address, _work(), 30)
            await peer.arrived(100)
            reply = await links.send_request(
                address, Ping(Version(0), None, 0), 1
            )
            self.assertIsInstance(reply, Pong)
            tasks.cancel_scope.cancel()
        links.close()

    async def test_timeout_leaves_other_tasks_alone(self) -> None:
        """A timeout fails one request only, not its task group."""
        async with _peer() as peer:
            links = _links()
            failures: list[PeerError] = []

            async def send_request() -> None:
                try:
                    await links.send_request(
                        peer.listener.address, _work(), 0.1
                    )
                except PeerError as error:
                    failures.append(error)

            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(send_request)
                await anyio.sleep(0.4)
                tasks.start_soon(send_request)
            self.assertEqual(len(failures), 6)
            verdicts = {error.verdict for error in failures}
            self.assertEqual(verdicts, {Verdict.MAY_HAVE_RUN})
            links.close()

    async def test_nobody_listens(self) -> None:
        """A request that was never sent has not run."""
        links = _links()
        nobody = PeerAddress('tcp://127.0.0.1:1')
        with self.assertRaises(PeerError) as caught:
            await links.send_request(nobody, _work(), 0.2)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
        links.close()

    async def test_lost_connection_is_not_resent(self) -> None:
        """A request whose connection is lost is delivered once only."""
        links = _links()
        async with _peer() as peer:
            address = peer.listener.address
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._fail, links, address)
                await peer.arrived(1)
                links.close()
            await anyio.sleep(0.5)
            self.assertEqual(len(peer.requests), 1)

    async def _fail(self, links: Links, address: PeerAddress) -> None:
        """Send work whose reply is lost."""
        with self.assertRaises(PeerError) as caught:
            await links.send_request(address, _work(), 5)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    async def test_malformed_message_is_refused(self) -> None:
        """Bytes that are no message get a refusal and a log line."""
        async with _peer() as peer:
            with pynng.Req0(resend_time=-1) as socket:
                socket.dial(peer.listener.address, block=False)
                await socket.asend(b'\xc1nonsense')
                reply = decode_reply(await socket.arecv())
            self.assertIsInstance(reply, Refusal)
            self.assertEqual(peer.log.events, [Event.PEER_MESSAGE_REFUSED])

    async def test_other_cluster_is_refused(self) -> None:
        """A daemon of another cluster gets a refusal."""
        async with _peer() as peer:
            links = _links('other')
            with self.assertRaises(PeerError) as caught:
                await links.send_request(peer.listener.address, AskApplied(), 1)
            self.assertIn('cluster', str(caught.exception))
            self.assertEqual(peer.requests, [])
            links.close()

    async def test_oversized_message_harms_nobody(self) -> None:
        """An oversized message is dropped; the peer handles later ones."""
        async with _peer() as peer:
            links = _links()
            address = peer.listener.address
            large = Work(
                **{
                    **{name: getattr(_work(), name) for name in _FIELDS},
                    'body': b'x' * (_LIMIT_BYTES * 2),
                }
            )
            with self.assertRaises(PeerError):
                await links.send_request(address, large, 1)
            reply = await links.send_request(address, AskApplied(), 2)
            self.assertEqual(reply, Applied(Version(7)))
            links.close()


_FIELDS = Work.__struct_fields__
