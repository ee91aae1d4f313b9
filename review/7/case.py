"""An instance of a fleet with takeover is killed while backends run long requests that are unsafe to repeat.

Each client sends one document. It sends it again, as a new request with a new id, only if it was refused: a refusal
tells it that trying again is harmless. The documents are 66, 90 and 120 KB long.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig_2 import TROUBLE, Backend, Client, CouldNotRun, Discovery, Fleet, Record, main, now, settings

FOLDER = Path(__file__).resolve().parent
INSTANCES = 4  # one of four is killed; "as many as 44% of the proxies may die"
CLIENTS = 12
BODIES = 66_000, 90_000, 120_000  # bytes: above 64 KiB, and no more than one read takes
BUDGET = 2.4  # seconds
WORK = 0.8  # seconds that a backend works on a request


def request(call_id: str, document: str) -> bytes:
    body = f"{document};".encode().ljust(BODIES[int(document.split("-")[1]) % len(BODIES)], b".")
    lines = ["POST /api HTTP/1.1", "Host: backend.local", f"X-Call-Id: {call_id}", "X-Call-Class: submit"]
    lines += ["X-Caller: univ-central", f"X-Budget: {BUDGET * 1000:.0f}m", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def case(scratch: Path, record: Record) -> bool:
    backends = [Backend(f"s-5be2a0{number:02x}", record, work=WORK) for number in range(6)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    values = settings()
    # For this customer a submission is unsafe to repeat.
    values["Services"][1] = {"Name": "submit", "Aim": 1.0, "HardLimit": 2.5, "Repeat": "fragile", "Credit": 8.0}
    fleet = Fleet(scratch, record, discovery, values, "[takeover]")
    names = [f"intake-{number}" for number in range(INSTANCES)]
    await fleet.start(names)
    statuses: dict[str, int] = {}

    async def send(call_id: str, document: str, name: str) -> int:
        """Sends one request; returns its status, or 0 if no whole answer came."""
        client = await Client.connect(fleet.ports[name])
        record(f"client: {call_id} with {document} to {name}")
        status = 0
        try:
            status = (await asyncio.wait_for(client.send(request(call_id, document)), BUDGET + 0.55)).status
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            record(f"client: {call_id} has no answer: {error!r}")
        client.close()
        record(f"client: {call_id} gets {status}")
        statuses[call_id] = status
        return status

    async def submit(number: int) -> None:
        document = f"document-{number}"
        if await send(f"first-{number}", document, names[0]) in (429, 503):
            await asyncio.sleep(0.2)
            await send(f"again-{number}", document, names[1])

    tasks = [asyncio.create_task(submit(number)) for number in range(CLIENTS)]
    until = now() + 2.0
    while sum(len(backend.runs) for backend in backends) < CLIENTS and now() < until:
        await asyncio.sleep(0.01)
    if not any(backend.runs for backend in backends):
        raise CouldNotRun("no request runs")
    await asyncio.sleep(0.2)
    if TROUBLE:
        fleet.kill(names[0])
    await asyncio.gather(*tasks)
    runs = [run for backend in backends for run in backend.runs]
    refused = [run.call_id for run in runs if statuses.get(run.call_id) in (429, 503)]
    documents = [run.message.body.split(b";")[0].decode() for run in runs]
    twice = sorted({document for document in documents if documents.count(document) > 1})
    for call_id in refused:
        record(f"REFUSED, AND RAN: {call_id}")
    for document in twice:
        record(f"RAN TWICE: {document}")
    record(f"{len(refused)} requests were refused and ran, {len(twice)} documents ran twice")
    return not refused and not twice


main(case, FOLDER)
