"""A stand-in for a service backend, as the protocol describes it, with faults and an observer of its actions.

It has cores, a queue, a cold start, a window in which it recognizes a repeated key, and calls to the next tier. With
a fault set it stalls, corrupts, duplicates or breaks its responses. Work is simulated by waiting, for as long as a
machine of the given speed would take, so it uses almost no processor time.
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

MAX_QUEUE = 32  # requests that may wait for a core
REJECTED = b"X-Rejected: 1"
BACKEND_FAULTS = ("", "stall", "spoil", "double", "reset", "error")
IDLE_TIMEOUT = 5.0  # seconds after which an idle connection is closed


class Observer(Protocol):
    """Receives the events of backends."""

    def on_request(self, backend: ServiceBackend, request: Message) -> None:
        """A request was received completely."""

    def on_rejected(self, backend: ServiceBackend, request: Message) -> None:
        """A request was rejected without running."""

    def on_run(self, backend: ServiceBackend, request: Message, effect: bool) -> None:
        """A request starts to run; it has no effect if its key was recognized."""

    def on_overload(self, backend: ServiceBackend, sent: float, capacity: float) -> None:
        """A cold backend was sent more than its capacity, both in seconds of work in the stated span."""

    def on_call(
        self, backend: ServiceBackend, call: PendingRequest, request: Message, budget: float
    ) -> PendingRequest:
        """The backend is about to call the next tier; the observer may extend the call."""


class NullObserver:
    """An observer that ignores all events."""

    def on_request(self, backend: ServiceBackend, request: Message) -> None: ...

    def on_rejected(self, backend: ServiceBackend, request: Message) -> None: ...

    def on_run(self, backend: ServiceBackend, request: Message, effect: bool) -> None: ...

    def on_overload(self, backend: ServiceBackend, sent: float, capacity: float) -> None: ...

    def on_call(
        self, backend: ServiceBackend, call: PendingRequest, request: Message, budget: float
    ) -> PendingRequest:
        return call


@dataclass
class KeyWindow:
    """The idempotency keys that a group of backends recognizes for `window` seconds."""

    window: float
    _seen_at: dict[bytes, float] = field(default_factory=dict)

    def register(self, now: float, key: bytes) -> bool:
        """Record a key; returns whether it was new."""
        last_seen = self._seen_at.get(key)
        if last_seen is not None and now - last_seen <= self.window:
            return False
        self._seen_at[key] = now
        return True


class BackendConnection(asyncio.Protocol):
    """One connection to a backend, with at most one request running."""

    def __init__(self, backend: ServiceBackend) -> None:
        self._backend = backend
        self.transport: asyncio.Transport | None = None
        self.busy = False
        self.idle_since = 0.0
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.idle_since = self._backend.loop.time()
        self._backend.connections[self] = None

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        if not self.busy:
            self.process_next()

    def process_next(self) -> None:
        """Handle the next request if it was received completely."""
        self.busy = False
        self.idle_since = self._backend.loop.time()
        try:
            request = take_message(self._buffer)
        except ValueError:
            self.abort()
            return
        if request is not None:
            self.busy = True
            self._backend.handle_request(self, request)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._backend.connections.pop(self, None)

    def write(self, data: bytes) -> None:
        """Send data if the connection is open."""
        if self.transport is not None:
            self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


@dataclass(eq=False)
class ServiceBackend:
    """A simulated backend."""

    host: str
    zone: str
    speed: float  # of a core, relative to a reference machine
    work: dict[str, float]  # seconds on a reference core, by class
    keys: KeyWindow
    rng: Random
    observer: Observer = field(default_factory=NullObserver)
    cores: int = 2
    cold_from: float = 1.0  # initial part of its speed
    cold_for: float = 0.0  # seconds until full speed
    # A cold backend fails when it is sent this multiple of its capacity over this many seconds.
    overload_limit: tuple[float, float] | None = None
    next_tier: Address | None = None  # the proxy of the next tier
    abandons_late_calls: bool = False  # whether it abandons a call to the next tier at its deadline
    started_at: float = 0.0
    slow: float = 1.0
    fault: str = ""
    copy_delay: float = 0.0  # seconds after which the fault `double` sends a response once more
    draining: bool = False
    idle_for: float = IDLE_TIMEOUT
    overloaded: bool = False
    served: int = 0
    connections: dict[BackendConnection, None] = field(default_factory=dict)
    loop: asyncio.AbstractEventLoop = field(init=False)
    port: int = 0
    _busy_cores: int = 0
    _queue: deque[tuple[BackendConnection, Message]] = field(default_factory=deque)
    _arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    _stalled: list[BackendConnection] = field(default_factory=list)
    _call_count: int = 0
    _client_pool: ClientPool = field(init=False)
    _server: Any = None

    async def start(self, host: str, port: int = 0) -> None:
        """Start to listen."""
        self.loop = asyncio.get_running_loop()
        self._client_pool = ClientPool(self.loop)
        self._server = await self.loop.create_server(lambda: BackendConnection(self), host, port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.loop.call_later(0.05, self._close_idle)

    def stop(self) -> None:
        """Stop listening, and abort open connections."""
        self._server.close()
        self._client_pool.close()
        for connection in list(self.connections):
            connection.abort()

    @property
    def client_pool(self) -> ClientPool:
        """Its connections to the next tier."""
        return self._client_pool

    def warmth(self) -> float:
        """The current part of its full speed."""
        age = self.loop.time() - self.started_at
        if self.cold_for <= 0.0 or age >= self.cold_for:
            return 1.0
        return self.cold_from + (1.0 - self.cold_from) * age / self.cold_for

    def clear_fault(self) -> None:
        """End the fault; stalled connections are aborted."""
        self.fault = ""
        for connection in self._stalled:
            connection.abort()
        self._stalled.clear()

    def discovery_entry(self, **changes: Any) -> dict[str, Any]:
        """The backend's entry in a list of discovery."""
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

    # ---- requests -----------------------------------------------------------------

    def handle_request(self, connection: BackendConnection, request: Message) -> None:
        """Run, queue or reject a request."""
        self.observer.on_request(self, request)
        if not request.headers.get(b"x-call-id"):
            connection.write(reply(404, b""))
            connection.process_next()
            return
        self._check_overload(request)
        if self.draining or self.overloaded or len(self._queue) >= MAX_QUEUE:
            self.observer.on_rejected(self, request)
            connection.write(reply(503, b"", REJECTED))
            connection.process_next()
        elif self._busy_cores < self.cores:
            self._start_work(connection, request)
        else:
            self._queue.append((connection, request))

    def _work_seconds(self, request: Message) -> float:
        class_name = request.headers.get(b"x-call-class", b"").decode()
        return self.work.get(class_name, 0.05)

    def _check_overload(self, request: Message) -> None:
        """Fail a cold backend that is sent too much work within any span of the stated length."""
        if self.overload_limit is None or self.warmth() >= 1.0 or self.overloaded:
            return
        multiple, span = self.overload_limit
        now = self.loop.time()
        self._arrivals.append((now, self._work_seconds(request)))
        while self._arrivals[0][0] <= now - span:
            self._arrivals.popleft()
        sent = sum(work for _, work in self._arrivals)
        capacity = multiple * self.warmth() * self.cores * self.speed * span + 3.0 * max(self.work.values())
        if sent > capacity:
            self.overloaded = True
            self.observer.on_overload(self, sent, capacity)

    def _start_work(self, connection: BackendConnection, request: Message) -> None:
        self._busy_cores += 1
        key = request.headers.get(b"idempotency-key")
        self.observer.on_run(self, request, key is None or self.keys.register(self.loop.time(), key))
        seconds = self._work_seconds(request) * (0.5 + self.rng.random()) * self.slow / (self.speed * self.warmth())
        self.loop.call_later(seconds, self._on_work_done, connection, request, self.loop.time())

    def _on_work_done(self, connection: BackendConnection, request: Message, started: float) -> None:
        self._busy_cores -= 1
        while self._queue and self._busy_cores < self.cores:
            waiting, queued = self._queue.popleft()
            if waiting.transport is not None:  # else the sender has given up, and the request never runs
                self._start_work(waiting, queued)
        if self.next_tier is not None:
            self._call(connection, request, started)
        else:
            self._respond(connection, request, 200, b"")

    def _call(self, connection: BackendConnection, request: Message, started: float) -> None:
        """Call the next tier with a new id and the remaining budget."""
        assert self.next_tier is not None
        budget = request.headers.get(b"x-budget", b"1000m")
        remaining = float(budget[:-1]) / (1e3 if budget.endswith(b"m") else 1e6) - (self.loop.time() - started)
        if remaining <= 0.0:
            self._respond(connection, request, 500, b"")
            return
        self._call_count += 1
        lines = [
            request.line,
            b"Host: backend.local",
            b"X-Call-Id: %s.%s.%d" % (request.headers[b"x-call-id"], self.host.encode(), self._call_count),
            b"X-Budget: %du" % max(1, int(remaining * 1e6)),
        ]
        lines += [
            name + b": " + request.headers[name]
            for name in (b"x-call-class", b"x-caller", b"idempotency-key", b"x-want")
            if name in request.headers
        ]
        if request.line.startswith(b"POST"):
            lines.append(b"Content-Length: %d" % len(request.body))
        call = PendingRequest(self.next_tier, [b"\r\n".join([*lines, b"", b""]) + request.body])

        def on_end(end: RequestEnd, answer: Message | None) -> None:
            succeeded = answer is not None and answer.status == 200
            self._respond(connection, request, 200 if succeeded else 500, b"")

        call.on_end = on_end
        self._client_pool.send(self.observer.on_call(self, call, request, remaining))
        if self.abandons_late_calls:
            self.loop.call_later(remaining, self._client_pool.abandon, call)

    def _respond(self, connection: BackendConnection, request: Message, status: int, body: bytes) -> None:
        if connection.transport is None:
            return
        if status == 200:
            body = b"report %s by %s " % (request.headers[b"x-call-id"], self.host.encode())
            body = body.ljust(int(request.headers.get(b"x-want", b"0")), b".")
            self.served += 1
        self._write_response(connection, reply(500, b"") if self.fault == "error" else reply(status, body))

    def _write_response(self, connection: BackendConnection, data: bytes) -> None:
        """Write a response, altered by the current fault."""
        if self.fault == "stall":
            connection.write(data[: len(data) // 2])
            self._stalled.append(connection)
            return
        if self.fault == "reset":
            connection.abort()
            return
        if self.fault == "spoil":
            connection.write(self.rng.choice(CORRUPTIONS)(data))
            if connection.transport is not None:
                connection.transport.close()
            return
        if self.fault == "double" and self.copy_delay > 0.0:
            self.loop.call_later(self.copy_delay, connection.write, data)
        connection.write(data + data if self.fault == "double" and self.copy_delay <= 0.0 else data)
        connection.process_next()

    def _close_idle(self) -> None:
        self.loop.call_later(0.05, self._close_idle)
        now = self.loop.time()
        for connection in list(self.connections):
            if (
                not connection.busy
                and now - connection.idle_since > self.idle_for
                and connection.transport is not None
            ):
                connection.transport.close()


CORRUPTIONS: tuple[Callable[[bytes], bytes], ...] = (
    lambda data: data[: len(data) // 3],
    lambda data: data[:-1],
    lambda data: b"\x00\xffnonsense\r\n\r\n" + data,
    lambda data: data.replace(b"HTTP/1.1 200", b"HTTP/1.1 2OO"),
    lambda data: data.replace(b"Content-Length: ", b"Content-Length: 9"),
    lambda data: data.replace(b"Content-Length: ", b"Transfer-Encoding: chunked\r\nContent-Length: "),
)
