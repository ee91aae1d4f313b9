"""The proxy over loopback sockets: answers, outcomes, malformed input, connection pools, retry rules."""

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
from rig import Backend, Caller, Message, Writer, reply, request, rig, serve_ok, until

from cometusher import backends as backends_module
from cometusher import callers as callers_module
from cometusher import proxy as proxy_module
from cometusher.proxy import Proxy
from weldroute import ListKind, Outcome, Repeat
from weldroute.connection_reuse import CLOSE_RACES, MIN_RACE_IDLE_AGE, MIN_REST
from weldroute.decide import MAX_ATTEMPTS_PER_SERVER

RESTED = MIN_REST + 0.02  # seconds after which a connection may be used again, by a clock of whole milliseconds
ONE_COPY = {"Bounds": {"SecondCopies": False}}  # on a busy machine a second copy may open a connection of its own


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs a test's coroutine on the event loop that is used in production."""
    uvloop.run(test())


# ---- scripts of backends -----------------------------------------------------------------


async def serve_500(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(500, b"broken"))


async def reject_as_overloaded(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(503, b"", b"X-Rejected: 1"))


async def plain_503(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(503, b""))


async def reset(backend: Backend, seen: Message, writer: Writer) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def close_connection(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.close()


async def silent(backend: Backend, seen: Message, writer: Writer) -> None:
    pass


async def garbage(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"SSH-2.0-nothing\r\n\r\n")


async def partial_answer(backend: Backend, seen: Message, writer: Writer) -> None:
    """Writes the head and a part of the body, and then nothing."""
    writer.write(reply(body=b"x" * 100)[:-50])


async def partial_answer_and_close(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=b"x" * 100)[:-50])
    writer.close()


async def in_pieces(backend: Backend, seen: Message, writer: Writer) -> None:
    for byte in reply(body=b"pieces"):
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0)


async def chunked(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n4\r\nnked\r\n0\r\n\r\n")


async def until_eof(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.0 200 OK\r\n\r\nto the end")
    writer.close()


def record_outcomes(monkeypatch: pytest.MonkeyPatch) -> list[Outcome]:
    """Collects the outcomes that are reported to the balancer."""
    reported: list[Outcome] = []
    original = backends_module.Backends.finish

    def finish(self: Any, attempt: Any, outcome: Outcome, response: Any, reason: str) -> None:
        if not attempt.ended:
            reported.append(outcome)
        original(self, attempt, outcome, response, reason)

    monkeypatch.setattr(backends_module.Backends, "finish", finish)
    return reported


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
    ("script", "outcome", "safe_status", "unsafe_status"),
    [
        (serve_500, Outcome.ERROR, 503, 502),
        (plain_503, Outcome.ERROR, 503, 502),
        (reject_as_overloaded, Outcome.FULL, 503, 503),
        (reset, Outcome.BROKEN, 503, 502),
        (close_connection, Outcome.BROKEN, 503, 502),
        (garbage, Outcome.BROKEN, 503, 502),
        (partial_answer_and_close, Outcome.BROKEN, 503, 502),
    ],
)
def test_each_end_of_an_attempt_has_its_outcome(
    script: Any, outcome: Outcome, safe_status: int, unsafe_status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that may have run is answered by 503 only if it is safe to repeat."""
    reported = record_outcomes(monkeypatch)

    async def test() -> None:
        async with rig(script) as r:
            assert (await r.call(kind="view"))[0] == safe_status
            assert (await r.call(kind="once", request_id="2"))[0] == unsafe_status
            # With a single backend, a broken request that is safe to repeat is retried there once more.
            assert reported == [outcome] * (1 + MAX_ATTEMPTS_PER_SERVER if outcome is Outcome.BROKEN else 2)

    run(test)


@pytest.mark.parametrize(("kind", "status", "copies"), [("view", 503, 1), ("once", 504, 0)])
def test_partial_answer_is_waited_for_until_the_deadline(
    kind: str, status: int, copies: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No part of it reaches the caller, who gets the final answer at the deadline; no attempt is given up before."""
    reported = record_outcomes(monkeypatch)
    ends: list[str] = []
    on_deadline = proxy_module.Proxy._on_deadline

    def record_deadline(proxy: Proxy, exchange: Any) -> None:
        ends.append(exchange.request_id)
        on_deadline(proxy, exchange)

    monkeypatch.setattr(proxy_module.Proxy, "_on_deadline", record_deadline)

    async def test() -> None:
        async with rig(partial_answer) as r:
            answered, seen = await r.call(kind=kind, budget="1500m")
            assert answered == status and b"xx" not in seen.body
            assert reported == [] and ends
            assert len(r.seen) == 1 + copies

    run(test)


def test_refused_connection_counts_as_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    reported = record_outcomes(monkeypatch)

    async def test() -> None:
        async with rig(serve_ok) as r:
            await r.backends[0].stop()
            assert (await r.call(kind="once"))[0] == 503
            assert reported == [Outcome.UNREACHABLE]

    run(test)


def test_failed_attempt_is_retried_on_another_backend() -> None:
    async def test() -> None:
        async with rig(reset, reset, serve_ok) as r:
            status, seen = await r.call()
            assert (status, seen.body) == (200, b"s-3")

    run(test)


def test_stalled_answer_is_retried() -> None:
    """An answer that stops half-way must not use up the caller's whole budget."""

    async def test() -> None:
        async with rig(partial_answer, serve_ok) as r:
            for rid in range(6):
                status, seen = await r.call(request_id=str(rid))
                assert (status, seen.body) == (200, b"s-2")
            assert r.backends[0].requests, "the stalling backend was never selected"

    run(test)


def test_an_unsafe_request_is_sent_once() -> None:
    async def test() -> None:
        async with rig(reset, reset) as r:
            assert (await r.call(kind="once"))[0] == 502
            assert len(r.seen) == 1

    run(test)


def test_silent_backend_times_out_at_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with rig(silent) as r:
            assert (await r.call(kind="once", budget="50m"))[0] == 504
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)  # the connection is not used again

    run(test)


def test_exhausted_budget_is_refused() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            assert (await r.call(budget="0m"))[0] == 503
            assert not r.seen

    run(test)


async def announces_3_gb(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"a" * 200_000)


async def head_without_end(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: ppppppppppppppp\r\n" * 4000)


async def interims_without_end(backend: Backend, seen: Message, writer: Writer) -> None:
    with contextlib.suppress(OSError):
        while not writer.is_closing():
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await writer.drain()


async def trickle(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n")
    with contextlib.suppress(OSError):
        while not writer.is_closing():
            writer.write(b"a")
            await writer.drain()
            await asyncio.sleep(0.02)


async def two_lengths(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\nhello")


async def length_and_chunks(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
    )


@pytest.mark.parametrize(
    "script",
    [
        announces_3_gb,
        head_without_end,
        interims_without_end,
        trickle,
        two_lengths,
        length_and_chunks,
        garbage,
        partial_answer,
    ],
)
def test_broken_answer_is_a_failed_attempt(script: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """No part of it reaches the caller, who is served by another backend; its connection is closed."""
    monkeypatch.setattr(backends_module, "ANSWER_READ_TIMEOUT", 0.5)
    reported = record_outcomes(monkeypatch)

    async def test() -> None:
        async with rig(script, serve_ok) as r:
            for rid in range(500):
                status, seen = await r.call(request_id=str(rid))
                assert (status, seen.body) == (200, b"s-2")
                if reported.count(Outcome.BROKEN):
                    break
            assert Outcome.BROKEN in reported
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)

    run(test)


def test_broken_answer_is_retried_on_the_only_backend() -> None:
    """A keyed request whose group has one backend is sent there once more, within the rules of the group."""
    broken = True

    async def broken_once(backend: Backend, seen: Message, writer: Writer) -> None:
        nonlocal broken
        writer.write(b"noise\r\n\r\n" if broken else reply())
        broken = False

    async def test() -> None:
        nonlocal broken
        async with rig(broken_once) as r:
            assert (await r.call(kind="submit"))[0] == 200
            assert len(r.seen) == 2
            broken = True
            assert (await r.call(kind="once", request_id="2"))[
                0
            ] == 502  # unsafe: never repeated once it may have run
            assert len(r.seen) == 3

    run(test)


async def answer_twice(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=seen.headers[b"x-call-id"]) * 2)


async def answer_and_a_partial_one(backend: Backend, seen: Message, writer: Writer) -> None:
    whole = reply(body=seen.headers[b"x-call-id"])
    writer.write(whole + whole[:-1])


async def answer_and_noise(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=seen.headers[b"x-call-id"]) + b"\x00\xff$-1\r\n")


@pytest.mark.parametrize("script", [answer_twice, answer_and_a_partial_one, answer_and_noise])
def test_input_behind_an_answer_is_never_the_next_answer(script: Any) -> None:
    async def test() -> None:
        async with rig(script, settings=ONE_COPY) as r:
            for rid in range(4):
                status, seen = await r.call(kind="submit", request_id=str(rid))
                assert (status, seen.body) == (200, b"%d" % rid)
                await asyncio.sleep(RESTED)
            assert r.backends[0].connections == 4

    run(test)


def test_input_on_an_idle_connection_is_never_an_answer() -> None:
    """A stray copy of an answer is unread, and not yet reported by the event loop, when the next request is sent."""

    async def test() -> None:
        writers: list[Writer] = []

        async def keep(backend: Backend, seen: Message, writer: Writer) -> None:
            writers.append(writer)
            writer.write(reply(body=seen.headers[b"x-call-id"]))

        async with rig(keep) as r:
            pool = r.proxy.backends
            assert (await r.call(request_id="1"))[0] == 200
            (connection,) = pool._idle
            await asyncio.sleep(RESTED)
            assert connection.is_silent()
            os.write(writers[0].get_extra_info("socket").fileno(), reply(body=b"stray"))
            for _ in range(1_000_000):  # until the kernel has it; without an await the event loop can't read it
                if not connection.is_silent():
                    break
            assert (await r.call(request_id="2"))[1].body == b"2"

    run(test)


def test_interim_answer_does_not_start_the_stall_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """A backend that answers 100 at once and then works for long has not stalled."""
    monkeypatch.setattr(backends_module, "ANSWER_STALL_TIMEOUT", 0.05)

    async def early_100(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
        await asyncio.sleep(0.4)
        writer.write(reply(body=b"worked"))

    async def test() -> None:
        async with rig(early_100) as r:
            assert (await r.call(kind="once"))[1].body == b"worked"

    run(test)


def test_4xx_is_not_counted_against_the_backend() -> None:
    """A request answered by 4xx is not retried, and the backend's breaker is unchanged."""

    async def not_found(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(reply(404, b""))

    async def test() -> None:
        async with rig(not_found, not_found) as r:
            for rid in range(30):
                assert (await r.call(request_id=str(rid)))[0] == 503
            assert len(r.seen) == 30
            for server in r.proxy.balancer.servers.values():
                assert server.breaker is None or server.breaker.error_ratio(r.proxy.clock.now()) == 0.0
                assert not server.in_flight

    run(test)


def test_buffered_bodies_are_forwarded_both_ways() -> None:
    async def echo(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(reply(body=seen.body))

    async def test() -> None:
        async with rig(echo) as r:
            body = bytes(range(256)) * 256
            status, seen = await r.call(kind="submit", body=body)
            assert status == 200 and seen.body == body
            assert r.proxy.memory.used == 0

    run(test)


def test_bodies_beyond_the_memory_limit_are_rejected() -> None:
    """Announced lengths are reserved at once, requests beyond them are rejected, and all memory is released."""

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
                caller.abort()
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
        (request(request_id=None), 400),
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
        (request(extra=(b"X-Call-Class: view",)), 400),
        (request(extra=(b"X-Budget: 5m",)), 400),
        (request(extra=(b"X-Caller: acme", b"X-Caller: acme")), 400),
        (request(kind="submit", extra=(b"Idempotency-Key: k1",)), 400),
        (request(kind="submit", body=b"x" * 70_000, extra=(b"X-Caller: a", b"X-Caller: b")), 400),
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
def test_malformed_request_is_rejected_and_never_forwarded(data: bytes, status: int) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(data)
            got, seen = await caller.answer()
            assert got == status
            assert b"Traceback" not in seen.body
            assert await caller.read_to_end() == b""  # a single answer, then the connection ends
            assert not r.seen and not r.proxy._exchanges and not r.proxy._open_ids
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


WRONG_LENGTH = request(kind="submit", extra=(b"Content-Length: 5",)) + b"longer than that"


@pytest.mark.parametrize("data", [request() + request(request_id="2"), request() + b"\x00noise", WRONG_LENGTH])
def test_input_behind_a_request_rejects_both(data: bytes) -> None:
    """The framing differs from the sender's intent, so nothing is forwarded to a backend."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(data)
            assert (await caller.answer())[0] == 400
            assert await caller.read_to_end() == b""
            assert not r.seen and not r.proxy._exchanges

    run(test)


def keeps_nothing(proxy: Proxy) -> bool:
    """Whether a proxy's tables of requests are empty."""
    return not proxy._exchanges and not proxy._open_ids and not proxy.balancer.requests


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        ("proxy", "validate"),
        ("proxy", "_submit"),
        ("proxy", "_refuse"),
        ("balancer", "request"),
        ("backends", "send"),
    ],
)
def test_request_whose_handling_raises_is_answered_and_not_kept(
    owner: str, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that stay in the proxy's tables for good, until memory ends the process."""

    def fail(*arguments: object) -> None:
        raise RuntimeError("planted")

    async def test() -> None:
        async with rig(serve_ok) as r:
            target = r.proxy if owner == "proxy" else getattr(r.proxy, owner)
            if method == "_refuse":
                r.proxy.on_list(ListKind.WHOLE, ())  # without a backend the request is refused
            with monkeypatch.context() as patch:
                patch.setattr(target, method, fail)
                caller = await r.caller()
                caller.writer.write(request())
                assert (await caller.answer())[0] in (500, 502)
                await until(
                    lambda: not r.proxy._exchanges and not r.proxy._open_ids and not r.proxy.balancer.requests
                )
            assert not r.seen

    run(test)


def test_caller_whose_answer_cannot_be_written_sees_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that counts as answered and is kept, as the write of its answer has failed."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            with monkeypatch.context() as patch:
                patch.setattr("cometusher.callers.response_head", None)
                caller.writer.write(request())
                assert await caller.read_to_end() == b""
                await until(
                    lambda: not r.proxy._exchanges and not r.proxy._open_ids and not r.proxy.balancer.requests
                )
            assert (await r.call())[0] == 200

    run(test)


def test_input_behind_an_open_request_cancels_it() -> None:
    async def test() -> None:
        async with rig(silent) as r:
            caller = await r.caller()
            caller.writer.write(request())
            await asyncio.wait_for(r.backends[0].arrived.wait(), 5.0)
            caller.writer.write(request(request_id="2"))
            assert (await caller.answer())[0] == 400
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)
            await until(lambda: not r.proxy._exchanges and not r.proxy.balancer.requests)
            assert len(r.seen) == 1

    run(test)


def test_id_of_an_open_request_is_rejected() -> None:
    """It would be a second copy of another caller's request; once that one has ended, the id is free again."""

    async def test() -> None:
        go = asyncio.Event()

        async def wait(backend: Backend, seen: Message, writer: Writer) -> None:
            await go.wait()
            writer.write(reply(body=b"first"))

        async with rig(wait) as r:
            first = await r.caller()
            first.writer.write(request(request_id="same"))
            await asyncio.wait_for(r.backends[0].arrived.wait(), 5.0)
            assert (await r.call(request_id="same"))[0] == 409
            assert len(r.seen) == 1
            go.set()
            assert (await first.answer())[1].body == b"first"
            assert (await r.call(request_id="same"))[0] == 200
            assert not r.proxy._open_ids

    run(test)


@pytest.mark.parametrize("data", [b"", b"POST /api HT", request(kind="submit", extra=(b"Content-Length: 60000",))])
def test_incomplete_request_times_out(data: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also if it arrives byte by byte: further bytes don't renew its time."""
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
            rest = await caller.read_to_end()
            dripping.cancel()
            assert rest.startswith(b"HTTP/1.1 4") if data else rest == b""
            await until(lambda: not r.proxy.callers.count())
            assert r.proxy.memory.used == 0 and not r.seen

    run(test)


def test_disconnect_of_a_caller_cancels_its_attempt() -> None:
    async def test() -> None:
        async with rig(silent) as r:
            caller = await r.caller()
            caller.writer.write(request())
            await asyncio.wait_for(r.backends[0].arrived.wait(), 5.0)
            caller.abort()
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)
            await until(lambda: not r.proxy._exchanges and not r.proxy.balancer.requests)

    run(test)


def test_ready_and_connection_close() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            caller = await r.caller()
            caller.writer.write(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
            assert (await caller.answer())[0] == 200
            assert await caller.read_to_end() == b""

    run(test)


def test_idle_callers_make_room_for_new_ones() -> None:
    """At the descriptor limit idle connections are closed, and every new caller is still served."""

    async def test() -> None:
        async with rig(serve_ok, sockets=40) as r:
            callers: list[Caller] = []
            for i in range(40):
                callers.append(await r.caller())
                assert (await callers[-1].call(request_id=str(i)))[0] == 200
            assert r.proxy.descriptors.peak <= r.proxy.descriptors.limit == 16

    run(test)


def test_silent_connections_do_not_displace_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Connections that send nothing are evicted first, before those between two requests."""
    monkeypatch.setattr(callers_module, "EVICT_SILENT_AFTER", 0.3)

    async def test() -> None:
        async with rig(serve_ok, sockets=40) as r:
            regular = await r.caller()
            assert (await regular.call(request_id="regular"))[0] == 200
            crowd = [await r.caller() for _ in range(60)]
            assert (await r.call(request_id="new"))[0] == 200
            assert (await regular.call(request_id="again"))[0] == 200  # on its existing connection
            assert r.proxy.descriptors.peak <= r.proxy.descriptors.limit
            assert crowd

    run(test)


def test_half_requests_that_stall_do_not_hold_up_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against usual requests that wait in the backlog behind half ones; a slow one that goes on is served."""
    monkeypatch.setattr(callers_module, "EVICT_PARTIAL_AFTER", 60.0)
    monkeypatch.setattr(callers_module, "EVICT_STALLED_AFTER", 0.5)

    async def send_slowly(caller: Caller) -> int:
        data = request(request_id="slow")
        for start in range(0, len(data), 10):
            caller.writer.write(data[start : start + 10])
            await asyncio.sleep(0.1)
        return (await caller.answer())[0]

    async def test() -> None:
        async with rig(serve_ok, sockets=40) as r:
            slow = asyncio.create_task(send_slowly(await r.caller()))
            for number in range(60):
                (await r.caller()).writer.write(request(request_id=f"half-{number}")[:70])
            assert (await r.call(request_id="new"))[0] == 200
            assert await slow == 200

    run(test)


# ---- pools -------------------------------------------------------------------------------


def test_backend_connections_are_reused() -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=ONE_COPY) as r:
            for i in range(5):
                assert (await r.call(request_id=str(i)))[0] == 200
                await asyncio.sleep(RESTED)
            assert r.backends[0].connections == 1

    run(test)


def test_connection_closed_by_the_backend_is_not_reused() -> None:
    async def once(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(reply())
        writer.close()

    async def test() -> None:
        async with rig(once, settings=ONE_COPY) as r:
            for i in range(3):
                assert (await r.call(kind="submit", request_id=str(i)))[0] == 200
                await until(lambda: not r.proxy.backends._idle)
            assert r.backends[0].connections == 3

    run(test)


def test_restart_of_a_backend_drops_its_idle_connections() -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=ONE_COPY) as r:
            assert (await r.call())[0] == 200
            watch = await r.discovery.watch()
            watch.send_list(42, r.backends[0].discovery_entry(born_ms=1000))
            await asyncio.wait_for(r.backends[0].closed.wait(), 5.0)
            await asyncio.sleep(RESTED)
            assert (await r.call(request_id="2"))[0] == 200
            assert r.backends[0].connections == 2

    run(test)


# ---- internal errors and repeats -----------------------------------------------------------------------


def test_exception_in_the_balancer_fails_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            with monkeypatch.context() as patch:
                patch.setattr(type(r.proxy.balancer), "request", lambda *rest: 1 / 0)
                assert (await r.call())[0] == 502
            assert (await r.call(request_id="2"))[0] == 200
            assert not r.proxy._exchanges

    run(test)


def test_hung_attempt_is_covered_by_a_second_copy() -> None:
    """A hung attempt must not use up the caller's budget while other backends answer (incident r621405)."""

    async def test() -> None:
        hang = False

        async def maybe(backend: Backend, seen: Message, writer: Writer) -> None:
            nonlocal hang
            if hang:
                hang = False  # for this request only
            else:
                await asyncio.sleep(0.02)  # so that a short pause of the machine doesn't look like slow work
                writer.write(reply(body=seen.headers[b"x-call-id"]))

        async with rig(maybe, maybe) as r:
            for i in range(60):
                assert (await r.call(request_id=str(i)))[0] == 200
            hang = True
            status, seen = await r.call(request_id="last")
            assert (status, seen.body) == (200, b"last")
            assert len(r.seen) == 62

    run(test)


def test_second_copy_to_the_only_backend_uses_a_new_connection() -> None:
    """The connection is silent, not the backend, and a keyed request can go to no other."""

    async def test() -> None:
        hang = False

        async def maybe(backend: Backend, seen: Message, writer: Writer) -> None:
            nonlocal hang
            if hang:
                hang = False  # for this request only
            else:
                await asyncio.sleep(0.02)  # so that a short pause of the machine doesn't look like slow work
                writer.write(reply(body=seen.headers[b"x-call-id"]))

        async with rig(maybe) as r:
            for i in range(60):
                assert (await r.call(request_id=str(i)))[0] == 200
            await asyncio.sleep(RESTED)  # so that the first attempt uses a kept connection
            connections = r.backends[0].connections
            hang = True
            status, seen = await r.call(kind="submit", request_id="last")
            assert (status, seen.body) == (200, b"last")
            assert [seen.headers[b"x-call-id"] for seen in r.seen].count(b"last") == 2
            assert r.backends[0].connections == connections + 1

    run(test)


def test_repeat_of_an_unsafe_request_uses_a_new_connection() -> None:
    """If one pooled connection was dead, the next may be too, so the repeat of a keyed request uses none of them."""

    async def test() -> None:
        pooled: set[Writer] = set()
        dead: set[Writer] = set()
        both = asyncio.Barrier(2)

        async def keep(backend: Backend, seen: Message, writer: Writer) -> None:
            if writer in dead:
                await reset(backend, seen, writer)
                return
            if seen.headers[b"x-call-id"].startswith(b"pair"):
                pooled.add(writer)
                await both.wait()  # so that each uses its own connection
            writer.write(reply())

        # No second copies: on a busy machine with slow answers, one would be counted as a further repeat.
        async with rig(keep, settings=ONE_COPY) as r:
            await asyncio.gather(r.call(request_id="pair1"), r.call(request_id="pair2"))
            await until(lambda: len(r.proxy.backends._idle) == 2)
            await asyncio.sleep(RESTED)
            dead |= pooled
            assert (await r.call(kind="submit", request_id="3"))[0] == 200
            assert [seen.headers[b"x-call-id"] for seen in r.seen].count(b"3") == 2

    run(test)


@pytest.mark.parametrize("kind", ["once", "submit"])
def test_unsafe_requests_avoid_possibly_dead_connections(kind: str) -> None:
    """Once a backend is seen to close idle connections early, such requests use new ones (incident r53795b)."""

    async def test() -> None:
        used: set[Writer] = set()

        async def one_each(backend: Backend, seen: Message, writer: Writer) -> None:
            if writer in used:
                await reset(backend, seen, writer)  # as if it had closed this connection already
            else:
                used.add(writer)
                writer.write(reply())

        async with rig(one_each, settings=ONE_COPY) as r:
            pool = r.proxy.backends
            while not pool.reuse._sees_early_closes(r.proxy.loop.time()):
                await r.call(request_id="safe")
                await asyncio.sleep(max(MIN_RACE_IDLE_AGE, MIN_REST))
            while not pool._idle:
                await r.call(request_id="pooled")
            await asyncio.sleep(pool.reuse.max_idle(r.proxy.loop.time(), Repeat.KEYED) + 0.01)
            assert (await r.call(kind=kind, request_id="unsafe"))[0] == 200
            assert [seen.headers[b"x-call-id"] for seen in r.seen].count(b"unsafe") == 1

    run(test)


def test_resets_of_new_connections_do_not_distrust_idle_ones() -> None:
    """A backend that resets every request is no reason to open new connections (incident r75d229)."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            reuse, now = r.proxy.backends.reuse, r.proxy.loop.time
            for _ in range(CLOSE_RACES):
                reuse.on_immediate_reset(now(), 1.0)
            assert reuse.max_idle(now(), Repeat.KEYED) < 1.0
            r.backends[0].script = reset
            assert (await r.call(kind="once"))[0] == 502
            assert reuse.max_idle(now(), Repeat.KEYED) > 1.0

    run(test)
