"""Requests of callers that offer another protocol, which is ignored."""

import random
import unittest

from tests.test_http_server import _CLOSE, _connected, _get, _read

_UPGRADE = (b'connection: Upgrade, HTTP2-Settings', b'upgrade: h2c')
_SEEDS = 40


def _post(target: bytes, body: bytes, *headers: bytes) -> bytes:
    length = b'content-length: %d' % len(body)
    return _get(target, length, *headers).replace(b'GET', b'POST', 1) + body


def _chunked(target: bytes, body: bytes, *headers: bytes) -> bytes:
    head = _get(target, b'transfer-encoding: chunked', *headers)
    chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    return head.replace(b'GET', b'POST', 1) + chunk


class UpgradeTests(unittest.IsolatedAsyncioTestCase):
    """Each request runs once, as it was sent, and gets its own response."""

    # Guards against MIXED: a request that offered another protocol was run and
    # refused, and the refusal was taken for the response to the next request.
    async def test_next_request_gets_its_own_response(self) -> None:
        async with _connected() as (server, stream):
            for target in (b'/one', b'/two', b'/three'):
                await stream.send(_get(target, *_UPGRADE))
                found = await _read(stream, 1, target)
                self.assertEqual(found.count(b'HTTP/1.1 '), 1)
                self.assertNotIn(_CLOSE, found)
            targets = [request.target for request in server.requests]
            self.assertEqual(targets, ['/one', '/two', '/three'])

    # Guards against UNASKED: such a request was run without its body, whose
    # bytes were left to be read as another request.
    async def test_bodies_are_read(self) -> None:
        smuggled = _get(b'/smuggled')
        for encode in (_post, _chunked):
            async with _connected() as (server, stream):
                await stream.send(
                    encode(b'/one', smuggled, *_UPGRADE) + _get(b'/two')
                )
                await _read(stream, 1, b'/two')
                found = [(one.target, one.body) for one in server.requests]
                self.assertEqual(found, [('/one', smuggled), ('/two', b'')])

    async def test_requests_in_pieces(self) -> None:
        for seed in range(_SEEDS):
            rng = random.Random(seed)
            wire = b''
            expected = []
            for number in range(6):
                target, body = b'/%d' % number, b'b' * rng.randrange(20)
                encode = rng.choice((_post, _chunked))
                body = body or b'x'
                offer = rng.choice((_UPGRADE, ()))
                wire += encode(target, body, *offer)
                expected.append((target.decode(), body))
            async with _connected() as (server, stream):
                while wire:
                    size = rng.randrange(1, 120)
                    await stream.send(wire[:size])
                    wire = wire[size:]
                await _read(stream, 6, b'HTTP/1.1 200')
                found = [(one.target, one.body) for one in server.requests]
                with self.subTest(seed=seed):
                    self.assertEqual(found, expected)

    async def test_connection_ends_when_the_caller_asks(self) -> None:
        async with _connected() as (_, stream):
            close = (b'connection: Upgrade, close', b'upgrade: h2c')
            await stream.send(_get(b'/one', *close))
            found = await _read(stream, 99, b'never')
            self.assertEqual(found.count(b'HTTP/1.1 '), 1)
            self.assertIn(_CLOSE, found)

    async def test_limits_hold(self) -> None:
        async with _connected() as (server, stream):
            await stream.send(_post(b'/one', b'x' * 101, *_UPGRADE))
            found = await _read(stream, 99, b'never')
            self.assertTrue(found.startswith(b'HTTP/1.1 413'))
            self.assertEqual(server.requests, [])

    async def test_tunnels_are_refused_and_not_run(self) -> None:
        async with _connected() as (server, stream):
            tunnel = b'CONNECT h:80 HTTP/1.1\r\nhost: h\r\n\r\n'
            await stream.send(_get(b'/one') + tunnel + _get(b'/two'))
            found = await _read(stream, 99, b'never')
            self.assertEqual(found.count(b'HTTP/1.1 '), 2)
            self.assertIn(b'HTTP/1.1 501', found)
            targets = [request.target for request in server.requests]
            self.assertEqual(targets, ['/one'])
