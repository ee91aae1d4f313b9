"""A service backend as the protocol describes them, with a memory, a temper and an account of what it did.

Cores, a queue, a cold start, a window in which a repeated key is recognised, calls to the tier behind; and moods in
which it stalls, spoils, doubles or breaks its answers. Its work is waiting: it says how a machine of a given speed
would behave, and costs this one next to nothing.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol, cast

from standins.client_connections import Address, ClientPool, PendingRequest, RequestEnd
from standins.messages import Message, reply, take_message

QUEUE = 32  # requests that wait for a core
REJECTED = b"X-Rejected: 1"
BACKEND_FAULTS = ("", "stall", "spoil", "double", "reset", "error")
IDLE = 5.0  # seconds after which an idle connection is closed


class Observer(Protocol):
    """Who keeps the account."""

    def on_request(self, node: ServiceBackend, seen: Message) -> None:
        """A request's last byte has come."""

    def on_rejected(self, node: ServiceBackend, seen: Message) -> None:
        """It was turned away, and never ran."""

    def on_run(self, node: ServiceBackend, seen: Message, effect: bool) -> None:
        """It begins to run; with no effect if its key was recognised."""

    def on_overload(self, node: ServiceBackend, sent: float, carries: float) -> None:
        """Cold, it was sent more than it bears: seconds of work in the span, and what it would bear."""

    def on_call(self, node: ServiceBackend, parcel: PendingRequest, seen: Message, budget: float) -> PendingRequest:
        """It is about to call the tier behind; the account may add to the parcel."""


class NullObserver:
    """An observer that keeps nothing."""

    def on_request(self, node: ServiceBackend, seen: Message) -> None: ...

    def on_rejected(self, node: ServiceBackend, seen: Message) -> None: ...

    def on_run(self, node: ServiceBackend, seen: Message, effect: bool) -> None: ...

    def on_overload(self, node: ServiceBackend, sent: float, carries: float) -> None: ...

    def on_call(self, node: ServiceBackend, parcel: PendingRequest, seen: Message, budget: float) -> PendingRequest:
        return parcel


@dataclass
class KeyWindow:
    """What a group of nodes remembers of keyed requests."""

    window: float
    _known: dict[bytes, float] = field(default_factory=dict)

    def register(self, now: float, key: bytes) -> bool:
        """Whether a key is new; it is known from here on."""
        at = self._known.get(key)
        if at is not None and now - at <= self.window:
            return False
        self._known[key] = now
        return True


class BackendConnection(asyncio.Protocol):
    """One connection to a node."""

    def __init__(self, node: ServiceBackend) -> None:
        self._node = node
        self.transport: asyncio.Transport | None = None
        self.busy = False
        self.since = 0.0
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.since = self._node.loop.time()
        self._node.connections[self] = None

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if not self.busy:
            self.next()

    def next(self) -> None:
        """Take the next request, if it is whole."""
        self.busy = False
        self.since = self._node.loop.time()
        try:
            seen = take_message(self._buffer)
        except ValueError:
            self.abort()
            return
        if seen is not None:
            self.busy = True
            self._node.handle_request(self, seen)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._node.connections.pop(self, None)

    def write(self, data: bytes) -> None:
        """Send, if anybody is there."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Break off."""
        if self.transport is not None:
            self.transport.abort()


@dataclass(eq=False)
class ServiceBackend:
    """One backend."""

    host: str
    zone: str
    speed: float  # of a core, against a yardstick machine
    work: dict[str, float]  # seconds of a yardstick core, by class
    keys: KeyWindow
    rng: Random
    observer: Observer = field(default_factory=NullObserver)
    cores: int = 2
    cold_from: float = 1.0  # the part of its speed that it starts with...
    cold_for: float = 0.0  # ...and the seconds until it has all of it
    overload_limit: tuple[float, float] | None = (
        None  # it falls over at so many times what it carries, for so many seconds
    )
    next_tier: Address | None = None  # the proxy before the tier behind...
    abandons_late_calls: bool = False  # ...which it leaves when its time is over
    started_at: float = 0.0
    slow: float = 1.0
    fault: str = ""
    draining: bool = False
    idle_for: float = IDLE
    overloaded: bool = False
    served: int = 0
    connections: dict[BackendConnection, None] = field(default_factory=dict)
    loop: asyncio.AbstractEventLoop = field(init=False)
    port: int = 0
    _busy: int = 0
    _queue: deque[tuple[BackendConnection, Message]] = field(default_factory=deque)
    _arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    _stalled: list[BackendConnection] = field(default_factory=list)
    _calls: int = 0
    _courier: ClientPool = field(init=False)
    _server: Any = None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen."""
        self.loop = asyncio.get_running_loop()
        self._courier = ClientPool(self.loop)
        self._server = await self.loop.create_server(lambda: BackendConnection(self), host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.loop.call_later(0.05, self._sweep)

    def stop(self) -> None:
        """Listen no more, and break off what is open."""
        self._server.close()
        self._courier.close()
        for visit in list(self.connections):
            visit.abort()

    @property
    def client_pool(self) -> ClientPool:
        """Its connections to the tier behind."""
        return self._courier

    def warmth(self) -> float:
        """The part of its speed that it has."""
        age = self.loop.time() - self.started_at
        if self.cold_for <= 0.0 or age >= self.cold_for:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * age / self.cold_for

    def clear_fault(self) -> None:
        """The mood is over; what was stalled breaks."""
        self.fault = ""
        for visit in self._stalled:
            visit.abort()
        self._stalled.clear()

    def discovery_entry(self, **changes: Any) -> dict[str, Any]:
        """Discovery's line about it."""
        line = {
            "host": self.host,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": "m",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        return line | changes

    # ---- a request's way -----------------------------------------------------------------

    def handle_request(self, visit: BackendConnection, seen: Message) -> None:
        """A whole request."""
        self.observer.on_request(self, seen)
        if not seen.headers.get(b"x-call-id"):
            visit.write(reply(404, b""))
            visit.next()
            return
        self._weigh(seen)
        if self.draining or self.overloaded or len(self._queue) >= QUEUE:
            self.observer.on_rejected(self, seen)
            visit.write(reply(503, b"", REJECTED))
            visit.next()
        elif self._busy < self.cores:
            self._run(visit, seen)
        else:
            self._queue.append((visit, seen))

    def _work(self, seen: Message) -> float:
        kind = seen.headers.get(b"x-call-class", b"").decode()
        return self.work.get(kind, 0.05)

    def _weigh(self, seen: Message) -> None:
        """A cold node falls over when it is sent too much; the budget is that of any span of the stated length."""
        if self.overload_limit is None or self.warmth() >= 1.0 or self.overloaded:
            return
        multiple, span = self.overload_limit
        now = self.loop.time()
        self._arrivals.append((now, self._work(seen)))
        while self._arrivals[0][0] <= now - span:
            self._arrivals.popleft()
        sent = sum(work for _, work in self._arrivals)
        carries = multiple * self.warmth() * self.cores * self.speed * span + 3.0 * max(self.work.values())
        if sent > carries:
            self.overloaded = True
            self.observer.on_overload(self, sent, carries)

    def _run(self, visit: BackendConnection, seen: Message) -> None:
        self._busy += 1
        key = seen.headers.get(b"idempotency-key")
        self.observer.on_run(self, seen, key is None or self.keys.register(self.loop.time(), key))
        seconds = self._work(seen) * (0.5 + self.rng.random()) * self.slow / (self.speed * self.warmth())
        self.loop.call_later(seconds, self._worked, visit, seen, self.loop.time())

    def _worked(self, visit: BackendConnection, seen: Message, began: float) -> None:
        self._busy -= 1
        while self._queue and self._busy < self.cores:
            waiting, request = self._queue.popleft()
            if waiting.transport is not None:  # else its sender gave up: it never runs
                self._run(waiting, request)
        if self.next_tier is not None:
            self._call(visit, seen, began)
        else:
            self._answer(visit, seen, 200, b"")

    def _call(self, visit: BackendConnection, seen: Message, began: float) -> None:
        """A request to the tier behind, with a new id and what is left of the time."""
        assert self.next_tier is not None
        budget = seen.headers.get(b"x-budget", b"1000m")
        left = float(budget[:-1]) / (1e3 if budget.endswith(b"m") else 1e6) - (self.loop.time() - began)
        if left <= 0.0:
            self._answer(visit, seen, 500, b"")
            return
        self._calls += 1
        rows = [
            seen.line,
            b"Host: backend.local",
            b"X-Call-Id: %s.%s.%d" % (seen.headers[b"x-call-id"], self.host.encode(), self._calls),
            b"X-Budget: %du" % max(1, int(left * 1e6)),
        ]
        rows += [
            name + b": " + seen.headers[name]
            for name in (b"x-call-class", b"x-caller", b"idempotency-key", b"x-want")
            if name in seen.headers
        ]
        if seen.line.startswith(b"POST"):
            rows.append(b"Content-Length: %d" % len(seen.body))
        parcel = PendingRequest(self.next_tier, [b"\r\n".join([*rows, b"", b""]) + seen.body])

        def done(end: RequestEnd, answer: Message | None) -> None:
            good = answer is not None and answer.status == 200
            self._answer(visit, seen, 200 if good else 500, b"")

        parcel.on_end = done
        self._courier.send(self.observer.on_call(self, parcel, seen, left))
        if self.abandons_late_calls:
            self.loop.call_later(left, self._courier.abandon, parcel)

    def _answer(self, visit: BackendConnection, seen: Message, status: int, body: bytes) -> None:
        if visit.transport is None:
            return
        if status == 200:
            body = b"report %s by %s " % (seen.headers[b"x-call-id"], self.host.encode())
            body = body.ljust(int(seen.headers.get(b"x-want", b"0")), b".")
            self.served += 1
        self._speak(visit, reply(500, b"") if self.fault == "error" else reply(status, body))

    def _speak(self, visit: BackendConnection, data: bytes) -> None:
        """Write an answer, as the mood has it."""
        if self.fault == "stall":
            visit.write(data[: len(data) // 2])
            self._stalled.append(visit)
            return
        if self.fault == "reset":
            visit.abort()
            return
        if self.fault == "spoil":
            visit.write(self.rng.choice(SPOILT)(data))
            if visit.transport is not None:
                visit.transport.close()
            return
        visit.write(data + data if self.fault == "double" else data)
        visit.next()

    def _sweep(self) -> None:
        self.loop.call_later(0.05, self._sweep)
        now = self.loop.time()
        for visit in list(self.connections):
            if not visit.busy and now - visit.since > self.idle_for and visit.transport is not None:
                visit.transport.close()


SPOILT: tuple[Callable[[bytes], bytes], ...] = (
    lambda data: data[: len(data) // 3],
    lambda data: data[:-1],
    lambda data: b"\x00\xffnonsense\r\n\r\n" + data,
    lambda data: data.replace(b"HTTP/1.1 200", b"HTTP/1.1 2OO"),
    lambda data: data.replace(b"Content-Length: ", b"Content-Length: 9"),
    lambda data: data.replace(b"Content-Length: ", b"Transfer-Encoding: chunked\r\nContent-Length: "),
)
