"""A client that sends at a rate, whatever becomes of it, and counts what came back."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from standins.messages import Message, Reader, Writer, read_message


@dataclass(frozen=True)
class LoadClass:
    """A class of request; `share` of all, `budget` in seconds. Neither keyed nor `posted`: it can be repeated."""

    name: str
    share: float
    budget: float
    keyed: bool
    posted: bool = False


def quantile(times: Iterable[float], q: float) -> float:
    """The time within which such a part of them is; 0 where there is none."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else 0.0


@dataclass
class LoadCounters:
    """What became of requests. A request is lost when its connection ended with no whole answer."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    unreachable: int = 0  # no connection was to be had: nothing was sent
    times: list[float] = field(default_factory=list)  # seconds, of what was served

    def quantile(self, q: float) -> float:
        """Seconds; 0 where nothing was served."""
        return quantile(self.times, q)


class Load:
    """Requests at a rate, over kept connections, one at a time on each."""

    def __init__(
        self,
        addresses: Sequence[tuple[str, int]],
        kinds: Sequence[LoadClass],
        tenants: Sequence[str],
        rate: float,
        seed: int,
    ) -> None:
        self._addresses = addresses
        self._kinds = kinds
        self._tenants = tenants
        self.rate = rate
        self._rng = Random(seed)
        self._idle: dict[tuple[str, int], list[tuple[Reader, Writer]]] = {address: [] for address in addresses}
        self._tasks: set[asyncio.Task[None]] = set()
        self.resends = True  # on a new connection, what a kept one ended without a byte of an answer
        self.counters = LoadCounters()
        self.recent = LoadCounters()  # since the last look

    def take_recent(self) -> LoadCounters:
        """The figures since the last look."""
        recent, self.recent = self.recent, LoadCounters()
        return recent

    async def run(self, stop: asyncio.Event) -> None:
        """Send until told to stop, then wait for the answers that are owed."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while not stop.is_set():
            due += self._rng.expovariate(self.rate)
            delay = due - loop.time()
            if delay > 0.0:
                await asyncio.sleep(delay)
            task = loop.create_task(self._one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(self._tasks)
        for idle in self._idle.values():
            for _, writer in idle:
                writer.close()

    def _message(self, kind: LoadClass) -> bytes:
        tenant = self._rng.choice(self._tenants)
        lines = [
            b"POST /api HTTP/1.1" if kind.keyed or kind.posted else b"GET /api HTTP/1.1",
            b"Host: backend.local",
            b"X-Call-Id: %016x" % self._rng.getrandbits(64),
            b"X-Call-Class: " + kind.name.encode(),
            b"X-Caller: " + tenant.encode(),
            b"X-Budget: %dm" % int(kind.budget * 1000),
        ]
        if kind.keyed:
            lines.append(b"Idempotency-Key: %032x" % self._rng.getrandbits(128))
        body = b"draft" if kind.keyed or kind.posted else b""
        if body:
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join([*lines, b"", b""]) + body

    def check(self, message: bytes, answer: Message) -> None:
        """A whole answer has come; for those who look closer."""

    async def _one(self) -> None:
        kind = self._rng.choices(self._kinds, [k.share for k in self._kinds])[0]
        address = self._rng.choice(self._addresses)
        began = asyncio.get_running_loop().time()
        how = await self._send(address, self._message(kind), kind.budget)
        for figures in (self.counters, self.recent):
            figures.sent += how != "unreachable"
            setattr(figures, how, getattr(figures, how) + 1)
        if how == "served":
            # Only the recent ones: a client that runs for hours must not grow.
            self.recent.times.append(asyncio.get_running_loop().time() - began)

    async def _send(self, address: tuple[str, int], message: bytes, budget: float) -> str:
        """One request; once more on a new connection where the proxy closed a kept one between requests."""
        idle = self._idle[address]
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                how = await self._exchange(address, reader, writer, message, budget, self.resends)
                if how is not None:
                    return how
                break
            writer.close()
        try:
            async with asyncio.timeout(budget):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            return "unreachable"
        return await self._exchange(address, reader, writer, message, budget, False) or "lost"

    async def _exchange(
        self, address: tuple[str, int], reader: Reader, writer: Writer, message: bytes, budget: float, kept: bool
    ) -> str | None:
        """None where a `kept` connection ended with nothing sent: that crossed the proxy's close."""
        keep = False
        begun = False
        try:
            writer.write(message)
            async with asyncio.timeout(budget + 1.0):
                answer = await read_message(reader)
            if answer is None:
                return None if kept else "lost"
            begun = True
            self.check(message, answer)
            keep = answer.headers.get(b"connection", b"").lower() != b"close"
            status = answer.status
            return "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        except (OSError, AssertionError, asyncio.IncompleteReadError):
            return None if kept and not begun else "lost"
        except TimeoutError:
            return "lost"
        finally:
            if keep:
                self._idle[address].append((reader, writer))
            else:
                writer.close()
