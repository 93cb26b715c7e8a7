"""A heartbeat of another writer, for a service that does not exist."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from mesh import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Mesh,
    SetupError,
    configuration,
    exchange,
    main,
)

SERVICES = ['consult', 'consult', 'filing', 'filing', 'export', 'export']
STEADY_S = max(BOUNDS['configApplyMs'], BOUNDS['contactMs']) / 1000
JUDGED_S = 30.0


def route(name: str, service: str) -> dict:
    return {
        'name': name, 'host': 'slips.example', 'prefix': f'/{name}/',
        'kind': 'idempotent', 'timeoutMs': 800, 'goalMs': 250,
        'priority': 0, 'attempts': 2, 'service': service,
    }


async def send_foreign_heartbeat(mesh: Mesh, host) -> None:
    """Send one heartbeat of another writer to a machine."""
    document = {
        'service': 'huvo99z',
        'address': host.app_address,
        'zone': host.zone,
        'version': 'v1',
        'capacity': 13,
        'state': 'ready',
        'coldLeftMs': 0,
        'seq': 1,
        'born': int(time.time() * 1000),
    }
    answer = await exchange(
        host.control,
        'POST /api/instances/i-foreign/heartbeat HTTP/1.1',
        {'Host': host.control, 'Content-Type': 'application/json'},
        json.dumps(document).encode(),
        1.0,
    )
    status = answer.status if answer else 'nothing'
    mesh.record(
        f'heartbeat of another writer to {host.name}: service'
        f' {document["service"]} does not exist; answered {status}'
    )


async def served(mesh: Mesh, callers, seconds: float) -> dict[str, list[bool]]:
    """Send requests on both routes; return which were served, by route."""
    results: dict[str, list[bool]] = {'first': [], 'added': []}

    async def ask(host, name: str) -> None:
        _, status = await mesh.ask(
            host, 'GET', 'slips.example', f'/{name}/x', b'', 1500
        )
        results[name].append(status == 200)

    end_s = mesh.record.now() + seconds
    while mesh.record.now() < end_s:
        for host in callers:
            mesh.spawn(ask(host, 'first'))
            mesh.spawn(ask(host, 'added'))
        await asyncio.sleep(0.2)
    await asyncio.sleep(2.0)
    return results


def share(results: list[bool]) -> float:
    return sum(results) / len(results)


async def case(mesh: Mesh) -> bool:
    await mesh.start(SERVICES, [route('first', 'filing')])
    callers = [one for one in mesh.hosts if one.worker.service == 'consult']
    both = [route('first', 'filing'), route('added', 'export')]
    mesh.store.put('op', 'config', configuration(7, SERVICES, both))
    mesh.record('version 7 is confirmed: it adds /added/ to export')
    await asyncio.sleep(STEADY_S)
    before = await served(mesh, callers, 3.0)
    if share(before['first']) < 1 or share(before['added']) < 1:
        raise SetupError('the routes are not served')
    if TROUBLE:
        for host in mesh.hosts:
            if host.worker.service == 'export':
                await send_foreign_heartbeat(mesh, host)
    await asyncio.sleep(STEADY_S)
    after = await served(mesh, callers, JUDGED_S)
    mesh.record(
        f'steady state of {JUDGED_S:g} s: of {len(after["added"])} requests on'
        f' the route that was added {share(after["added"]):.2f} were served,'
        f' of those on the first route {share(after["first"]):.2f};'
        ' less than a quarter of it breaks CONFIG'
    )
    return share(after['added']) < share(after['first']) / 4


main(FOLDER, case)
