"""A faulty link: a relay between one listener and one target address, with a fault that can be set.

Each direction is separate: `up` from the connecting side, `down` to it. A fault applies to all data that arrives
while it is set, also on open connections. Delays are drawn from the link's seed.

| fault   | effect                                                                                          |
| ------- | ----------------------------------------------------------------------------------------------- |
| pass    | none                                                                                            |
| drop    | both directions are blocked; open connections stay open, new ones are accepted and get no data  |
| mute    | the same in one direction only                                                                  |
| reset   | open and new connections are reset                                                              |
| refuse  | new connections are refused; open ones continue                                                 |
| half    | the target's side of each open connection is aborted, the connecting side is not notified       |
| slow    | each chunk is delayed by a log-normal time with this median (seconds) and spread                |
| narrow  | the rate in each direction is limited to this many bytes a second                               |
| cut     | each connection is reset after this many more bytes in one direction                            |
| repeat  | each chunk in one direction is sent once more, after a delay as of slow                         |
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from dataclasses import dataclass
from random import Random

LINK_FAULTS = ("pass", "drop", "mute", "reset", "refuse", "half", "slow", "narrow", "cut", "repeat")
DIRECTIONS = ("up", "down")
CHUNK_SIZE = 65536


@dataclass(frozen=True)
class LinkFault:
    """A fault of a link; the default is none."""

    name: str = "pass"
    direction: str = "down"  # of mute, cut and repeat
    median_delay: float = 0.0  # seconds, of slow and repeat
    spread: float = 0.5  # sigma of the logarithm of that delay
    rate: float = 0.0  # bytes a second of narrow
    after: int = 0  # bytes of cut


class Pipe:
    """One direction of one connection."""

    def __init__(
        self, link: FaultyLink, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._link = link
        self._direction = direction
        self._reader = reader
        self._writer = writer
        self._fault = link.fault
        self._remaining = link.fault.after

    async def run(self) -> None:
        """Forward data until this direction ends; raises ConnectionResetError after a cut."""
        while data := await self._reader.read(CHUNK_SIZE):
            await self._forward(data)
        await self._wait_while_blocked()
        while self._link.fault.name == "half":
            await self._link.wait_for_change()
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.write_eof()

    async def _wait_while_blocked(self) -> None:
        """Wait while the fault blocks this direction."""
        link = self._link
        while link.fault.name == "drop" or (link.fault.name == "mute" and link.fault.direction == self._direction):
            await link.wait_for_change()

    async def _forward(self, data: bytes) -> None:
        await self._wait_while_blocked()
        fault = self._link.fault
        if fault is not self._fault:
            self._fault, self._remaining = fault, fault.after
        if fault.name == "slow":
            await asyncio.sleep(self._draw_delay(fault))
        elif fault.name == "narrow" and fault.rate > 0.0:
            await asyncio.sleep(len(data) / fault.rate)
        elif fault.name == "cut" and fault.direction == self._direction:
            data, self._remaining = data[: self._remaining], self._remaining - len(data)
        if self._writer.is_closing():
            raise ConnectionResetError
        self._writer.write(data)
        if fault.name == "repeat" and fault.direction == self._direction:
            asyncio.get_running_loop().call_later(self._draw_delay(fault), self._repeat, data)
        await self._writer.drain()
        if fault.name == "cut" and fault.direction == self._direction and self._remaining <= 0:
            raise ConnectionResetError

    def _draw_delay(self, fault: LinkFault) -> float:
        return min(fault.median_delay * math.exp(self._link.rng.gauss(0.0, fault.spread)), 60.0)

    def _repeat(self, data: bytes) -> None:
        if not self._writer.is_closing():
            self._writer.write(data)


class FaultyLink:
    """One listener and its target: a host and port, or the path of a Unix socket."""

    def __init__(self, target: tuple[str, int] | str, seed: int = 0) -> None:
        self.target = target
        self.rng = Random(seed)
        self.fault = LinkFault()
        self.port = 0
        self.accepted = 0  # connections
        self._server: asyncio.Server | None = None
        self._address: tuple[str, int] | str = ("127.0.0.1", 0)
        self._changed = asyncio.Event()
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._target_writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: tuple[str, int] | str = ("127.0.0.1", 0)) -> None:
        """Listen at an address; on a free port of loopback by default."""
        self._address = address
        if isinstance(address, str):
            self._server = await asyncio.start_unix_server(self._on_connection, address)
            return
        self._server = await asyncio.start_server(self._on_connection, *address)
        self.port = self._server.sockets[0].getsockname()[1]
        self._address = (address[0], self.port)

    async def set_fault(self, fault: LinkFault) -> None:
        """Apply a fault from now on."""
        previous, self.fault = self.fault, fault
        if fault.name == "refuse" and self._server is not None:
            self._server.close()
            self._server = None
        elif previous.name == "refuse" and self._server is None:
            await self.start(self._address)
        if fault.name == "reset":
            for writer in list(self._open_writers):
                _reset(writer)
        if fault.name == "half":
            for writer in list(self._target_writers):
                writer.transport.abort()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Wait until another fault is set."""
        await self._changed.wait()

    async def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.accepted += 1
        try:
            await self._relay(reader, writer)
        except (OSError, asyncio.CancelledError):
            _reset(writer)
        finally:
            self._tasks.discard(task)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault.name == "reset":
            raise ConnectionResetError
        while self.fault.name == "drop":
            await self.wait_for_change()
        self._open_writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            if isinstance(self.target, str):
                target_reader, target_writer = await asyncio.open_unix_connection(self.target)
            else:
                target_reader, target_writer = await asyncio.open_connection(*self.target)
            self._open_writers.add(target_writer)
            self._target_writers.add(target_writer)
            await self._run_pipes(Pipe(self, "up", reader, target_writer), Pipe(self, "down", target_reader, writer))
        finally:
            for open_writer in filter(None, (writer, target_writer)):
                self._open_writers.discard(open_writer)
                self._target_writers.discard(open_writer)
                open_writer.close()

    async def _run_pipes(self, up: Pipe, down: Pipe) -> None:
        """Run both directions; the end of the target's side ends both, unless the fault hides it."""
        tasks = [asyncio.ensure_future(pipe.run()) for pipe in (up, down)]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_EXCEPTION)
            if self.fault.name == "half":
                await self.wait_for_change()
            for task in tasks:
                if task.done():
                    task.result()
        finally:
            for task in tasks:
                task.cancel()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Abort a connection with RST, as the death of a process can."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.family != socket.AF_UNIX:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()
