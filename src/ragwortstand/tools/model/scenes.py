"""ragwortstand.tools.model.scenes: the load patterns that are played.

Eighteen daemons in three regions of two zones; every service has a server in
each zone, and servers differ in speed. A zone's share of the load takes about
half of its slots.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from ragwortstand.models import Rank
from ragwortstand.tools.model.plans import (
    Kind,
    Scene,
    Server,
    Stream,
    Trouble,
)

_REGIONS = ('r1', 'r2', 'r3')
_ZONES = tuple(
    (f'{region}-{letter}', region) for letter in 'ab' for region in _REGIONS
)
_SPEEDS = (0.7, 0.7, 1.6)
_SERVICES = ('consult', 'filing', 'export')
_UNTIL_S = 12.0
_FAULT_FROM_S = 3.0
_FAULT_UNTIL_S = 8.0

_CHECK = Kind(Rank(name='check', target_s=0.06), 'filing', 0.015)
_LOOKUP = Kind(
    Rank(name='lookup', target_s=0.25), 'consult', 0.062, calls=(_CHECK,)
)
_FILING = Kind(
    Rank(name='filing', target_s=0.3),
    'filing',
    0.08,
    spread=0.5,
    is_idempotent=False,
    deadline_s=2.0,
)
_EXPORT = Kind(
    Rank(name='export', target_s=1.0), 'export', 0.15, deadline_s=3.0
)
# Requests a second from each zone.
_USUAL_PER_S = (
    (_LOOKUP, 60.0),
    (_FILING, 35.0),
    (_EXPORT, 28.0),
)


def scene(name: str) -> Scene:
    """Return a load pattern.

    :param name: one of `SCENES`.
    """
    return SCENES[name]()


def _calm() -> Scene:
    servers = tuple(
        Server(
            f'{service}-{zone}',
            zone,
            region,
            service,
            speed=_SPEEDS[number % len(_SPEEDS)],
        )
        for service in _SERVICES
        for number, (zone, region) in enumerate(_ZONES)
    )
    streams = tuple(
        Stream(kind, zone, per_s, until_s=_UNTIL_S)
        for zone, _ in _ZONES
        for kind, per_s in _USUAL_PER_S
    )
    return Scene(servers, streams)


def _with_more(kind: Kind, factor: float, zones: int = 6) -> Scene:
    """Return a calm scene with more requests of one kind for a time."""
    calm = _calm()
    usual = dict(_USUAL_PER_S)
    more = tuple(
        Stream(
            kind,
            zone,
            usual[kind] * (factor - 1),
            _FAULT_FROM_S,
            _FAULT_UNTIL_S,
        )
        for zone, _ in _ZONES[:zones]
    )
    return replace(calm, streams=calm.streams + more)


def _with_trouble(hosts: int, trouble: Trouble) -> Scene:
    """Return a calm scene with trouble on servers of the first service."""
    calm = _calm()
    names = frozenset(server.host for server in calm.servers[:hosts])
    return replace(calm, troubles=(replace(trouble, hosts=names),))


def _trouble(slower: float = 1.0, rejected: float = 0.0) -> Trouble:
    nobody: frozenset[str] = frozenset()
    return Trouble(nobody, _FAULT_FROM_S, _FAULT_UNTIL_S, slower, rejected)


def _burst_of_all() -> Scene:
    calm = _calm()
    more = tuple(
        replace(
            stream,
            per_s=stream.per_s * 1.5,
            from_s=_FAULT_FROM_S,
            until_s=_FAULT_UNTIL_S,
        )
        for stream in calm.streams
    )
    return replace(calm, streams=calm.streams + more)


#: Load patterns by name.
SCENES: Mapping[str, Callable[[], Scene]] = MappingProxyType(
    {
        'calm': _calm,
        'burst-of-all': _burst_of_all,
        'burst-of-lookups': lambda: _with_more(_LOOKUP, 3),
        'burst-of-exports': lambda: _with_more(_EXPORT, 4),
        'zone-shift': lambda: _with_more(_LOOKUP, 5, zones=1),
        'slow-servers': lambda: _with_trouble(2, _trouble(slower=6)),
        'grey-servers': lambda: _with_trouble(2, _trouble(rejected=0.5)),
        'all-grey': lambda: _with_trouble(6, _trouble(rejected=0.3)),
    },
)
