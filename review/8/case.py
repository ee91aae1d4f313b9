"""Clients that send X-Caller twice, again as soon as they are turned away: what the proxy needs must stay bounded.

The platform's part is that of the deployment page: it reads the memory of the process, and kills it over `memory_mb`.
Only memory that the process has written to is counted, not the files that it maps.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from rig_2 import TROUBLE, Backend, Client, CouldNotRun, Discovery, Record, main, now, request_bytes, start_proxy

FOLDER = Path(__file__).resolve().parent
MEMORY_MB = 128  # "32 to 192 MB by language and day"
SENDERS = 24  # connections of the clients in question, one request at a time on each
SECONDS = 90.0 if TROUBLE else 25.0
COOKIE = "Cookie: obj=" + "7" * 12000  # a long head, within the 16 KiB that the proxy reads


async def case(scratch: Path, record: Record) -> bool:
    quiet = Record.silent()
    backends = [Backend(f"s-5be2a0{number:02x}", quiet, work=0.005) for number in range(4)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    proxy = await start_proxy(
        scratch, record, discovery, limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    )
    counts = {"sent": 0, "answered": 0, "closed": 0, "sound sent": 0, "sound served": 0}
    over = asyncio.Event()

    async def sender(number: int) -> None:
        """Sends, reads what comes, and sends again as soon as it is answered or turned away."""
        extra = ("X-Caller: poly-east", COOKIE) if TROUBLE else (COOKIE,)
        while not over.is_set():
            counts["sent"] += 1
            call_id = f"t{number}-{counts['sent']}"
            try:
                client = await Client.connect(proxy.port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                await client.send(request_bytes(call_id, 1.0, headers=extra))
                counts["answered"] += 1
            except (OSError, asyncio.IncompleteReadError):
                counts["closed"] += 1
            finally:
                client.close()

    async def sound() -> None:
        """A usual client beside them."""
        while not over.is_set():
            counts["sound sent"] += 1
            try:
                client = await Client.connect(proxy.port)
                answer = await client.send(request_bytes(f"u{counts['sound sent']}", 3.0))
                counts["sound served"] += answer.status == 200
                client.close()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.2)

    start_kb = proxy.memory_kb("RssAnon")
    if not start_kb:
        raise CouldNotRun("the memory of the process can't be read")
    tasks = [asyncio.create_task(sender(number)) for number in range(SENDERS)] + [asyncio.create_task(sound())]
    until, peak_kb, report_at = now() + SECONDS, start_kb, 0.0
    while now() < until and peak_kb <= MEMORY_MB * 1024:
        await asyncio.sleep(0.1)
        peak_kb = max(peak_kb, proxy.memory_kb("RssAnon"))
        if now() >= report_at:
            report_at = now() + 2.0
            record(f"memory {peak_kb} kB of {MEMORY_MB * 1024} kB; {counts}")
    over.set()
    held = peak_kb <= MEMORY_MB * 1024
    record(f"memory rose from {start_kb} kB to {peak_kb} kB; the limit is {MEMORY_MB * 1024} kB; {counts}")
    if not held:
        record("the process is over its limit: the platform kills it")
        proxy.signal(signal.SIGKILL)
    await asyncio.gather(*tasks)
    return held


main(case, FOLDER)
