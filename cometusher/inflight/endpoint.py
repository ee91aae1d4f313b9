"""A process's side of what its supervisor gave it: the fleet's shelf of books, and the socket that offers come by."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import mmap
import os
import socket
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import orjson

from cometusher.config import ConfigError
from cometusher.inflight.offer import Offer, close_all, receive
from cometusher.inflight.tracker import Received
from weldroute.request_journal import Keys, Left, Row, Shelf, Size

log = logging.getLogger("cometusher.inhand.door")  # the `subsystem` of its log records

SHELF, KEEPER, DOOR = 6, 7, 8  # descriptors that a process under a supervisor has them at
AT_ONCE = 16  # offers at one wake-up
CROWDED = 0.05  # seconds between looks whether there is room again
POPULATE = 23  # MADV_POPULATE_WRITE of madvise(2), Linux 5.14; `mmap` has no name for it
USUAL = 64 * 1024  # bytes of a book that a process uses at most times


@dataclass(frozen=True, slots=True)
class Covered:
    """What a process is told of its book."""

    process: int  # a number that its supervisor never uses again
    book: int
    shelf: Shelf


def read_covered(path: Path) -> Covered | None:
    """The part of an instance's file that its supervisor wrote for it, if any; raises ConfigError."""
    try:
        values = orjson.loads(path.read_bytes()).get("takeover")
        if values is None:
            return None
        shelf = values["shelf"]
        return Covered(
            int(values["process"]), int(values["book"]), Shelf(Size(**shelf["size"]), shelf["books"], shelf["keys"])
        )
    except (OSError, orjson.JSONDecodeError, AttributeError, KeyError, TypeError, ValueError) as fault:
        raise ConfigError(f"{path}: takeover: {fault}") from None


def write_covered(covered: Covered) -> dict[str, Any]:
    """That part, for `read_covered`."""
    return asdict(covered)


def populate(mapping: mmap.mmap, begin: int, count: int) -> None:
    """Have pages at hand: a request that is the first to touch one would wait for the kernel to find it."""
    with contextlib.suppress(OSError):  # an older kernel: it is slower, that is all
        mapping.madvise(POPULATE, begin, count)


def _sockets(descriptors: list[int]) -> list[socket.socket | None]:
    """Sockets of these; None, and closed, for what is none."""
    found: list[socket.socket | None] = []
    for number in descriptors:
        try:
            one = socket.socket(fileno=number)
            one.setblocking(False)
            found.append(one)
        except OSError:
            close_all([number])
            found.append(None)
    return found


class SocketDoor:
    """Shared memory, and a socket whose other end the supervisor has."""

    def __init__(self, loop: asyncio.AbstractEventLoop, covered: Covered) -> None:
        self._loop = loop
        self.shelf = covered.shelf
        self.process = covered.process
        self.number = covered.book
        mapping = mmap.mmap(SHELF, covered.shelf.bytes)
        populate(mapping, 0, covered.shelf.front)
        populate(mapping, covered.shelf.at(covered.book), USUAL)
        self._memory = memoryview(mapping)
        self._lefts: dict[int, Left] = {}  # books of others, as far as they were read
        self.keys: Keys = covered.shelf.index(self._memory)
        self._socket = socket.socket(fileno=os.dup(DOOR))
        self._socket.setblocking(False)
        self._offered: Callable[[Received], None] = lambda received: received.close()
        self._room: Callable[[], bool] = lambda: True

    @property
    def memory(self) -> memoryview:
        """This process's own book."""
        return self.shelf.book(self._memory, self.number)

    def left(self, book: int) -> Left:
        """Any book; raises ValueError for one that is not there."""
        left = self._lefts.get(book)
        if left is None:
            left = self._lefts[book] = Left(self.shelf.book(self._memory, book), self.shelf.size)
        return left

    def watch(self, offered: Callable[[Received], None], room: Callable[[], bool]) -> None:
        """Call for each offer from here on, while there is room for one."""
        self._offered, self._room = offered, room
        self._listen()

    def _listen(self) -> None:
        self._loop.add_reader(self._socket.fileno(), self._read)

    def _read(self) -> None:
        for _ in range(AT_ONCE):
            if not self._room():
                # What is not received can be taken back, and given to another.
                self._loop.remove_reader(self._socket.fileno())
                self._loop.call_later(CROWDED, self._listen)
                return
            try:
                offer = receive(self._socket)
            except (OSError, EOFError):
                self._loop.remove_reader(self._socket.fileno())  # the lifeline tells of the rest
                return
            if offer is None:
                return
            self._offered(self._unpack(offer))

    def _unpack(self, offer: Offer) -> Received:
        descriptors, offer.descriptors = offer.descriptors, []
        sockets = _sockets(descriptors)
        if offer.slot < 0:
            rows = [Row(0, *row) for row in offer.rows]
            there = [(row, one) for row, one in zip(rows, sockets, strict=False) if one is not None]
            return Received(offer.book, offer.process, -1, 0, None, None, [], list(there))
        rest = iter(sockets)
        caller = next(rest, None)
        tries = [next(rest, None) if there else None for there in offer.tries]
        if offer.short:
            received = Received(offer.book, offer.process, offer.slot, offer.term, None, caller, tries)
            received.close()
            return received
        return Received(offer.book, offer.process, offer.slot, offer.term, self.left(offer.book), caller, tries)
