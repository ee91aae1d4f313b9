"""Discovery is asked, and each call takes it 3.5 s: a backend drains, and the change has to reach the proxy.

Discovery can be reached all the time and answers every call that waits for it. A quiet time lies between the start
and the drain, in which all calls take as long.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from rig_2 import TROUBLE, Backend, Client, Discovery, Record, main, now, request_bytes, settings, start_proxy

FOLDER = Path(__file__).resolve().parent
BACKENDS = 8
DRAINED = 2  # "a quarter of the backends begin to drain"
CALL = 3.5  # seconds that discovery works on a call
TOLD_WITHIN = 6.0  # "at the latest 6 s after discovery had it and could be reached"
GRACE = 0.5 + 0.05  # Rules.DrainGrace, and 50 ms on sockets


async def case(scratch: Path, record: Record) -> bool:
    backends = [Backend(f"s-5be2a0{number:02x}", record) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    discovery.delay = CALL if TROUBLE else 0.0
    await discovery.start()
    proxy = await start_proxy(scratch, record, discovery, settings=settings(RegistryMode="on_request"))
    over = asyncio.Event()

    async def usual(line: int) -> None:
        client: Client | None = None
        count = 0
        while not over.is_set():
            count += 1
            try:
                client = client or await Client.connect(proxy.port)
                await client.send(request_bytes(f"u{line}-{count}", 2.0))
            except (OSError, asyncio.IncompleteReadError):
                client = None
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(usual(line)) for line in range(3)]
    await asyncio.sleep(12.0)
    drained = backends[:DRAINED]
    for backend in drained:
        backend.health = "terminating"
        record(f"backend {backend.host} begins to drain; discovery has it and can be reached")
    discovery.change(*drained)
    told = now() + TOLD_WITHIN
    await asyncio.sleep(20.0)
    over.set()
    await asyncio.gather(*tasks)
    late = [run for backend in drained for run in backend.runs if run.at > told + GRACE]
    for run in late:
        record(f"LATE: {run.call_id} goes to {run.backend.host}, {run.at - told:.3f} s after it counts as told")
    record(f"{len(late)} requests were sent to draining backends after the grace")
    record(f"discovery got {len(discovery.calls)} calls, of which the proxy gave up {len(discovery.ended_calls)}")
    return not late


main(case, FOLDER)
