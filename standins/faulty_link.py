"""A faulty link: a relay between one listener and one address that drops, delays, narrows, cuts or silences.

Each direction is its own: `up` from who connects, `down` to them. A mood holds for what comes from then on, also on
connections that are open; delays come from the link's seed.

| mood    | what happens                                                                             |
| ------- | ---------------------------------------------------------------------------------------- |
| pass    | all goes through                                                                         |
| drop    | nothing goes either way, open connections stay open, new ones are taken and stay silent  |
| mute    | the same for one direction only                                                          |
| reset   | open connections are reset, new ones too                                                 |
| refuse  | new connections are refused; open ones go on                                             |
| half    | the far side of each open connection ends, the near side is told nothing                 |
| slow    | each piece waits for a log-normal time with this median (seconds) and spread             |
| narrow  | so many bytes a second in each direction                                                 |
| cut     | each connection is reset after so many bytes more in one direction                       |
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from dataclasses import dataclass
from random import Random

LINK_FAULTS = ("pass", "drop", "mute", "reset", "refuse", "half", "slow", "narrow", "cut")
DIRECTIONS = ("up", "down")
PIECE = 65536


@dataclass(frozen=True)
class LinkFault:
    """What a link does now."""

    name: str = "pass"
    direction: str = "down"  # of mute and cut
    median_delay: float = 0.0  # median delay of slow
    spread: float = 0.5  # sigma of the logarithm of that delay
    rate: float = 0.0  # bytes a second of narrow
    after: int = 0  # bytes of cut


class Pipe:
    """One direction of one connection."""

    def __init__(
        self, link: FaultyLink, way: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._link = link
        self._way = way
        self._reader = reader
        self._writer = writer
        self._mood = link.fault
        self._left = link.fault.after

    async def run(self) -> None:
        """Until this direction ends, or is cut."""
        while data := await self._reader.read(PIECE):
            await self._pass(data)
        await self._open()
        while self._link.fault.name == "half":
            await self._link.wait_for_change()
        with contextlib.suppress(OSError, RuntimeError):
            self._writer.write_eof()

    async def _open(self) -> None:
        """Wait while nothing goes this way."""
        link = self._link
        while link.fault.name == "drop" or (link.fault.name == "mute" and link.fault.direction == self._way):
            await link.wait_for_change()

    async def _pass(self, data: bytes) -> None:
        await self._open()
        mood = self._link.fault
        if mood is not self._mood:
            self._mood, self._left = mood, mood.after
        if mood.name == "slow":
            delay = mood.median_delay * math.exp(self._link.rng.gauss(0.0, mood.spread))
            await asyncio.sleep(min(delay, 60.0))
        elif mood.name == "narrow" and mood.rate > 0.0:
            await asyncio.sleep(len(data) / mood.rate)
        elif mood.name == "cut" and mood.direction == self._way:
            data, self._left = data[: self._left], self._left - len(data)
        self._writer.write(data)
        await self._writer.drain()
        if mood.name == "cut" and mood.direction == self._way and self._left <= 0:
            raise ConnectionResetError


class FaultyLink:
    """One listener, and the address behind it: a host and port, or the path of a Unix socket."""

    def __init__(self, target: tuple[str, int] | str, seed: int = 0) -> None:
        self.target = target
        self.rng = Random(seed)
        self.fault = LinkFault()
        self.port = 0
        self.accepted = 0  # connections
        self._server: asyncio.Server | None = None
        self._address: tuple[str, int] | str = ("127.0.0.1", 0)
        self._change = asyncio.Event()
        self._open: set[asyncio.StreamWriter] = set()
        self._far: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: tuple[str, int] | str = ("127.0.0.1", 0)) -> None:
        """Listen."""
        self._address = address
        if isinstance(address, str):
            self._server = await asyncio.start_unix_server(self._take, address)
            return
        self._server = await asyncio.start_server(self._take, *address)
        self.port = self._server.sockets[0].getsockname()[1]
        self._address = (address[0], self.port)

    async def set_fault(self, mood: LinkFault) -> None:
        """Be in this mood from now on."""
        before, self.fault = self.fault, mood
        if mood.name == "refuse" and self._server is not None:
            self._server.close()
            self._server = None
        elif before.name == "refuse" and self._server is None:
            await self.start(self._address)
        if mood.name == "reset":
            for writer in list(self._open):
                _reset(writer)
        if mood.name == "half":
            for writer in list(self._far):
                writer.transport.abort()
        change, self._change = self._change, asyncio.Event()
        change.set()

    async def wait_for_change(self) -> None:
        """Wait for another mood."""
        await self._change.wait()

    async def stop(self) -> None:
        """End all."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
        self._open.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            if isinstance(self.target, str):
                back, far = await asyncio.open_unix_connection(self.target)
            else:
                back, far = await asyncio.open_connection(*self.target)
            self._open.add(far)
            self._far.add(far)
            await self._both(Pipe(self, "up", reader, far), Pipe(self, "down", back, writer))
        finally:
            for each in filter(None, (writer, far)):
                self._open.discard(each)
                self._far.discard(each)
                each.close()

    async def _both(self, up: Pipe, down: Pipe) -> None:
        """Both directions; the end of what is behind ends both, unless the mood is to hide it."""
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
    """End a connection by RST, as a process that dies does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.family != socket.AF_UNIX:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()
