"""A process that is stopped for a while does not blame its peers for it."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest
from rig import PEER_TIMEOUT, Backend, Caller, Message, Writer, reply, request, rig
from test_process import connect, proxy_process
from test_proxy import run

from cometusher import backends as backends_module

STOP_TIME = 2.6  # seconds: above the limits on heads and on bodies without a byte
PIECE_INTERVAL = 0.1  # seconds


async def answer_with_length(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=b"%d" % len(seen.body)))


async def send_in_pieces(caller: Caller, data: bytes, piece_count: int) -> int:
    """Send a request in pieces, one after the other; return the status of the answer."""
    size = -(-len(data) // piece_count)
    for start in range(0, len(data), size):
        caller.writer.write(data[start : start + size])
        await caller.writer.drain()
        await asyncio.sleep(PIECE_INTERVAL)
    return (await caller.answer())[0]


@pytest.mark.parametrize(
    ("body_length", "padding"), [(400_000, 0), (30_000, 0), (0, 4_000)], ids=["long body", "short body", "head"]
)
def test_caller_that_sends_while_the_process_is_stopped_is_served(
    tmp_path: Path, body_length: int, padding: int
) -> None:
    """Guards against a 408 for a sound caller whose bytes wait in the system while the process does not run."""

    async def test() -> None:
        backend = Backend(1, answer_with_length)
        await backend.start()
        async with proxy_process(tmp_path, [backend.discovery_entry()]) as (process, port):
            data = request(
                kind="submit" if body_length else "view",
                body=b"x" * body_length,
                extra=tuple(b"X-Padding-%d: %s" % (i, b"x" * 100) for i in range(padding // 100)),
            )
            caller = await connect(port)
            answer = asyncio.create_task(send_in_pieces(caller, data, 12))
            await asyncio.sleep(3 * PIECE_INTERVAL)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(STOP_TIME)
            process.send_signal(signal.SIGCONT)
            assert await asyncio.wait_for(answer, PEER_TIMEOUT) == 200
        await backend.stop()

    run(test)


def test_streamed_answer_survives_a_stop_of_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a sound stream that is cut off, as a stop of the process counts as its backend's silence."""
    monkeypatch.setattr(backends_module, "STREAM_STALL_TIMEOUT", 0.6)
    length = 200_000

    async def pause_around_a_stop(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + b"x" * (length // 2))
        await asyncio.sleep(0.2)
        time.sleep(0.9)  # stops the proxy, which runs in the same process
        await asyncio.sleep(0.25)
        writer.write(b"x" * (length // 2))

    async def test() -> None:
        async with rig(pause_around_a_stop) as r:
            status, seen = await r.call()
            assert (status, len(seen.body)) == (200, length)

    run(test)
