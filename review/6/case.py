"""A planned stop while requests wait for a slot: some are never answered."""

import asyncio
import signal

from standins2 import BROKEN, HELD, Client, CouldNotRunError, Worker, main

GRACE_S = 6.0
LOSS_SLACK_S = 0.2
GOAL_MS, TIMEOUT_MS, BUDGET_MS = 5000, 8000, 15000
WORK_S, SLOTS = 0.84, 9
PER_S = 32
ROUTES = [('/exports/', 'idempotent', 'export', TIMEOUT_MS, GOAL_MS)]


class Platform:
    """Asks for readiness once a second; two misses take a machine out."""

    def __init__(self, host, record):
        self.host, self.record, self.is_in = host, record, True

    def has_just_asked(self):
        return 0.02 < self.record.now() - self.asked_at < 0.1

    async def run(self):
        misses = 0
        while True:
            self.asked_at = self.record.now()
            misses = 0 if await self.host.is_ready() else misses + 1
            if (misses < 2) != self.is_in:
                self.is_in = misses < 2
                self.record(f'platform {self.host.name} is {"in" if self.is_in else "out"}')
            await asyncio.sleep(1.0)


async def case(fleet, record, trouble):
    entries = [fleet.add('consult', 'dakar-a') for _ in range(2)]
    targets = [fleet.add('export', zone) for zone in ('dakar-a', 'dakar-b')]
    workers = [Worker(host, host.service, record, WORK_S, SLOTS) for host in (*entries, *targets)]
    fleet.configure(7, ROUTES, ['consult', 'export'])
    for worker in workers:
        await worker.start()
        worker.host.start()
    for worker in workers:
        await worker.host.until_ready()
        worker.beat_regularly()
    stopped = entries[0]
    client = Client(stopped, record)
    for _ in range(30):
        if (await client.send('/exports/0', budget_ms=BUDGET_MS))[1] == 200:
            break
        await asyncio.sleep(0.1)
    else:
        raise CouldNotRunError('no request is served')
    platform = Platform(stopped, record)
    checks = asyncio.ensure_future(platform.run())

    async def send(number):
        began_at = record.now()
        request_id, status, _ = await client.send(f'/exports/{number}', budget_ms=BUDGET_MS)
        return request_id, began_at, record.now(), status

    sent = []
    stop_at = None
    number = 0
    load_at = record.now()
    while record.now() < load_at + 24.0:
        number += 1
        if platform.is_in:
            sent.append(asyncio.ensure_future(send(number)))
        if trouble and stop_at is None and record.now() > load_at + 15.0 and platform.has_just_asked():
            stopped.signal(signal.SIGTERM)
            stop_at = record.now()
        await asyncio.sleep(1 / PER_S)
    results = await asyncio.gather(*sent)
    checks.cancel()

    started = {one: at for worker in workers for at, one in worker.runs}
    lost = []
    for request_id, began_at, ended_at, status in results:
        if status or stop_at is None or ended_at < stop_at:
            continue
        is_in_grace = ended_at <= stop_at + GRACE_S + 1.0
        was_at_work = request_id in started
        if is_in_grace and not was_at_work and ended_at > began_at + LOSS_SLACK_S:
            lost.append(request_id)
            record(f'lost     id={request_id} sent {began_at - stop_at:+.2f} s, ended {ended_at - stop_at:+.2f} s after SIGTERM, never at a worker')
    statuses = sorted({status for *_, status in results})
    record('answers: ' + ', '.join(f'{one}: {sum(status == one for *_, status in results)}' for one in statuses))
    record(f'read, not passed on and ended without an answer: {len(lost)}')
    return BROKEN if lost else HELD


main(case)
