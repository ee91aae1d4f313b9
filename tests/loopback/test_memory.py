"""The memory that peers can make a proxy use, whatever they send, and however slowly they read."""

from __future__ import annotations

import asyncio

import pytest
from rig import request, rig, serve_ok, until
from test_proxy import run

from cometusher.bounded_read import READ_BYTES
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
