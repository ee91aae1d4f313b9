"""The management address: one HTTP/1.1 call per connection, answered at once whatever the load on the proxy.

Imported only where a management address is set. `weldroute.operations` decides on the results of calls.

Clients that hold a connection without sending a complete call must not block others, also in a flood. Each connection
is read as soon as it is accepted, so a call that has arrived is answered before more connections are accepted. When
the connection limit is reached, the connections that have waited longest are closed. The drawback: a client that
sends its call later than EVICTION_GRACE after it connected is disconnected while MAX_CONNECTIONS are open.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import httptools
import orjson

from cometusher.http1 import MAX_HEAD, response_head
from cometusher.runtime import Listener
from weldroute.operations import MAX_CALL_BODY, CallResult, ManagementCall, read_backend_id, route

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 12  # open at the same time
MAX_EVICTIONS = 4  # connections evicted in one pass; in a flood they arrive by the hundred
EVICTION_GRACE = 0.02  # seconds after connecting in which a connection is not evicted: its call may be in transit
ACCEPT_RETRY_DELAY = 0.005  # seconds until an evicted connection may have freed its place
DESCRIPTOR_RETRY_DELAY = 0.05  # seconds; the system has run out of descriptors or memory
MAX_ACCEPTS = 64  # connections accepted in one event loop callback
CALL_TIMEOUT = 5.0  # seconds for reading a call and writing its response


class _CallParser:
    """Parses one call from the bytes of a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._received_bytes = 0
        self.error: CallResult | None = None
        self.complete = False

    def feed(self, data: bytes) -> None:
        """Parse the next bytes; sets `complete` or `error`."""
        self._received_bytes += len(data)
        if self._received_bytes > MAX_HEAD + MAX_CALL_BODY:
            self.error = CallResult(413, "too large")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error = self.error or CallResult(400, "malformed HTTP")

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_CALL_BODY:
            self.error = CallResult(413, "too large")

    def on_message_complete(self) -> None:
        self.complete = True

    def call(self) -> tuple[ManagementCall, str] | CallResult:
        """The call and the backend that it names, or the error result of an invalid call."""
        if self.error is not None:
            return self.error
        call = route(self._parser.get_method(), self._target)
        if isinstance(call, CallResult):
            return call
        if call not in (ManagementCall.EXCLUDE, ManagementCall.INCLUDE):
            return call, ""
        try:
            server = read_backend_id(orjson.loads(self._body))
        except orjson.JSONDecodeError:
            return CallResult(400, "the body is not JSON")
        return server if isinstance(server, CallResult) else (call, server)


class Connection(asyncio.Protocol):
    """One connection, which carries one call and its response."""

    def __init__(self, management: Management) -> None:
        self._management = management
        self._call = _CallParser()
        self.transport: Any = None
        self.opened_at = 0.0
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._management.on_open(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self._call.feed(data)
        if self._call.complete or self._call.error is not None:
            call = self._call.call()
            self.answer(call if isinstance(call, CallResult) else self._management.carry_out(*call))

    def eof_received(self) -> bool:
        return self.answered  # keep the connection open until the response is written

    def connection_lost(self, exc: Exception | None) -> None:
        self._management.on_close(self)

    def answer(self, result: CallResult) -> None:
        """Write the response and close the connection."""
        self.answered = True
        body = orjson.dumps({"ok": result.succeeded, "text": result.text}) + b"\n"
        headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(body))]
        self.transport.write(response_head(result.status, headers, True) + body)
        self.transport.close()


class Management:
    """Serves the management address of one proxy."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        attach: Callable[[Any, Callable[[], asyncio.BaseProtocol]], Any],
        listener: Listener,
        handler: Callable[[ManagementCall, str], CallResult],
    ) -> None:
        self._loop = loop
        self._attach = attach
        self._listener = listener
        self._handler = handler
        self._connections: dict[Connection, None] = {}  # oldest first
        self._attaching = 0  # accepted, but not yet attached to the event loop
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._start_accepting()

    @property
    def port(self) -> int:
        """The port of the listener."""
        return self._listener.port

    def _start_accepting(self) -> None:
        if not self._closed:
            self._listener.watch(self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            if len(self._connections) + self._attaching >= MAX_CONNECTIONS:
                self._evict_idle()
                self._listener.unwatch()
                self._loop.call_later(ACCEPT_RETRY_DELAY, self._start_accepting)
                return
            try:
                connection = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                # The listener stays readable after EMFILE, ENFILE or ENOMEM: without a pause this would spin.
                log.warning("management: accept failed: %s", error)
                self._listener.unwatch()
                self._loop.call_later(DESCRIPTOR_RETRY_DELAY, self._start_accepting)
                return
            self._attaching += 1
            task = self._loop.create_task(self._adopt(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _adopt(self, connection: Any) -> None:
        protocol = Connection(self)
        try:
            await self._attach(connection, lambda: protocol)
        except OSError as error:
            log.info("management: connection failed: %s", error)
            connection.close()
        finally:
            self._attaching -= 1

    def _evict_idle(self) -> None:
        """Abort the oldest connections without a complete call; their places are free once they have closed."""
        opened_before = self._loop.time() - EVICTION_GRACE
        idle = [
            connection
            for connection in self._connections
            if connection.opened_at <= opened_before and not connection.transport.is_closing()
        ]
        for connection in idle[:MAX_EVICTIONS]:
            connection.transport.abort()

    def on_open(self, connection: Connection) -> None:
        """A connection was opened."""
        connection.opened_at = self._loop.time()
        self._connections[connection] = None

    def on_close(self, connection: Connection) -> None:
        """A connection was closed."""
        self._connections.pop(connection, None)

    def carry_out(self, call: ManagementCall, server: str) -> CallResult:
        """Execute a call; an exception becomes a result with status 500."""
        try:
            result = self._handler(call, server)
        except Exception:
            log.exception("management: call failed")
            result = CallResult(500, "internal fault")
        log.info(
            "management call %s%s: %d %s", call.value, f" {server!r}" if server else "", result.status, result.text
        )
        return result

    def sweep(self) -> None:
        """Abort connections that are older than CALL_TIMEOUT."""
        opened_before_timeout = self._loop.time() - CALL_TIMEOUT
        for connection in list(self._connections):
            if connection.opened_at > opened_before_timeout:
                break
            connection.transport.abort()

    def close(self) -> None:
        """Close the listener, and abort connections without a response."""
        self._closed = True
        self._listener.unwatch()
        self._listener.close()
        for connection in list(self._connections):
            if not connection.answered:
                connection.transport.abort()
