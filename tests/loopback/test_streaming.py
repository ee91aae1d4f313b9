"""Streaming of bodies and answers above 64 KiB: bounded memory, back-pressure, visible failures."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import socket
import struct
from random import Random
from typing import Any

import pytest
from rig import PEER_TIMEOUT, Backend, Caller, Message, Reader, Rig, Writer, reply, request, rig, serve_ok, until
from test_proxy import run

from cometusher import backends as backends_module
from cometusher import callers as callers_module
from standins.messages import read_message
from weldroute import Outcome

LARGE = 3 * 1024 * 1024
BODY = Random(5).randbytes(LARGE)
DIGEST = hashlib.sha256(BODY).hexdigest().encode()


async def answer_with_digest(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=hashlib.sha256(seen.body).hexdigest().encode()))


async def large_answer(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=BODY))
    await writer.drain()


async def large_chunked_answer(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for start in range(0, LARGE, 50_000):
        piece = BODY[start : start + 50_000]
        writer.write(b"%x;ext=1\r\n%b\r\n" % (len(piece), piece))
        await writer.drain()
    writer.write(b"0\r\nX-Trailer: 1\r\n\r\n")


async def large_answer_until_close(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + BODY)
    await writer.drain()
    writer.close()


def record_outcomes(monkeypatch: pytest.MonkeyPatch) -> list[Outcome]:
    reported: list[Outcome] = []
    original = backends_module.Backends.finish

    def finish(self: Any, attempt: Any, outcome: Outcome, response: Any, reason: str) -> None:
        reported.append(outcome)
        original(self, attempt, outcome, response, reason)

    monkeypatch.setattr(backends_module.Backends, "finish", finish)
    return reported


@pytest.mark.parametrize("script", [large_answer, large_chunked_answer, large_answer_until_close])
def test_large_answer_is_forwarded_unchanged(script: Any) -> None:
    async def test() -> None:
        async with rig(script) as r:
            caller = await r.caller()
            for rid in ("1", "2"):
                status, seen = await caller.call(request_id=rid)
                assert status == 200 and hashlib.sha256(seen.body).hexdigest().encode() == DIGEST
            await until(lambda: r.proxy.open_requests == 0)

    run(test)


def test_http_1_0_caller_gets_an_answer_of_unknown_length_until_close() -> None:
    async def test() -> None:
        async with rig(large_chunked_answer) as r:
            caller = await r.caller()
            caller.writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            got = await caller.read_to_end()
            head, _, body = got.partition(b"\r\n\r\n")
            assert b"chunked" not in head and body == BODY

    run(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_large_request_body_is_forwarded_unchanged(chunked: bool) -> None:
    async def test() -> None:
        async with rig(answer_with_digest) as r:
            caller = await r.caller()
            for rid in ("1", "2"):
                if chunked:
                    head = request(kind="submit", request_id=rid, extra=(b"Transfer-Encoding: chunked",))
                    pieces = [BODY[start : start + 70_001] for start in range(0, LARGE, 70_001)]
                    caller.writer.write(head + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n")
                else:
                    caller.writer.write(request(kind="submit", request_id=rid, body=BODY))
                status, seen = await caller.answer()
                assert (status, seen.body) == (200, DIGEST)
            assert r.proxy.memory.used == 0

    run(test)


def test_body_beyond_the_limit_is_rejected_at_its_head_or_at_the_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cometusher.http1.MAX_STREAM", 1024 * 1024)

    async def test() -> None:
        async with rig(answer_with_digest) as r:
            announced = await r.caller()
            announced.writer.write(request(kind="submit", extra=(b"Content-Length: 1048577",)))
            assert (await announced.answer())[0] == 413
            crossed = await r.caller()
            crossed.writer.write(request(kind="submit", extra=(b"Transfer-Encoding: chunked",)))
            for _ in range(40):
                crossed.writer.write(b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
            assert (await crossed.answer())[0] == 413
            await until(lambda: r.proxy.open_requests == 0 and r.proxy.memory.used == 0)
            assert not r.seen

    run(test)


def test_broken_streamed_answer_is_aborted_and_never_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    reported = record_outcomes(monkeypatch)

    async def breaks(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(reply(body=BODY)[: LARGE // 2])
        await writer.drain()
        writer.transport.abort()

    async def test() -> None:
        async with rig(breaks, breaks) as r:
            caller = await r.caller()
            caller.writer.write(request())
            got = await caller.read_to_end()
            assert len(got) < LARGE and len(r.seen) == 1
            assert reported == [Outcome.BROKEN]

    run(test)


def test_first_bytes_of_an_answer_are_forwarded_before_the_rest_arrives() -> None:
    go = asyncio.Event()

    async def halts(backend: Backend, seen: Message, writer: Writer) -> None:
        data = reply(body=BODY)
        writer.write(data[:2000])
        await go.wait()
        writer.write(data[2000:])

    async def test() -> None:
        async with rig(halts) as r:
            caller = await r.caller()
            caller.writer.write(request(budget="300m"))
            head = await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), PEER_TIMEOUT)
            assert b" 200 " in head and len(await caller.reader.read(100)) == 100
            await asyncio.sleep(0.4)  # beyond the caller's budget, which doesn't cut a streamed answer
            go.set()
            rest = await asyncio.wait_for(caller.reader.readexactly(LARGE - 100), PEER_TIMEOUT)
            assert rest == BODY[100:]

    run(test)


def test_slow_reader_slows_its_backend_and_uses_bounded_memory() -> None:
    written: list[int] = []

    async def endless(backend: Backend, seen: Message, writer: Writer) -> None:
        total = 32 * 1024 * 1024
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total)
        sent = 0
        while sent < total:
            writer.write(b"x" * 65536)
            await writer.drain()
            sent += 65536
            written.append(sent)

    async def test() -> None:
        async with rig(endless) as r:
            caller = await r.caller()
            caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
            caller.writer.write(request())
            last = -1
            async with asyncio.timeout(PEER_TIMEOUT):
                while not written or written[-1] != last:  # until the backend makes no progress
                    last = written[-1] if written else -1
                    await asyncio.sleep(0.3)
            assert last < 30 * 1024 * 1024
            held = [c._transport.get_write_buffer_size() for c in r.proxy.callers._connections if c._transport]
            assert sum(held) <= 512 * 1024

    run(test)


def test_disconnect_of_the_caller_ends_the_transfer() -> None:
    async def test() -> None:
        async with rig(large_answer) as r:
            caller = await r.caller()
            caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
            caller.writer.write(request())
            await until(lambda: bool(r.seen))
            caller.abort()
            await until(lambda: r.proxy.open_requests == 0)
            assert r.proxy.backends.counts() == (0, 0) or r.proxy.backends.counts()[0] == 0

    run(test)


def test_truncated_request_body_never_runs_and_leaves_no_state() -> None:
    async def test() -> None:
        async with rig(answer_with_digest) as r:
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=BODY)[: LARGE // 2])
            await until(lambda: r.proxy.open_requests == 1)
            caller.abort()
            await until(lambda: r.proxy.open_requests == 0 and r.proxy.memory.used == 0)
            assert not r.seen and (await r.call(request_id="2"))[0] == 200

    run(test)


def test_report_counts_the_bodies_that_are_held_back(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Without the count, a request that waits for its backend can't be told from one whose caller is slow."""
    monkeypatch.setattr("cometusher.proxy.REPORT_INTERVAL", 0.05)

    async def test() -> None:
        async with rig(serve_ok) as r:
            hangs = asyncio.Event()

            async def read_nothing(reader: Reader, writer: Writer) -> None:
                await hangs.wait()
                writer.transport.abort()

            port = r.backends[0].port
            await r.backends[0].stop()
            r.backends[0]._server = await asyncio.start_server(read_nothing, "127.0.0.1", port, limit=2**16)
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=bytes(16 * 1024 * 1024)))
            try:
                await until(lambda: "1 bodies held back" in caplog.text)
            finally:
                hangs.set()
            await until(lambda: r.proxy.callers.paused_body_count == 0)

    with caplog.at_level(logging.INFO):
        run(test)


async def send_body_to(r: Rig, reads: Any, chunked: bool, budget: str, size: int = 16 * 1024 * 1024) -> Caller:
    """Send a long body to a proxy whose only backend reads as `reads` does; returns once it is held back."""

    async def serve(reader: Reader, writer: Writer) -> None:
        try:
            await reads(reader)
        finally:
            writer.transport.abort()

    port = r.backends[0].port
    await r.backends[0].stop()
    r.backends[0]._server = await asyncio.start_server(serve, "127.0.0.1", port, limit=2**16)
    caller = await r.caller()
    if chunked:
        head = request(kind="submit", budget=budget, extra=(b"Transfer-Encoding: chunked",))
        caller.writer.write(head + (b"100000\r\n" + bytes(0x100000) + b"\r\n") * (size >> 20) + b"0\r\n\r\n")
    else:
        caller.writer.write(request(kind="submit", budget=budget, body=bytes(size)))
    await until(lambda: r.proxy.callers.paused_body_count == 1)
    return caller


async def read_nothing(reader: Reader) -> None:
    await asyncio.sleep(PEER_TIMEOUT)


async def read_slowly(reader: Reader) -> None:
    while await reader.read(32 * 1024):
        await asyncio.sleep(0.02)


LATE = 0.5  # seconds after its time within which an answer only earns nothing


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("reads", [read_nothing, read_slowly])
def test_long_request_is_answered_in_time_when_its_backend_does_not_read_it(reads: Any, chunked: bool) -> None:
    """Guards against a request without an answer: its last byte waits unread, so its time never began (review/2)."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await send_body_to(r, reads, chunked, "700m")
            async with asyncio.timeout(0.7 + LATE):
                status, _ = await caller.answer()
            assert status == 503  # it never ran
            await until(lambda: r.proxy.open_requests == 0 and r.proxy.memory.used == 0)

    run(test)


def test_drain_ends_in_time_while_a_backend_hangs_in_a_long_request() -> None:
    """Guards against a process that SIGTERM does not end, and a request that SIGKILL finds unanswered (review/2)."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            for number in range(20):  # so that the drain's end comes before that of the long request
                await r.call(kind="submit", budget="300m", request_id=f"a{number}")
            caller = await send_body_to(r, read_nothing, False, "3000m")
            async with asyncio.timeout(0.7 + 3.0):
                drained = asyncio.ensure_future(r.proxy.drain())
                status, _ = await caller.answer()
                assert status == 503
                await drained

    run(test)


def test_slow_callers_body_is_ended_in_time_by_a_drain() -> None:
    """Guards against an upload that keeps a draining process until it is killed: its caller never stops sending."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            await r.call(budget="1000m", request_id="a")
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=BODY)[:100_000])
            await until(lambda: r.proxy.open_requests == 1)

            async def keep_sending() -> None:
                while True:
                    caller.writer.write(b"x")
                    await asyncio.sleep(0.05)

            sending = asyncio.ensure_future(keep_sending())
            async with asyncio.timeout(0.7 + 3.0):
                drained = asyncio.ensure_future(r.proxy.drain())
                assert (await caller.answer())[0] == 503
                sending.cancel()
                caller.abort()
                await drained

    run(test)


def test_caller_that_leaves_while_its_body_is_held_back_is_noticed() -> None:
    """Guards against a request that runs after its caller has left: while reading is paused, no end is reported."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await send_body_to(r, read_nothing, False, "8000m")
            left_at = r.proxy.loop.time()
            # A normal close would wait behind the rest of the body; only a reset can be seen.
            reset_on_close = struct.pack("ii", 1, 0)
            caller.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
            caller.abort()
            await until(lambda: r.proxy.open_requests == 0 and r.proxy.backends.counts()[0] == 0)
            assert r.proxy.loop.time() - left_at < 4.0  # long before the deadline, which would end it as well
            assert r.proxy.memory.used == 0

    run(test)


def test_fast_upload_with_short_pauses_keeps_its_time() -> None:
    """Guards against pauses that count although the caller was read up to its last byte since: see `BodyDelay`."""

    async def test() -> None:
        async with rig(answer_with_digest) as r:
            caller = await r.caller()
            head = request(kind="submit", budget="1000m", extra=(b"Content-Length: %d" % LARGE,))
            caller.writer.write(head + BODY[:100_000])
            await until(lambda: r.proxy.open_requests == 1)
            connection = next(iter(r.proxy._exchanges.values())).caller
            for position in range(100_000, LARGE, (LARGE - 100_000) // 8 + 1):
                connection.pause_body()
                await asyncio.sleep(0.2)
                connection.resume_body()
                for start in range(position, min(LARGE, position + (LARGE - 100_000) // 8 + 1), 4096):
                    caller.writer.write(BODY[start : min(start + 4096, position + (LARGE - 100_000) // 8 + 1, LARGE)])
                    await asyncio.sleep(0.001)
            status, seen = await caller.answer()
            assert (status, seen.body) == (200, DIGEST)

    run(test)


async def one_connection(script: Any) -> tuple[asyncio.Server, int]:
    server = await asyncio.start_server(script, "127.0.0.1", 0, limit=2**20)
    return server, server.sockets[0].getsockname()[1]


def test_retained_body_is_sent_again_when_its_backend_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection breaks while 100 KiB arrive: the first attempt never ran, the second gets the whole body."""
    reported = record_outcomes(monkeypatch)
    small = BODY[: 100 * 1024]
    tries = 0

    async def test() -> None:
        async with rig(answer_with_digest, answer_with_digest) as r:
            for backend in r.backends:
                original = backend._serve

                async def first_breaks(reader: Reader, writer: Writer, original: Any = original) -> None:
                    nonlocal tries
                    tries += 1
                    if tries == 1:
                        await reader.readexactly(70_000)
                        writer.transport.abort()
                        return
                    await original(reader, writer)

                await backend.stop()
                backend._server = await asyncio.start_server(first_breaks, "127.0.0.1", backend.port, limit=2**20)
            caller = await r.caller()
            data = request(kind="submit", body=small)
            caller.writer.write(data[:-20_000])
            await until(lambda: bool(reported))
            caller.writer.write(data[-20_000:])
            status, seen = await caller.answer()
            assert (status, seen.body) == (200, hashlib.sha256(small).hexdigest().encode())
            assert reported[0] is Outcome.UNREACHABLE and tries >= 2

    run(test)


def test_partly_discarded_body_is_refused_when_its_backend_breaks() -> None:
    async def test() -> None:
        async with rig(answer_with_digest) as r:

            async def breaks(reader: Reader, writer: Writer) -> None:
                await reader.readexactly(LARGE // 2)
                writer.transport.abort()

            port = r.backends[0].port
            await r.backends[0].stop()
            r.backends[0]._server = await asyncio.start_server(breaks, "127.0.0.1", port, limit=2**20)
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=BODY)[:-10])
            assert (await caller.answer())[0] == 503  # it never ran, so a retry is safe

    run(test)


def test_answer_before_the_body_is_complete_reaches_the_caller() -> None:
    """An immediate refusal, while the caller still writes; its further input is read and discarded."""

    async def test() -> None:
        async with rig() as r:  # no backend can serve it
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=BODY))
            status, _ = await caller.answer()
            assert status == 503 and r.proxy.memory.used == 0
            assert await caller.read_to_end() == b""

    run(test)


def test_slow_body_is_served_and_a_stalled_one_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(callers_module, "BODY_STALL_TIMEOUT", 0.4)

    async def test() -> None:
        async with rig(answer_with_digest) as r:
            small = BODY[: 80 * 1024]
            slow, halted = await r.caller(), await r.caller()
            halted.writer.write(request(kind="submit", request_id="2", body=small)[:-5])
            data = request(kind="submit", budget="2000m", body=small)
            for start in range(0, len(data), 8192):
                slow.writer.write(data[start : start + 8192])
                await asyncio.sleep(0.1)
            status, seen = await slow.answer()
            assert (status, seen.body) == (200, hashlib.sha256(small).hexdigest().encode())
            assert (await halted.answer())[0] == 408
            await until(lambda: r.proxy.open_requests == 0)

    run(test)


def test_input_during_a_streamed_answer_never_corrupts_it() -> None:
    async def halts(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(reply(body=BODY)[: LARGE // 2])
        await asyncio.sleep(PEER_TIMEOUT)

    async def test() -> None:
        async with rig(halts) as r:
            caller = await r.caller()
            caller.writer.write(request())
            await asyncio.wait_for(caller.reader.readexactly(200_000), PEER_TIMEOUT)
            caller.writer.write(request(request_id="2"))
            rest = await caller.read_to_end()
            assert b"HTTP/1.1" not in rest and len(r.seen) == 1

    run(test)


def test_many_concurrent_large_answers_are_complete() -> None:
    async def test() -> None:
        async with rig(large_answer, large_chunked_answer) as r:

            async def is_complete(rid: int) -> bool:
                caller = await r.caller()
                caller.writer.write(request(request_id=str(rid)))
                seen = await asyncio.wait_for(read_message(caller.reader), 3 * PEER_TIMEOUT)
                return seen is not None and seen.body == BODY

            assert all(await asyncio.gather(*(is_complete(rid) for rid in range(20))))

    run(test)
