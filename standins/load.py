"""An open-loop client: sends requests at a rate, independent of the responses, and counts the outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from standins.messages import Message, Reader, Writer, read_message


@dataclass(frozen=True)
class LoadClass:
    """A class of requests: its share of all, its budget in seconds. Neither keyed nor posted: it is repeatable."""

    name: str
    share: float
    budget: float
    keyed: bool
    posted: bool = False


def quantile(times: Iterable[float], q: float) -> float:
    """The quantile `q` of some times; 0 if there are none."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else 0.0


@dataclass
class LoadCounters:
    """Counts of requests by outcome. A request is lost if its connection ended without a complete response."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    unreachable: int = 0  # no connection could be opened, so nothing was sent
    times: list[float] = field(default_factory=list)  # seconds, of served requests

    def quantile(self, q: float) -> float:
        """Quantile of the response times in seconds; 0 if nothing was served."""
        return quantile(self.times, q)


class Load:
    """Sends requests at a rate over persistent connections, one at a time on each."""

    def __init__(
        self,
        addresses: Sequence[tuple[str, int]],
        classes: Sequence[LoadClass],
        tenants: Sequence[str],
        rate: float,
        seed: int,
    ) -> None:
        self._addresses = addresses
        self._classes = classes
        self._tenants = tenants
        self.rate = rate
        self._rng = Random(seed)
        self._idle: dict[tuple[str, int], list[tuple[Reader, Writer]]] = {address: [] for address in addresses}
        self._tasks: set[asyncio.Task[None]] = set()
        self.resends = True  # send again on a new connection if a reused one ended without a byte of a response
        self.counters = LoadCounters()
        self.recent = LoadCounters()  # since the last `take_recent`

    def take_recent(self) -> LoadCounters:
        """Return and reset the counts since the last call."""
        recent, self.recent = self.recent, LoadCounters()
        return recent

    async def run(self, stop: asyncio.Event) -> None:
        """Send requests until `stop` is set, then wait for the outstanding responses."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while not stop.is_set():
            due += self._rng.expovariate(self.rate)
            delay = due - loop.time()
            if delay > 0.0:
                await asyncio.sleep(delay)
            task = loop.create_task(self._send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        while self._tasks:
            await asyncio.wait(self._tasks)
        for idle in self._idle.values():
            for _, writer in idle:
                writer.close()

    def _build_message(self, request_class: LoadClass) -> bytes:
        tenant = self._rng.choice(self._tenants)
        lines = [
            b"POST /api HTTP/1.1" if request_class.keyed or request_class.posted else b"GET /api HTTP/1.1",
            b"Host: backend.local",
            b"X-Call-Id: %016x" % self._rng.getrandbits(64),
            b"X-Call-Class: " + request_class.name.encode(),
            b"X-Caller: " + tenant.encode(),
            b"X-Budget: %dm" % int(request_class.budget * 1000),
        ]
        if request_class.keyed:
            lines.append(b"Idempotency-Key: %032x" % self._rng.getrandbits(128))
        body = b"draft" if request_class.keyed or request_class.posted else b""
        if body:
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join([*lines, b"", b""]) + body

    def check(self, message: bytes, answer: Message) -> None:
        """Called for each complete response; subclasses may check it."""

    async def _send_one(self) -> None:
        request_class = self._rng.choices(self._classes, [item.share for item in self._classes])[0]
        address = self._rng.choice(self._addresses)
        began = asyncio.get_running_loop().time()
        outcome = await self._send(address, self._build_message(request_class), request_class.budget)
        for counters in (self.counters, self.recent):
            counters.sent += outcome != "unreachable"
            setattr(counters, outcome, getattr(counters, outcome) + 1)
        if outcome == "served":
            # Only in `recent`, so that the memory of a client that runs for hours does not grow.
            self.recent.times.append(asyncio.get_running_loop().time() - began)

    async def _send(self, address: tuple[str, int], message: bytes, budget: float) -> str:
        """Send a request; again on a new connection if the proxy closed a reused one between requests."""
        idle = self._idle[address]
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                outcome = await self._exchange(address, reader, writer, message, budget, self.resends)
                if outcome is not None:
                    return outcome
                break
            writer.close()
        try:
            async with asyncio.timeout(budget):
                reader, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError):
            return "unreachable"
        return await self._exchange(address, reader, writer, message, budget, False) or "lost"

    async def _exchange(
        self, address: tuple[str, int], reader: Reader, writer: Writer, message: bytes, budget: float, reused: bool
    ) -> str | None:
        """Send on a connection; None if a reused one ended without a response, as it crossed the proxy's close."""
        reusable = False
        response_begun = False
        try:
            writer.write(message)
            async with asyncio.timeout(budget + 1.0):
                answer = await read_message(reader)
            if answer is None:
                return None if reused else "lost"
            response_begun = True
            self.check(message, answer)
            reusable = answer.headers.get(b"connection", b"").lower() != b"close"
            status = answer.status
            return "served" if status == 200 else "refused" if status in (429, 503) else "failed"
        except (OSError, AssertionError, asyncio.IncompleteReadError):
            return None if reused and not response_begun else "lost"
        except TimeoutError:
            return "lost"
        finally:
            if reusable:
                self._idle[address].append((reader, writer))
            else:
                writer.close()
