"""ragwortstand.tools.model.scenarios: the scenarios of the fleet model.

Each has eighteen daemons in three regions of two availability zones. Every
service has a server in each zone, and servers differ in speed. Without a burst,
the load of a zone takes about half of its slots.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from ragwortstand.models import Rank
from ragwortstand.tools.model.plans import (
    Fault,
    RequestKind,
    Scenario,
    Server,
    Stream,
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

_CHECK = RequestKind(Rank(name='check', target_s=0.06), 'filing', 0.015)
_LOOKUP = RequestKind(
    Rank(name='lookup', target_s=0.25), 'consult', 0.062, calls=(_CHECK,)
)
_FILING = RequestKind(
    Rank(name='filing', target_s=0.3),
    'filing',
    0.08,
    spread=0.5,
    is_idempotent=False,
    deadline_s=2.0,
)
_EXPORT = RequestKind(
    Rank(name='export', target_s=1.0), 'export', 0.15, deadline_s=3.0
)
# Requests a second from each availability zone.
_USUAL_PER_S = (
    (_LOOKUP, 60.0),
    (_FILING, 35.0),
    (_EXPORT, 28.0),
)


def build_scenario(name: str) -> Scenario:
    """Return a scenario.

    :param name: one of `SCENARIOS`.
    """
    return SCENARIOS[name]()


def _calm() -> Scenario:
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
        Stream(kind, zone, rate_per_s, until_s=_UNTIL_S)
        for zone, _ in _ZONES
        for kind, rate_per_s in _USUAL_PER_S
    )
    return Scenario(servers, streams)


def _with_burst(kind: RequestKind, factor: float, zones: int = 6) -> Scenario:
    """Return the calm scenario with a burst of one kind of request."""
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


def _with_fault(hosts: int, fault: Fault) -> Scenario:
    """Return the calm scenario with a fault on servers of the first service.

    The first six servers, one in each availability zone, belong to it.
    """
    calm = _calm()
    names = frozenset(server.host for server in calm.servers[:hosts])
    return replace(calm, faults=(replace(fault, hosts=names),))


def _fault(slowdown: float = 1.0, rejected_share: float = 0.0) -> Fault:
    no_hosts: frozenset[str] = frozenset()
    return Fault(
        no_hosts, _FAULT_FROM_S, _FAULT_UNTIL_S, slowdown, rejected_share
    )


def _burst_of_all() -> Scenario:
    calm = _calm()
    more = tuple(
        replace(
            stream,
            rate_per_s=stream.rate_per_s * 1.5,
            from_s=_FAULT_FROM_S,
            until_s=_FAULT_UNTIL_S,
        )
        for stream in calm.streams
    )
    return replace(calm, streams=calm.streams + more)


#: Functions that create the scenarios, by name.
SCENARIOS: Mapping[str, Callable[[], Scenario]] = MappingProxyType(
    {
        'calm': _calm,
        'burst-of-all': _burst_of_all,
        'burst-of-lookups': lambda: _with_burst(_LOOKUP, 3),
        'burst-of-exports': lambda: _with_burst(_EXPORT, 4),
        'zone-shift': lambda: _with_burst(_LOOKUP, 5, zones=1),
        'slow-servers': lambda: _with_fault(2, _fault(slowdown=6)),
        'grey-servers': lambda: _with_fault(2, _fault(rejected_share=0.5)),
        'all-grey': lambda: _with_fault(6, _fault(rejected_share=0.3)),
    },
)
