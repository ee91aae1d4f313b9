"""Loopback peers for the proxy: a scripted backend, a scripted discovery, a caller, and the proxy itself."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from cometusher import config
from cometusher.http1 import CONTINUE
from cometusher.proxy import Proxy
from weldroute.benchlink import read_settings

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
PATIENCE = 10.0  # how long a test waits for what must happen; never a figure that is measured

SETTINGS: dict[str, Any] = {
    "Services": [
        {"Name": "view", "Aim": 2.0, "HardLimit": 8.0, "Repeat": "retryable"},
        {"Name": "submit", "Aim": 2.0, "HardLimit": 8.0, "Repeat": "dedup", "Group": "zone", "Window": 4.0},
        {"Name": "once", "Aim": 2.0, "HardLimit": 8.0, "Repeat": "fragile"},
    ],
    "Orgs": [{"Name": "acme", "Share": 1.0, "AllowancePerS": 1000.0}],
    "Zones": ["a", "b"],
    "Tiers": ["front", "back"],
    "Tier": 1,  # no ratio over the whole tier: every request reaches the pick
    "Bounds": {
        "Cancel": True, "SecondCopies": True, "MaxAttempts": 3, "DialTimeout": 0.5, "ConnIdle": 5.0,
    },
    "Rules": {"Cold": 20.0, "ColdFrom": 0.14, "AskEvery": 1.0},
}


@dataclass
class Seen:
    """A request as a peer read it."""

    line: bytes
    headers: dict[bytes, bytes]
    body: bytes


async def read_message(reader: Reader) -> Seen | None:
    """One message with a Content-Length or chunked body; None at a clean end."""
    head = b""
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as end:
            assert not end.partial, f"cut off in a head: {end.partial!r}"
            return None
        if head != CONTINUE:
            break
    line, *rest = head[:-4].split(b"\r\n")
    headers = {}
    for row in rest:
        name, _, value = row.partition(b":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get(b"transfer-encoding") == b"chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif b"content-length" in headers:
        body = await reader.readexactly(int(headers[b"content-length"]))
    return Seen(line, headers, body)


def reply(status: int = 200, body: bytes = b"ok", *extra: bytes) -> bytes:
    """An answer's bytes."""
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *extra, b"", b""]
    return b"\r\n".join(lines) + body


Script = Callable[["Backend", Seen, Writer], Awaitable[None]]


async def serve_ok(backend: Backend, seen: Seen, writer: Writer) -> None:
    """Answer at once with the backend's name."""
    writer.write(reply(body=backend.host.encode()))


class Backend:
    """A backend that does what its script says with each request."""

    def __init__(self, number: int, script: Script = serve_ok) -> None:
        self.host = f"s-{number:x}"
        self.number = number
        self.script = script
        self.seen: list[Seen] = []
        self.connections = 0
        self.arrived = asyncio.Event()
        self.closed = asyncio.Event()  # a connection was ended by the proxy
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (seen := await read_message(reader)) is not None:
                self.seen.append(seen)
                self.arrived.set()
                await self.script(self, seen, writer)
        except (OSError, asyncio.IncompleteReadError, AssertionError):
            pass
        finally:
            self._writers.discard(writer)
            self.closed.set()
            writer.close()

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Discovery's line about it."""
        line = {
            "host": self.host, "dial": f"127.0.0.1:{self.port}", "site": "a", "class": "m", "block": 0,
            "health": "in_service", "share": 1.0, "born_ms": 0,
        }
        return line | changes


class Watch:
    """One watch that the proxy has opened."""

    def __init__(self, line: bytes, writer: Writer) -> None:
        self.line = line
        self.writer = writer

    def send(self, text: bytes) -> None:
        self.writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def tell(self, seq: int, *entries: dict[str, Any], whole: bool = False) -> None:
        self.send(orjson.dumps({"seq": seq, "whole": whole, "hosts": entries}) + b"\n")


class Discovery:
    """Discovery that hands each call to the test."""

    def __init__(self) -> None:
        self.watches: asyncio.Queue[Watch] = asyncio.Queue()
        self.answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: list[Writer] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.append(writer)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        self.watches.put_nowait(Watch(head.split(b"\r\n")[0], writer))
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()

    async def watch(self) -> Watch:
        return await asyncio.wait_for(self.watches.get(), PATIENCE)


class Caller:
    """One connection to the proxy."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader = reader
        self.writer = writer

    async def answer(self) -> tuple[int, Seen]:
        """The next answer; fails if there is none."""
        seen = await asyncio.wait_for(read_message(self.reader), PATIENCE)
        assert seen is not None, "the proxy closed the connection without an answer"
        return int(seen.line.split()[1]), seen

    async def call(self, **options: Any) -> tuple[int, Seen]:
        self.writer.write(request(**options))
        return await self.answer()

    async def ended(self) -> bytes:
        """What still comes until the proxy closes."""
        try:
            return await asyncio.wait_for(self.reader.read(), PATIENCE)
        except ConnectionError:
            return b""

    def leave(self) -> None:
        self.writer.transport.abort()


def request(
    kind: str = "view",
    body: bytes = b"",
    budget: str | None = "5000m",
    rid: str | None = "1",
    extra: tuple[bytes, ...] = (),
) -> bytes:
    """A request's bytes."""
    lines = [b"GET /api?x=1 HTTP/1.1" if kind == "view" and not body else b"POST /api?x=1 HTTP/1.1"]
    lines.append(b"Host: backend.local")
    lines.append(b"X-Call-Class: " + kind.encode())
    if rid is not None:
        lines.append(b"X-Call-Id: " + rid.encode())
    if budget is not None:
        lines.append(b"X-Budget: " + budget.encode())
    if kind == "submit":
        lines.append(b"Idempotency-Key: k1")
    if body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, *extra, b"", b""]) + body


@dataclass
class Rig:
    """A running proxy with its peers."""

    proxy: Proxy
    discovery: Discovery
    backends: list[Backend]
    callers: list[Caller] = field(default_factory=list)

    async def caller(self) -> Caller:
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.proxy.callers.port))
        self.callers.append(caller)
        return caller

    async def call(self, **options: Any) -> tuple[int, Seen]:
        """One request on a connection of its own."""
        caller = await self.caller()
        return await caller.call(**options)

    @property
    def seen(self) -> list[Seen]:
        """What all backends have read."""
        return [seen for backend in self.backends for seen in backend.seen]


async def until(condition: Callable[[], bool]) -> None:
    """Wait for something that must become true."""
    async with asyncio.timeout(PATIENCE):
        while not condition():
            await asyncio.sleep(0.005)


def merged(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Settings with changes, one level deep."""
    result = dict(base)
    for key, value in changes.items():
        result[key] = base[key] | value if isinstance(value, dict) and isinstance(base.get(key), dict) else value
    return result


@contextlib.asynccontextmanager
async def rig(
    *scripts: Script, settings: dict[str, Any] | None = None, sockets: int = 256, memory_mb: int = 192
) -> AsyncIterator[Rig]:
    """Start a proxy with one backend for each script."""
    discovery = Discovery()
    backends = [Backend(i + 1, script) for i, script in enumerate(scripts)]
    await discovery.start()
    for backend in backends:
        await backend.start()
    raw = merged(SETTINGS, settings or {})
    proxy = Proxy(
        config.Config(
            name="t", listen=("127.0.0.1", 0), discovery=("127.0.0.1", discovery.port), seed=1,
            memory_mb=memory_mb, sockets=sockets,
            known={"seq": 41, "whole": True, "hosts": [b.entry() for b in backends]},
            settings=read_settings(raw), zones=tuple(raw["Zones"]),
        )
    )
    proxy.start()
    running = Rig(proxy, discovery, backends)
    try:
        yield running
    finally:
        for caller in running.callers:
            caller.leave()
        await proxy.drain()
        await discovery.stop()
        for backend in backends:
            await backend.stop()
