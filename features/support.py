"""Shared by the steps: a small deployment and its configuration."""

from uuid import uuid4

from ragwortstand import Configuration, Rank, Route, Service
from ragwortstand.ids import NO_VERSION, SubmissionId
from ragwortstand.tools.deployment import Host
from ragwortstand.tools.processes import wait_until

CLUSTER = 'scenario'
REGIONS = ('north', 'south', 'west')
CONVERGENCE_LIMIT_S = 10.0

_MESH = Configuration(
    ranks=(
        Rank(name='urgent', target_s=0.5, guaranteed_share=0.4, deadline_s=2),
        Rank(name='middle', target_s=1, guaranteed_share=0.3, deadline_s=3),
        Rank(
            name='bulk',
            target_s=5,
            guaranteed_share=0.2,
            deadline_s=30,
            cross_region=False,
        ),
    ),
    services=(Service(name='work'),),
    routes=(
        Route(path='/urgent', service='work', rank='urgent'),
        Route(path='/middle', service='work', rank='middle'),
        Route(path='/bulk', service='work', rank='bulk'),
        Route(path='/filings', service='work', rank='urgent'),
    ),
)


def make_hosts(count, regions):
    """Return hosts in regions with two availability zones each."""
    hosts = []
    for number in range(count):
        region = REGIONS[number % regions]
        zone = 'ab'[number // regions % 2]
        hosts.append(
            Host(
                name=f'h{number + 1}',
                region=region,
                availability_zone=f'{region}-{zone}',
                service='work',
                slots=12,
                connections=120,
                service_time_s=0.02,
            ),
        )
    return tuple(hosts)


def mesh_with_deadline(deadline_s):
    """Return the configuration with a given deadline of the rank `bulk`."""
    bulk = _MESH.ranks[-1].model_copy(update={'deadline_s': deadline_s})
    return _MESH.model_copy(update={'ranks': (*_MESH.ranks[:-1], bulk)})


def node_of(context, number):
    """Return the node of a host by its number; numbers start at 1."""
    return context.fleet.nodes[f'h{number}']


def submit(fleet, mesh):
    """Submit a configuration based on the newest version."""
    with fleet.admin() as client:
        newest = client.history(1).versions
        base = newest[0].version if newest else NO_VERSION
        return client.submit(
            mesh.to_json().encode(), SubmissionId(uuid4().hex), base, 'test'
        )


def put_in_force(fleet, version):
    """Submit a version and return the time until it is in force."""
    outcome = submit(fleet, mesh_with_deadline(30 + version))
    assert outcome.outcome == 'accepted', outcome
    assert outcome.record.version == version, outcome
    return await_in_force(fleet, version, CONVERGENCE_LIMIT_S)


def await_in_force(fleet, version, limit_s):
    """Return the time until all live daemons have applied a version."""
    with fleet.admin() as client:
        return wait_until(
            lambda: client.applied(version).is_complete,
            limit_s,
            f'version {version} in force',
        )
