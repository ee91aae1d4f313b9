"""An instance's end of the takeover channel: the fleet's pool of journals, and the socket that delivers offers."""

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

POOL_FD, HOLDER_FD, CHANNEL_FD = 6, 7, 8  # descriptor numbers in a process that a supervisor started
MAX_OFFERS_PER_WAKEUP = 16
ROOM_CHECK_INTERVAL = 0.05  # seconds between checks whether there is room for an offer again
MADV_POPULATE_WRITE = 23  # of madvise(2), Linux 5.14; `mmap` has no name for it
PREFAULTED_BYTES = 64 * 1024  # of a journal: what a process uses most of the time


@dataclass(frozen=True, slots=True)
class JournalAssignment:
    """The journal that a supervisor has assigned to a process."""

    process: int  # a number that its supervisor never uses again
    book: int  # number of the journal in the pool
    shelf: JournalPool


def read_assignment(path: Path) -> JournalAssignment | None:
    """Read the assignment, if any, from the file that the supervisor wrote for an instance; raises ConfigError."""
    try:
        values = orjson.loads(path.read_bytes()).get("takeover")
        if values is None:
            return None
        pool = values["shelf"]
        return JournalAssignment(
            int(values["process"]),
            int(values["book"]),
            JournalPool(JournalSize(**pool["size"]), pool["books"], pool["keys"]),
        )
    except (OSError, orjson.JSONDecodeError, AttributeError, KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"{path}: takeover: {error}") from None


def assignment_values(assignment: JournalAssignment) -> dict[str, Any]:
    """An assignment in the form that `read_assignment` reads."""
    return asdict(assignment)


def prefault(mapping: mmap.mmap, begin: int, count: int) -> None:
    """Fault pages in: otherwise the first request to touch one would wait for the kernel to allocate it."""
    with contextlib.suppress(OSError):  # an older kernel: only slower
        mapping.madvise(MADV_POPULATE_WRITE, begin, count)


def _sockets(descriptors: list[int]) -> list[socket.socket | None]:
    """Sockets of these descriptors; a descriptor that is no socket is closed and gives None."""
    sockets: list[socket.socket | None] = []
    for descriptor in descriptors:
        try:
            sock = socket.socket(fileno=descriptor)
            sock.setblocking(False)
            sockets.append(sock)
        except OSError:
            close_all([descriptor])
            sockets.append(None)
    return sockets


class SocketTakeoverChannel:
    """A takeover channel over shared memory and a socket whose other end the supervisor holds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, assignment: JournalAssignment) -> None:
        self._loop = loop
        self.pool = assignment.shelf
        self.process = assignment.process
        self.number = assignment.book
        mapping = mmap.mmap(POOL_FD, assignment.shelf.bytes)
        prefault(mapping, 0, assignment.shelf.index_bytes)
        prefault(mapping, assignment.shelf.journal_offset(assignment.book), PREFAULTED_BYTES)
        self._memory = memoryview(mapping)
        self._journals: dict[int, OrphanedJournal] = {}  # of other processes, as far as they were read
        self.keys: KeyIndex = assignment.shelf.key_index(self._memory)
        self._socket = socket.socket(fileno=os.dup(CHANNEL_FD))
        self._socket.setblocking(False)
        self._on_offer: Callable[[ReceivedOffer], None] = lambda received: received.close()
        self._has_room: Callable[[], bool] = lambda: True

    @property
    def memory(self) -> memoryview:
        """This process's own journal."""
        return self.pool.journal_memory(self._memory, self.number)

    def journal_of(self, number: int) -> OrphanedJournal:
        """Any journal of the pool; raises ValueError for a number outside it."""
        journal = self._journals.get(number)
        if journal is None:
            journal = self._journals[number] = OrphanedJournal(
                self.pool.journal_memory(self._memory, number), self.pool.size
            )
        return journal

    def start_receiving(self, on_offer: Callable[[ReceivedOffer], None], has_room: Callable[[], bool]) -> None:
        """Call `on_offer` for each offer from here on, while `has_room()`."""
        self._on_offer, self._has_room = on_offer, has_room
        self._listen()

    def _listen(self) -> None:
        self._loop.add_reader(self._socket.fileno(), self._read)

    def _read(self) -> None:
        for _ in range(MAX_OFFERS_PER_WAKEUP):
            if not self._has_room():
                # An offer that is not received can be withdrawn and made to another process.
                self._loop.remove_reader(self._socket.fileno())
                self._loop.call_later(ROOM_CHECK_INTERVAL, self._listen)
                return
            try:
                offer = receive(self._socket)
            except (OSError, EOFError):
                self._loop.remove_reader(self._socket.fileno())  # the lifeline reports that the supervisor is gone
                return
            if offer is None:
                return
            self._on_offer(self._unpack(offer))

    def _unpack(self, offer: Offer) -> ReceivedOffer:
        descriptors, offer.descriptors = offer.descriptors, []
        sockets = _sockets(descriptors)
        if offer.slot < 0:
            records = [ConnectionRecord(0, *row) for row in offer.rows]
            idle = [(record, sock) for record, sock in zip(records, sockets, strict=False) if sock is not None]
            return ReceivedOffer(offer.book, offer.process, -1, 0, None, None, [], list(idle))
        remaining = iter(sockets)
        caller = next(remaining, None)
        attempts = [next(remaining, None) if sent else None for sent in offer.tries]
        if offer.truncated:
            received = ReceivedOffer(offer.book, offer.process, offer.slot, offer.term, None, caller, attempts)
            received.close()
            return received
        return ReceivedOffer(
            offer.book, offer.process, offer.slot, offer.term, self.journal_of(offer.book), caller, attempts
        )
