"""A worker leaves while the store is down; then all daemons are killed."""

import asyncio
import signal

from standins2 import BROKEN, HELD, Client, CouldNotRunError, Worker, main

DRAIN_S = 2.0
CONTACT_S = 3.0
DOWN_S = 4.5
ROUTES = [('/slips/', 'non_idempotent', 'filing', 1000, 300)]


async def until_served(client):
    for _ in range(100):
        if (await client.send('/slips/1', 'POST', 1000, b'x'))[1] == 200:
            return
        await asyncio.sleep(0.1)
    raise CouldNotRunError('no request is served')


async def restart_all(fleet):
    for host in fleet.hosts:
        host.signal(signal.SIGKILL)
    for host in fleet.hosts:
        host.process.wait()
    await asyncio.sleep(0.5)
    for host in fleet.hosts:
        host.start()


async def case(fleet, record, trouble):
    entry = fleet.add('consult', 'dakar-a')
    other = fleet.add('filing', 'dakar-b')
    target = fleet.add('filing', 'dakar-a')
    workers = [Worker(host, host.service, record) for host in fleet.hosts]
    fleet.configure(7, ROUTES, ['consult', 'filing'])
    for worker in workers:
        await worker.start()
        worker.host.start()
    for worker in workers:
        await worker.host.until_ready()
        worker.beat_regularly()
    leaving = workers[2]
    client = Client(entry, record)
    await until_served(client)
    await asyncio.sleep(4.0)

    if trouble:
        fleet.store.is_down = True
        record('store    answers 503')
    down_at = record.now()
    await asyncio.sleep(0.5)
    leaving.stop_beating()
    late_heartbeat = leaving.document()
    late_from = record.now()
    await asyncio.sleep(0.5)
    status = await leaving.say('deregister', {'born': leaving.born})
    acknowledged_at = record.now()
    record(f'leaves   {leaving.instance} deregisters, confirmed with {status}')
    if not 200 <= status < 300:
        raise CouldNotRunError('the leaving was not confirmed')
    await asyncio.sleep(0.2)
    if trouble:
        await restart_all(fleet)
    await asyncio.sleep(max(0.0, down_at + DOWN_S - record.now()))
    if trouble:
        fleet.store.is_down = False
        record('store    is back')
    back_at = record.now()
    for host in fleet.hosts:
        await host.until_ready()
    status = await leaving.say('heartbeat', late_heartbeat)
    record(f'late     heartbeat of {leaving.instance}, {record.now() - late_from:.1f} s late: {status}')
    in_touch_at = max(back_at, record.now()) + CONTACT_S
    while record.now() < in_touch_at + 1.5:
        await client.send('/slips/2', 'POST', 1000, b'x')
        await asyncio.sleep(0.05)
    first = max(in_touch_at, acknowledged_at + DRAIN_S)
    late = [at for at, _ in leaving.runs if at > first]
    served = sum(at > first for worker in workers for at, _ in worker.runs)
    record(f'requests at the leaving worker {first - acknowledged_at:.1f} s after the confirmation or later: {len(late)} of {served}')
    if not served:
        raise CouldNotRunError('no request is served at the end')
    return BROKEN if late else HELD


main(case)
