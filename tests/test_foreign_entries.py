"""Entries of other writers that are odd name nobody; the others hold."""

import random
import unittest

import anyio
import msgspec

from ragwortstand.events import Event
from ragwortstand.exceptions import (
    ConfigurationError,
    PeerError,
    PlatformError,
    SettingsError,
)
from ragwortstand.ids import HostId, PeerAddress, ZoneName
from ragwortstand.metrics import Metrics
from ragwortstand.models import decode
from ragwortstand.peers.member_discovery import MemberDiscovery
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    AskApplied,
    Envelope,
    Join,
    decode_envelope,
    decode_reply,
    encode,
)
from ragwortstand.peers.streams import StreamLinks
from ragwortstand.platform.configuration import (
    decode_configuration,
    decode_version,
)
from ragwortstand.settings import MembershipSettings, parse_settings
from ragwortstand.storage import EntryPoint, EntryPoints
from ragwortstand.storage.claims import ClaimTable
from ragwortstand.storage.table import Transaction, Write
from ragwortstand.tools.standin_platform import Table
from ragwortstand.verdicts import Verdict
from tests.fakes import FakePlatform, ListLog, member

_LEVELS = 50_000
_NESTED = '[' * _LEVELS + ']' * _LEVELS
_ENTRY = (
    '{"cluster":"c","host":"b","peer_address":"tcp://10.0.0.1:7600",'
    '"written_unix_s":1.0}'
)
_ODD_ENTRIES = (
    _NESTED,
    _ENTRY.replace('"c"', _NESTED),
    _ENTRY.replace('{', f'{{"more":{_NESTED},'),
    _ENTRY.replace('1.0', '1e999'),
    _ENTRY.replace('1.0', '9' * 5000),
    _ENTRY.replace('7600', '99999'),
    _ENTRY.replace('7600', '0'),
    _ENTRY.replace(':7600', ''),
    _ENTRY.replace('7600', '-1'),
    _ENTRY.replace('10.0.0.1', ''),
    _ENTRY.replace('10.0.0.1', 'a b'),
    _ENTRY.replace('10.0.0.1', r'a\u0000'),
    _ENTRY.replace('10.0.0.1', 'a..b'),
    _ENTRY.replace('tcp', 'ipc'),
    'null',
    '',
)


class _Gossip:
    """Records which daemons are joined, which all reply."""

    def __init__(self, members: Members) -> None:
        self._members = members
        self.joined: list[PeerAddress] = []

    async def join(self, address: PeerAddress) -> bool:
        self.joined.append(address)
        self._members.merge([member('good')], 0)
        return True


class RowTests(unittest.IsolatedAsyncioTestCase):
    """Rows of daemons, as they are read from the store."""

    # A row that was nested too deeply, or named a port out of range, ended the
    # task that reads the rows, again and again.
    async def test_odd_rows_are_logged_and_the_others_are_used(self) -> None:
        platform = FakePlatform()
        good = EntryPoint('c', HostId('good'), member('good').peer_address, 0.0)
        rows = [*_ODD_ENTRIES, msgspec.json.encode(good).decode()]
        writes = tuple(
            Write(f'member/c/row-{number:02}', text)
            for number, text in enumerate(rows)
        )
        platform.table.transact(Transaction((), writes))
        log = ListLog()
        members = Members(member('own'), MembershipSettings(), 0.0)
        gossip = _Gossip(members)
        discovery = MemberDiscovery(
            members,
            gossip,  # type: ignore[arg-type]
            platform,
            'c',
            (),
            log,
            random.Random(1),
        )
        with anyio.move_on_after(0.1):
            await discovery.run()
        self.assertEqual(gossip.joined, [member('good').peer_address])
        self.assertEqual(log.events.count(Event.ROW_REFUSED), len(_ODD_ENTRIES))

    async def test_entry_points(self) -> None:
        platform = FakePlatform()
        entry_points = EntryPoints(platform, 'c', ListLog())
        writes = tuple(
            Write(f'entry/c/z/{number:02}', text)
            for number, text in enumerate(_ODD_ENTRIES)
        )
        platform.table.transact(Transaction((), writes))
        good = EntryPoint('c', HostId('g'), PeerAddress('tcp://g:1'), 0.0)
        await entry_points.write(ZoneName('z'), 99, good)
        self.assertEqual(await entry_points.read(), (good,))

    async def test_claims(self) -> None:
        table = Table()
        platform = FakePlatform()
        platform.table = table
        write = Write('claim/s/k', _NESTED)
        table.transact(Transaction((), (write,)))
        with self.assertRaises(PlatformError) as raised:
            await ClaimTable(platform).find('s/k')
        self.assertIs(raised.exception.verdict, Verdict.MAY_HAVE_RUN)


class DocumentTests(unittest.TestCase):
    """Documents that are nested too deeply, each with a clear error."""

    def test_configuration_of_the_operator(self) -> None:
        text = f'{{"version":7,"routes":{_NESTED}}}'
        with self.assertRaises(ConfigurationError):
            decode_configuration(text.encode())
        self.assertIsNone(decode_version(text.encode()))

    def test_version_beyond_the_range_of_messages(self) -> None:
        text = '{"version":%s}' % ('9' * 40)
        self.assertIsNone(decode_version(text.encode()))

    def test_submitted_configuration(self) -> None:
        for text in (
            _NESTED,
            f'{{"ranks":[],"services":[],"routes":[{_NESTED}]}}',
        ):
            with self.assertRaises(ConfigurationError):
                decode(text.encode())

    def test_settings(self) -> None:
        with self.assertRaises(SettingsError):
            parse_settings(_NESTED)

    def test_messages_of_peers(self) -> None:
        # An envelope with a known request and one more, nested element.
        nested = b'\x94\xa1c\xa1x\x91\xaaAskApplied' + b'\x91' * _LEVELS
        for decoder in (decode_envelope, decode_reply):
            with self.assertRaises(msgspec.DecodeError):
                decoder(nested)


class AddressTests(unittest.IsolatedAsyncioTestCase):
    """Addresses that can't be dialled."""

    def test_members(self) -> None:
        for address in ('tcp://h:99999', 'tcp://h', 'tcp://:1', 'h:1'):
            odd = msgspec.structs.replace(
                member('h'), peer_address=PeerAddress(address)
            )
            wire = encode(Envelope('c', HostId('x'), Join(odd)))
            with self.assertRaises(msgspec.DecodeError):
                decode_envelope(wire)

    async def test_links(self) -> None:
        links = StreamLinks(
            'c', HostId('a'), Metrics(), ListLog(), 1024, lambda _: 'zone'
        )
        for address in ('tcp://127.0.0.1:99999', 'tcp://a..b:1', 'tcp://h:x'):
            with self.assertRaises(PeerError) as raised:
                await links.send_request(PeerAddress(address), AskApplied(), 1)
            self.assertIs(raised.exception.verdict, Verdict.NOT_RUN)
