"""Bodies and answers above 64 KiB: they flow both ways, in bounded memory, and break visibly."""

from __future__ import annotations

import asyncio
import hashlib
from random import Random
from typing import Any

import pytest
from rig import PATIENCE, Backend, Reader, Seen, Writer, reply, request, rig, until
from test_proxy import run

from cometusher import backends as backends_module
from cometusher import callers as callers_module
from standins.messages import read_message
from weldroute import Outcome

LARGE = 3 * 1024 * 1024
BODY = Random(5).randbytes(LARGE)
DIGEST = hashlib.sha256(BODY).hexdigest().encode()


async def digest(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(body=hashlib.sha256(seen.body).hexdigest().encode()))


async def large(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(body=BODY))
    await writer.drain()


async def large_in_chunks(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for at in range(0, LARGE, 50_000):
        piece = BODY[at : at + 50_000]
        writer.write(b"%x;ext=1\r\n%b\r\n" % (len(piece), piece))
        await writer.drain()
    writer.write(b"0\r\nX-Trailer: 1\r\n\r\n")


async def large_to_the_end(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + BODY)
    await writer.drain()
    writer.close()


def outcomes(monkeypatch: pytest.MonkeyPatch) -> list[Outcome]:
    told: list[Outcome] = []
    honest = backends_module.Backends.finish

    def end(self: Any, attempt: Any, how: Outcome, response: Any, why: str) -> None:
        told.append(how)
        honest(self, attempt, how, response, why)

    monkeypatch.setattr(backends_module.Backends, "finish", end)
    return told


@pytest.mark.parametrize("script", [large, large_in_chunks, large_to_the_end])
def test_a_large_answer_goes_through_unchanged(script: Any) -> None:
    async def test() -> None:
        async with rig(script) as r:
            caller = await r.caller()
            for rid in ("1", "2"):
                status, seen = await caller.call(rid=rid)
                assert status == 200 and hashlib.sha256(seen.body).hexdigest().encode() == DIGEST
            await until(lambda: r.proxy.open_requests == 0)

    run(test)


def test_a_caller_of_http_1_0_gets_an_answer_of_unknown_length_until_the_end() -> None:
    async def test() -> None:
        async with rig(large_in_chunks) as r:
            caller = await r.caller()
            caller.writer.write(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            got = await caller.ended()
            head, _, body = got.partition(b"\r\n\r\n")
            assert b"chunked" not in head and body == BODY

    run(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_a_large_body_goes_through_unchanged(chunked: bool) -> None:
    async def test() -> None:
        async with rig(digest) as r:
            caller = await r.caller()
            for rid in ("1", "2"):
                if chunked:
                    head = request(kind="submit", rid=rid, extra=(b"Transfer-Encoding: chunked",))
                    pieces = [BODY[at : at + 70_001] for at in range(0, LARGE, 70_001)]
                    caller.writer.write(head + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n")
                else:
                    caller.writer.write(request(kind="submit", rid=rid, body=BODY))
                status, seen = await caller.answer()
                assert (status, seen.body) == (200, DIGEST)
            assert r.proxy.memory.used == 0

    run(test)


def test_a_body_beyond_the_limit_is_turned_away_at_its_head_or_where_it_crosses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("cometusher.http1.MAX_STREAM", 1024 * 1024)

    async def test() -> None:
        async with rig(digest) as r:
            told = await r.caller()
            told.writer.write(request(kind="submit", extra=(b"Content-Length: 1048577",)))
            assert (await told.answer())[0] == 413
            crossed = await r.caller()
            crossed.writer.write(request(kind="submit", extra=(b"Transfer-Encoding: chunked",)))
            for _ in range(40):
                crossed.writer.write(b"8000\r\n" + b"x" * 0x8000 + b"\r\n")
            assert (await crossed.answer())[0] == 413
            await until(lambda: r.proxy.open_requests == 0 and r.proxy.memory.used == 0)
            assert not r.seen

    run(test)


def test_a_begun_answer_that_breaks_is_cut_visibly_and_never_asked_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    told = outcomes(monkeypatch)

    async def breaks(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply(body=BODY)[: LARGE // 2])
        await writer.drain()
        writer.transport.abort()

    async def test() -> None:
        async with rig(breaks, breaks) as r:
            caller = await r.caller()
            caller.writer.write(request())
            got = await caller.ended()
            assert len(got) < LARGE and len(r.seen) == 1
            assert told == [Outcome.BROKEN]

    run(test)


def test_the_first_bytes_go_on_while_the_rest_is_not_there() -> None:
    go = asyncio.Event()

    async def halts(backend: Backend, seen: Seen, writer: Writer) -> None:
        data = reply(body=BODY)
        writer.write(data[:2000])
        await go.wait()
        writer.write(data[2000:])

    async def test() -> None:
        async with rig(halts) as r:
            caller = await r.caller()
            caller.writer.write(request(budget="300m"))
            head = await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), PATIENCE)
            assert b" 200 " in head and len(await caller.reader.read(100)) == 100
            await asyncio.sleep(0.4)  # past the caller's time: a begun answer is not cut by it
            go.set()
            rest = await asyncio.wait_for(caller.reader.readexactly(LARGE - 100), PATIENCE)
            assert rest == BODY[100:]

    run(test)


def test_slow_readers_slow_their_backend_and_take_bounded_memory() -> None:
    written: list[int] = []

    async def endless(backend: Backend, seen: Seen, writer: Writer) -> None:
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
            async with asyncio.timeout(PATIENCE):
                while not written or written[-1] != last:  # until the backend stands still
                    last = written[-1] if written else -1
                    await asyncio.sleep(0.3)
            assert last < 30 * 1024 * 1024
            held = [c._transport.get_write_buffer_size() for c in r.proxy.callers._connections if c._transport]
            assert sum(held) <= 512 * 1024

    run(test)


def test_a_caller_that_leaves_ends_the_transfer() -> None:
    async def test() -> None:
        async with rig(large) as r:
            caller = await r.caller()
            caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
            caller.writer.write(request())
            await until(lambda: bool(r.seen))
            caller.leave()
            await until(lambda: r.proxy.open_requests == 0)
            assert r.proxy.backends.counts() == (0, 0) or r.proxy.backends.counts()[0] == 0

    run(test)


def test_a_body_that_breaks_off_never_ran_and_leaves_nothing() -> None:
    async def test() -> None:
        async with rig(digest) as r:
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=BODY)[: LARGE // 2])
            await until(lambda: r.proxy.open_requests == 1)
            caller.leave()
            await until(lambda: r.proxy.open_requests == 0 and r.proxy.memory.used == 0)
            assert not r.seen and (await r.call(rid="2"))[0] == 200

    run(test)


async def one_connection(script: Any) -> tuple[asyncio.Server, int]:
    server = await asyncio.start_server(script, "127.0.0.1", 0, limit=2**20)
    return server, server.sockets[0].getsockname()[1]


def test_a_body_that_is_still_held_goes_out_again_when_its_backend_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    """100 KiB, cut while they come: the first attempt never ran, the second has them from the start."""
    told = outcomes(monkeypatch)
    small = BODY[: 100 * 1024]
    tries = 0

    async def test() -> None:
        async with rig(digest, digest) as r:
            for backend in r.backends:
                honest = backend._serve

                async def first_breaks(reader: Reader, writer: Writer, honest: Any = honest) -> None:
                    nonlocal tries
                    tries += 1
                    if tries == 1:
                        await reader.readexactly(70_000)
                        writer.transport.abort()
                        return
                    await honest(reader, writer)

                await backend.stop()
                backend._server = await asyncio.start_server(first_breaks, "127.0.0.1", backend.port, limit=2**20)
            caller = await r.caller()
            data = request(kind="submit", body=small)
            caller.writer.write(data[:-20_000])
            await until(lambda: bool(told))
            caller.writer.write(data[-20_000:])
            status, seen = await caller.answer()
            assert (status, seen.body) == (200, hashlib.sha256(small).hexdigest().encode())
            assert told[0] is Outcome.UNREACHABLE and tries >= 2

    run(test)


def test_a_body_that_is_let_go_is_refused_when_its_backend_breaks() -> None:
    async def test() -> None:
        async with rig(digest) as r:

            async def breaks(reader: Reader, writer: Writer) -> None:
                await reader.readexactly(LARGE // 2)
                writer.transport.abort()

            port = r.backends[0].port
            await r.backends[0].stop()
            r.backends[0]._server = await asyncio.start_server(breaks, "127.0.0.1", port, limit=2**20)
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=BODY)[:-10])
            assert (await caller.answer())[0] == 503  # it never ran: trying again is harmless

    run(test)


def test_a_request_that_is_answered_before_its_body_is_whole_gets_that_answer() -> None:
    """A refusal at once, while the caller still writes; what it writes is read and dropped."""

    async def test() -> None:
        async with rig() as r:  # no backend: nothing can take it
            caller = await r.caller()
            caller.writer.write(request(kind="submit", body=BODY))
            status, _ = await caller.answer()
            assert status == 503 and r.proxy.memory.used == 0
            assert await caller.ended() == b""

    run(test)


def test_a_slow_body_is_served_and_a_halted_one_is_told(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(callers_module, "BODY_STALL_TIMEOUT", 0.4)

    async def test() -> None:
        async with rig(digest) as r:
            small = BODY[: 80 * 1024]
            slow, halted = await r.caller(), await r.caller()
            halted.writer.write(request(kind="submit", rid="2", body=small)[:-5])
            data = request(kind="submit", budget="2000m", body=small)
            for at in range(0, len(data), 8192):
                slow.writer.write(data[at : at + 8192])
                await asyncio.sleep(0.1)
            status, seen = await slow.answer()
            assert (status, seen.body) == (200, hashlib.sha256(small).hexdigest().encode())
            assert (await halted.answer())[0] == 408
            await until(lambda: r.proxy.open_requests == 0)

    run(test)


def test_what_comes_behind_a_request_in_the_middle_of_its_answer_never_corrupts_it() -> None:
    async def halts(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply(body=BODY)[: LARGE // 2])
        await asyncio.sleep(PATIENCE)

    async def test() -> None:
        async with rig(halts) as r:
            caller = await r.caller()
            caller.writer.write(request())
            await asyncio.wait_for(caller.reader.readexactly(200_000), PATIENCE)
            caller.writer.write(request(rid="2"))
            rest = await caller.ended()
            assert b"HTTP/1.1" not in rest and len(r.seen) == 1

    run(test)


def test_many_large_answers_at_once_come_whole() -> None:
    async def test() -> None:
        async with rig(large, large_in_chunks) as r:

            async def one(rid: int) -> bool:
                caller = await r.caller()
                caller.writer.write(request(rid=str(rid)))
                seen = await asyncio.wait_for(read_message(caller.reader), 3 * PATIENCE)
                return seen is not None and seen.body == BODY

            assert all(await asyncio.gather(*(one(rid) for rid in range(20))))

    run(test)
