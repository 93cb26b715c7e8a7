"""A worker that has left, and a kill of all daemons after its confirmation."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from mesh import BOUNDS, TROUBLE, Mesh, SetupError, main  # noqa: E402

CONTACT_S = BOUNDS['contactMs'] / 1000
DRAIN_S = BOUNDS['drainMs'] / 1000
SERVICES = ['consult', 'consult', 'filing', 'filing', 'filing']
ROUTES = [
    {
        'name': 'file', 'host': 'slips.example', 'prefix': '/file/',
        'kind': 'non_idempotent', 'timeoutMs': 1000, 'goalMs': 300,
        'priority': 0, 'attempts': 2, 'service': 'filing',
    },
]
# Delay of the late heartbeat, and time for which the worker still serves, from
# the confirmation on.
HEARTBEAT_LATE_S = 2.5
SERVES_S = 7.5
DOWN_S = 0.9


async def send_filings(mesh: Mesh, callers, results: dict[str, int]) -> None:
    number = 0

    async def file(number: int) -> None:
        caller = callers[number % len(callers)]
        request_id, status = await mesh.ask(
            caller, 'POST', 'slips.example', f'/file/{number}', b'slip'
        )
        results[request_id] = status

    while True:
        number += 1
        mesh.spawn(file(number))
        await asyncio.sleep(0.05)


async def kill_all(mesh: Mesh) -> None:
    """Kill all daemons at the same time; they start again after a delay."""
    for host in mesh.hosts:
        await mesh.signal(host, signal.SIGKILL)
    for host in mesh.hosts:
        await host.process.wait()
    await asyncio.sleep(DOWN_S)
    for host in mesh.hosts:
        await mesh.start_sidecar(host)


async def case(mesh: Mesh) -> bool:
    await mesh.start(SERVICES, ROUTES)
    callers = [one for one in mesh.hosts if one.worker.service == 'consult']
    leaving = mesh.hosts[4]
    worker = leaving.worker
    for host in mesh.hosts:
        host.worker.work_s = 0.3
    results: dict[str, int] = {}
    mesh.spawn(send_filings(mesh, callers, results))
    await asyncio.sleep(3.0)
    if not any(run.worker == worker.instance for run in mesh.runs):
        raise SetupError('the worker gets no requests')
    # This heartbeat is on its way for some seconds.
    worker.beats = False
    late_body = worker.heartbeat_body()
    deregistration = b'{"born":%d}' % worker.born
    answer = await worker.post('deregister', deregistration)
    if answer is None or answer.status != 200:
        raise SetupError('the deregistration is not confirmed')
    left_s = mesh.record.now()
    mesh.record(f'{worker.instance} has deregistered, confirmed')
    await asyncio.sleep(0.3)
    if TROUBLE:
        await kill_all(mesh)
    await asyncio.sleep(left_s + HEARTBEAT_LATE_S - mesh.record.now())
    mesh.record(f'a heartbeat of {worker.instance} arrives late')
    await worker.post('heartbeat', late_body)
    await asyncio.sleep(left_s + SERVES_S - mesh.record.now())
    worker.end()
    mesh.record(f'{worker.instance} ends')
    await asyncio.sleep(2.0)
    touched = [at_s for _, at_s in mesh.touched]
    late = [
        run
        for run in mesh.runs
        if run.worker == worker.instance
        and run.at_s > left_s + DRAIN_S
        and not any(run.at_s - CONTACT_S <= at_s <= run.at_s for at_s in touched)
    ]
    lost = [run for run in late if results.get(run.request_id) != 200]
    mesh.record(
        f'{len(late)} requests reached {worker.instance} later than drainMs'
        ' after the confirmation, by machines in touch; one breaks DRAIN'
    )
    mesh.record(f'{len(lost)} of them were lost as it ended')
    return bool(late)


main(FOLDER, case)
