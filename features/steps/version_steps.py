"""Steps that submit versions of the configuration and check them."""

import json
import threading

from behave import then, when

from features.support import (
    await_in_force,
    mesh_with_deadline,
    node_of,
    submit,
)
from ragwortstand.ids import SubmissionId, Version
from ragwortstand.tools.processes import FleetError, wait_until


@when('an operator submits a version')
def submit_version(context):
    """Submit a version without waiting until it is in force."""
    context.outcome = submit(context.fleet, mesh_with_deadline(99))


@when('an operator cannot submit a version')
def submit_while_unavailable(context):
    """A submission fails while the platform is unavailable."""
    with context.fleet.admin() as client:
        outcome = client.submit(
            mesh_with_deadline(98).to_json().encode(),
            SubmissionId('unlucky'),
            Version(1),
            'test',
        )
    assert outcome.outcome == 'unavailable', outcome


@when('an operator submits a faulty version')
def submit_faulty(context):
    """Submit a configuration with a route to an undefined service."""
    mesh = mesh_with_deadline(99)
    route = mesh.routes[0].model_copy(update={'service': 'nowhere'})
    faulty = mesh.model_copy(update={'routes': (route,)})
    context.outcome = submit(context.fleet, faulty)


@then('the submission is {outcome}')
def submission_is(context, outcome):
    """The submission has the expected outcome."""
    assert context.outcome.outcome == outcome, context.outcome


@then('the fault is at "{path}"')
def fault_at(context, path):
    """The response lists a fault at a path of the configuration."""
    assert path in [fault.path for fault in context.outcome.faults]


@then('version {version:d} is in force everywhere within {limit:g} s')
def in_force_everywhere(context, version, limit):
    """All live daemons apply a version within the limit."""
    taken_s = await_in_force(context.fleet, version, limit)
    print(f'in force after {taken_s:.3f} s')


@then('host {number:d} is named as silent for version {version:d}')
def host_reported_silent(context, number, version):
    """The report on a version lists hosts that did not respond."""
    node = node_of(context, number)
    other = next(one for one in context.fleet.running() if one is not node)
    with other.admin() as client:
        found = client.applied(version)
    assert node.host.name in found.silent, found


@then('host {number:d} has version {version:d} within {limit:g} s')
def host_has_version(context, number, version, limit):
    """One daemon has a version, or a newer one, within the limit."""
    node = node_of(context, number)

    def has_version():
        with node.admin() as client:
            return client.status().version >= version

    wait_until(has_version, limit, f'version {version} on {node.host.name}')


@then('host {number:d} stays without a version for {duration:g} s')
def host_stays_without_version(context, number, duration):
    """A daemon does not become ready within a duration."""
    node = node_of(context, number)

    def is_ready():
        with node.admin() as client:
            return client.status().is_ready

    try:
        wait_until(is_ready, duration, 'readiness')
    except FleetError:
        return
    raise AssertionError(f'{node.host.name} became ready')


@then('no daemon ever went back to an older version')
def versions_never_decrease(context):
    """The versions a daemon applies never decrease, even over restarts."""
    for node in context.fleet.nodes.values():
        log = context.fleet.log_path(node).read_text()
        versions = [
            event['version']
            for line in log.splitlines()
            if line.startswith('{')
            for event in (json.loads(line),)
            if event['message_type'] == 'ragwort:applied'
        ]
        assert versions == sorted(versions), (node.host.name, versions)


@when('{count:d} versions are put in force while load runs')
def put_many_versions_in_force(context, count):
    """Submit versions in sequence, each after the previous response."""

    def run():
        for number in range(count):
            outcome = submit(context.fleet, mesh_with_deadline(40 + number))
            context.last_outcome = outcome

    thread = threading.Thread(target=run)
    thread.start()
    thread.join()
    assert context.last_outcome.outcome == 'accepted'
