"""Stand-ins for discovery: one whose watches a test drives, and one that serves a list of hosts by itself."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

from standins.messages import PEER_TIMEOUT, Reader, Writer

HEARTBEAT_INTERVAL = 2.0  # seconds between the empty lines of a watch on which nothing changes


class Watch:
    """A watch that a proxy has opened."""

    def __init__(self, request_line: bytes, writer: Writer) -> None:
        self.request_line = request_line
        self.writer = writer

    def send(self, text: bytes) -> None:
        """Send one chunk."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def send_list(self, seq: int, *entries: dict[str, Any], whole: bool = False) -> None:
        """Send a message: the whole list, or a change to it."""
        self.send(json.dumps({"seq": seq, "whole": whole, "hosts": entries}).encode() + b"\n")


class Discovery:
    """A discovery service that hands each watch to the test."""

    def __init__(self) -> None:
        self.watches: asyncio.Queue[Watch] = asyncio.Queue()
        self.answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.first_byte_delay = 0.0  # seconds before anything is sent in answer to a call
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen, on a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        head = await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(self.first_byte_delay)
        writer.write(self.answer)
        self.watches.put_nowait(Watch(head.split(b"\r\n")[0], writer))
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()

    async def watch(self) -> Watch:
        """Wait for the next watch that a proxy opens."""
        return await asyncio.wait_for(self.watches.get(), PEER_TIMEOUT)


class HostList(Discovery):
    """A discovery service that sends the whole list, then each change, and heartbeats in between."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        super().__init__()
        self.hosts = hosts
        self.seq = 1
        self.delay = 0.0  # seconds before a new watch gets the list
        self.on_list_sent: Callable[[Watch, int, list[dict[str, Any]]], None] = lambda watch, seq, entries: None
        self.fault = ""  # "stale": changes are withheld; "reorder": the newest goes first; "garble": invalid JSON
        self._withheld: list[tuple[int, list[dict[str, Any]]]] = []
        self._open: dict[Watch, None] = {}  # open watches, oldest first
        self._tasks: set[asyncio.Task[None]] = set()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            writer.close()
            return
        request_line = head.split(b"\r\n")[0]
        if b"watch=1" not in request_line:
            body = json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            writer.close()
            return
        writer.write(self.answer)
        watch = Watch(request_line, writer)
        self._open[watch] = None
        heartbeat = asyncio.get_running_loop().create_task(self._send_heartbeats(watch))
        try:
            await asyncio.sleep(self.delay)
            self._send_list(watch, self.seq, self.hosts, whole=True)
            with contextlib.suppress(OSError):
                await reader.read()
        finally:
            heartbeat.cancel()
            self._open.pop(watch, None)
            self._writers.discard(writer)
            writer.close()

    async def _send_heartbeats(self, watch: Watch) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL)
            watch.send(b"\n")

    def _send_list(self, watch: Watch, seq: int, entries: list[dict[str, Any]], whole: bool = False) -> None:
        if self.fault == "garble":
            watch.send(b'{"seq": 1, "whole": tr\n')
            return
        watch.send_list(seq, *entries, whole=whole)
        self.on_list_sent(watch, seq, entries)

    def change(self, *entries: dict[str, Any]) -> None:
        """Replace entries by their host, and send the change to all watches."""
        changed = {entry["host"]: entry for entry in entries}
        self.hosts = [h for h in self.hosts if h["host"] not in changed] + list(entries)
        self.seq += 1
        self._withheld.append((self.seq, list(entries)))
        if self.fault != "stale" and (self.fault != "reorder" or len(self._withheld) > 1):
            self._send_withheld()

    def _send_withheld(self) -> None:
        withheld, self._withheld = self._withheld, []
        for seq, entries in reversed(withheld) if self.fault == "reorder" else withheld:
            for watch in self._open:
                self._send_list(watch, seq, entries)

    def clear_fault(self) -> None:
        """End the fault, and send the withheld changes."""
        self.fault = ""
        self._send_withheld()
