"""A request that crashes workers, and daemons that are restarted in turn."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from mesh import BOUNDS, TROUBLE, Mesh, SetupError, main  # noqa: E402

CONTACT_S = BOUNDS['contactMs'] / 1000
SERVICES = ['consult', 'consult', 'filing', 'filing', 'filing', 'filing']
ROUTES = [
    {
        'name': 'lookup', 'host': 'slips.example', 'prefix': '/lookup/',
        'kind': 'idempotent', 'timeoutMs': 1000, 'goalMs': 300,
        'priority': 0, 'attempts': 2, 'service': 'filing',
    },
    {
        'name': 'file', 'host': 'slips.example', 'prefix': '/file/',
        'kind': 'non_idempotent', 'timeoutMs': 1000, 'goalMs': 300,
        'priority': 1, 'attempts': 2, 'service': 'filing',
    },
]
POISON = '/lookup/crashes'
ROUNDS = 8


async def restart(mesh: Mesh, host) -> None:
    """Stop a daemon with SIGTERM and start it again."""
    await mesh.signal(host, signal.SIGTERM)
    try:
        await asyncio.wait_for(host.process.wait(), BOUNDS['graceS'])
    except TimeoutError:
        await mesh.signal(host, signal.SIGKILL)
        await host.process.wait()
    await mesh.start_sidecar(host)
    await mesh.until_ready(host)


async def send_poison(mesh: Mesh, callers) -> None:
    """Let the request come again, at the machines of its caller."""
    for number in range(10):
        caller = callers[number % len(callers)]
        await mesh.ask(caller, 'GET', 'slips.example', POISON)
        await asyncio.sleep(0.3)


async def send_filings(mesh: Mesh, callers, lost: list[str]) -> None:
    """Send requests of other clients; collect those that ran in vain."""
    number = 0

    async def file(number: int) -> None:
        caller = callers[number % len(callers)]
        request_id, status = await mesh.ask(
            caller, 'POST', 'slips.example', f'/file/{number}', b'slip'
        )
        if status != 200 and any(
            run.request_id == request_id for run in mesh.runs
        ):
            lost.append(request_id)

    while True:
        number += 1
        mesh.spawn(file(number))
        await asyncio.sleep(0.1)


def was_in_touch(touched, host_name: str, at_s: float) -> bool:
    """Return whether a machine was without a signal or start before."""
    return not any(
        name == host_name and at_s - CONTACT_S <= touched_s <= at_s
        for name, touched_s in touched
    )


async def case(mesh: Mesh) -> bool:
    await mesh.start(SERVICES, ROUTES)
    callers = [one for one in mesh.hosts if one.worker.service == 'consult']
    servers = [one for one in mesh.hosts if one.worker.service == 'filing']
    _, status = await mesh.ask(
        callers[0], 'GET', 'slips.example', '/lookup/good'
    )
    if status != 200:
        raise SetupError('a good request is not served')
    for server in servers:
        server.worker.poison = POISON
        server.worker.work_s = 0.3
    lost: list[str] = []
    mesh.spawn(send_filings(mesh, callers, lost))
    for number in range(ROUNDS + 1):
        server = servers[number % len(servers)]
        if TROUBLE and number:
            await restart(mesh, server)
        await asyncio.sleep(CONTACT_S + 0.3)
        await send_poison(mesh, callers)
    crashes = [run for run in mesh.runs if run.path == POISON]
    mesh.record(f'the request has reached workers {len(crashes)} times')
    mesh.record(f'{len(lost)} requests of others had run and have no answer')
    if len(crashes) < 4:
        return False
    counted_from = crashes[2].at_s + CONTACT_S
    later = [
        run
        for run in crashes
        if run.at_s > counted_from
        and was_in_touch(mesh.touched, run.host, run.at_s)
    ]
    mesh.record(
        f'{len(later)} of them later than contactMs after the third crash;'
        ' more than three break BUDGET'
    )
    return len(later) > 3


main(FOLDER, case)
