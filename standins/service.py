"""A service backend as PROTOCOL describes them: cores, a queue, a speed of its own, and calls to the next tier.

Its work is waiting: it says how a machine of a given speed would behave, and costs this one next to nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from random import Random

from standins.backend import Backend
from standins.messages import Reader, Seen, Writer, read_message, reply

QUEUE = 64  # requests that wait for a core
REJECTED = b"X-Rejected: 1"


@dataclass
class Service:
    """What a backend does; hand `serve` to a `Backend` as its script."""

    speed: float  # of a core, against a yardstick machine
    work: dict[str, float]  # seconds of a yardstick core, by class
    rng: Random
    cores: int = 2
    next_tier: tuple[str, int] | None = None  # the proxy before the tier behind
    served: int = 0
    rejected: int = 0
    _queued: int = 0
    _free: asyncio.Semaphore = field(init=False)
    _idle: list[tuple[Reader, Writer]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._free = asyncio.Semaphore(self.cores)

    async def serve(self, backend: Backend, seen: Seen, writer: Writer) -> None:
        """Answer one request: its own work on a core, and then the tier behind."""
        if not seen.headers.get(b"x-call-id"):
            writer.write(reply(404, b""))
            return
        if self._queued >= QUEUE:
            self.rejected += 1
            writer.write(reply(503, b"", REJECTED))
            return
        kind = seen.headers.get(b"x-call-class", b"").decode()
        began = asyncio.get_running_loop().time()
        self._queued += 1
        try:
            async with self._free:
                # Work varies from request to request, as reports do.
                share = self._share()
                await asyncio.sleep(self.work.get(kind, 0.05) * share / self.speed)
        finally:
            self._queued -= 1
        body = b"report by " + backend.host.encode()
        if self.next_tier is not None:
            behind = await self._call(seen, asyncio.get_running_loop().time() - began)
            if behind is None:
                writer.write(reply(500, b"the tier behind failed"))
                return
            body += b" <- " + behind
        self.served += 1
        writer.write(reply(200, body))

    def _share(self) -> float:
        """What a request takes of the usual work."""
        return 0.5 + self.rng.random()

    async def _call(self, seen: Seen, spent: float) -> bytes | None:
        """A request to the tier behind, with a new id and what is left of the time; None if it fails."""
        budget = seen.headers.get(b"x-budget", b"1000m")
        unit = 1000.0 if budget.endswith(b"m") else 1e6
        left = float(budget[:-1]) / unit - spent
        if left <= 0.0:
            return None
        headers = [
            b"Host: backend.local", b"X-Call-Id: %016x" % self.rng.getrandbits(64),
            b"X-Budget: %dm" % max(1, int(left * 1000.0)),
        ]
        for name in (b"x-call-class", b"x-caller", b"idempotency-key"):
            if name in seen.headers:
                headers.append(name + b": " + seen.headers[name])
        if seen.body or seen.line.startswith(b"POST"):
            headers.append(b"Content-Length: %d" % len(seen.body))
        message = b"\r\n".join([seen.line, *headers, b"", b""]) + seen.body
        with contextlib.suppress(OSError, TimeoutError, AssertionError, asyncio.IncompleteReadError):
            async with asyncio.timeout(left):
                return await self._exchange(message)
        return None

    async def _exchange(self, message: bytes) -> bytes | None:
        assert self.next_tier is not None
        reader, writer = self._idle.pop() if self._idle else await asyncio.open_connection(*self.next_tier)
        done = False
        try:
            if reader.at_eof():
                writer.close()
                reader, writer = await asyncio.open_connection(*self.next_tier)
            writer.write(message)
            answer = await read_message(reader)
            done = answer is not None and answer.headers.get(b"connection", b"").lower() != b"close"
            if answer is None or answer.line.split()[1] != b"200":
                return None
            return answer.body
        finally:
            if done:
                self._idle.append((reader, writer))
            else:
                writer.close()
