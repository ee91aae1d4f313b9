"""The proxy over loopback sockets: answers, outcomes, bad input, and the rules as sockets see them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop
from rig import Backend, Caller, Seen, Writer, reply, request, rig, serve_ok, until

from cometusher import backends as backends_module
from cometusher import callers as callers_module
from weldroute import Outcome
from weldroute.decide import MAX_ATTEMPTS_PER_SERVER


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
    whole = backends_module.Backends.finish

    def end(self: Any, attempt: Any, how: Outcome, response: Any, why: str) -> None:
        if not attempt.ended:
            told.append(how)
        whole(self, attempt, how, response, why)

    monkeypatch.setattr(backends_module.Backends, "finish", end)
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
            # Where there is one backend, what broke and may be repeated is asked for there once more.
            assert told == [how] * (1 + MAX_ATTEMPTS_PER_SERVER if how is Outcome.BROKEN else 2)

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


async def announces_3_gb(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"a" * 200_000)


async def head_without_end(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: ppppppppppppppp\r\n" * 4000)


async def interims_without_end(backend: Backend, seen: Seen, writer: Writer) -> None:
    with contextlib.suppress(OSError):
        while not writer.is_closing():
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await writer.drain()


async def in_drops(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n")
    with contextlib.suppress(OSError):
        while not writer.is_closing():
            writer.write(b"a")
            await writer.drain()
            await asyncio.sleep(0.02)


async def two_lengths(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nhello")


async def length_and_chunks(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
    )


@pytest.mark.parametrize(
    "script",
    [
        announces_3_gb,
        head_without_end,
        interims_without_end,
        in_drops,
        two_lengths,
        length_and_chunks,
        garbage,
        half,
    ],
)
def test_a_spoilt_answer_is_a_failed_attempt(script: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing of it reaches the caller, who is served by another backend, and its connection is closed."""
    monkeypatch.setattr(backends_module, "ANSWER_READ_TIMEOUT", 0.5)
    told = outcomes(monkeypatch)

    async def test() -> None:
        async with rig(script, serve_ok) as r:
            for rid in range(500):
                status, seen = await r.call(rid=str(rid))
                assert (status, seen.body) == (200, b"s-2")
                if told.count(Outcome.BROKEN):
                    break
            assert Outcome.BROKEN in told
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)

    run(test)


def test_a_spoilt_answer_is_asked_for_again_where_there_is_one_backend() -> None:
    """A keyed request whose group is one backend goes there once more, within the group's rules."""
    spoil = True

    async def once_spoilt(backend: Backend, seen: Seen, writer: Writer) -> None:
        nonlocal spoil
        writer.write(b"noise\r\n\r\n" if spoil else reply())
        spoil = False

    async def test() -> None:
        nonlocal spoil
        async with rig(once_spoilt) as r:
            assert (await r.call(kind="submit"))[0] == 200
            assert len(r.seen) == 2
            spoil = True
            assert (await r.call(kind="once"))[0] == 502  # unsafe: never again once it may have run
            assert len(r.seen) == 3

    run(test)


async def twice(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(body=seen.headers[b"x-call-id"]) * 2)


async def and_a_half(backend: Backend, seen: Seen, writer: Writer) -> None:
    whole = reply(body=seen.headers[b"x-call-id"])
    writer.write(whole + whole[:-1])


async def and_noise(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(body=seen.headers[b"x-call-id"]) + b"\x00\xff$-1\r\n")


@pytest.mark.parametrize("script", [twice, and_a_half, and_noise])
def test_what_follows_an_answer_is_never_the_next_one(script: Any) -> None:
    async def test() -> None:
        async with rig(script) as r:
            for rid in range(4):
                status, seen = await r.call(kind="once", rid=str(rid))
                assert (status, seen.body) == (200, b"%d" % rid)
            assert r.backends[0].connections == 4

    run(test)


def test_what_comes_later_on_an_idle_connection_is_never_an_answer() -> None:
    """A stray copy that lies unread when the next request goes out: the event loop has not told of it yet."""

    async def test() -> None:
        writers: list[Writer] = []

        async def keep(backend: Backend, seen: Seen, writer: Writer) -> None:
            writers.append(writer)
            writer.write(reply(body=seen.headers[b"x-call-id"]))

        async with rig(keep) as r:
            pool = r.proxy.backends
            assert (await r.call(rid="1"))[0] == 200
            (connection,) = pool._idle
            assert connection.is_reusable()
            os.write(writers[0].get_extra_info("socket").fileno(), reply(body=b"stray"))
            for _ in range(1_000_000):  # until the kernel has it; nothing here lets the event loop read it
                if not connection.is_reusable():
                    break
            assert (await r.call(rid="2"))[1].body == b"2"

    run(test)


def test_an_interim_answer_does_not_start_the_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """A backend that says 100 at once and works for long has not stopped in the middle of an answer."""
    monkeypatch.setattr(backends_module, "ANSWER_STALL_TIMEOUT", 0.05)

    async def early_100(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        await asyncio.sleep(0.4)
        writer.write(reply(body=b"worked"))

    async def test() -> None:
        async with rig(early_100) as r:
            assert (await r.call(kind="once"))[1].body == b"worked"

    run(test)


def test_a_request_that_is_at_fault_is_not_held_against_the_backend() -> None:
    """A 4xx is sent on to nobody else, and the backend's breaker is as it was."""

    async def not_found(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply(404, b""))

    async def test() -> None:
        async with rig(not_found, not_found) as r:
            for rid in range(30):
                assert (await r.call(rid=str(rid)))[0] == 503
            assert len(r.seen) == 30
            for server in r.proxy.balancer.servers.values():
                assert server.breaker is None or server.breaker.error_ratio(r.proxy.clock.now()) == 0.0
                assert not server.in_flight

    run(test)


def test_bodies_of_one_piece_go_both_ways() -> None:
    async def echo(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply(body=seen.body))

    async def test() -> None:
        async with rig(echo) as r:
            body = bytes(range(256)) * 256
            status, seen = await r.call(kind="submit", body=body)
            assert status == 200 and seen.body == body
            assert r.proxy.memory.used == 0

    run(test)


def test_bodies_beyond_the_memory_are_turned_away() -> None:
    """What is announced is set aside at once; the rest is told so, and all is given back."""

    async def test() -> None:
        async with rig(serve_ok, memory_mb=1) as r:
            head = request(kind="submit", extra=(b"Content-Length: 65536",))
            room = r.proxy.memory.limit // 65536
            callers = [await r.caller() for _ in range(room)]
            for caller in callers:
                caller.writer.write(head)
            await until(lambda: r.proxy.memory.used == room * 65536)
            assert (await r.call(kind="submit", body=b"x"))[0] == 503
            for caller in callers:
                caller.leave()
            await until(lambda: r.proxy.memory.used == 0)
            assert (await r.call(kind="submit", body=b"x"))[0] == 200

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
        (request(kind="submit", extra=(b"Content-Length: 41943041",)), 413),
        (request(kind="submit", extra=(b"Content-Length: -5",)), 400),
        (request(kind="submit", extra=(b"Content-Length: +5",)), 400),
        (request(kind="submit", extra=(b"Content-Length: 5", b"Content-Length: 5")), 400),
        (request(kind="submit", extra=(b"Content-Length: 5, 5",)), 400),
        (request(kind="submit", extra=(b"Content-Length : 5",)), 400),
        (request(kind="submit", extra=(b"Content-Length: 99999999999999999999",)), 400),
        (request(kind="submit", extra=(b"Transfer-Encoding: chunked", b"Content-Length: 5")), 400),
        (request(kind="submit", extra=(b"Transfer-Encoding: gzip, chunked",)), 400),
        (request(kind="submit", extra=(b"Transfer-Encoding: identity",)), 400),
        (request(kind="submit", extra=(b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked")), 400),
        (request(extra=(b"X-Call-Id: 2",)), 400),
        (request(extra=(b"Idempotency-Key: k",)), 400),
        (request(kind="once", extra=(b"Idempotency-Key: k",)), 400),
        (request(kind="view", body=b"x"), 405),
        (request(extra=(b"Content-Length: 1",)) + b"x", 400),
        (request(kind="submit").replace(b"POST", b"GET"), 405),
        (request(budget="nan"), 400),
        (request(budget="99999999999999999999999"), 400),
        (request(kind="other") * 300, 400),
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
            assert await caller.ended() == b""  # one answer, and the connection ends
            assert not r.seen
            assert r.proxy.memory.used == 0
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


CUT = request(kind="submit", extra=(b"Content-Length: 5",)) + b"longer than that"


@pytest.mark.parametrize("data", [request() + request(rid="2"), request() + b"\x00noise", CUT])
def test_what_comes_behind_a_request_turns_both_away(data: bytes) -> None:
    """Its length is not what its sender thinks: nothing of it goes on to a backend."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(data)
            assert (await caller.answer())[0] == 400
            assert await caller.ended() == b""
            assert not r.seen and not r.proxy._exchanges

    run(test)


def test_what_comes_behind_a_request_in_work_gives_it_up() -> None:
    async def test() -> None:
        async with rig(silent) as r:
            caller = await r.caller()
            caller.writer.write(request())
            await asyncio.wait_for(r.backends[0].arrived.wait(), 5.0)
            caller.writer.write(request(rid="2"))
            assert (await caller.answer())[0] == 400
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)
            await until(lambda: not r.proxy._exchanges and not r.proxy.balancer.requests)
            assert len(r.seen) == 1

    run(test)


def test_the_id_of_an_open_request_is_turned_away() -> None:
    """It would be a second copy of another caller's request; once that one has ended, the id is free."""

    async def test() -> None:
        go = asyncio.Event()

        async def wait(backend: Backend, seen: Seen, writer: Writer) -> None:
            await go.wait()
            writer.write(reply(body=b"first"))

        async with rig(wait) as r:
            first = await r.caller()
            first.writer.write(request(rid="same"))
            await asyncio.wait_for(r.backends[0].arrived.wait(), 5.0)
            assert (await r.call(rid="same"))[0] == 409
            assert len(r.seen) == 1
            go.set()
            assert (await first.answer())[1].body == b"first"
            assert (await r.call(rid="same"))[0] == 200
            assert not r.proxy._open_ids

    run(test)


@pytest.mark.parametrize("data", [b"", b"POST /api HT", request(kind="submit", extra=(b"Content-Length: 60000",))])
def test_a_request_that_does_not_come_whole_is_ended(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also one that comes byte by byte: its time is not renewed."""
    monkeypatch.setattr(callers_module, "REQUEST_HEAD_TIMEOUT", 0.3)

    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(data)

            async def drip() -> None:
                while data:
                    caller.writer.write(b"x")
                    await asyncio.sleep(0.02)

            dripping = asyncio.ensure_future(drip())
            rest = await caller.ended()
            dripping.cancel()
            assert rest.startswith(b"HTTP/1.1 4") if data else rest == b""
            await until(lambda: not r.proxy.callers.count())
            assert r.proxy.memory.used == 0 and not r.seen

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


def test_silent_crowds_do_not_push_out_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers that connect and say nothing make room first, for new callers and for those between requests."""
    monkeypatch.setattr(callers_module, "EVICT_SILENT_AFTER", 0.3)

    async def test() -> None:
        async with rig(serve_ok, sockets=40) as r:
            regular = await r.caller()
            assert (await regular.call(rid="regular"))[0] == 200
            crowd = [await r.caller() for _ in range(60)]
            assert (await r.call(rid="new"))[0] == 200
            assert (await regular.call(rid="again"))[0] == 200  # on its old connection
            assert r.proxy.descriptors.peak <= r.proxy.descriptors.limit
            assert crowd

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


def test_an_answer_that_never_comes_is_covered_by_a_second_copy() -> None:
    """A hung attempt must not use up the caller's time while others answer (incident r621405)."""

    async def test() -> None:
        hang = False

        async def maybe(backend: Backend, seen: Seen, writer: Writer) -> None:
            nonlocal hang
            if hang:
                hang = False  # this one, and no other
            else:
                await asyncio.sleep(0.02)  # so that no hiccup of the machine looks like slow work
                writer.write(reply(body=seen.headers[b"x-call-id"]))

        async with rig(maybe, maybe) as r:
            for i in range(60):
                assert (await r.call(rid=str(i)))[0] == 200
            hang = True
            status, seen = await r.call(rid="last")
            assert (status, seen.body) == (200, b"last")
            assert len(r.seen) == 62

    run(test)


def test_a_second_copy_goes_to_the_only_backend_on_a_new_connection() -> None:
    """The connection fell silent, not the backend: a keyed request has nowhere else to go."""

    async def test() -> None:
        hang = False

        async def maybe(backend: Backend, seen: Seen, writer: Writer) -> None:
            nonlocal hang
            if hang:
                hang = False  # this one, and no other
            else:
                await asyncio.sleep(0.02)  # so that no hiccup of the machine looks like slow work
                writer.write(reply(body=seen.headers[b"x-call-id"]))

        async with rig(maybe) as r:
            for i in range(60):
                assert (await r.call(rid=str(i)))[0] == 200
            hang = True
            status, seen = await r.call(kind="submit", rid="last")
            assert (status, seen.body) == (200, b"last")
            assert r.backends[0].connections == 2

    run(test)


def test_a_repeat_that_must_not_be_lost_gets_a_new_connection() -> None:
    """Where one kept connection was dead, the next one may be: a keyed request's repeat does not take it."""

    async def test() -> None:
        kept: set[Writer] = set()
        dead: set[Writer] = set()
        both = asyncio.Barrier(2)

        async def keep(backend: Backend, seen: Seen, writer: Writer) -> None:
            if writer in dead:
                await reset(backend, seen, writer)
                return
            if seen.headers[b"x-call-id"].startswith(b"pair"):
                kept.add(writer)
                await both.wait()  # so that each has a connection of its own
            writer.write(reply())

        # No second copies: where answers take their time on a busy machine, one would count as a further repeat.
        async with rig(keep, settings={"Bounds": {"SecondCopies": False}}) as r:
            await asyncio.gather(r.call(rid="pair1"), r.call(rid="pair2"))
            await until(lambda: len(r.proxy.backends._idle) == 2)
            dead |= kept
            assert (await r.call(kind="submit", rid="3"))[0] == 200
            assert [seen.headers[b"x-call-id"] for seen in r.seen].count(b"3") == 2

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
            while len(pool._close_races) < backends_module.CLOSE_RACES:
                await r.call(rid="safe")
                await asyncio.sleep(backends_module.MIN_RACE_IDLE_AGE)
            while not pool._idle:
                await r.call(rid="park")
            await asyncio.sleep(pool._trusted_idle_age(r.proxy.loop.time()) + 0.01)
            assert (await r.call(kind="once", rid="unsafe"))[0] == 200

    run(test)


def test_resets_of_new_connections_leave_old_ones_trusted() -> None:
    """A backend that resets whatever comes is no reason for new connections (incident r75d229)."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            pool = r.proxy.backends
            for _ in range(backends_module.CLOSE_RACES):
                pool.on_immediate_reset(1.0)
            assert pool._trusted_idle_age(r.proxy.loop.time()) < 1.0
            r.backends[0].script = reset
            assert (await r.call(kind="once"))[0] == 502
            assert pool._trusted_idle_age(r.proxy.loop.time()) > 1.0

    run(test)
