"""ragwortstand.tools.member_cost: measures the cost of a long member list."""

import random
import time
import tracemalloc
from collections.abc import Sequence

import msgspec

from ragwortstand.events import NullLog
from ragwortstand.ids import (
    NO_VERSION,
    HostId,
    PeerAddress,
    RegionName,
    ServiceName,
    ZoneName,
)
from ragwortstand.metrics import Metrics
from ragwortstand.peers.gossip import Gossip
from ragwortstand.peers.key_owners import KeyOwners
from ragwortstand.peers.links import Links
from ragwortstand.peers.members import Members
from ragwortstand.peers.messages import Member, MemberList, encode
from ragwortstand.settings import MembershipSettings

_TICKS = 50
_ZONES = 6
_SERVICES = 170
_MESSAGE_BYTES = 1024
_WINDOW_S = 600.0


class MemberCost(msgspec.Struct, frozen=True):
    """Cost of one daemon's member list.

    :param members: number of members in the list.
    :param memory_bytes: memory of the list.
    :param tick_s: processor time of one probe interval, excluding messages.
    :param change_s: processor time to merge one member's update and to
        recompute the roles.
    :param list_bytes: encoded size of the list, as sent to a joining daemon.
    """

    members: int
    memory_bytes: int
    tick_s: float
    change_s: float
    list_bytes: int


def measure_members(sizes: Sequence[int]) -> list[MemberCost]:
    """Measure member lists of several lengths.

    :param sizes: numbers of members.
    """
    return [_measure_cost(size) for size in sizes]


def _measure_cost(size: int) -> MemberCost:
    tracemalloc.start()
    members = Members(_member(0), MembershipSettings(), 0)
    members.merge([_member(number) for number in range(1, size)], 0)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    gossip = _create_gossip(members)
    gossip.probe_targets()
    started_s = time.process_time()
    for tick in range(_TICKS):
        members.expire(tick)
        members.states()
        gossip.probe_targets()
    tick_s = (time.process_time() - started_s) / _TICKS
    started_s = time.process_time()
    for change in range(_TICKS):
        members.merge([_member(1, change + 2)], 0)
        members.offering(ServiceName('service-1'))
        gossip.probe_targets()
    change_s = (time.process_time() - started_s) / _TICKS
    encoded = encode(MemberList(members.all(), NO_VERSION))
    return MemberCost(
        size,
        memory_bytes,
        round(tick_s, 6),
        round(change_s, 6),
        len(encoded),
    )


def _member(number: int, incarnation: int = 1) -> Member:
    zone = number % _ZONES
    return Member(
        host=HostId(f'host-{number:05d}'),
        peer_address=PeerAddress(f'tcp://10.0.0.1:{number}'),
        region=RegionName(f'region-{zone % 2}'),
        zone=ZoneName(f'zone-{zone}'),
        incarnation=incarnation,
        service=ServiceName(f'service-{number % _SERVICES}'),
        slots=15,
        is_ready=True,
    )


def _create_gossip(members: Members) -> Gossip:
    links = Links(
        'cost',
        members.own.host,
        Metrics(),
        NullLog(),
        _MESSAGE_BYTES,
        lambda _: 'zone',
    )
    return Gossip(
        members,
        links,
        MembershipSettings(),
        KeyOwners(members, _WINDOW_S),
        lambda: NO_VERSION,
        lambda version, address: None,
        random.Random(1),
    )
