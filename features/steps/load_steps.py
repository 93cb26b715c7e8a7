"""Steps that send load and compare callers' records with journals."""

import contextlib
import re
import socket
import threading
import time

import httpcore
from behave import given, then, when

from features.support import node_of
from ragwortstand.tools.audit import audit, rank_report, read_journals
from ragwortstand.tools.background import BackgroundLoad
from ragwortstand.tools.load import Plan, Stream
from ragwortstand.tools.processes import wait_until

_SEED = 5
_STREAMS = {
    'urgent': {'rank': 'urgent', 'method': 'GET', 'path': '/urgent/a'},
    'middle': {
        'rank': 'middle',
        'method': 'GET',
        'path': '/middle/a',
        'target_s': 1.0,
        'timeout_s': 3.0,
    },
    'bulk': {
        'rank': 'bulk',
        'method': 'GET',
        'path': '/bulk/a',
        'target_s': 5.0,
        'timeout_s': 30.0,
    },
    'long urgent': {
        'rank': 'long urgent',
        'method': 'GET',
        'path': '/urgent/long',
        'service_ms': 200,
    },
    'long bulk': {
        'rank': 'long bulk',
        'method': 'GET',
        'path': '/bulk/long',
        'target_s': 5.0,
        'timeout_s': 30.0,
        'service_ms': 200,
    },
    'filing': {
        'rank': 'filing',
        'method': 'POST',
        'path': '/filings',
        'is_keyed': True,
        'resends': 6,
        'timeout_s': 3.0,
    },
    'keyless filing': {
        'rank': 'keyless filing',
        'method': 'POST',
        'path': '/filings',
        'timeout_s': 3.0,
    },
}


@given('{rate:d} {kind} requests a second for {duration:g} s')
@when('{rate:d} {kind} requests a second start for {duration:g} s')
def start_load(context, rate, kind, duration):
    """Start load in the background, sent to random daemons."""
    stream = Stream(rate_per_s=rate, **_STREAMS[kind])
    urls = [node.url for node in context.fleet.running()]
    number = len(context.loads)
    plan = Plan(duration, (stream,), _SEED + number)
    load = BackgroundLoad(urls, plan, f'load{number}')
    context.loads.append(load)
    load.start()


@when('all load has ended')
def finish_load(context):
    """Wait until all load has ended and collect its records."""
    for load in context.loads:
        context.records.extend(load.finish())
    time.sleep(0.3)


@then('no promise was broken')
def no_guarantee_violated(context):
    """No request was lost, duplicated, mismatched or falsely refused."""
    found = _audit(context)
    assert found.sent > 0
    assert found.is_clean, found


@then('nothing ran twice and every answer fits')
def no_request_ran_twice(context):
    """No duplicate run or mismatched response, even if daemons crashed."""
    found = _audit(context)
    assert found.sent > 0
    assert not found.doubled, found
    assert not found.mismatched, found
    assert not found.false_not_run, found


@then('every request was answered')
def all_answered(context):
    """Every caller got a final response."""
    found = _audit(context)
    assert found.answered == found.sent, found


@then('at least {share:g}% of {rank} requests were served in target')
def share_served_in_target(context, share, rank):
    """Enough requests of a rank were served within their target."""
    records = [one for one in context.records if one.rank == rank]
    found = rank_report(records)
    print(rank, found)
    assert found.sent
    assert found.in_target >= found.sent * share / 100, found


@then('at least {share:g}% of {rank} requests were served')
def share_served(context, share, rank):
    """Enough requests of a rank were served."""
    records = [one for one in context.records if one.rank == rank]
    found = rank_report(records)
    print(rank, found)
    assert found.sent
    assert found.served >= found.sent * share / 100, found


@then('at least {rate:d} {rank} requests a second were served')
def rate_served(context, rate, rank):
    """A rank was served at a minimum rate."""
    records = [one for one in context.records if one.rank == rank]
    found = rank_report(records)
    duration_s = max(one.planned_s for one in records)
    print(rank, found, duration_s)
    assert found.served >= rate * duration_s, found


@then('the backend server of host {number:d} started nothing after {delay:g} s')
def no_request_started_after(context, number, delay):
    """A draining backend server got no new requests."""
    node = node_of(context, number)
    lines = read_journals([context.fleet.journal_path(node)])
    late_lines = [
        line for line in lines if line.unix_s > context.marked_unix_s + delay
    ]
    assert not [line for line in late_lines if line.entry == 'started'], (
        late_lines
    )


@when('this moment is marked')
def mark_time(context):
    """Record the current time."""
    context.marked_unix_s = time.time()


@when('a caller sends "{method} {path}" with {size:d} bytes to host {number:d}')
def send_request(context, method, path, size, number):
    """Send one request and record the response."""
    node = node_of(context, number)
    context.response = httpcore.request(
        method, node.url + path, content=b'x' * size
    )


@when('a caller sends a request of 20 s to host {number:d} and leaves')
def disconnect_early(context, number):
    """Send a long request and close the connection after 0.4 s."""
    url = node_of(context, number).url
    timeouts = dict.fromkeys(('connect', 'read', 'write', 'pool'), 0.4)
    headers = {'standin-service-ms': '20000'}
    with contextlib.suppress(httpcore.ReadTimeout):
        httpcore.request(
            'GET',
            f'{url}/bulk/long',
            headers=headers,
            extensions={'timeout': timeouts},
        )


@then('the backend servers have cancelled {count:d} request within {limit:g} s')
def requests_cancelled(context, count, limit):
    """Backend servers cancelled the expected number of requests."""

    def is_cancelled():
        lines = read_journals(context.fleet.journals())
        found = [line for line in lines if line.entry == 'cancelled']
        return len(found) == count

    wait_until(is_cancelled, limit, f'{count} cancelled')


@when('{count:d} calls go {depth:d} deep')
def send_nested_calls(context, count, depth):
    """Send calls whose backend servers make nested calls."""
    context.calls = count * depth
    nodes = context.fleet.running()
    nested_paths = ','.join('/urgent/deeper' for _ in range(depth - 1))
    attempts_before = _count_attempts(context.fleet)
    for number in range(count):
        url = nodes[number % len(nodes)].url
        httpcore.request(
            'GET',
            f'{url}/urgent/top',
            headers={
                'standin-deeper': nested_paths,
                'standin-tag': f'deep-{number}',
                'ragwort-timeout-ms': '5000',
            },
        )
    context.attempts = _count_attempts(context.fleet) - attempts_before


@then('all attempts together stay under {factor:g} times the calls')
def attempts_below(context, factor):
    """Retries at one depth do not multiply the retries at others."""
    print(f'{context.attempts} attempts for {context.calls} calls')
    assert 0 < context.attempts < context.calls * factor


def _count_attempts(fleet):
    total = 0
    for node in fleet.running():
        with node.admin() as client:
            text = client.metrics()
        pattern = r'^ragwort_(?:offered|retries)_total\{.*\} (\S+)$'
        total += sum(map(float, re.findall(pattern, text, re.MULTILINE)))
    return total


@when('a caller sends bytes that are no HTTP to host {number:d}')
def send_malformed_bytes(context, number):
    """Send malformed bytes over a TCP connection."""
    port = node_of(context, number).callers_port
    with socket.create_connection(('127.0.0.1', port), timeout=5) as stream:
        stream.sendall(b'\x00\x01 nonsense\r\n\r\n' * 1000)
        context.raw_response = stream.recv(1000)


@then('the raw answer is a 400')
def raw_response_is_bad_request(context):
    """Malformed HTTP gets a response with status 400."""
    assert b' 400 ' in context.raw_response, context.raw_response


@then('the answer is {status:d} with verdict {verdict} and cause {cause}')
def response_is(context, status, verdict, cause):
    """The response has the expected status, verdict and cause."""
    headers = dict(context.response.headers)
    found = (
        context.response.status,
        headers[b'ragwort-verdict'].decode(),
        headers.get(b'ragwort-cause', b'none').decode(),
    )
    assert found == (status, verdict, cause), found


def _audit(context):
    journal = read_journals(context.fleet.journals())
    return audit(context.records, journal)


@when('a caller sends a crashing request {count:d} times')
def send_crashing_requests(context, count):
    """Send a request that crashes servers to one daemon after another."""
    _send_crashing(context, count, 0)


@when('{callers:d} callers send a crashing request {count:d} times')
def send_crashing_requests_concurrently(context, callers, count):
    """Send a request that crashes servers from concurrent callers."""
    threads = [
        threading.Thread(
            target=_send_crashing, args=(context, count, first_node)
        )
        for first_node in range(callers)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then('at most {count:d} backend servers have crashed')
def crashes_at_most(context, count):
    """At least one and at most a number of backend servers crashed."""
    nodes = context.fleet.nodes.values()
    crashed = [node for node in nodes if not node.server.is_running]
    assert 1 <= len(crashed) <= count, [one.host.name for one in crashed]


def _send_crashing(context, count, first_node):
    nodes = list(context.fleet.nodes.values())
    for number in range(count):
        node = nodes[(number + first_node) % len(nodes)]
        httpcore.request(
            'GET', f'{node.url}/urgent/poison', headers={'standin-crash': '1'}
        )
