"""Tests of the list of members and of the owners of keys."""

import itertools
import random
import unittest
from unittest import mock

from msgspec.structs import replace

from ragwortstand.exceptions import PeerError
from ragwortstand.ids import (
    NO_VERSION,
    HostId,
    PeerAddress,
    RegionName,
    ServiceName,
    ZoneName,
)
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import (
    IndirectPing,
    IndirectPong,
    MemberState,
    Pong,
    Reply,
    Request,
)
from ragwortstand.settings import MembershipSettings
from ragwortstand.verdicts import Verdict
from tests.fakes import member

_SETTINGS = MembershipSettings(suspicion_s=2, departed_s=100)
_CONSULT = ServiceName('consult')
_KEYS = tuple(f'key-{number}' for number in range(60))


class ManyChangesTest(unittest.TestCase):
    """A storm of changes in a fleet of 194 hosts."""

    def setUp(self) -> None:
        """Create a list whose service and role holders were asked for."""
        self.members = _members(194)
        self.offering = self.members.offering(_CONSULT)
        self.members.role_holders('bridge', 2)

    def test_irrelevant_changes_cost_nothing(self) -> None:
        """Neither offering members nor role holders are computed again."""
        with mock.patch(
            'ragwortstand.peers.members.ranked', side_effect=AssertionError
        ):
            for number in range(1, 194):
                changed = replace(
                    member(f'h{number}'), incarnation=5, store_reach=2
                )
                self.members.merge([changed], 1)
                self.members.role_holders('bridge', 2)
                self.assertIs(self.members.offering(_CONSULT), self.offering)

    def test_each_change_of_an_offer_is_seen(self) -> None:
        for incarnation, changes in enumerate(
            (
                {'is_ready': False},
                {'is_ready': True, 'slots': 3},
                {'boot': 9},
                {'service': ServiceName('filing')},
                {'state': MemberState.DEAD},
                {},
            ),
            start=2,
        ):
            changed = replace(member('h7'), incarnation=incarnation, **changes)
            self.members.merge([changed], 1)
            found = {one.host: one for one in self._all_offering()}
            is_offered = changed.is_ready and changed.state is not (
                MemberState.DEAD
            )
            self.assertEqual(
                found.get(changed.host), changed if is_offered else None
            )

    def test_change_of_state_selects_role_holders_again(self) -> None:
        holder = self.members.role_holders('bridge', 1)[0]
        if holder.host == 'h0':
            holder = self.members.role_holders('bridge', 2)[1]
        dead = replace(holder, state=MemberState.DEAD)
        self.members.merge([dead], 1)
        self.assertNotIn(dead, self.members.role_holders('bridge', 2))

    def _all_offering(self):
        return (
            *self.members.offering(_CONSULT),
            *self.members.offering(ServiceName('filing')),
        )


def _members(count: int = 6) -> Members:
    members = Members(member('h0'), _SETTINGS, 0)
    members.merge([member(f'h{one}') for one in range(1, count)], 0)
    return members


class MembersTest(unittest.TestCase):
    """Incarnations, suspicion and departure."""

    def test_higher_incarnation_wins(self) -> None:
        """A newer entry replaces an older one, never the reverse."""
        members = _members()
        members.merge([member('h1', state=MemberState.DEAD)], 1)
        members.merge([member('h1')], 2)
        self.assertIs(_state(members, 'h1'), MemberState.DEAD)
        members.merge([member('h1', incarnation=2)], 3)
        self.assertIs(_state(members, 'h1'), MemberState.ALIVE)

    def test_suspect_dies_after_suspicion(self) -> None:
        """A suspect that does not refute is declared dead in time."""
        members = _members()
        members.suspect(HostId('h1'), 10)
        members.expire(11.9)
        self.assertIs(_state(members, 'h1'), MemberState.SUSPECT)
        members.expire(12)
        self.assertIs(_state(members, 'h1'), MemberState.DEAD)

    def test_own_suspicion_is_refuted(self) -> None:
        """A daemon that is declared dead raises its incarnation."""
        members = _members()
        refutations: list[int] = []
        members.on_refute = lambda: refutations.append(1)
        members.merge([member('h0', state=MemberState.DEAD)], 1)
        self.assertEqual(members.own.incarnation, 2)
        self.assertIs(members.own.state, MemberState.ALIVE)
        self.assertEqual(refutations, [1])

    def test_mass_loss_keeps_the_list(self) -> None:
        """If most members are lost at once, the list is kept."""
        members = _members(8)
        for one in range(1, 6):
            members.suspect(HostId(f'h{one}'), 10)
        members.expire(100)
        self.assertEqual(len(members.usable()), 8)

    def test_a_third_lost_at_once_is_declared_dead(self) -> None:
        """A third of the members that fail at once are declared dead."""
        members = _members(18)
        for one in range(1, 7):
            members.suspect(HostId(f'h{one}'), 10)
        members.expire(12)
        self.assertEqual(len(members.usable()), 12)

    def test_restarted_suspicions_keep_suspects(self) -> None:
        """After a pause of this daemon, suspicions restart."""
        members = _members()
        members.suspect(HostId('h1'), 10)
        members.restart_suspicions(50)
        members.expire(51)
        self.assertIs(_state(members, 'h1'), MemberState.SUSPECT)

    def test_departed_members_are_removed_late(self) -> None:
        """A dead member stays in the list for the configured time."""
        members = _members()
        members.merge([member('h1', state=MemberState.DEAD)], 10)
        members.expire(109)
        self.assertIsNotNone(members.get(HostId('h1')))
        members.expire(111)
        self.assertIsNone(members.get(HostId('h1')))

    def test_updates_reach_each_member(self) -> None:
        """Exchanging updates, all lists agree within a few rounds."""
        lists = [Members(member(f'h{one}'), _SETTINGS, 0) for one in range(20)]
        for left, right in itertools.pairwise(lists):
            left.merge([right.own], 0)
        rng = random.Random(3)
        for _ in range(40):
            for one in lists:
                rng.choice(lists).merge(one.take_updates(), 1)
        sizes = {len(one) for one in lists}
        self.assertEqual(sizes, {20})

    def test_digest_compares_present_members(self) -> None:
        """Lists with the same present members have the same digest."""
        left, right = _members(), _members()
        self.assertEqual(left.digest, right.digest)
        left.merge([member('h9')], 1)
        self.assertNotEqual(left.digest, right.digest)
        right.merge([member('h9')], 2)
        left.merge([member('h9', state=MemberState.DEAD)], 3)
        self.assertNotEqual(left.digest, right.digest)
        right.merge([member('h9', state=MemberState.DEAD)], 4)
        right.expire(200)
        self.assertEqual(left.digest, right.digest)

    def test_roles_need_no_election(self) -> None:
        """Daemons with the same list select the same role holders."""
        orders = []
        for own in ('h0', 'h3'):
            members = Members(member(own), _SETTINGS, 0)
            members.merge([member(f'h{one}') for one in range(6)], 0)
            role_holders = members.role_holders(
                'bridge', 2, zone=ZoneName('a1')
            )
            orders.append([leader.host for leader in role_holders])
        self.assertEqual(orders[0], orders[1])
        nowhere = members.role_holders('bridge', 2, region=RegionName('b'))
        self.assertEqual(nowhere, [])


def _state(members: Members, host: str) -> MemberState:
    found = members.get(HostId(host))
    assert found
    return found.state


class KeyOwnersTest(unittest.TestCase):
    """Who runs a keyed request, and when without the store."""

    def setUp(self) -> None:
        """Create six members that are ready since time 0."""
        self.members = _members()
        self.key_owners = KeyOwners(self.members, window_s=60)
        self.key_owners.set_ready(is_ready=True, now_s=0)

    def test_each_key_has_one_owner(self) -> None:
        """All daemons agree on the owner of a key."""
        other = Members(member('h3'), _SETTINGS, 0)
        other.merge([member(f'h{one}') for one in range(6)], 0)
        others = KeyOwners(other, window_s=60)
        for key in _KEYS:
            self.assertEqual(
                self.key_owners.owner(_CONSULT, key),
                others.owner(_CONSULT, key),
            )

    def test_sole_owner_needs_the_whole_window(self) -> None:
        """A daemon is sole owner only after a full window."""
        key = self._own_key()
        self.assertFalse(self.key_owners.is_sole_owner(_CONSULT, key, 59))
        self.assertTrue(self.key_owners.is_sole_owner(_CONSULT, key, 60))
        self.key_owners.restart_window(61)
        self.assertFalse(self.key_owners.is_sole_owner(_CONSULT, key, 62))

    def test_successor_of_a_dead_owner_is_not_sole_owner(self) -> None:
        """Keys of a dead member move, but need the store to run."""
        key = self._key_of('h1')
        dead = member('h1', state=MemberState.DEAD)
        self.members.merge([dead], 70)
        self.assertFalse(self.key_owners.is_sole_owner(_CONSULT, key, 200))

    def test_successor_of_a_restarting_owner_is_not_sole_owner(self) -> None:
        """An owner that restarts without a backend server may have run keys."""
        owner = self.key_owners.owner
        key = next(
            key
            for key in _KEYS
            if owner(_CONSULT, key) == member('h1')
            and owner(_CONSULT, key, [HostId('h1')]) == self.members.own
        )
        back = member('h1', incarnation=2, service=None)
        self.members.merge([back], 70)
        self.assertEqual(owner(_CONSULT, key), self.members.own)
        self.assertFalse(self.key_owners.is_sole_owner(_CONSULT, key, 71))
        self.key_owners.record_outage(69)
        self.assertTrue(
            self.key_owners.may_have_run_unclaimed(_CONSULT, key, 71)
        )
        self.assertTrue(self.key_owners.is_sole_owner(_CONSULT, key, 131))

    def test_successor_cannot_tell_after_an_outage(self) -> None:
        """The dead owner may have run keys within the window."""
        key = self._key_of('h1')
        self.members.merge([member('h1', state=MemberState.DEAD)], 70)
        self.assertFalse(
            self.key_owners.may_have_run_unclaimed(_CONSULT, key, 71)
        )
        self.key_owners.record_reported_outage(5.0, 80)
        self.assertTrue(
            self.key_owners.may_have_run_unclaimed(_CONSULT, key, 81)
        )
        self.assertFalse(
            self.key_owners.may_have_run_unclaimed(_CONSULT, key, 136)
        )
        own = self._own_key()
        self.assertFalse(
            self.key_owners.may_have_run_unclaimed(_CONSULT, own, 81)
        )

    def test_restarted_owner_cannot_tell(self) -> None:
        """A daemon may have run the keys it owns before it restarted."""
        own = self._own_key()
        restarted = KeyOwners(self.members, window_s=60)
        restarted.set_ready(is_ready=True, now_s=100)
        self.assertFalse(restarted.may_have_run_unclaimed(_CONSULT, own, 101))
        restarted.record_reported_outage(5.0, 101)
        self.assertTrue(restarted.may_have_run_unclaimed(_CONSULT, own, 102))
        self.assertFalse(restarted.may_have_run_unclaimed(_CONSULT, own, 157))

    def test_owner_that_restarted_during_the_outage_cannot_tell(self) -> None:
        """Failures after the restart do not hide earlier ones."""
        own = self._own_key()
        restarted = KeyOwners(self.members, window_s=60)
        restarted.set_ready(is_ready=True, now_s=100)
        restarted.record_reported_outage(1.0, 110, 20.0)
        restarted.record_outage(112)
        self.assertEqual(restarted.outage_began_age_s(112), 22)
        self.assertTrue(restarted.may_have_run_unclaimed(_CONSULT, own, 113))
        self.assertFalse(restarted.may_have_run_unclaimed(_CONSULT, own, 160))

    def test_young_owner_that_was_up_in_all_of_the_outage(self) -> None:
        """A daemon that was up in all of the outage knows what it ran."""
        own = self._own_key()
        young = KeyOwners(self.members, window_s=60)
        young.set_ready(is_ready=True, now_s=100)
        young.record_outage(105)
        young.restart_window(106)
        young.record_reported_outage(1.0, 107, 2.0)
        self.assertFalse(young.may_have_run_unclaimed(_CONSULT, own, 108))

    def test_older_outage_is_separate(self) -> None:
        """Outages that are a window apart are not merged."""
        self.key_owners.record_outage(10)
        self.key_owners.record_outage(80)
        self.key_owners.record_reported_outage(75.0, 85, 80.0)
        self.assertEqual(self.key_owners.outage_age_s(90), 10)
        self.assertEqual(self.key_owners.outage_began_age_s(90), 10)

    def _own_key(self) -> str:
        return self._key_of('h0')

    def _key_of(self, host: str) -> str:
        return next(
            key
            for key in _KEYS
            if (owner := self.key_owners.owner(_CONSULT, key))
            and owner.host == host
        )


class _SilentLinks:
    """Links over which no member of the lost zone replies."""

    def __init__(self, lost: frozenset[str]) -> None:
        self._lost = lost

    async def send_request(
        self,
        address: PeerAddress,
        request: Request,
        timeout_s: float,
    ) -> Reply:
        """Reply unless the address is lost."""
        if address in self._lost:
            raise PeerError('lost', Verdict.NOT_RUN)
        if isinstance(request, IndirectPing):
            return IndirectPong(is_alive=False)
        return Pong(NO_VERSION, None, 0)

    def close_link(self, address: PeerAddress) -> None:
        """Do nothing, as there are no links."""


class LostZoneTest(unittest.IsolatedAsyncioTestCase):
    """The loss of a whole zone is detected at once."""

    async def test_three_lost_in_a_row_make_the_zone_suspect(self) -> None:
        """Two lost members are suspected alone; three suspect the zone."""
        members = Members(member('h0', zone='a1'), _SETTINGS, 0)
        others = [member(f'x{one}', zone='a2') for one in range(40)]
        near = [member(f'n{one}', zone='a1') for one in range(40)]
        members.merge([*others, *near], 0)
        lost = frozenset(one.peer_address for one in others)
        gossip = Gossip(
            members,
            _SilentLinks(lost),  # type: ignore[arg-type]
            _SETTINGS,
            KeyOwners(members, window_s=60),
            lambda: NO_VERSION,
            lambda version, address: None,
            random.Random(1),
        )
        suspects = []
        for target in others[:3]:
            await gossip._probe(target)  # noqa: WPS437
            suspects.append(members.states()[MemberState.SUSPECT])
        self.assertEqual(suspects, [1, 2, 40])
