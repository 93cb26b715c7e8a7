"""Uploads within the operator's limits, and the memory limit of a machine."""

import asyncio
import os
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from mesh import (  # noqa: E402
    TROUBLE,
    Mesh,
    SetupError,
    encode,
    exchange,
    main,
    read_message,
)

SERVICES = ['consult', 'filing', 'filing', 'filing']
ROUTES = [
    {
        'name': 'file', 'host': 'slips.example', 'prefix': '/file/',
        'kind': 'non_idempotent', 'timeoutMs': 1500, 'goalMs': 500,
        'priority': 0, 'attempts': 2, 'service': 'filing',
    },
]
MEMORY_BYTES = 300 * 1024 * 1024
# `maxBodyBytes` of the operator, and the size of the uploads.
MAX_BODY_BYTES = 67_108_864
UPLOAD_BYTES = MAX_BODY_BYTES if TROUBLE else 20 * 1024
UPLOADS = 3
# Clients with a kept connection, on each machine.
CLIENTS = 8
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def resident_bytes(pid: int) -> int:
    try:
        fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    except OSError:
        return 0
    return int(fields[1]) * _PAGE_BYTES


async def limit_memory(mesh: Mesh, peaks: dict[str, int]) -> None:
    """Kill a process that exceeds the limit, and start it again."""
    while True:
        for host in mesh.hosts:
            if host.process is None or host.process.returncode is not None:
                continue
            size = resident_bytes(host.process.pid)
            peaks[host.name] = max(size, peaks.get(host.name, 0))
            if size > MEMORY_BYTES:
                mesh.record(f'{host.name} has {size >> 20} MiB, over the limit')
                host.process.send_signal(signal.SIGKILL)
                await host.process.wait()
                mesh.spawn(restart(mesh, host))
        await asyncio.sleep(0.01)


async def restart(mesh: Mesh, host) -> None:
    await asyncio.sleep(0.5)
    await mesh.start_sidecar(host)


async def keep_sending(mesh: Mesh, host, cut: list[str]) -> None:
    """Send requests over a kept connection; open a new one when it ends."""
    ip, _, port = host.listen('outbound').rpartition(':')
    while True:
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            await asyncio.sleep(0.3)
            continue
        await send_over(mesh, reader, writer, cut)
        writer.close()
        await asyncio.sleep(0.1)


async def send_over(mesh: Mesh, reader, writer, cut: list[str]) -> None:
    answered = 0
    while True:
        request_id = f'{random.getrandbits(64):016x}'
        headers = {
            'Host': 'slips.example',
            'X-Ragwortstand-Request-Id': request_id,
            'X-Ragwortstand-Deadline-Ms': '2000',
        }
        mesh.record(f'sent POST /file/slip id {request_id}, kept connection')
        writer.write(encode('POST /file/slip HTTP/1.1', headers, b'slip'))
        message = await read_message(reader)
        has_run = any(run.request_id == request_id for run in mesh.runs)
        if message is None:
            mesh.record(
                f'connection closed without an answer to id {request_id},'
                f' run: {has_run}'
            )
            if answered and has_run:
                cut.append(request_id)
            return
        mesh.record(f'answered id {request_id}: {message.status}')
        answered += 1
        if message.headers.get('connection') == 'close':
            return
        await asyncio.sleep(0.05)


async def upload(mesh: Mesh, host, number: int) -> None:
    request_id = f'{random.getrandbits(64):016x}'
    mesh.record(f'sent POST /file/upload id {request_id}: {UPLOAD_BYTES} bytes')
    answer = await exchange(
        host.listen('outbound'),
        'POST /file/upload HTTP/1.1',
        {
            'Host': 'slips.example',
            'X-Ragwortstand-Request-Id': request_id,
            'X-Ragwortstand-Deadline-Ms': '2000',
        },
        bytes(UPLOAD_BYTES),
        5.0,
    )
    status = answer.status if answer else 'nothing'
    mesh.record(f'answered id {request_id}: {status}')


async def case(mesh: Mesh) -> bool:
    mesh.max_body_bytes = MAX_BODY_BYTES
    await mesh.start(SERVICES, ROUTES)
    host = mesh.hosts[0]
    for one in mesh.hosts:
        one.worker.work_s = 0.3
    cut: list[str] = []
    peaks: dict[str, int] = {}
    mesh.spawn(limit_memory(mesh, peaks))
    for one in mesh.hosts:
        for _ in range(CLIENTS):
            mesh.spawn(keep_sending(mesh, one, cut))
    await asyncio.sleep(3.0)
    if not mesh.runs or cut:
        raise SetupError('requests over kept connections are not served')
    for _ in range(3):
        uploads = [upload(mesh, host, number) for number in range(UPLOADS)]
        await asyncio.gather(*uploads)
        await asyncio.sleep(5.0)
    for name, size in peaks.items():
        mesh.record(f'{name} had at most {size >> 20} MiB')
    mesh.record(
        f'{len(cut)} requests from kept connections were passed on to a worker,'
        ' and the connection closed without an answer; more than three break'
        ' LOST'
    )
    return len(cut) > 3


main(FOLDER, case)
