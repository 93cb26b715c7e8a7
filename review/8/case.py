"""A heartbeat of another writer, with a field missing, before a worker drains."""

import asyncio

from standins2 import BROKEN, HELD, Client, CouldNotRunError, Worker, main

DRAIN_S = 2.0
ROUTES = [('/slips/', 'non_idempotent', 'filing', 1000, 300)]


async def case(fleet, record, trouble):
    entry, target = fleet.add('consult', 'dakar-a'), fleet.add('filing', 'dakar-b')
    workers = [Worker(entry, 'consult', record), Worker(target, 'filing', record)]
    fleet.configure(7, ROUTES, ['consult', 'filing'])
    for worker in workers:
        await worker.start()
        worker.host.start()
    for worker in workers:
        await worker.host.until_ready()
        worker.beat_regularly()
    filing = workers[1]
    client = Client(entry, record)
    for _ in range(100):
        if (await client.send('/slips/1', 'POST', 1000, b'x'))[1] == 200:
            break
        await asyncio.sleep(0.1)
    else:
        raise CouldNotRunError('no request is served')
    await asyncio.sleep(5.0)

    if trouble:
        forged = filing.document(seq=5000)
        filing.seq -= 1
        del forged['coldLeftMs']
        status = await filing.say('heartbeat', forged)
        record(f'forged   heartbeat for {filing.instance} without coldLeftMs: {status}')
    await asyncio.sleep(0.5)

    filing.stop_beating()
    filing.state = 'draining'
    status = await filing.beat()
    acknowledged_at = record.now()
    record(f'draining {filing.instance} confirmed with {status}')
    if not 200 <= status < 300:
        raise CouldNotRunError('the leaving was not confirmed')
    while record.now() < acknowledged_at + DRAIN_S + 2.5:
        await client.send('/slips/2', 'POST', 1000, b'x')
        await asyncio.sleep(0.1)
    late = [one for one, _ in filing.runs if one > acknowledged_at + DRAIN_S]
    record(f'requests at the worker later than drainMs after the confirmation: {len(late)}')
    return BROKEN if late else HELD


main(case)
