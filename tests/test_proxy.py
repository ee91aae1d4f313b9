"""The proxy over loopback sockets: answers, outcomes, bad input, and the rules as sockets see them."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop
from rig import Backend, Caller, Seen, Writer, read_message, reply, request, rig, serve_ok, until

from cometusher import backends as backends_module
from weldroute import Outcome


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's coroutine on the event loop that is used in service."""
    uvloop.run(test())


# ---- scripts of backends -----------------------------------------------------------------


async def serve_500(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(500, b"broken"))


async def turn_away(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(503, b"", b"X-Rejected: 1"))


async def plain_503(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(503, b""))


async def reset(backend: Backend, seen: Seen, writer: Writer) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def end(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.close()


async def silent(backend: Backend, seen: Seen, writer: Writer) -> None:
    pass


async def garbage(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"SSH-2.0-nothing\r\n\r\n")


async def half(backend: Backend, seen: Seen, writer: Writer) -> None:
    """The head and a part of the body, and then nothing."""
    writer.write(reply(body=b"x" * 100)[:-50])


async def half_and_end(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(body=b"x" * 100)[:-50])
    writer.close()


async def in_pieces(backend: Backend, seen: Seen, writer: Writer) -> None:
    for byte in reply(body=b"pieces"):
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0)


async def chunked(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n4\r\nnked\r\n0\r\n\r\n")


async def until_eof(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.0 200 OK\r\n\r\nto the end")
    writer.close()


def outcomes(monkeypatch: pytest.MonkeyPatch) -> list[Outcome]:
    """Collect the outcomes that the module is told."""
    told: list[Outcome] = []
    whole = backends_module.Backends.end

    def end(self: Any, attempt: Any, how: Outcome, response: Any, why: str) -> None:
        if not attempt.ended:
            told.append(how)
        whole(self, attempt, how, response, why)

    monkeypatch.setattr(backends_module.Backends, "end", end)
    return told


# ---- answers -----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("script", "body"),
    [(serve_ok, b"s-1"), (in_pieces, b"pieces"), (chunked, b"chunked"), (until_eof, b"to the end")],
)
def test_a_200_is_passed_on(script: Any, body: bytes) -> None:
    async def test() -> None:
        async with rig(script) as r:
            status, seen = await r.call(kind="submit", body=b"text")
            assert (status, seen.body) == (200, body)
            (got,) = r.seen
            assert got.line == b"POST /api?x=1 HTTP/1.1"
            assert got.body == b"text"
            assert got.headers[b"x-call-id"] == b"1"
            assert got.headers[b"idempotency-key"] == b"k1"
            assert 0 < int(got.headers[b"x-budget"].removesuffix(b"u")) <= 5_000_000

    run(test)


@pytest.mark.parametrize(
    ("script", "how", "safe", "once"),
    [
        (serve_500, Outcome.ERROR, 503, 502),
        (plain_503, Outcome.ERROR, 503, 502),
        (turn_away, Outcome.FULL, 503, 503),
        (reset, Outcome.BROKEN, 503, 502),
        (end, Outcome.BROKEN, 503, 502),
        (garbage, Outcome.BROKEN, 503, 502),
        (half, Outcome.BROKEN, 503, 502),
        (half_and_end, Outcome.BROKEN, 503, 502),
    ],
)
def test_outcomes_are_told_apart(
    script: Any, how: Outcome, safe: int, once: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each end of an attempt is told as what it is; what may have run is never refused unless harmless."""
    told = outcomes(monkeypatch)

    async def test() -> None:
        async with rig(script) as r:
            assert (await r.call(kind="view"))[0] == safe
            assert (await r.call(kind="once", rid="2"))[0] == once
            assert told == [how, how]

    run(test)


def test_a_refused_connection_has_never_run(monkeypatch: pytest.MonkeyPatch) -> None:
    told = outcomes(monkeypatch)

    async def test() -> None:
        async with rig(serve_ok) as r:
            await r.backends[0].stop()
            assert (await r.call(kind="once"))[0] == 503
            assert told == [Outcome.UNREACHABLE]

    run(test)


def test_a_failed_attempt_is_tried_again_elsewhere() -> None:
    async def test() -> None:
        async with rig(reset, reset, serve_ok) as r:
            status, seen = await r.call()
            assert (status, seen.body) == (200, b"s-3")

    run(test)


def test_a_stalled_answer_is_tried_again() -> None:
    """An answer that stops in the middle must not use up the caller's whole time."""

    async def test() -> None:
        async with rig(half, serve_ok) as r:
            for rid in range(6):
                status, seen = await r.call(rid=str(rid))
                assert (status, seen.body) == (200, b"s-2")
            assert r.backends[0].seen, "the stalling backend was never picked"

    run(test)


def test_an_unsafe_request_is_sent_once() -> None:
    async def test() -> None:
        async with rig(reset, reset) as r:
            assert (await r.call(kind="once"))[0] == 502
            assert len(r.seen) == 1

    run(test)


def test_silence_ends_at_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with rig(silent) as r:
            assert (await r.call(kind="once", budget="50m"))[0] == 504
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)  # the connection is not used again

    run(test)


def test_a_budget_that_is_used_up_is_answered() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            assert (await r.call(budget="0m"))[0] == 503
            assert not r.seen

    run(test)


def test_a_long_answer_is_passed_on_as_it_comes() -> None:
    go = asyncio.Event()

    async def long(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"a" * 100_000)
        await go.wait()
        writer.write(b"b" * 100_000)

    async def test() -> None:
        async with rig(long) as r:
            caller = await r.caller()
            caller.writer.write(request(budget="300m"))
            await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), 5.0)
            assert await asyncio.wait_for(caller.reader.readexactly(100_000), 5.0) == b"a" * 100_000
            await asyncio.sleep(0.4)  # past the deadline, which is that of the first bytes
            go.set()
            assert await asyncio.wait_for(caller.reader.readexactly(100_000), 5.0) == b"b" * 100_000
            r.backends[0].script = serve_ok
            assert (await caller.call(rid="2"))[0] == 200  # the connection is still good

    run(test)


@pytest.mark.parametrize("framing", [b"Content-Length: 200000", b"Transfer-Encoding: chunked"])
def test_a_long_answer_that_breaks_is_seen_to_be_cut(framing: bytes) -> None:
    async def cut(backend: Backend, seen: Seen, writer: Writer) -> None:
        body = b"a" * 100_000
        if framing.startswith(b"T"):
            body = b"186a0\r\n" + body + b"\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + body)
        await writer.drain()
        writer.close()

    async def test() -> None:
        async with rig(cut) as r:
            caller = await r.caller()
            caller.writer.write(request())
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await asyncio.wait_for(read_message(caller.reader), 5.0)

    run(test)


def test_large_bodies_both_ways() -> None:
    async def echo(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply(body=seen.body))

    async def test() -> None:
        async with rig(echo) as r:
            body = bytes(range(256)) * (32 * 4096)
            status, seen = await r.call(kind="submit", body=body)
            assert status == 200 and seen.body == body
            assert r.proxy.memory.used == 0

    run(test)


def test_bodies_wait_for_memory_without_a_deadlock() -> None:
    """More body bytes than the budget holds, on many connections at once: all are served in the end."""

    async def test() -> None:
        async with rig(serve_ok, memory_mb=4) as r:
            assert r.proxy.memory.limit == 1024 * 1024
            body = b"x" * (700 * 1024)
            results = await asyncio.gather(*(r.call(kind="submit", body=body, rid=str(i)) for i in range(8)))
            assert [status for status, _ in results] == [200] * 8
            assert r.proxy.memory.used == 0

    run(test)


def test_a_broken_upload_to_a_backend_has_never_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection breaks while part of the request is still unwritten: it certainly has not run."""
    told = outcomes(monkeypatch)

    async def test() -> None:
        async with rig(serve_ok) as r:
            server = await asyncio.start_server(lambda reader, writer: writer.transport.abort(), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            watch = await r.discovery.watch()
            watch.tell(42, r.backends[0].entry(dial=f"127.0.0.1:{port}"))
            await until(lambda: r.proxy.discovery._seq == 42)
            status, _ = await r.call(kind="once", body=b"x" * (16 * 1024 * 1024))
            assert (status, told) == (503, [Outcome.UNREACHABLE])
            assert told == [Outcome.UNREACHABLE]
            server.close()

    run(test)


# ---- callers -----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request(budget="12"), 400),
        (request(budget="-5m"), 400),
        (request(rid=None), 400),
        (request(kind="other"), 400),
        (request(extra=(b"Content-Length: 1", b"Content-Length: 2")), 400),
        (request(extra=(b"Content-Length: 5", b"Transfer-Encoding: chunked")), 400),
        (request(extra=(b"X-Long: " + b"x" * 70_000,)), 431),
        (b"GET /" + b"x" * 80_000, 431),
        (request(kind="submit", extra=(b"Content-Length: 33554433",)), 413),
        (b"DELETE /api HTTP/1.1\r\n\r\n", 405),
        (request(kind="submit", extra=(b"Expect: coffee", b"Content-Length: 4")), 417),
    ],
)
def test_bad_input_is_told_and_never_forwarded(data: bytes, status: int) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(data)
            got, seen = await caller.answer()
            assert got == status
            assert b"Traceback" not in seen.body
            assert not r.seen
            assert (await r.call())[0] == 200

    run(test)


@pytest.mark.parametrize("data", [request(extra=(b"X-Caller: nobody",)), request(budget=None)])
def test_unknown_tenant_and_absent_headers_are_served(data: bytes) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(data)
            assert (await caller.answer())[0] == 200

    run(test)


def test_slow_head_and_chunked_body() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            data = request(kind="submit", extra=(b"Transfer-Encoding: chunked",))
            data += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            for byte in data:
                caller.writer.write(bytes([byte]))
                await caller.writer.drain()
                await asyncio.sleep(0)
            assert (await caller.answer())[0] == 200
            assert r.seen[0].body == b"abcde"

    run(test)


def test_expect_100_continue() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(request(kind="submit", extra=(b"Expect: 100-continue", b"Content-Length: 4")))
            line = await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), 5.0)
            assert line == b"HTTP/1.1 100 Continue\r\n\r\n"
            caller.writer.write(b"body")
            assert (await caller.answer())[0] == 200

    run(test)


def test_requests_written_ahead_are_answered_in_order() -> None:
    async def name(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply(body=seen.headers[b"x-call-id"]))

    async def test() -> None:
        async with rig(name, name) as r:
            caller = await r.caller()
            caller.writer.write(b"".join(request(rid=str(i)) for i in range(40)) + b"nonsense\r\n\r\n")
            for i in range(40):
                assert (await caller.answer())[1].body == b"%d" % i
            assert (await caller.answer())[0] == 400
            assert await caller.ended() == b""

    run(test)


def test_a_repeated_id_is_a_request_of_its_own() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            results = await asyncio.gather(*(r.call(rid="same") for _ in range(5)))
            assert [status for status, _ in results] == [200] * 5

    run(test)


def test_a_caller_that_leaves_gives_its_attempt_up() -> None:
    async def test() -> None:
        async with rig(silent) as r:
            caller = await r.caller()
            caller.writer.write(request())
            await asyncio.wait_for(r.backends[0].arrived.wait(), 5.0)
            caller.leave()
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)
            await until(lambda: not r.proxy._exchanges and not r.proxy.balancer.requests)

    run(test)


def test_ready_and_connection_close() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
            assert (await caller.answer())[0] == 200
            assert await caller.ended() == b""

    run(test)


def test_idle_callers_make_room_for_new_ones() -> None:
    """Past the descriptor limit idle connections are closed, and every new caller is still served."""

    async def test() -> None:
        async with rig(serve_ok, sockets=40) as r:
            callers: list[Caller] = []
            for i in range(40):
                callers.append(await r.caller())
                assert (await callers[-1].call(rid=str(i)))[0] == 200
            assert r.proxy.descriptors.peak <= r.proxy.descriptors.limit == 16

    run(test)


# ---- pools -------------------------------------------------------------------------------


def test_connections_are_used_again() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            for i in range(5):
                assert (await r.call(rid=str(i)))[0] == 200
            assert r.backends[0].connections == 1

    run(test)


def test_a_connection_that_the_backend_closed_is_not_used() -> None:
    async def once(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply())
        writer.close()

    async def test() -> None:
        async with rig(once) as r:
            for i in range(3):
                assert (await r.call(kind="once", rid=str(i)))[0] == 200
                await until(lambda: not r.proxy.backends._idle)
            assert r.backends[0].connections == 3

    run(test)


def test_a_new_birth_drops_idle_connections() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            assert (await r.call())[0] == 200
            watch = await r.discovery.watch()
            watch.tell(42, r.backends[0].entry(born_ms=1000))
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)
            assert (await r.call(rid="2"))[0] == 200
            assert r.backends[0].connections == 2

    run(test)


# ---- faults within -----------------------------------------------------------------------


def test_a_fault_in_the_module_fails_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            with monkeypatch.context() as patch:
                patch.setattr(type(r.proxy.balancer), "request", lambda *rest: 1 / 0)
                assert (await r.call())[0] == 502
            assert (await r.call(rid="2"))[0] == 200
            assert not r.proxy._exchanges

    run(test)


# ---- long answers and the module ---------------------------------------------------------


def test_long_answers_under_way_do_not_look_like_queues() -> None:
    """Long answers that take their time must not make the door refuse others (incident rf684c9)."""

    async def test() -> None:
        go = asyncio.Event()

        async def long(backend: Backend, seen: Seen, writer: Writer) -> None:
            whole = reply(body=b"x" * 200_000)
            writer.write(whole[:100_000])
            await go.wait()
            writer.write(whole[100_000:])

        async with rig(long, settings={"Tier": 0}) as r:
            entry = r.proxy.balancer.entry
            assert entry is not None
            callers = [await r.caller() for _ in range(4)]
            for i, caller in enumerate(callers):
                caller.writer.write(request(rid=str(i)))
                await asyncio.wait_for(caller.reader.readuntil(b"\r\n\r\n"), 5.0)
            assert len(r.proxy._exchanges) == 4
            assert entry.waiting == 0
            assert not r.proxy.balancer.servers[1].out
            go.set()
            for caller in callers:
                await asyncio.wait_for(caller.reader.readexactly(200_000), 5.0)
            await until(lambda: not r.proxy.balancer.requests)

    run(test)


def test_an_answer_that_never_comes_is_covered_by_a_second_copy() -> None:
    """A hung attempt must not use up the caller's time while others answer (incident r621405)."""

    async def test() -> None:
        hang = False

        async def maybe(backend: Backend, seen: Seen, writer: Writer) -> None:
            nonlocal hang
            if hang:
                hang = False  # this one, and no other
            else:
                writer.write(reply(body=seen.headers[b"x-call-id"]))

        async with rig(maybe, maybe) as r:
            for i in range(60):
                assert (await r.call(rid=str(i)))[0] == 200
            hang = True
            status, seen = await r.call(rid="last")
            assert (status, seen.body) == (200, b"last")
            assert len(r.seen) == 62

    run(test)


def test_what_must_not_be_lost_avoids_connections_that_may_be_dead() -> None:
    """Backends that close idle connections early: once seen, unsafe requests get new ones (incident r53795b)."""

    async def test() -> None:
        used: set[Writer] = set()

        async def one_each(backend: Backend, seen: Seen, writer: Writer) -> None:
            if writer in used:
                await reset(backend, seen, writer)  # it had closed this connection already
            else:
                used.add(writer)
                writer.write(reply())

        async with rig(one_each) as r:
            pool = r.proxy.backends
            while len(pool._crossings) < backends_module.CROSSINGS:
                await r.call(rid="safe")
                await asyncio.sleep(backends_module.IDLE_AT_LEAST)
            while not pool._idle:
                await r.call(rid="park")
            await asyncio.sleep(pool._trusted(r.proxy.loop.time()) + 0.01)
            assert (await r.call(kind="once", rid="unsafe"))[0] == 200

    run(test)


def test_resets_of_new_connections_leave_old_ones_trusted() -> None:
    """A backend that resets whatever comes is no reason for new connections (incident r75d229)."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            pool = r.proxy.backends
            for _ in range(backends_module.CROSSINGS):
                pool.reset_at_once(1.0)
            assert pool._trusted(r.proxy.loop.time()) < 1.0
            r.backends[0].script = reset
            assert (await r.call(kind="once"))[0] == 502
            assert pool._trusted(r.proxy.loop.time()) > 1.0

    run(test)
