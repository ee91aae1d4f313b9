"""The memory that peers can make a proxy use, whatever they send, and however slowly they read."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from pathlib import Path

import pytest
from rig import Backend, Message, Writer, reply, request, rig, serve_ok, until
from test_process import connect, proxy_process
from test_proxy import run

from cometusher.bounded_read import READ_BYTES
from cometusher.budget import IDLE_PROCESS_MB
from cometusher.callers import CallerConnection
from cometusher.http1 import MAX_FIELDS


def test_incomplete_heads_share_the_memory_budget() -> None:
    """Guards against hundreds of heads of short fields that take more memory than the process may have."""

    async def test() -> None:
        async with rig(serve_ok, sockets=512, memory_mb=1) as r:
            fields = b"".join(b"x-%d: %b\r\n" % (n, b"y" * 80) for n in range(MAX_FIELDS - 1))
            callers = [await r.caller() for _ in range(150)]
            for caller in callers:
                caller.writer.write(b"GET /api HTTP/1.1\r\n" + fields)
            await until(lambda: r.proxy.callers.count() < 150)
            memory = r.proxy.memory
            assert 0 < memory.used <= memory.limit
            assert r.proxy.callers.count() >= 50, "the first ones may go on"
            for caller in callers:
                caller.abort()
            await until(lambda: memory.used == 0)
            assert (await r.call())[0] == 200

    run(test)


def test_reads_are_bounded_and_tiny_chunks_are_passed_on_together(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a caller that takes the event loop for as long as its socket holds data."""
    reads: list[int] = []
    pieces: list[int] = []
    data_received = CallerConnection.data_received

    def record_read(caller: CallerConnection, data: bytes) -> None:
        reads.append(len(data))
        data_received(caller, data)

    async def test() -> None:
        async with rig(serve_ok) as r:
            with monkeypatch.context() as patch:
                patch.setattr(CallerConnection, "data_received", record_read)
                patch.setattr("cometusher.stream.BodyStream.feed", lambda stream, piece: pieces.append(len(piece)))
                caller = await r.caller()
                caller.writer.write(request(kind="submit", extra=(b"Transfer-Encoding: chunked",)))
                caller.writer.write(b"1\r\nx\r\n" * 100_000)
                await until(lambda: sum(pieces) >= 30_000)
                caller.abort()
                await until(lambda: r.proxy.callers.count() == 0)
            assert max(reads) <= READ_BYTES
            assert len(pieces) <= len(reads)

    run(test)


@pytest.mark.parametrize("fields", [MAX_FIELDS + 1, 450])
def test_head_of_very_many_fields_is_rejected(fields: int) -> None:
    """Guards against fields that take many times the memory of their bytes."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            status, _ = await r.call(extra=(b"a:b",) * fields)
            assert status == 431 and not r.seen

    run(test)


def test_connections_between_requests_hold_no_head() -> None:
    """Guards against resting connections that keep the fields of their last request or answer."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            assert (await caller.call(extra=(b"x-long: " + b"y" * 8000,)))[0] == 200
            await asyncio.sleep(0)
            (connection,) = r.proxy.callers._connections
            (kept,) = r.proxy.backends._idle
            assert connection._parser._headers == [] == kept._parser._headers

    run(test)


LONG_ANSWER = 5_000_000  # bytes
CLIENTS = 450
PRESSURE_SECONDS = 3.0


async def answer_long(backend: Backend, seen: Message, writer: Writer) -> None:
    """Writes a long answer to the requests that ask for one."""
    if seen.headers[b"x-call-class"] != b"submit":
        writer.write(reply(200, b"short"))
        return
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_ANSWER)
    for _ in range(LONG_ANSWER // 50_000):
        writer.write(b"x" * 50_000)
        await writer.drain()


async def press(port: int, number: int, over: asyncio.Event) -> None:
    """Takes what memory it can, on one connection at a time: fields, half a body, or an answer that is not read."""
    key = b"Idempotency-Key: %d" % number
    while not over.is_set():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4096)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        if number % 3 == 0:
            writer.write(request(extra=(b"a:b",) * 450))
        elif number % 3 == 1:
            writer.write(request(kind="submit", request_id=str(number), extra=(b"Content-Length: 1000000",)))
            writer.write(b"x" * 500_000)
        else:
            writer.write(request(kind="submit", request_id=str(number)).replace(b"Idempotency-Key: k1", key))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(over.wait(), PRESSURE_SECONDS)
        with contextlib.suppress(OSError, TimeoutError):
            await asyncio.wait_for(reader.read(200), PRESSURE_SECONDS)
        writer.close()
        await asyncio.sleep(0.02)


def memory_kb(pid: int, name: str) -> int:
    """A figure of the system's on a process's memory."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(next(line.split()[1] for line in status.splitlines() if line.startswith(name + ":")))


def test_process_stays_under_the_least_memory_that_may_be_set(tmp_path: Path) -> None:
    """Guards against a process that is killed, as hundreds of clients each make it hold something."""
    limits = {"memory_mb": 32, "sockets": 1024}

    async def test() -> None:
        backends = [Backend(number, answer_long) for number in (1, 2)]
        for backend in backends:
            await backend.start()
        hosts = [backend.discovery_entry() for backend in backends]
        async with proxy_process(tmp_path, hosts, limits=limits) as (process, port):
            idle = memory_kb(process.pid, "VmRSS")
            over = asyncio.Event()
            clients = [asyncio.create_task(press(port, number, over)) for number in range(CLIENTS)]
            await asyncio.sleep(PRESSURE_SECONDS)
            peak = memory_kb(process.pid, "VmHWM")
            over.set()
            await asyncio.gather(*clients, return_exceptions=True)
            assert process.returncode is None
            assert peak - idle <= (limits["memory_mb"] - IDLE_PROCESS_MB) * 1024
            usual = await connect(port)
            assert (await usual.call(request_id="usual"))[0] == 200
        for backend in backends:
            await backend.stop()

    run(test)
