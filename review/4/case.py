"""A configuration is accepted while the store is silent for two machines."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from mesh import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Mesh,
    SetupError,
    configuration,
    main,
)

APPLY_S = BOUNDS['configApplyMs'] / 1000
SERVICES = ['consult', 'filing', 'export', 'consult', 'filing', 'export']
SILENT_S = 9.0


def routes(service: str) -> list[dict]:
    return [
        {
            'name': 'lookup', 'host': 'slips.example', 'prefix': '/lookup/',
            'kind': 'idempotent', 'timeoutMs': 800, 'goalMs': 250,
            'priority': 0, 'attempts': 2, 'service': service,
        },
    ]


async def case(mesh: Mesh) -> bool:
    await mesh.start(SERVICES, routes('filing'))
    store = mesh.store
    # The machines that read the store at present.
    readers = set()
    for _ in range(30):
        readers |= store.pollers
        await asyncio.sleep(0.1)
    mesh.record(f'machines that poll the feed: {sorted(readers)}')
    # platform_down takes at most 0.35 of the machines away.
    if not readers or len(readers) > 0.35 * len(mesh.hosts):
        raise SetupError(f'{len(readers)} machines read the store')
    calm = [host for host in mesh.hosts if host.name not in readers]
    sent: dict[str, float] = {}
    results: dict[str, int] = {}
    number = 0

    async def look_up(host, number: int) -> None:
        at_s = mesh.record.now()
        request_id, status = await mesh.ask(
            host, 'GET', 'slips.example', f'/lookup/{number}', b'', 1500
        )
        sent[request_id] = at_s
        results[request_id] = status

    async def send() -> None:
        nonlocal number
        while True:
            for host in calm:
                number += 1
                mesh.spawn(look_up(host, number))
            await asyncio.sleep(0.1)

    mesh.spawn(send())
    await asyncio.sleep(2.0)
    if TROUBLE:
        store.silent |= readers
        mesh.record(f'the store is silent for {sorted(readers)}')
    await asyncio.sleep(0.2)
    store.put('op', 'config', configuration(7, SERVICES, routes('export')))
    confirmed_s = mesh.record.now()
    mesh.record('version 7 is confirmed: /lookup/ goes to export')
    await asyncio.sleep(SILENT_S)
    store.silent.clear()
    mesh.record('the store answers all machines')
    await asyncio.sleep(3.0)
    old = {
        host.worker.instance
        for host in mesh.hosts
        if host.worker.service == 'filing'
    }
    late = [
        sent[run.request_id] - confirmed_s
        for run in mesh.runs
        if run.worker in old
        and sent.get(run.request_id, 0) > confirmed_s + APPLY_S
    ]
    mesh.record(
        f'{len(late)} requests sent later than configApplyMs after the'
        ' confirmation, at machines that the store answers, ran at the old'
        f' service; the last was sent {max(late, default=0):.2f} s after it'
    )
    return bool(late)


main(FOLDER, case)
