"""Long answers when all backends write them slowly: a proxy process beside usual traffic (operators' report, 65)."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass
from pathlib import Path

import pytest
from rig import PEER_TIMEOUT, Backend, Message, Writer, reply
from test_process import connect, proxy_process
from test_proxy import run

LENGTH = 150_000  # bytes of a body: above what is read completely before it is passed on
BUDGET = 1.5  # seconds
LATE = 0.5  # seconds after its time within which an answer only earns nothing
MARGIN = 0.05  # seconds before the caller's time: an answer that begins later may miss it
FRAMINGS = ("length", "chunked", "close")
KINDS = ("view", "submit", "once")
#: The parts of a body as (pause before it in seconds, share of the body).
SHAPES = {
    "late-body": ((0.0, 0.0), (0.9, 0.5), (0.1, 0.5)),
    "lumps": ((0.0, 0.25), (0.5, 0.25), (0.5, 0.25), (0.5, 0.25)),
    "late-rest": ((0.0, 0.001), (1.6, 0.999)),
    "trickle": (*((0.1, 0.01),) * 12, (0.1, 0.88)),
}


@dataclass(frozen=True)
class Case:
    """One request, and how each backend writes the answer to it."""

    kind: str
    shape: str
    framing: str
    delay: float  # seconds until the head

    def __str__(self) -> str:
        return f"{self.kind}/{self.shape}/{self.framing}/{self.delay}"


@dataclass
class Result:
    """What the caller saw, in seconds since its request."""

    case: Case
    status: int
    length: int
    head_came: float
    head_written: float  # by the first backend that wrote one


class SlowBackends:
    """Backends that write each answer as its request's id says, and answer other requests at once."""

    def __init__(self, count: int) -> None:
        self.all = [Backend(number + 1, self._respond) for number in range(count)]
        self.first_heads: dict[str, float] = {}  # by id: when the first backend wrote a head

    async def _respond(self, backend: Backend, seen: Message, writer: Writer) -> None:
        call_id = seen.headers[b"x-call-id"].decode()
        if "/" not in call_id:
            writer.write(reply())
            return
        _, shape, framing, delay = call_id.split("/")
        await asyncio.sleep(float(delay))
        self.first_heads.setdefault(call_id, time.monotonic())
        chunked = framing == "chunked"
        header = {"length": b"Content-Length: %d" % LENGTH, "chunked": b"Transfer-Encoding: chunked"}
        writer.write(b"HTTP/1.1 200 OK\r\n" + header.get(framing, b"Connection: close") + b"\r\n\r\n")
        for pause, share in SHAPES[shape]:
            await asyncio.sleep(pause)
            if writer.is_closing():
                return
            part = b"x" * round(share * LENGTH)
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked and part else part)
        writer.write(b"0\r\n\r\n" if chunked else b"")
        await writer.drain()
        if framing == "close":
            writer.close()

    async def call(self, port: int, case: Case) -> Result:
        caller = await connect(port)
        begun = time.monotonic()
        body = b"" if case.kind == "view" else b"draft"
        status = length = 0
        head_came = begun + PEER_TIMEOUT
        read_head = caller.reader.readuntil

        async def read_head_timed(separator: bytes = b"") -> bytes:
            nonlocal head_came
            head = await read_head(separator)
            head_came = min(head_came, time.monotonic())
            return head

        caller.reader.readuntil = read_head_timed  # type: ignore[method-assign,assignment]
        with contextlib.suppress(OSError, AssertionError, asyncio.IncompleteReadError):
            status, seen = await caller.call(
                kind=case.kind, body=body, budget=f"{BUDGET * 1000:.0f}m", request_id=str(case)
            )
            length = len(seen.body)
        head_written = self.first_heads.get(str(case), begun + PEER_TIMEOUT)
        return Result(case, status, length, head_came - begun, head_written - begun)


async def call_often(port: int) -> None:
    """Usual traffic, which fills the budget of repeats."""
    caller = await connect(port)
    for number in itertools.count():
        await caller.call(request_id=f"{id(caller)}-{number}")
        await asyncio.sleep(0.01)


async def play(tmp_path: Path, backend_count: int, second_copies: bool, cases: list[Case]) -> list[Result]:
    backends = SlowBackends(backend_count)
    for backend in backends.all:
        await backend.start()
    entries = [backend.discovery_entry() for backend in backends.all]
    bounds = {"SecondCopies": second_copies, "MaxAttempts": 6}
    limits = {"memory_mb": 192, "sockets": 1024}
    async with proxy_process(tmp_path, entries, limits=limits, settings={"Bounds": bounds}) as (_, port):
        traffic = [asyncio.create_task(call_often(port)) for _ in range(8)]
        await asyncio.sleep(1.0)
        results = await asyncio.gather(*(backends.call(port, case) for case in cases))
        for task in traffic:
            task.cancel()
    for backend in backends.all:
        await backend.stop()
    return results


def check(results: list[Result]) -> None:
    """Demands every answer that begins in time whole, and all others within their time and LATE."""
    in_time = [result for result in results if result.head_written < BUDGET - MARGIN]
    assert len(in_time) >= 0.7 * len(results)  # the others were held up by the machine
    assert not [result for result in in_time if (result.status, result.length) != (200, LENGTH)]
    assert not [result for result in results if result.head_came > BUDGET + LATE]


@pytest.mark.parametrize("second_copies", [True, False], ids=["second copies", "one attempt at a time"])
def test_long_answers_that_all_backends_write_slowly_arrive(tmp_path: Path, second_copies: bool) -> None:
    """Guards against slow sound answers that are cut off in favour of other attempts, which are as slow."""
    cases = [Case(*parts, delay=0.1) for parts in itertools.product(KINDS, SHAPES, FRAMINGS)]
    run(lambda: _check_play(tmp_path, 4, second_copies, cases))


@pytest.mark.parametrize("delay", [0.9, 1.25, 1.4])
def test_long_answer_that_begins_shortly_before_the_deadline_arrives(tmp_path: Path, delay: float) -> None:
    """Guards against an answer that has begun, is held back, and is thrown away at its request's deadline."""
    cases = [Case(*parts, delay=delay) for parts in itertools.product(KINDS, SHAPES, FRAMINGS)]
    run(lambda: _check_play(tmp_path, 1, True, cases))


async def _check_play(tmp_path: Path, backend_count: int, second_copies: bool, cases: list[Case]) -> None:
    check(await play(tmp_path, backend_count, second_copies, cases))
