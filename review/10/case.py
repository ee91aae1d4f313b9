"""Six in ten of 3,200 backends are replaced within 7 s; discovery tells each change in a message of its own.

The usual clients are few: 8 connections with 4 requests a second each. Each waits for its time, the half second in
which an answer only earns nothing, and the 50 ms by which each limit is longer on sockets.
"""

from __future__ import annotations

import asyncio
import resource
import time
from pathlib import Path

from rig_2 import TROUBLE, Backend, Client, CouldNotRun, Discovery, Record, main, now, request_bytes, start_proxy

FOLDER = Path(__file__).resolve().parent
BACKENDS = 3200  # "3,200 at most"
SHARE = 0.6  # "six in ten backends are replaced"
SPAN = 7.0  # "within 7 s"
DRAIN = 1.0  # seconds from the begin of a drain to the end of the backend
CLIENTS = 8
BUDGET = 1.25
LATEST = BUDGET + 0.5 + 0.05


async def case(scratch: Path, record: Record) -> bool:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = BACKENDS + 800
    if soft < needed:
        if hard != resource.RLIM_INFINITY and hard < needed:
            raise CouldNotRun(f"this process may hold {hard} descriptors, the stand-ins need {needed}")
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
    quiet = Record.silent()
    backends = [
        Backend(f"s-{0x5B000000 + number:08x}", quiet, site=("kigali", "huye")[number % 2])
        for number in range(BACKENDS)
    ]
    for backend in backends:
        await backend.start(any_port=True)
    record(f"{BACKENDS} backends listen")
    discovery = Discovery(record, backends)
    await discovery.start()
    proxy = await start_proxy(scratch, record, discovery)
    ends: dict[str, str] = {}
    over = asyncio.Event()
    lag = 0.0

    async def usual(number: int) -> None:
        client: Client | None = None
        count = 0
        while not over.is_set():
            count += 1
            call_id = f"u{number}-{count}"
            if client is None:
                client = await Client.connect(proxy.port)
            sent = now()
            try:
                answer = await asyncio.wait_for(client.send(request_bytes(call_id, BUDGET)), LATEST)
                ends[call_id] = "answered"
                record(f"client: {call_id} is answered with {answer.status} after {now() - sent:.3f} s")
            except TimeoutError:
                ends[call_id] = "lost"
                record(f"client: {call_id} HAS NO ANSWER {now() - sent:.3f} s after its last byte")
                client.close()
                client = None
            except (OSError, asyncio.IncompleteReadError) as error:
                ends[call_id] = "closed"
                record(f"client: {call_id}: its connection ended without an answer: {error!r}")
                client.close()
                client = None
            await asyncio.sleep(0.25)

    async def measure_lag() -> None:
        """How late the stand-ins themselves are; they must not be taken for the proxy."""
        nonlocal lag
        while not over.is_set():
            before = now()
            await asyncio.sleep(0.01)
            lag = max(lag, now() - before - 0.01)

    async def replace(index: int) -> None:
        """A backend drains and ends; a new one, with a new id, starts at its address."""
        old = backends[index]
        old.health = "terminating"
        discovery.change(old)
        await asyncio.sleep(DRAIN)
        old.health = "terminated"
        discovery.change(old)
        new = Backend(f"s-{0x6C000000 + index:08x}", quiet, site=old.site, born_ms=int(time.time() * 1000))
        new.port = old.port
        backends[index] = discovery.backends[index] = new
        discovery.change(new)

    tasks = [asyncio.create_task(usual(number)) for number in range(CLIENTS)]
    tasks.append(asyncio.create_task(measure_lag()))
    await asyncio.sleep(4.0)
    count, began = int(BACKENDS * SHARE), now()
    replaced = []
    if TROUBLE:
        record(f"{count} of {BACKENDS} backends are replaced in {SPAN} s")
        for index in range(count):
            replaced.append(asyncio.create_task(replace(index)))
            await asyncio.sleep(max(0.0, began + (index + 1) * SPAN / count - now()))
        await asyncio.gather(*replaced)
        record(f"all are replaced after {now() - began:.1f} s, discovery is at version {discovery.seq}")
    await asyncio.sleep(max(0.0, began + 25.0 - now()))
    over.set()
    await asyncio.gather(*tasks)
    counts = {end: list(ends.values()).count(end) for end in sorted(set(ends.values()))}
    record(f"usual clients: {counts}; the stand-ins were late by {lag:.3f} s at most")
    if lag > 0.4:
        raise CouldNotRun("the stand-ins were too late to judge by")
    return counts.get("lost", 0) + counts.get("closed", 0) == 0


main(case, FOLDER)
