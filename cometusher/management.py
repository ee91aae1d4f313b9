"""The operators' address: one call of HTTP/1.1 to a connection, answered at once whatever else goes on.

Imported only where an address is set. Verdicts come from `weldroute.operations`; nothing here decides.

Guards against callers that hold a connection and send no whole call: a connection is read as soon as it is
accepted, so that a call that has come is answered before others are looked at, and where all places are taken the
one that has been silent longest gives way. Ought to hold against floods of any kind. Harm: a caller whose call comes
later than YOUNG after its connection is cut off while MOST others wait.
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

MOST = 12  # connections at once
EVICT = 4  # that give way at once: they come by the hundred
YOUNG = 0.02  # seconds in which one that has connected is left alone: its call is on its way
AGAIN = 0.005  # seconds until there may be a place...
SHORT = 0.05  # ...and until there may be a descriptor, where the system has none left
ACCEPTS = 64  # at one wake-up
CALL_TIME = 5.0  # seconds for a whole call, and for its answer to be taken


class _Reader:
    """One call out of the bytes of a connection."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body = b""
        self._read = 0
        self.fault: CallResult | None = None
        self.whole = False

    def feed(self, data: bytes) -> None:
        """Read on; sets `whole` or `fault`."""
        self._read += len(data)
        if self._read > MAX_HEAD + MAX_CALL_BODY:
            self.fault = CallResult(413, "too large")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fault = self.fault or CallResult(400, "malformed HTTP")

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_CALL_BODY:
            self.fault = CallResult(413, "too large")

    def on_message_complete(self) -> None:
        self.whole = True

    def call(self) -> tuple[ManagementCall, str] | CallResult:
        """What is asked, and of which backend; the verdict where it makes no sense."""
        if self.fault is not None:
            return self.fault
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
    """One connection: one call, one answer."""

    def __init__(self, management: Management) -> None:
        self._management = management
        self._reader = _Reader()
        self.transport: Any = None
        self.since = 0.0
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._management.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self._reader.feed(data)
        if self._reader.whole or self._reader.fault is not None:
            call = self._reader.call()
            self.answer(call if isinstance(call, CallResult) else self._management.carry_out(*call))

    def eof_received(self) -> bool:
        return self.answered  # an answer under way is finished

    def connection_lost(self, exc: Exception | None) -> None:
        self._management.closed(self)

    def answer(self, verdict: CallResult) -> None:
        """Say it, and close."""
        self.answered = True
        body = orjson.dumps({"ok": verdict.succeeded, "text": verdict.text}) + b"\n"
        headers = [(b"content-type", b"application/json"), (b"content-length", b"%d" % len(body))]
        self.transport.write(response_head(verdict.status, headers, True) + body)
        self.transport.close()


class Management:
    """The second address of one proxy."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        attach: Callable[[Any, Callable[[], asyncio.Protocol]], Any],
        listener: Listener,
        handler: Callable[[ManagementCall, str], CallResult],
    ) -> None:
        self._loop = loop
        self._attach = attach
        self._listener = listener
        self._handler = handler
        self._connections: dict[Connection, None] = {}  # oldest first
        self._joining = 0  # accepted, and not yet up
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._watch()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._listener.port

    def _watch(self) -> None:
        if not self._closed:
            self._listener.watch(self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if len(self._connections) + self._joining >= MOST:
                self._make_room()
                self._listener.unwatch()
                self._loop.call_later(AGAIN, self._watch)
                return
            try:
                connection = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as fault:
                # Guards against spinning on a listener that stays readable: EMFILE, ENFILE, ENOMEM.
                log.warning("a call's connection is not accepted: %s", fault)
                self._listener.unwatch()
                self._loop.call_later(SHORT, self._watch)
                return
            self._joining += 1
            task = self._loop.create_task(self._adopt(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _adopt(self, connection: Any) -> None:
        protocol = Connection(self)
        try:
            await self._attach(connection, lambda: protocol)
        except OSError as fault:
            log.info("a call's connection failed: %s", fault)
            connection.close()
        finally:
            self._joining -= 1

    def _make_room(self) -> None:
        """End those that have said nothing whole for longest; their places are free when they have closed."""
        young = self._loop.time() - YOUNG
        silent = [
            connection
            for connection in self._connections
            if connection.since <= young and not connection.transport.is_closing()
        ]
        for connection in silent[:EVICT]:
            connection.transport.abort()

    def opened(self, connection: Connection) -> None:
        """A connection is up."""
        connection.since = self._loop.time()
        self._connections[connection] = None

    def closed(self, connection: Connection) -> None:
        """A connection is gone."""
        self._connections.pop(connection, None)

    def carry_out(self, call: ManagementCall, server: str) -> CallResult:
        """A whole call."""
        try:
            verdict = self._handler(call, server)
        except Exception:
            log.exception("a call failed")
            verdict = CallResult(500, "internal fault")
        log.info("call %s%s: %d %s", call.value, f" {server!r}" if server else "", verdict.status, verdict.text)
        return verdict

    def sweep(self) -> None:
        """Close what takes too long."""
        old = self._loop.time() - CALL_TIME
        for connection in list(self._connections):
            if connection.since > old:
                break
            connection.transport.abort()

    def close(self) -> None:
        """Listen no more, and end what is open."""
        self._closed = True
        self._listener.unwatch()
        self._listener.close()
        for connection in list(self._connections):
            if not connection.answered:
                connection.transport.abort()
