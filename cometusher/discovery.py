"""Client of the discovery service: parses the list of backends and keeps it up to date with a watch.

Where discovery pushes lists, this module renews the watch by itself, which costs other parts nothing. Where discovery
is polled, weldroute decides on each call: `subscribe` makes one, and its end is reported as BROKEN.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

import httptools
import orjson

from cometusher.config import Address, ConfigError, read_address, stable_number
from weldroute import ListKind, ServerRow, State

log = logging.getLogger(__name__)

STATES = {"in_service": State.UP, "terminating": State.DRAINING, "terminated": State.GONE}
# The proxy must know a change within 6 s of the time at which discovery had it and was reachable, whatever failed
# before. The worst case is a call without an answer, opened just before discovery became reachable again, plus one
# retry: 3.0 + 1.5 s where lists are pushed. Where discovery is polled, weldroute schedules the retry: 3.0 + 2.4 s.
HEARTBEAT_TIMEOUT = 3.0  # seconds of silence after which a watch is dead; an empty line is due every 2 s
FIRST_BYTE_TIMEOUT = 3.0  # seconds from a request to the first byte of its response
LATE_CALL_TIMEOUT = 9.0  # seconds that a call without an answer goes on beside the next ones
MAX_LATE_CALLS = 2  # at once; each holds a descriptor
CONNECT_TIMEOUT = 1.0  # seconds
BACKOFF_MIN, BACKOFF_MAX = 0.1, 1.0  # seconds between attempts where lists are pushed, before jitter of half as much
ENTRIES_PER_TURN = 64  # entries applied without a return to the event loop, so that requests don't wait for them
MAX_MESSAGE = 16 * 1024 * 1024  # bytes of one message over all of its lines

_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"')

_HEX_SUFFIX = re.compile(r"(?:^|.*[-_.])([0-9a-f]{1,8})")


class MalformedAnswer(Exception):
    """A response of discovery is not valid HTTP or not a valid list."""


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """One backend as discovery describes it."""

    row: ServerRow
    address: Address
    host: str = ""


@dataclass(frozen=True, slots=True)
class BackendList:
    """One message of discovery: the whole list, or a change to it."""

    seq: int
    whole: bool
    entries: Sequence[BackendEntry]


def server_id(host: str) -> int:
    """The number of a host in weldroute, the same at every proxy."""
    match = _HEX_SUFFIX.fullmatch(host)
    return int(match[1], 16) if match else stable_number(host)


def _number(value: Any, default: float) -> float:
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


def parse_entry(item: Any, zones: Sequence[str]) -> BackendEntry:
    """Parse one entry; raises KeyError, TypeError, ValueError, AttributeError or ConfigError if it is malformed."""
    host, site = item["host"], item.get("site")
    if not isinstance(host, str) or not host:
        raise TypeError("host is not a name")
    row = ServerRow(
        server=server_id(host),
        # A backend with an unknown health value gets no new requests.
        state=STATES.get(item.get("health", "in_service"), State.DRAINING),
        zone=zones.index(site) if site in zones else len(zones),
        cell=int(_number(item.get("block"), 0)),
        size=_number(item.get("share"), 1.0),
        started=_number(item.get("born_ms"), 0.0) / 1000.0,
    )
    return BackendEntry(row, read_address(item.get("dial"), "dial"), host)


def parse_list(value: Any, zones: Sequence[str]) -> BackendList:
    """Parse a message; raises MalformedAnswer. A malformed entry is skipped, as the others may announce drains."""
    if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
        raise MalformedAnswer("not a list of hosts")
    seq = value.get("seq", 0)
    if isinstance(seq, bool) or not isinstance(seq, int):
        raise MalformedAnswer("seq is not a number")
    entries = []
    for item in value["hosts"]:
        try:
            entries.append(parse_entry(item, zones))
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as error:
            log.warning("discovery: skipped a malformed entry: %s", error)
    return BackendList(seq, value.get("whole") is True, entries)


class _MessageParser:
    """Splits the body of an HTTP response into messages: one JSON object each, on one line or indented over several.

    An empty line between messages is a heartbeat; one inside a message means that the rest of it was lost.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._partial_line = b""  # the received part of the current line
        self._message_lines: list[bytes] = []  # lines of the incomplete message
        self._message_size = 0  # bytes of these lines
        self._bracket_depth = 0  # brackets that are open in these lines
        self.messages: list[bytes] = []
        self.status = 0
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Parse the next bytes; raises MalformedAnswer."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedAnswer(f"malformed HTTP: {error}") from None

    def finish(self) -> None:
        """Process the last line, which needs no line end; no more bytes follow."""
        self._on_line(self._partial_line)
        self._partial_line = b""

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            self._on_line(line)
        if self._message_size + len(self._partial_line) > MAX_MESSAGE:
            raise MalformedAnswer("a message exceeds the size limit")

    def on_message_complete(self) -> None:
        self.finish()
        self.ended = True

    def _on_line(self, line: bytes) -> None:
        if not line.strip():
            if self._message_lines:
                raise MalformedAnswer("an incomplete message")
            return
        self._message_lines.append(line)
        self._message_size += len(line)
        without_strings = _JSON_STRING.sub(b"", line)
        self._bracket_depth += (
            without_strings.count(b"{")
            + without_strings.count(b"[")
            - without_strings.count(b"}")
            - without_strings.count(b"]")
        )
        if self._bracket_depth <= 0:
            self.messages.append(b"\n".join(self._message_lines))
            self._message_lines = []
            self._message_size = self._bracket_depth = 0


class DiscoveryClient:
    """One proxy's connection to discovery."""

    def __init__(
        self,
        address: Address,
        zones: Sequence[str],
        seq: int,
        pushed: bool,
        rng: Random,
        on_change: Callable[[ListKind, Sequence[BackendEntry]], None],
    ) -> None:
        self._address = address
        self._zones = zones
        self._seq = seq
        self._pushed = pushed
        self._rng = rng
        self._on_change = on_change
        self.max_backoff = BACKOFF_MAX  # seconds between attempts at most
        self._list_received = False  # on the current watch
        self.first_attempt_done = asyncio.Event()  # the first list was received, or the first attempt failed
        self._task: asyncio.Task[None] | None = None
        self._late_calls: list[asyncio.Task[None]] = []  # without a first byte in time, the longest first

    @property
    def seq(self) -> int:
        """Version of the last list received."""
        return self._seq

    @property
    def has_current_list(self) -> bool:
        """Whether an open watch has delivered a list, so that the known list is discovery's current one."""
        return self._list_received and self._task is not None and not self._task.done()

    def resume(self, seq: int) -> None:
        """Continue from a version that another process received; to be called before `start`."""
        self._seq = seq

    def start(self) -> None:
        """Open the watch where lists are pushed; polling starts with `subscribe`."""
        if self._pushed:
            self._task = asyncio.get_running_loop().create_task(self._watch_forever())

    def subscribe(self) -> None:
        """Poll discovery where lists are not pushed; no effect while a watch is open, as it delivers the list."""
        if not self._pushed and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._poll_once())

    def change_address(self, address: Address) -> None:
        """Use a discovery service at another address from now on.

        The old watch is closed, so that the proxy does not follow a service that was taken out of operation. Version
        numbers of another service may differ, so the whole list is requested instead of a patch to the known one.
        """
        if address == self._address:
            return
        self._address = address
        self._seq = 0
        self._drop_late_calls()
        if self._task is None or self._task.done():
            return
        self._task.cancel()
        self._task = None
        if self._pushed:
            self.start()
        else:
            self._on_change(ListKind.BROKEN, ())  # weldroute decides when to poll again

    async def stop(self) -> None:
        """Close the watch."""
        self._drop_late_calls()
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _poll_once(self) -> None:
        await self._run_watch(self._watch())
        self._on_change(ListKind.BROKEN, ())

    async def _watch_forever(self) -> None:
        backoff = BACKOFF_MIN
        while True:
            await self._run_watch(self._watch())
            if self._list_received:
                backoff = BACKOFF_MIN
            # The jitter spreads the reconnects of all proxies, which lost the same service at the same time.
            await asyncio.sleep(backoff * (0.5 + self._rng.random()))
            backoff = min(2.0 * backoff, self.max_backoff)

    async def _run_watch(self, watch: Coroutine[Any, Any, None]) -> None:
        """Run one watch until it ends, and log the reason."""
        self._list_received = False
        try:
            await watch
        except (OSError, EOFError, TimeoutError, MalformedAnswer) as error:
            log.info("discovery: watch ended: %s", str(error) or "timeout")
        except Exception:
            log.exception("discovery: watch failed")
        self.first_attempt_done.set()

    async def _watch(self) -> None:
        """Make a call, and follow its answer to the end."""
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*self._address)
        try:
            host = "{}:{}".format(*self._address)
            writer.write(f"GET /discovery/hosts?watch=1&from={self._seq} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            async with asyncio.timeout(FIRST_BYTE_TIMEOUT):
                first_bytes = await reader.read(65536)
        except TimeoutError:
            self._keep_late_call(reader, writer)
            raise
        except BaseException:
            writer.close()
            raise
        await self._follow(reader, writer, first_bytes)

    async def _follow(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Apply what has come of an answer, and the rest as it comes."""
        try:
            body = _MessageParser()
            while True:
                if data:
                    body.feed(data)
                else:
                    body.finish()
                if body.status == 200:
                    self._drop_late_calls()
                elif body.status:
                    raise MalformedAnswer(f"status {body.status}")
                messages, body.messages = body.messages, []
                await self._apply(messages)
                if not data:
                    raise EOFError("closed by discovery")
                if body.ended:
                    return
                # A machine that disappears closes no connection: only missing heartbeats reveal it.
                async with asyncio.timeout(HEARTBEAT_TIMEOUT):
                    data = await reader.read(65536)
        finally:
            writer.close()

    # ---- calls that are answered late ----------------------------------------------------

    def _keep_late_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Let a call without an answer go on beside the next one: discovery may be slow, and the next one as slow."""
        self._late_calls = [call for call in self._late_calls if not call.done()]
        if len(self._late_calls) >= MAX_LATE_CALLS:
            self._late_calls.pop(0).cancel()
        self._late_calls.append(asyncio.get_running_loop().create_task(self._await_late_answer(reader, writer)))

    def _drop_late_calls(self) -> None:
        for call in self._late_calls:
            call.cancel()
        self._late_calls.clear()

    async def _await_late_answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wait for the answer to a late call; if it comes before that to a later one, follow it instead of that."""
        try:
            async with asyncio.timeout(LATE_CALL_TIMEOUT):
                data = await reader.read(65536)
        except (OSError, TimeoutError):
            data = b""
        except BaseException:
            writer.close()
            raise
        if not data:
            writer.close()
            return
        this_call = asyncio.current_task()
        assert this_call is not None
        self._late_calls.remove(this_call)
        self._drop_late_calls()
        if self._task is not None:
            self._task.cancel()
        self._task = this_call
        await self._run_watch(self._follow(reader, writer, data))
        if self._pushed:
            await self._watch_forever()
        else:
            self._on_change(ListKind.BROKEN, ())

    async def _apply(self, messages: Sequence[bytes]) -> None:
        """Apply messages in order, with a return to the event loop after every ENTRIES_PER_TURN entries."""
        applied = 0
        for message in messages:
            applied += max(1, self._on_message(message))
            if applied >= ENTRIES_PER_TURN:
                applied = 0
                await asyncio.sleep(0)

    def _on_message(self, message: bytes) -> int:
        """Apply a message; return the number of its entries."""
        try:
            listing = parse_list(orjson.loads(message), self._zones)
        except orjson.JSONDecodeError as error:
            # The change in it is lost; a new watch from the last valid version delivers it again.
            raise MalformedAnswer(f"a message is not JSON: {error}") from None
        if not listing.whole and listing.seq < self._seq:
            # A patch to a list older than the known one would revert known changes.
            self._seq = 0
            raise MalformedAnswer(f"seq decreased to {listing.seq}")
        self._seq = listing.seq
        self._list_received = True
        self._on_change(ListKind.WHOLE if listing.whole else ListKind.PATCH, listing.entries)
        self.first_attempt_done.set()
        return len(listing.entries)
