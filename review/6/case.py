"""Two of five instances with takeover are killed while long requests wait at backends that then turn them away.

After a quiet start half of the backends are overloaded: each holds a request in its queue for a while and turns it
away. The others run what they get. Clients write their request in two parts. Whatever happens, a backend that runs a
request has to get its body.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig_2 import (
    TROUBLE,
    Backend,
    Client,
    CouldNotRun,
    Discovery,
    Fleet,
    Received,
    Record,
    main,
    now,
    request_bytes,
    settings,
)

FOLDER = Path(__file__).resolve().parent
INSTANCES, KILLED = 5, 2  # "as many as 44% of the proxies may die"
OVERLOADED, SOUND = 8, 7  # backends
WORK = 0.03  # seconds that a backend works on a request
QUEUED = 0.4  # seconds that an overloaded backend holds a request before it turns it away
CLIENTS = 80  # half of them at each instance that is killed
BODY = 150_000  # bytes
BUDGET = 2.4  # seconds
VIEWS = 40  # requests at each instance before
KILLED_AT = 0.6  # seconds after the requests; their second attempts wait at backends then


async def case(scratch: Path, record: Record) -> bool:
    overload = asyncio.Event()

    async def turn_away(received: Received) -> None:
        if not overload.is_set():
            await asyncio.sleep(WORK)
            await received.answer()
            return
        await asyncio.sleep(QUEUED)
        record(f"backend {received.backend.host} turns {received.call_id} away, it has not run")
        await received.answer(b"", "503 Service Unavailable", "X-Rejected: 1\r\n")

    overloaded = [Backend(f"s-5be2a0{number:02x}", record, handler=turn_away) for number in range(OVERLOADED)]
    sound = [Backend(f"s-7f13c0{number:02x}", record, work=WORK) for number in range(SOUND)]
    for backend in overloaded + sound:
        await backend.start()
    discovery = Discovery(record, overloaded + sound)
    await discovery.start()
    fleet = Fleet(scratch, record, discovery, settings(), "[takeover]")
    names = [f"intake-{number}" for number in range(INSTANCES)]
    await fleet.start(names)
    statuses: dict[str, int] = {}

    async def submit(number: int) -> None:
        call_id = f"c{number}"
        data = request_bytes(call_id, BUDGET, keyed=True, body=f"{call_id};".encode().ljust(BODY, b"."))
        client = await Client.connect(fleet.ports[names[number % KILLED]])
        try:
            client.writer.write(data[: BODY // 2])
            await asyncio.sleep(0.03)
            client.writer.write(data[BODY // 2 :])
            statuses[call_id] = (await asyncio.wait_for(client.read(), BUDGET + 0.55)).status
            record(f"client: {call_id} with {BODY} bytes gets {statuses[call_id]}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            record(f"client: {call_id} has no answer: {error!r}")
        client.close()

    async def view(number: int, name: str) -> None:
        client = await Client.connect(fleet.ports[name])
        await client.send(request_bytes(f"{name}-{number}", BUDGET))
        client.close()

    for number in range(VIEWS):
        await asyncio.gather(*(view(number, name) for name in names))
    overload.set()
    record(f"{OVERLOADED} backends are overloaded")
    began = now()
    tasks = [asyncio.create_task(submit(number)) for number in range(CLIENTS)]
    await asyncio.sleep(began + KILLED_AT - now())
    if TROUBLE:
        for name in names[:KILLED]:
            fleet.kill(name)
    await asyncio.gather(*tasks)
    if not statuses:
        raise CouldNotRun("no request was answered")
    wrong = [
        run
        for backend in sound
        for run in backend.runs
        if run.call_id in statuses and run.message.body != f"{run.call_id};".encode().ljust(BODY, b".")
    ]
    for run in wrong:
        record(
            f"RAN WITH ANOTHER BODY: {run.call_id} at {run.backend.host}, {len(run.message.body)} bytes of {BODY}; "
            f"its client got {statuses.get(run.call_id)}"
        )
    served = sum(statuses.get(run.call_id) == 200 for run in wrong)
    record(f"{len(wrong)} requests ran without the body that was sent, {served} of them were answered with 200")
    return not wrong


main(case, FOLDER)
