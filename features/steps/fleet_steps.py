"""Steps that start a fleet and inject faults."""

import time

from behave import given, then, when

from features.support import (
    CLUSTER,
    REGIONS,
    make_hosts,
    mesh_with_deadline,
    node_of,
    put_in_force,
)
from ragwortstand.ids import SubmissionId, Version
from ragwortstand.peers.messages import MemberState
from ragwortstand.tools.fleet import Fleet
from ragwortstand.tools.processes import wait_until
from ragwortstand.tools.standin_backend import Behaviour
from ragwortstand.tools.standin_link import LinkMode
from ragwortstand.tools.standin_platform import Faults

_FAULTS = {
    'out': Faults(is_out=True),
    'silent': Faults(is_silent=True),
    'slow': Faults(delay_s=1.0),
    'back': Faults(),
}


@given('settings "{name}" of {number:g} s')
def set_duration(context, name, number):
    """Set one duration in the settings of all daemons."""
    section, _, field = name.partition('.')
    overrides = getattr(context, 'overrides', {})
    overrides.setdefault(section, {})[field] = number
    context.overrides = overrides


@given('a fleet of {count:d} hosts in {regions:d} regions')
def start_fleet(context, count, regions):
    """Start the platform, backend servers and daemons."""
    create_fleet(context, count, regions)
    context.fleet.start()
    context.fleet.await_members(count)


@given('a fleet of {count:d} hosts in {regions:d} regions behind relays')
def start_fleet_behind_relays(context, count, regions):
    """Start a fleet with relays to the platform, peers and servers."""
    create_fleet(context, count, regions)
    fleet = context.fleet
    fleet.start_platform()
    fleet.start_platform_link()
    for node in fleet.nodes.values():
        fleet.start_peer_link(node)
        fleet.start_server_link(node)
        fleet.spawn_daemon(node)
    for node in fleet.nodes.values():
        fleet.await_daemon(node)
        fleet.start_server(node)
    fleet.await_members(count)


def create_fleet(context, count, regions):
    """Create a fleet without starting it."""
    context.fleet = Fleet(
        make_hosts(count, regions),
        context.folder,
        CLUSTER,
        REGIONS[0],
        getattr(context, 'overrides', None),
    )


@given('version {version:d} is in force')
@when('an operator puts version {version:d} in force')
def put_version_in_force(context, version):
    """Submit a version and wait until it is in force."""
    put_in_force(context.fleet, version)


@when('the daemon of host {number:d} is killed')
def kill_daemon(context, number):
    """Kill a daemon with SIGKILL."""
    node_of(context, number).daemon.kill()


@when('the daemons of hosts {first:d} to {last:d} are killed')
def kill_daemons(context, first, last):
    """Kill several daemons with SIGKILL."""
    for number in range(first, last + 1):
        node_of(context, number).daemon.kill()


@when('the daemon of host {number:d} is restarted')
def restart_daemon(context, number):
    """Restart a daemon on the same ports."""
    context.fleet.start_daemon(node_of(context, number))


@when('the daemons of hosts {first:d} to {last:d} are restarted')
def restart_daemons(context, first, last):
    """Restart several daemons concurrently."""
    nodes = [node_of(context, one) for one in range(first, last + 1)]
    for node in nodes:
        context.fleet.spawn_daemon(node)
    for node in nodes:
        context.fleet.await_daemon(node)


@when('the daemon of host {number:d} is asked to stop')
def send_sigterm(context, number):
    """Send SIGTERM to a daemon."""
    node_of(context, number).daemon.send_sigterm()


@when('the daemon of host {number:d} is paused for {duration:g} s')
def pause_daemon(context, number, duration):
    """Suspend a daemon for a duration."""
    daemon = node_of(context, number).daemon
    daemon.pause()
    time.sleep(duration)
    daemon.resume()


@when('the daemon of host {number:d} is frozen')
def freeze_daemon(context, number):
    """Suspend a daemon."""
    node_of(context, number).daemon.pause()


@when('host {number:d} is lost')
def lose_host(context, number):
    """Kill a daemon and its backend server with SIGKILL."""
    node = node_of(context, number)
    node.daemon.kill()
    node.server.kill()


@when('the backend server of host {number:d} is killed')
def kill_server(context, number):
    """Kill a backend server with SIGKILL."""
    node_of(context, number).server.kill()


@when('the backend server of host {number:d} is restarted')
def restart_server(context, number):
    """Restart a backend server on the same port."""
    context.fleet.start_server(node_of(context, number))


@when('the backend server of host {number:d} drains')
def drain_server(context, number):
    """Let a backend server announce that it is draining."""
    node = node_of(context, number)
    context.fleet.set_behaviour(node, Behaviour(slots=12, is_draining=True))


@when('the backend server of host {number:d} takes {service_ms:d} ms')
def set_service_time(context, number, service_ms):
    """Change the service time of a backend server."""
    behaviour = Behaviour(slots=12, service_time_s=service_ms / 1000)
    context.fleet.set_behaviour(node_of(context, number), behaviour)


@given('the platform is {fault}')
@when('the platform is {fault}')
def set_fault(context, fault):
    """Set or clear a fault of the platform's stand-in."""
    context.fleet.set_faults(_FAULTS[fault])


@when('the platform loses the answer of the next write')
def lose_response(context):
    """Let the next write take effect without a response."""
    context.fleet.set_faults(Faults(lose_answers=1))


@when('connections to the {side} of host {number:d} go silent')
def freeze_link(context, side, number):
    """Freeze the open connections of a link; new ones work."""
    node = node_of(context, number)
    link = node.peer_link if side == 'daemon' else node.server_link
    link.set_state(LinkMode.FREEZE)
    link.set_state(LinkMode.PASS)


@when('connections to the platform go silent')
def freeze_platform_link(context):
    """Freeze the open connections to the platform; new ones work."""
    link = context.fleet.platform_link
    link.set_state(LinkMode.FREEZE)
    link.set_state(LinkMode.PASS)


@when('nobody reaches the daemon of host {number:d}')
def cut_link(context, number):
    """Cut the link over which peers reach a daemon."""
    node_of(context, number).peer_link.set_state(LinkMode.CUT)


@when('the daemon of host {number:d} is reached again')
def restore_link(context, number):
    """Restore the link over which peers reach a daemon."""
    node_of(context, number).peer_link.set_state(LinkMode.PASS)


@when('{duration:g} s pass')
def wait_duration(context, duration):
    """Wait for a duration."""
    time.sleep(duration)


@then('the daemon of host {number:d} ends with exit code {code:d}')
def daemon_exits(context, number, code):
    """A stopping daemon exits with the expected code."""
    assert node_of(context, number).daemon.wait(20) == code


@then('host {number:d} is {state} for all others within {limit:g} s')
def member_state_everywhere(context, number, state, limit):
    """All other daemons list a member in a state within the limit."""
    name = node_of(context, number).host.name
    expected = MemberState[state.upper()].name.lower()

    def has_state(node):
        with node.admin() as client:
            members = client.members().members
        return any(
            one.host == name and one.state == expected for one in members
        )

    others = [one for one in context.fleet.running() if one.host.name != name]
    wait_until(lambda: all(map(has_state, others)), limit, f'{name} {state}')


@then('no daemon has taken a living one for dead')
def no_live_member_declared_dead(context):
    """No event reports a dead member."""
    for node in context.fleet.nodes.values():
        text = context.fleet.log_path(node).read_text()
        assert '"state":"dead"' not in text, node.host.name


@then('all {count:d} hosts are ready within {limit:g} s')
def all_ready(context, count, limit):
    """Every daemon lists every backend server as ready."""
    context.fleet.await_members(count, limit)


@when('operators {first} and {second} submit at the same time')
def submit_concurrently(context, first, second):
    """Two operators submit versions with the same base version."""
    context.outcomes = {}
    with context.fleet.admin() as client:
        base = client.status().version
        for number, name in enumerate((first, second)):
            content = mesh_with_deadline(30 + number).to_json().encode()
            context.outcomes[name] = client.submit(
                content, SubmissionId(name), Version(base), name
            )


@then('{winner} is accepted and {loser} is told that {winner_again} won')
def one_submission_accepted(context, winner, loser, winner_again):
    """One submission is accepted, the other refused as a conflict."""
    assert context.outcomes[winner].outcome == 'accepted'
    refusal = context.outcomes[loser]
    assert refusal.outcome == 'conflict', refusal
    assert refusal.record.author == winner_again
