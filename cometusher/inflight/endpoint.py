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
from cometusher.inflight.tracker import ReceivedOffer
from weldroute.request_journal import ConnectionRecord, JournalPool, JournalSize, KeyIndex, OrphanedJournal

log = logging.getLogger("cometusher.inhand.door")  # the `subsystem` of its log records

POOL_FD, HOLDER_FD, CHANNEL_FD = 6, 7, 8  # descriptors that a process under a supervisor has them at
MAX_OFFERS_PER_WAKEUP = 16  # offers at one wake-up
ROOM_CHECK_INTERVAL = 0.05  # seconds between looks whether there is room again
MADV_POPULATE_WRITE = 23  # MADV_POPULATE_WRITE of madvise(2), Linux 5.14; `mmap` has no name for it
PREFAULTED_BYTES = 64 * 1024  # bytes of a book that a process uses at most times


@dataclass(frozen=True, slots=True)
class JournalAssignment:
    """What a process is told of its book."""

    process: int  # a number that its supervisor never uses again
    book: int
    shelf: JournalPool


def read_assignment(path: Path) -> JournalAssignment | None:
    """The part of an instance's file that its supervisor wrote for it, if any; raises ConfigError."""
    try:
        values = orjson.loads(path.read_bytes()).get("takeover")
        if values is None:
            return None
        shelf = values["shelf"]
        return JournalAssignment(
            int(values["process"]),
            int(values["book"]),
            JournalPool(JournalSize(**shelf["size"]), shelf["books"], shelf["keys"]),
        )
    except (OSError, orjson.JSONDecodeError, AttributeError, KeyError, TypeError, ValueError) as fault:
        raise ConfigError(f"{path}: takeover: {fault}") from None


def assignment_values(covered: JournalAssignment) -> dict[str, Any]:
    """That part, for `read_covered`."""
    return asdict(covered)


def prefault(mapping: mmap.mmap, begin: int, count: int) -> None:
    """Have pages at hand: a request that is the first to touch one would wait for the kernel to find it."""
    with contextlib.suppress(OSError):  # an older kernel: it is slower, that is all
        mapping.madvise(MADV_POPULATE_WRITE, begin, count)


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


class SocketTakeoverChannel:
    """Shared memory, and a socket whose other end the supervisor has."""

    def __init__(self, loop: asyncio.AbstractEventLoop, covered: JournalAssignment) -> None:
        self._loop = loop
        self.pool = covered.shelf
        self.process = covered.process
        self.number = covered.book
        mapping = mmap.mmap(POOL_FD, covered.shelf.bytes)
        prefault(mapping, 0, covered.shelf.index_bytes)
        prefault(mapping, covered.shelf.journal_offset(covered.book), PREFAULTED_BYTES)
        self._memory = memoryview(mapping)
        self._journals: dict[int, OrphanedJournal] = {}  # books of others, as far as they were read
        self.keys: KeyIndex = covered.shelf.key_index(self._memory)
        self._socket = socket.socket(fileno=os.dup(CHANNEL_FD))
        self._socket.setblocking(False)
        self._on_offer: Callable[[ReceivedOffer], None] = lambda received: received.close()
        self._has_room: Callable[[], bool] = lambda: True

    @property
    def memory(self) -> memoryview:
        """This process's own book."""
        return self.pool.journal_memory(self._memory, self.number)

    def journal_of(self, book: int) -> OrphanedJournal:
        """Any book; raises ValueError for one that is not there."""
        left = self._journals.get(book)
        if left is None:
            left = self._journals[book] = OrphanedJournal(
                self.pool.journal_memory(self._memory, book), self.pool.size
            )
        return left

    def start_receiving(self, offered: Callable[[ReceivedOffer], None], room: Callable[[], bool]) -> None:
        """Call for each offer from here on, while there is room for one."""
        self._on_offer, self._has_room = offered, room
        self._listen()

    def _listen(self) -> None:
        self._loop.add_reader(self._socket.fileno(), self._read)

    def _read(self) -> None:
        for _ in range(MAX_OFFERS_PER_WAKEUP):
            if not self._has_room():
                # What is not received can be taken back, and given to another.
                self._loop.remove_reader(self._socket.fileno())
                self._loop.call_later(ROOM_CHECK_INTERVAL, self._listen)
                return
            try:
                offer = receive(self._socket)
            except (OSError, EOFError):
                self._loop.remove_reader(self._socket.fileno())  # the lifeline tells of the rest
                return
            if offer is None:
                return
            self._on_offer(self._unpack(offer))

    def _unpack(self, offer: Offer) -> ReceivedOffer:
        descriptors, offer.descriptors = offer.descriptors, []
        sockets = _sockets(descriptors)
        if offer.slot < 0:
            rows = [ConnectionRecord(0, *row) for row in offer.rows]
            there = [(row, one) for row, one in zip(rows, sockets, strict=False) if one is not None]
            return ReceivedOffer(offer.book, offer.process, -1, 0, None, None, [], list(there))
        rest = iter(sockets)
        caller = next(rest, None)
        tries = [next(rest, None) if there else None for there in offer.tries]
        if offer.truncated:
            received = ReceivedOffer(offer.book, offer.process, offer.slot, offer.term, None, caller, tries)
            received.close()
            return received
        return ReceivedOffer(
            offer.book, offer.process, offer.slot, offer.term, self.journal_of(offer.book), caller, tries
        )
