"""Case 2: a long request is never answered when its backend hangs, as its time never begins to run.

Two of six backends hang, those that have served most: they accept connections and read nothing more. Clients send
requests with bodies of some MB and wait. A request counts as taken once its client has written the last byte.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import SETTINGS, Agent, Backend, Case, Client, free_port, main, read_body, read_head, request

BACKENDS, HANGING = 6, 2
BUDGET = 2.4  # seconds
LATE = 0.5  # seconds after its time within which an answer only earns nothing
WAIT = 20.0  # seconds that clients wait for an answer, from the last byte
SIZES = (5, 6, 7, 8)  # MiB: the system takes some MB itself, before and behind the proxy
REQUESTS = 40
WARM_UP = 40  # short requests before, so that the proxy knows all backends


class HangingBackend(Backend):
    """A backend that may hang: its machine takes connections and some bytes, and its process reads nothing more."""

    hangs = False
    _never = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            _, headers = await read_head(reader)
            if self.hangs:
                self.record.write(f"backend {self.host} hangs after the head of {headers['x-call-id']}")
                await self._never.wait()
            await read_body(reader, headers)
            await self.on_request(headers["x-call-id"], writer)


@dataclass
class Sent:
    """A request: when its last byte was written, and its answer."""

    call: str
    written_at: float = 0.0  # 0: it was not written completely
    status: int = 0  # 0: no answer
    seconds: float = 0.0  # from the last byte to the answer


async def send(case: Case, port: int, number: int) -> Sent:
    """Send one long request on a connection of its own."""
    sent = Sent(f"9b1f03aa{number:08x}")
    body = bytes(SIZES[number % len(SIZES)] << 20)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.transport.set_write_buffer_limits(0)  # `drain` returns when the system has taken the last byte
    case.record.write(f"client sends {sent.call} with {len(body)} bytes of body")
    begun = time.monotonic()
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(WAIT):
            writer.write(request(sent.call, "submit", BUDGET, f"5c0f6e1a{number:024x}", body))
            await writer.drain()
            sent.written_at = time.monotonic()
            case.record.write(f"client has written the last byte of {sent.call}")
        async with asyncio.timeout(WAIT):
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            sent.status = int(first.split()[1])
    sent.seconds = time.monotonic() - (sent.written_at or begun)
    case.record.write(f"client got {sent.status or 'no answer'} to {sent.call} within {sent.seconds:.3f} s")
    writer.transport.abort()
    return sent


async def play(case: Case) -> list[str]:
    backends = [HangingBackend(case.record, 0x5BE2A07C + i) for i in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    agent = Agent(list(backends))
    await agent.start()
    port = free_port()
    config = {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{agent.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": [backend.entry() for backend in backends]},
        "settings": SETTINGS,
    }
    path = case.folder / "config.json"
    path.write_text(json.dumps(config))
    await case.start("", LB_CONFIG=str(path))
    await case.until_up(port)
    client = Client(case.record, port, "c")
    for number in range(WARM_UP):
        await client.send(f"{number:016x}", request(f"{number:016x}", "report-view", BUDGET), BUDGET)
    if case.trouble:
        for backend in sorted(backends, key=lambda backend: -len(backend.runs))[:HANGING]:
            backend.hangs = True
            case.record.write(f"backend {backend.host} hangs from now on")
    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(send(case, port, number)))
        await asyncio.sleep(0.1)
    return [
        f"{sent.call} has no answer {sent.seconds:.1f} s after its last byte; its time was {BUDGET} s"
        if not sent.status
        else f"{sent.call} was answered with {sent.status} {sent.seconds:.1f} s after its last byte"
        for sent in await asyncio.gather(*tasks)
        if sent.written_at and sent.seconds > BUDGET + LATE
    ]


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
