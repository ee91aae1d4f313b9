"""Sound answers that a backend writes slowly."""

from __future__ import annotations

import asyncio

import pytest
from rig import Backend, Message, Writer, rig
from test_proxy import run

from cometusher import backends as backends_module

PAUSE = 0.5  # seconds: above ANSWER_STALL_TIMEOUT
LONG, SHORT = 200_000, 20_000  # bytes of a body: above and below what is read completely before it is passed on


class SlowBackend:
    """A script that writes a sound answer in parts, with pauses between them."""

    def __init__(self, length: int, chunked: bool, first_part: int) -> None:
        self.body = b"x" * length
        self.chunked = chunked
        self.first_part = first_part  # bytes of the body that come with the head
        self.whole = 0  # answers that were written to their end

    def _frame(self, part: bytes) -> bytes:
        return b"%x\r\n%b\r\n" % (len(part), part) if self.chunked and part else part

    async def __call__(self, backend: Backend, seen: Message, writer: Writer) -> None:
        framing = b"Transfer-Encoding: chunked" if self.chunked else b"Content-Length: %d" % len(self.body)
        middle = (self.first_part + len(self.body)) // 2
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + self._frame(self.body[: self.first_part]))
        for part in (self.body[self.first_part : middle], self.body[middle:]):
            await asyncio.sleep(PAUSE)
            writer.write(self._frame(part))
        writer.write(b"0\r\n\r\n" if self.chunked else b"")
        await writer.drain()
        self.whole += 1


@pytest.mark.parametrize("kind", ["once", "submit", "view"])
@pytest.mark.parametrize("length", [LONG, SHORT])
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("first_part", [0, 10_000], ids=["late-body", "lumps"])
def test_slow_answer_reaches_its_caller(kind: str, length: int, chunked: bool, first_part: int) -> None:
    """Guards against an answer that is cut off while its backend still writes it, and no other attempt can start."""
    script = SlowBackend(length, chunked, first_part)

    async def test() -> None:
        async with rig(script, script) as r:
            status, seen = await r.call(kind=kind, body=b"draft" if kind != "view" else b"")
            assert (status, len(seen.body)) == (200, length)
            assert script.whole == 1 and (kind != "once" or len(r.seen) == 1)

    run(test)


def test_answer_whose_head_pauses_reaches_its_caller() -> None:
    """Guards against the same cut before the end of the head."""

    async def respond(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Le")
        await asyncio.sleep(PAUSE)
        writer.write(b"ngth: 4\r\n\r\nlate")

    async def test() -> None:
        async with rig(respond) as r:
            status, seen = await r.call(kind="once")
            assert (status, seen.body) == (200, b"late")

    run(test)


def test_trickling_answer_of_an_unsafe_request_reaches_its_caller(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the same cut of an answer without pauses that takes long in all."""
    monkeypatch.setattr(backends_module, "ANSWER_READ_TIMEOUT", 0.4)

    async def respond(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
        for _ in range(10):
            await asyncio.sleep(0.1)
            writer.write(b"x")

    async def test() -> None:
        async with rig(respond) as r:
            status, seen = await r.call(kind="once")
            assert (status, seen.body) == (200, b"x" * 10)

    run(test)


@pytest.mark.parametrize("second_copies", [True, False], ids=["second copies", "one attempt at a time"])
def test_short_answer_that_all_backends_write_slowly_arrives(second_copies: bool) -> None:
    """Guards against slow short answers that are given up one after the other: one of the first two is waited for."""
    script = SlowBackend(SHORT, chunked=False, first_part=0)

    async def test() -> None:
        async with rig(*[script] * 6, settings={"Bounds": {"SecondCopies": second_copies, "MaxAttempts": 6}}) as r:
            r.proxy.balancer.retry_tokens = 10.0
            status, seen = await r.call(budget="2500m")
            assert (status, len(seen.body)) == (200, SHORT)
            assert len(r.seen) == 2

    run(test)
