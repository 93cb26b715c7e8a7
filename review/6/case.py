"""Machines have been replaced over time; then all processes are killed."""

import asyncio
import random
import signal

from standins2 import BROKEN, EXPECT, HELD, ID, STAMP, Client, CouldNotRunError, Worker, answer, main

REMOVED = 105
BATCH = 35
RECOVERY_S = 15.0
SERVICES = ('consult', 'filing', 'export')
ROUTES = [
    ('/slip-lookup/', 'idempotent', 'consult', 800, 250),
    ('/slip-filing/', 'non_idempotent', 'filing', 1000, 300),
    ('/bulk-export/', 'idempotent', 'export', 1500, 1000),
    ('/provenance-check/', 'idempotent', 'filing', 200, 60),
    ('/sense-link/', 'idempotent', 'export', 200, 60),
]
# Path, method, time budget and share of the requests, as in the sheet.
KINDS = (
    ('/slip-lookup/1', 'GET', 1500, 4.5),
    ('/slip-filing/1', 'POST', 2000, 2.5),
    ('/bulk-export/1', 'GET', 3000, 2.0),
)
# Calls that a worker needs in this share of its runs, two each.
CALLS = {'slip-lookup': '/provenance-check/1', 'slip-filing': '/sense-link/1'}
CALLS_SHARE = 0.7


class CallingWorker(Worker):
    """Makes calls through its own machine while it runs a request."""

    async def handle(self, method, target, headers, body, reader):
        call = CALLS.get(target.split('/')[1])
        if call and headers.get(EXPECT.lower(), self.instance) == self.instance and random.random() < CALLS_SHARE:
            client = Client(self.host, self.record)
            calls = await asyncio.gather(*(client.send(call, budget_ms=200) for _ in range(2)))
            if any(status != 200 for _, status, _ in calls):
                request_id = headers.get(ID.lower(), '')
                self.runs.append((self.record.now(), request_id))
                return answer(500, [(ID, request_id), (STAMP, f'{self.instance}.{request_id}')])
        return await super().handle(method, target, headers, body, reader)


async def served_share(fleet, hosts, record, for_s):
    """Send requests of all kinds on all machines; return the served share."""
    served = []
    sent = []
    ends = record.now() + for_s

    async def send(host):
        path, method, budget_ms, _ = random.choices(KINDS, [kind[-1] for kind in KINDS])[0]
        _, status, _ = await Client(host, record).send(path, method, budget_ms)
        served.append(status == 200)

    while record.now() < ends:
        sent.extend(asyncio.ensure_future(send(host)) for host in hosts)
        await asyncio.sleep(0.15)
    await asyncio.gather(*sent)
    share = sum(served) / len(served)
    record(f'served   {sum(served)} of {len(served)}')
    return share


async def replace_machines(fleet, record):
    """Add machines in a zone and remove them for good, some at a time."""
    for first in range(0, REMOVED, BATCH):
        batch = [fleet.add('consult', 'dakar-a', 'dakar') for _ in range(min(BATCH, REMOVED - first))]
        for host in batch:
            worker = Worker(host, 'consult', record)
            await worker.start()
            host.start()
        for host in batch:
            await host.until_ready(30.0)
        await asyncio.sleep(1.0)
        for host in batch:
            host.signal(signal.SIGKILL)
            host.process.wait()
        record(f'removed  {len(batch)} machines for good')


async def case(fleet, record, trouble):
    live = [fleet.add(service, zone, 'thies') for zone in ('thies-a', 'thies-b') for service in SERVICES]
    workers = [CallingWorker(host, host.service, record, 0.03) for host in live]
    fleet.configure(7, ROUTES, list(SERVICES))
    for worker in workers:
        await worker.start()
        worker.host.start()
    for worker in workers:
        await worker.host.until_ready()
        worker.beat_regularly()
    await asyncio.sleep(4.0)
    if trouble:
        await replace_machines(fleet, record)
        await asyncio.sleep(5.0)
    before = await served_share(fleet, live, record, 3.0)
    if before < 0.25:
        raise CouldNotRunError(f'only {before:.2f} is served before the final fault')
    for host in live:
        host.signal(signal.SIGKILL)
    for host in live:
        host.process.wait()
    await asyncio.sleep(1.0)
    for host in live:
        host.start()
    for host in live:
        await host.until_ready()
    record('back     all machines')
    await asyncio.sleep(RECOVERY_S)
    after = await served_share(fleet, live, record, 8.0)
    record(f'served share before {before:.2f}, later than recoveryS after the machines are back {after:.2f}')
    return BROKEN if after < 0.25 else HELD


main(case)
