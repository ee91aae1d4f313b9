"""Discovery: reading the list of backends, and the watch that keeps it up to date.

Where lists are pushed the watch is kept up from here, at no cost to anyone. Where discovery is asked,
each call is the module's decision: `subscribe` makes one, and its failure is told as BROKEN.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

import httptools
import orjson

from cometusher.config import Address, ConfigError, read_address, stable_number
from weldroute import ListKind, ServerRow, State

log = logging.getLogger(__name__)

STATES = {"in_service": State.UP, "terminating": State.DRAINING, "terminated": State.GONE}
# A change has to be known 6 s after discovery had it and could be reached, whatever failed before. The longest way to
# it is a call that stays without an answer, opened just before discovery could be reached again, and one retry:
# 3.0 + 1.5 s where lists are pushed. Where discovery is asked the retry is the module's: 3.0 + 2.4 s.
HEARTBEAT_TIMEOUT = 3.0  # seconds of silence after which a watch is dead; an empty line is due every 2 s
FIRST_BYTE_TIMEOUT = 3.0  # seconds that a call may wait for the first byte of its answer
CONNECT_TIMEOUT = 1.0  # seconds until a connection is up
BACKOFF_MIN, BACKOFF_MAX = 0.1, 1.0  # seconds between tries where lists are pushed, before jitter of half as much
MAX_MESSAGE = 16 * 1024 * 1024  # bytes of one message, in any number of lines

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*+"')

_HEX = re.compile(r"(?:^|.*[-_.])([0-9a-f]{1,8})")


class MalformedAnswer(Exception):
    """An answer of discovery that can't be read."""


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """One backend as discovery describes it."""

    row: ServerRow
    address: Address
    host: str = ""


@dataclass(frozen=True, slots=True)
class BackendList:
    """One message: the whole list or a change to it."""

    seq: int
    whole: bool
    entries: Sequence[BackendEntry]


def server_id(host: str) -> int:
    """The module's number for a host, equal at every proxy."""
    match = _HEX.fullmatch(host)
    return int(match[1], 16) if match else stable_number(host)


def _number(value: Any, default: float) -> float:
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"{value!r} is not a number")
    return float(value)


def parse_entry(item: Any, zones: Sequence[str]) -> BackendEntry:
    """One entry; raises what a malformed one raises."""
    host, site = item["host"], item.get("site")
    if not isinstance(host, str) or not host:
        raise TypeError("host is not a name")
    row = ServerRow(
        server=server_id(host),
        # An unknown word is no reason to send there.
        state=STATES.get(item.get("health", "in_service"), State.DRAINING),
        zone=zones.index(site) if site in zones else len(zones),
        cell=int(_number(item.get("block"), 0)),
        size=_number(item.get("share"), 1.0),
        started=_number(item.get("born_ms"), 0.0) / 1000.0,
    )
    return BackendEntry(row, read_address(item.get("dial"), "dial"), host)


def parse_list(value: Any, zones: Sequence[str]) -> BackendList:
    """A message; an odd entry is skipped, for the rest may tell of drains."""
    if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
        raise MalformedAnswer("not a list of hosts")
    seq = value.get("seq", 0)
    if isinstance(seq, bool) or not isinstance(seq, int):
        raise MalformedAnswer("seq is not a number")
    entries = []
    for item in value["hosts"]:
        try:
            entries.append(parse_entry(item, zones))
        except (KeyError, TypeError, ValueError, AttributeError, ConfigError) as fault:
            log.warning("discovery: an entry is skipped: %s", fault)
    return BackendList(seq, value.get("whole") is True, entries)


class _Body:
    """The messages of an answer, out of its bytes: one JSON object each, on one line or indented over several.

    An empty line belongs to no message; one within a message says that its rest is lost.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._line = b""  # the part of a line that has come
        self._lines: list[bytes] = []  # of a message that is not whole
        self._size = 0  # bytes of them
        self._depth = 0  # brackets that are open in them
        self.messages: list[bytes] = []
        self.status = 0
        self.ended = False

    def feed(self, data: bytes) -> None:
        """Take the next bytes; raises MalformedAnswer."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as fault:
            raise MalformedAnswer(f"malformed HTTP: {fault}") from None

    def finish(self) -> None:
        """No more bytes come: a last line needs no line end."""
        self._take_line(self._line)
        self._line = b""

    def on_headers_complete(self) -> None:
        self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        *lines, self._line = (self._line + data).split(b"\n")
        for line in lines:
            self._take_line(line)
        if self._size + len(self._line) > MAX_MESSAGE:
            raise MalformedAnswer("a message without end")

    def on_message_complete(self) -> None:
        self.finish()
        self.ended = True

    def _take_line(self, line: bytes) -> None:
        if not line.strip():
            if self._lines:
                raise MalformedAnswer("a message that is not whole")
            return
        self._lines.append(line)
        self._size += len(line)
        bare = _STRING.sub(b"", line)
        self._depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
        if self._depth <= 0:
            self.messages.append(b"\n".join(self._lines))
            self._lines = []
            self._size = self._depth = 0


class DiscoveryClient:
    """The watch of one proxy."""

    def __init__(
        self,
        address: Address,
        zones: Sequence[str],
        seq: int,
        pushed: bool,
        rng: Random,
        changed: Callable[[ListKind, Sequence[BackendEntry]], None],
    ) -> None:
        self._address = address
        self._zones = zones
        self._seq = seq
        self._pushed = pushed
        self._rng = rng
        self._changed = changed
        self.max_backoff = BACKOFF_MAX  # seconds between tries, at most
        self._told = False  # the present watch has brought a list
        self.first_attempt_done = asyncio.Event()  # a first list has come, or the first try at one has failed
        self._task: asyncio.Task[None] | None = None

    @property
    def seq(self) -> int:
        """The version of the list that was told last."""
        return self._seq

    @property
    def has_current_list(self) -> bool:
        """A watch is up and has brought a list: what is known is discovery's own view."""
        return self._told and self._task is not None and not self._task.done()

    def resume(self, seq: int) -> None:
        """Go on from a version that another process was told; before the start."""
        self._seq = seq

    def start(self) -> None:
        """Begin to watch, where that costs nobody anything."""
        if self._pushed:
            self._task = asyncio.get_running_loop().create_task(self._keep())

    def subscribe(self) -> None:
        """Call discovery; while a watch is up it has the answer already."""
        if not self._pushed and (self._task is None or self._task.done()):
            self._task = asyncio.get_running_loop().create_task(self._once())

    def change_address(self, address: Address) -> None:
        """Discovery is somewhere else now: watch there.

        Guards against following one that has been taken out of service, and against patches to a list that
        is not ours: the versions of another service may count differently, so the whole list is asked for.
        """
        if address == self._address:
            return
        self._address = address
        self._seq = 0
        if self._task is None or self._task.done():
            return
        self._task.cancel()
        self._task = None
        if self._pushed:
            self.start()
        else:
            self._changed(ListKind.BROKEN, ())  # the module decides when to ask again

    async def stop(self) -> None:
        """End the watch."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _once(self) -> None:
        await self._attempt()
        self._changed(ListKind.BROKEN, ())

    async def _keep(self) -> None:
        backoff = BACKOFF_MIN
        while True:
            await self._attempt()
            if self._told:
                backoff = BACKOFF_MIN
            # Jittered: all proxies lost the same service at the same time.
            await asyncio.sleep(backoff * (0.5 + self._rng.random()))
            backoff = min(2.0 * backoff, self.max_backoff)

    async def _attempt(self) -> None:
        """One watch until it ends, whatever ends it."""
        self._told = False
        try:
            await self._watch()
        except (OSError, EOFError, TimeoutError, MalformedAnswer) as fault:
            log.info("discovery: the watch ended: %s", str(fault) or "silence")
        except Exception:
            log.exception("discovery: the watch failed")
        self.first_attempt_done.set()

    async def _watch(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(*self._address)
        try:
            host = "{}:{}".format(*self._address)
            writer.write(f"GET /discovery/hosts?watch=1&from={self._seq} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
            body = _Body()
            wait = FIRST_BYTE_TIMEOUT
            while not body.ended:
                # A machine that vanishes says nothing: only missing heartbeats tell.
                async with asyncio.timeout(wait):
                    data = await reader.read(65536)
                wait = HEARTBEAT_TIMEOUT
                if data:
                    body.feed(data)
                else:
                    body.finish()
                if body.status and body.status != 200:
                    raise MalformedAnswer(f"status {body.status}")
                messages, body.messages = body.messages, []
                for message in messages:
                    self._hear(message)
                if not data:
                    raise EOFError("ended by discovery")
        finally:
            writer.close()

    def _hear(self, message: bytes) -> None:
        try:
            listing = parse_list(orjson.loads(message), self._zones)
        except orjson.JSONDecodeError as fault:
            # What it told is lost: a new watch from the last good version brings it again.
            raise MalformedAnswer(f"a message is not JSON: {fault}") from None
        if not listing.whole and listing.seq < self._seq:
            # A change to a list that is older than ours would undo what we know.
            self._seq = 0
            raise MalformedAnswer(f"seq went back to {listing.seq}")
        self._seq = listing.seq
        self._told = True
        self._changed(ListKind.WHOLE if listing.whole else ListKind.PATCH, listing.entries)
        self.first_attempt_done.set()
