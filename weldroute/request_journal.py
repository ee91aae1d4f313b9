"""The book of work in hand: what a process notes of each request that it took, so that another can finish it.

Sans-I/O: a buffer that outlives the process, written by it alone and at the price of a memory write; where the buffer
lies is the caller's matter. Nobody else writes but in two places of an entry: the supervisor its claim (who the heir
is), the heir its word that it has adopted the work.

Layout, in little-endian cells of 64 bits: a head, then the entries, each of CELLS cells and room for a small request
and a small answer behind them, then a row for each descriptor that a caller's connection may have, then for each
block the block that follows it, then the blocks, which longer messages take. A caller's connection has one entry for
all its requests: what was answered last tells how far it is between two of them. An entry is there when its serial is
not 0; that is written last and taken away first, so one that was torn by the writer's death is not there. All else of
it is written before the act that it tells of. Numbers of connections (descriptors) are believed only if the
connection still has the name that was noted.

All books of a fleet lie on one *shelf*, which every process of it can read, with an index of the keys of keyed
requests in front: by it a process finds work of the same key that another has in hand, or has lately answered, and
follows it by reading memory alone. Readers of a book that is being written take nothing but what fits its check sum.

A row tells of a caller's connection that has no entry: how much was read from it and written to it. While it says
IDLE, nothing has been sent for whatever was read since.

Bounded: where no entry or no block is free the request is not covered, which is counted.
"""

from __future__ import annotations

import hashlib
import math
import struct
import zlib
from collections import deque
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from weldroute.model import ServerId

FORM = 2
PAGE = 4096  # bytes
BLOCK = 2048  # bytes
INLINE = 1536  # bytes of a request, and of an answer, that lie in the entry itself
HEAD = 8  # cells
CELLS = 64  # of an entry
WIDTH = CELLS + 2 * INLINE // 8  # cells from one entry to the next
TRIES = 4  # attempts that are noted of one request; settings allow fewer
TRY_CELLS = 10
NONE, HERE = -1, -2  # in place of a block: nothing is noted; it lies in the entry

# Cells of an entry: attempts, the first of them last, then the rest. What is written in one go ends with what makes
# it hold: the first attempt may be written together with the request.
TRY_AT = TRY_CELLS * (TRIES - 1)
CALLER, PEER, DEADLINE, TAKEN, LENGTH, FIRST, CHECK, FLAGS, ORIGIN, ORIGIN_SLOT, ORIGIN_TERM = range(40, 51)
READ, KEY, CLAIM, ADOPTED, COUNT, WROTE, ANSWER_LENGTH, ANSWER_FIRST, ANSWER_CHECK, STAGE, SERIAL = range(51, 62)
UNTIL = 62  # of a keyed request: when its answer is of no use any more; written before the rest
ROW = 4  # cells: name, read, wrote, state
NOBODY, IDLE, BUSY = range(3)  # states of a row

_ROW = struct.Struct("<4q")
_ENTRY = struct.Struct("<22q")  # CALLER to SERIAL
_FIRST = struct.Struct("<32q")  # the first attempt, and those
_TRY = struct.Struct("<10q")
_ANSWER = struct.Struct("<5q")  # WROTE to STAGE
_SLOT = 0xFFFF  # the part of a handle that is the slot; the rest is the serial

# Flags: the body is here whole; the connection ends with the answer; the last byte has come.
WHOLE, CLOSES, CAME = 1, 2, 4
_WHOLE, _WHOLE_CLOSES = WHOLE | CAME, WHOLE | CAME | CLOSES
TO_NS = 1e9


class Stage(IntEnum):
    """How far a piece of work is."""

    TAKEN = 1
    SENT = 2  # a part of it may have gone out to a backend
    PASSING = 3  # a part of a long answer may be out
    ANSWERED = 4  # the answer, or at least its length, is noted; a part of it may be out


class End(IntEnum):
    """How an attempt ended, as far as an heir must know."""

    OPEN = 0
    NEVER = 1  # it certainly did not run
    MAYBE = 2


@dataclass(frozen=True, slots=True)
class Try:
    """One attempt. Counts are of its connection, from before it, in bytes."""

    server: ServerId
    zone: int
    cell: int
    at: float  # seconds, of the machine's clock
    end: End
    connection: int  # descriptor
    name: int  # of the connection
    length: int  # bytes of the request as it is written; 0 where that is not known yet
    wrote: int  # to the backend, before
    read: int  # from it, before


@dataclass(frozen=True, slots=True)
class Origin:
    """Whose work it was before: a process, the slot in its book, and the term in which it was handed on."""

    process: int
    slot: int
    term: int


@dataclass(frozen=True, slots=True)
class Entry:
    """One piece of work, as it is read."""

    slot: int
    stage: Stage
    caller: int  # descriptor
    peer: int  # name of the caller's connection
    deadline: float  # seconds, of the machine's clock
    taken: float
    request: bytes  # head and body as they came
    whole: bool  # the body is here, or there is none...
    came: bool  # ...or has come whole to the one before
    closes: bool  # the connection ends with the answer
    read: int  # bytes from the caller, this request's among them
    wrote: int  # bytes to the caller before the answer
    length: int  # bytes of the answer...
    answer: bytes | None  # ...if it was kept
    tries: tuple[Try, ...]
    origin: Origin | None
    key: int = 0
    until: float = 0.0  # seconds, of the machine's clock: to then the answer to a key may be given again


def digest_of(*parts: bytes | bytearray) -> int:
    """63 bits for a key in its place (tenant, class, what is asked); never 0. Only the last part may hold a NUL."""
    return int.from_bytes(hashlib.blake2b(b"\0".join(parts), digest_size=8).digest(), "big") >> 1 or 1


class Keys:
    """Where work of a key is: rows that any process writes and any reads, without a lock.

    A row is a digest, the place (book and slot), until when it counts, and the three of them folded, so that one that
    two wrote at once is no row. What is lost so, or pushed out by later keys, is not found: it is then as without.
    """

    ROW, WAYS = 4, 4  # cells of a row; rows in which a digest may stand

    def __init__(self, memory: memoryview, count: int) -> None:
        self._bytes = memory
        self._cells = memory.cast("q")
        self._sets = count // self.WAYS
        self._width = self.WAYS * self.ROW
        self._set = struct.Struct(f"<{self._width}q")

    def _spot(self, digest: int) -> tuple[int, bool]:
        """The cell where a digest's row begins, or where it would; and whether it is there."""
        begin = digest % self._sets * self._width
        row = self._set.unpack_from(self._bytes, 8 * begin)
        if digest in row:
            for i in range(0, self._width, self.ROW):
                if row[i] == digest:
                    return begin + i, True
        ends = row[2 :: self.ROW]  # of one that two wrote at once it is one of theirs: it passes as well
        return begin + ends.index(min(ends)) * self.ROW, False

    def put(self, digest: int, book: int, slot: int, until: float, spot: int = NONE) -> None:
        """Work of this key is there until then (seconds, of the machine's clock); `spot`: what `meet` has said."""
        at = spot if spot != NONE else self._spot(digest)[0]
        place, end = book << 32 | slot, int(until * TO_NS)
        self._cells[at + 3] = 0
        _ROW.pack_into(self._bytes, 8 * at, digest, place, end, digest ^ place ^ end)

    def meet(self, digest: int, now: float) -> tuple[tuple[int, int] | None, int]:
        """The book and slot where a key is said to be; and the spot where `put` would note it, for a moment."""
        at, there = self._spot(digest)
        if there:
            _, place, end, fold = _ROW.unpack_from(self._bytes, 8 * at)
            if end > now * TO_NS and digest ^ place ^ end == fold:
                return (place >> 32, place & 0xFFFFFFFF), at
        return None, at

    def find(self, digest: int, now: float) -> tuple[int, int] | None:
        """The book and slot where it is said to be."""
        return self.meet(digest, now)[0]


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a piece of work is, as one who asks for the same follows it."""

    stage: Stage
    deadline: float  # seconds, of the machine's clock
    answer: bytes | None
    until: float = math.inf  # seconds, of the machine's clock: to then an answer may be given again


@dataclass(frozen=True, slots=True)
class Row:
    """A caller's connection between requests, as it was noted."""

    connection: int  # descriptor
    name: int
    read: int
    wrote: int


@dataclass(frozen=True, slots=True)
class Size:
    """How much a book holds."""

    entries: int = 1024
    blocks: int = 2048
    descriptors: int = 1024  # that callers' connections may have, from 0

    @property
    def bytes(self) -> int:
        """Of its buffer, of which what is never used costs no memory."""
        return 8 * (HEAD + self.entries * WIDTH + self.descriptors * ROW + self.blocks) + self.blocks * BLOCK


@dataclass(frozen=True, slots=True)
class Shelf:
    """How a fleet's shared memory is laid out: the index of keys, then the books, each on pages of its own."""

    size: Size = field(default_factory=Size)
    books: int = 64
    keys: int = 16384  # rows of the index

    @property
    def front(self) -> int:
        """Bytes before the first book."""
        return _paged(8 * self.keys * Keys.ROW)

    @property
    def stride(self) -> int:
        """Bytes from one book to the next."""
        return _paged(self.size.bytes)

    @property
    def bytes(self) -> int:
        """Of it all."""
        return self.front + self.books * self.stride

    def index(self, memory: memoryview) -> Keys:
        """The index of keys."""
        return Keys(memory[: 8 * self.keys * Keys.ROW], self.keys)

    def at(self, book: int) -> int:
        """Where a book begins."""
        return self.front + book * self.stride

    def book(self, memory: memoryview, book: int) -> memoryview:
        """The buffer of a book; raises ValueError for one that is not there."""
        if not 0 <= book < self.books:
            raise ValueError(f"book {book} of {self.books}")
        return memory[self.at(book) : self.at(book) + self.size.bytes]


def _paged(count: int) -> int:
    return -(-count // PAGE) * PAGE


class Pages:
    """The buffer, seen as cells and as blocks."""

    def __init__(self, memory: memoryview, size: Size) -> None:
        self.memory = memory
        self.cells = memory.cast("q")
        self.size = size
        self.rows = HEAD + size.entries * WIDTH
        self.next = self.rows + size.descriptors * ROW  # the cell that tells which block follows the first
        self.data = 8 * (self.next + size.blocks)

    @staticmethod
    def at(slot: int) -> int:
        """The first cell of an entry."""
        return HEAD + slot * WIDTH

    def gather(self, inline: int, first: int, length: int) -> bytes | None:
        """Bytes out of the entry (from byte `inline`) or a chain of blocks; None where that makes no sense."""
        if first == HERE:
            return bytes(self.memory[inline : inline + length]) if 0 <= length <= INLINE else None
        parts: list[bytes] = []
        block = first
        while length > 0:
            if not 0 <= block < self.size.blocks or len(parts) > self.size.blocks:
                return None
            at = self.data + block * BLOCK
            parts.append(bytes(self.memory[at : at + min(length, BLOCK)]))
            length -= BLOCK
            block = self.cells[self.next + block]
        return b"".join(parts) if first >= 0 else None


_TAKEN, _SENT, _PASSING, _ANSWERED = (
    stage.value for stage in (Stage.TAKEN, Stage.SENT, Stage.PASSING, Stage.ANSWERED)
)


class Book:
    """The writer's side. A request is known by a *handle*; of one that is over, or never was, nothing is written."""

    def __init__(self, memory: memoryview, size: Size, process: int) -> None:
        if size.entries > _SLOT:
            raise ValueError(f"{size.entries} entries are more than {_SLOT}")
        pages = self._pages = Pages(memory, size)
        self._memory = memory
        self._cells = pages.cells
        # Last in, first out: as few pages of memory as possible are ever touched.
        self._free = list(range(size.entries - 1, -1, -1))
        self._blocks = list(range(size.blocks - 1, -1, -1))
        self._held: dict[int, list[int]] = {}  # blocks by slot, of those that have any
        self._kept: deque[tuple[float, int]] = deque()  # answers of keys: until when, and their handles
        self._serial = 0
        self.covered = 0  # requests noted since the start...
        self.uncovered = 0  # ...and those that found no room
        cells = self._cells
        cells[1], cells[2], cells[3], cells[4] = process, size.entries, size.blocks, size.descriptors
        cells[0] = FORM

    @property
    def used(self) -> int:
        """Entries that are not free."""
        return self._pages.size.entries - len(self._free)

    @property
    def kept(self) -> int:
        """Answers that are kept for whoever asks for their key again."""
        return len(self._kept)

    @staticmethod
    def slot(handle: int) -> int:
        """Where a request is noted."""
        return handle & _SLOT

    def _find(self, handle: int) -> int:
        """The first cell of a request's entry; NONE if it is not there any more."""
        at = HEAD + (handle & _SLOT) * WIDTH
        return at if handle >= 0 and self._cells[at + SERIAL] == handle >> 16 else NONE

    # ---- room ----------------------------------------------------------------------------

    def _store(self, slot: int, inline: int, data: bytes) -> int:
        """Put bytes into the entry (at byte `inline`) or into blocks; returns the first, or NONE without room."""
        length = len(data)
        if length <= INLINE:
            self._memory[inline : inline + length] = data
            return HERE
        count = -(-length // BLOCK)
        while count > len(self._blocks) and self._kept:
            self.done(self._kept.popleft()[1])
        if count > len(self._blocks):
            return NONE
        taken = [self._blocks.pop() for _ in range(count)]
        self._held.setdefault(slot, []).extend(taken)
        for i, block in enumerate(taken):
            piece = data[i * BLOCK : (i + 1) * BLOCK]
            at = self._pages.data + block * BLOCK
            self._memory[at : at + len(piece)] = piece
            if i:
                self._cells[self._pages.next + taken[i - 1]] = block
        return taken[0]

    def _take_slot(self, before: int) -> int:
        """The entry of the request before, if there is one, or a free one; NONE, and counted, where there is none.

        Guards what is in hand against what is only kept.
        """
        if before >= 0:
            slot = before & _SLOT
            self._cells[HEAD + slot * WIDTH + SERIAL] = 0
            if slot in self._held:
                self._blocks += reversed(self._held.pop(slot))
            return slot
        while not self._free and self._kept:
            self.done(self._kept.popleft()[1])
        if self._free:
            return self._free.pop()
        self.uncovered += 1
        return NONE

    # ---- requests ------------------------------------------------------------------------

    def take(
        self,
        request: bytes,
        deadline: float,
        taken: float,
        caller: int,
        peer: int,
        read: int,
        whole: bool,
        closes: bool,
        origin: Origin | None = None,
        key: int = 0,
        before: int = NONE,
        until: float = 0.0,
    ) -> int:
        """Note a request; returns its handle, or NONE where it is not covered. `key`: a digest, or 0.

        `before`: the handle of the request before on the same connection, which is over; its place is taken.
        `until`: to when the answer to its key may be given again (seconds, of the machine's clock).
        """
        slot = self._take_slot(before)
        if slot < 0:
            return NONE
        at = HEAD + slot * WIDTH
        first = self._store(slot, 8 * (at + CELLS), request)
        if first == NONE:
            self._free.append(slot)
            self.uncovered += 1
            return NONE
        process, theirs, term = (0, 0, 0) if origin is None else (origin.process, origin.slot, origin.term)
        self._serial = serial = self._serial + 1
        if key:
            self._cells[at + UNTIL] = int(until * TO_NS)
        _ENTRY.pack_into(
            self._memory,
            8 * (at + CALLER),
            caller,
            peer,
            int(deadline * TO_NS),
            int(taken * TO_NS),
            len(request),
            first,
            zlib.adler32(request),
            (WHOLE | CAME) * whole + CLOSES * closes,
            process,
            theirs,
            term,
            read,
            key,
            0,
            0,
            0,
            0,
            0,
            NONE,
            0,
            _TAKEN,
            serial,
        )
        self.covered += 1
        return serial << 16 | slot

    def begin(
        self,
        request: bytes,
        deadline: float,
        taken: float,
        caller: int,
        peer: int,
        read: int,
        closes: bool,
        before: int,
        server: ServerId,
        zone: int,
        cell: int,
        connection: int,
        name: int,
        length: int,
        wrote: int,
        got: int,
        key: int = 0,
        until: float = 0.0,
    ) -> int:
        """`take` and `sends` in one write, for most requests: small, here whole, sent at once."""
        slot = self._take_slot(before)
        if slot < 0:
            return NONE
        at = 8 * (HEAD + slot * WIDTH)
        inline = at + 8 * CELLS
        self._memory[inline : inline + len(request)] = request
        self._serial = serial = self._serial + 1
        now = int(taken * TO_NS)
        if key:
            self._cells[(at >> 3) + UNTIL] = int(until * TO_NS)
        _FIRST.pack_into(
            self._memory,
            at + 8 * TRY_AT,
            server,
            zone,
            cell,
            now,
            0,
            connection,
            name,
            length,
            wrote,
            got,
            caller,
            peer,
            int(deadline * TO_NS),
            now,
            len(request),
            HERE,
            zlib.adler32(request),
            _WHOLE_CLOSES if closes else _WHOLE,
            0,
            0,
            0,
            read,
            key,
            0,
            0,
            1,
            0,
            0,
            NONE,
            0,
            _SENT,
            serial,
        )
        self.covered += 1
        return serial << 16 | slot

    def came(self, handle: int, deadline: float, read: int) -> None:
        """The last byte of a body that is passed on while it comes: nothing can have run before. Its time is anew.

        `read` counts from here on, or the body itself would look like what came behind the request.
        """
        at = self._find(handle)
        if at >= 0:
            self._cells[at + DEADLINE] = int(deadline * TO_NS)
            self._cells[at + READ] = read
            self._cells[at + FLAGS] |= CAME

    def sends(
        self,
        handle: int,
        server: ServerId,
        zone: int,
        cell: int,
        sent: float,
        connection: int,
        name: int,
        length: int,
        wrote: int,
        read: int,
        end: End = End.OPEN,
    ) -> int:
        """An attempt is about to be written (see `Try`); returns its place, or NONE."""
        at = self._find(handle)
        if at < 0:
            return NONE
        cells = self._cells
        place = cells[at + COUNT]
        if place >= TRIES:
            return NONE
        _TRY.pack_into(
            self._memory,
            8 * (at + TRY_AT - place * TRY_CELLS),
            server,
            zone,
            cell,
            int(sent * TO_NS),
            end,
            connection,
            name,
            length,
            wrote,
            read,
        )
        cells[at + COUNT] = place + 1
        if cells[at + STAGE] == _TAKEN:
            cells[at + STAGE] = _SENT
        return place

    def ends(self, handle: int, place: int, end: End) -> None:
        """An attempt has ended; its connection may carry others from here on."""
        at = self._find(handle)
        if at >= 0 and place >= 0:
            self._cells[at + TRY_AT - place * TRY_CELLS + 4] = end

    def answers_briefly(self, handle: int, wrote: int, length: int, closes: bool) -> None:
        """`answers`, of which only the length is noted."""
        at = HEAD + (handle & _SLOT) * WIDTH
        cells = self._cells
        if handle >= 0 and cells[at + SERIAL] == handle >> 16:
            if closes:
                cells[at + FLAGS] |= CLOSES
            _ANSWER.pack_into(self._memory, 8 * (at + WROTE), wrote, length, NONE, 0, _ANSWERED)

    def passes(self, handle: int) -> None:
        """A long answer is about to begin."""
        at = self._find(handle)
        if at >= 0:
            self._cells[at + STAGE] = _PASSING

    def answers(self, handle: int, wrote: int, answer: bytes, closes: bool = False) -> None:
        """An answer is about to be written, behind so many bytes on the caller's connection."""
        at = self._find(handle)
        if at < 0:
            return
        first = self._store(handle & _SLOT, 8 * (at + CELLS) + INLINE, answer)
        if closes:
            self._cells[at + FLAGS] |= CLOSES
        _ANSWER.pack_into(self._memory, 8 * (at + WROTE), wrote, len(answer), first, zlib.adler32(answer), _ANSWERED)

    def renote(self, entry: Entry, origin: Origin, caller: int, tries: list[int]) -> int:
        """Note work of another's book with all that is known of it; `tries` are the attempts' descriptors here."""
        handle = self.take(
            entry.request,
            entry.deadline,
            entry.taken,
            caller,
            entry.peer,
            entry.read,
            entry.whole,
            entry.closes,
            origin,
            entry.key,
            NONE,
            entry.until,
        )
        if entry.came and not entry.whole:
            self.came(handle, entry.deadline, entry.read)
        for one, connection in zip(entry.tries, tries, strict=True):
            self.sends(
                handle,
                one.server,
                one.zone,
                one.cell,
                one.at,
                connection,
                one.name,
                one.length,
                one.wrote,
                one.read,
                one.end,
            )
        if entry.stage is Stage.PASSING:
            self.passes(handle)
        elif entry.stage is Stage.ANSWERED:
            if entry.answer is not None:
                self.answers(handle, entry.wrote, entry.answer, entry.closes)
            else:
                self.answers_briefly(handle, entry.wrote, entry.length, entry.closes)
        return handle

    def row(self, connection: int, name: int, read: int, wrote: int, state: int) -> None:
        """A caller's connection has no entry: between requests (IDLE), in the middle of what is none, or gone."""
        if 0 <= connection < self._pages.size.descriptors:
            _ROW.pack_into(self._memory, 8 * (self._pages.rows + connection * ROW), name, read, wrote, state)

    def done(self, handle: int) -> None:
        """Nothing of this request, nor of its connection, is in hand any more."""
        at = self._find(handle)
        if at >= 0:
            self._cells[at + SERIAL] = 0
            slot = handle & _SLOT
            if slot in self._held:
                self._blocks += reversed(self._held.pop(slot))
            self._free.append(slot)

    def keep(self, handle: int, until: float) -> None:
        """The request is over; its answer stays to be found by its key until then, or until there is need of room."""
        at = self._find(handle)
        if at < 0:
            return
        if self._cells[at + STAGE] != _ANSWERED:
            self.done(handle)
            return
        self._cells[at + CALLER] = NONE
        self._kept.append((until, handle))

    def expire(self, now: float) -> None:
        """Forget the answers that were kept long enough. None of them is given again after its time in any case."""
        while self._kept and self._kept[0][0] <= now:
            self.done(self._kept.popleft()[1])


class Left:
    """The book of a process that is no more, or of another, as others read it."""

    def __init__(self, memory: memoryview, size: Size) -> None:
        self._pages = Pages(memory, size)
        self._size = size

    @property
    def whole(self) -> bool:
        """Whether its writer has come so far as to begin it."""
        size, cells = self._size, self._pages.cells
        return cells[0] == FORM and list(cells[2:5]) == [size.entries, size.blocks, size.descriptors]

    def slots(self) -> Iterator[int]:
        """Entries that are there."""
        if self.whole:
            cells = self._pages.cells
            yield from (slot for slot in range(self._size.entries) if cells[Pages.at(slot) + SERIAL])

    def rows(self, states: Collection[int]) -> Iterator[Row]:
        """Callers' connections without an entry, in some states."""
        if self.whole:
            cells = self._pages.cells
            for connection in range(self._size.descriptors):
                at = self._pages.rows + connection * ROW
                if cells[at + 3] in states:
                    yield Row(connection, *cells[at : at + 3])

    def read(self, slot: int) -> Entry | None:
        """One entry; None where it is not there, or makes no sense."""
        pages = self._pages
        at = Pages.at(slot)
        cells = pages.cells
        if not self.whole or not cells[at + SERIAL] or cells[at + STAGE] not in Stage.__members__.values():
            return None
        request = pages.gather(8 * (at + CELLS), cells[at + FIRST], cells[at + LENGTH])
        if request is None or zlib.adler32(request) != cells[at + CHECK]:
            return None
        stage = Stage(cells[at + STAGE])
        answer = self._answer(at) if stage is Stage.ANSWERED else None
        tries = tuple(self._try(at + TRY_AT - i * TRY_CELLS) for i in range(min(cells[at + COUNT], TRIES)))
        origin = Origin(*cells[at + ORIGIN : at + ORIGIN_TERM + 1]) if cells[at + ORIGIN] else None
        flags = cells[at + FLAGS]
        return Entry(
            slot,
            stage,
            cells[at + CALLER],
            cells[at + PEER],
            cells[at + DEADLINE] / TO_NS,
            cells[at + TAKEN] / TO_NS,
            request,
            bool(flags & WHOLE),
            bool(flags & CAME),
            bool(flags & CLOSES),
            cells[at + READ],
            cells[at + WROTE],
            cells[at + ANSWER_LENGTH],
            answer,
            tries,
            origin,
            cells[at + KEY],
            cells[at + UNTIL] / TO_NS if cells[at + KEY] else 0.0,
        )

    def _try(self, at: int) -> Try:
        server, zone, cell, began, end, connection, name, length, wrote, read = self._pages.cells[at : at + TRY_CELLS]
        known = End(end) if end in End.__members__.values() else End.MAYBE
        return Try(server, zone, cell, began / TO_NS, known, connection, name, length, wrote, read)

    def follow(self, slot: int, key: int) -> Progress | None:
        """How far the work of a key is; None if it is not there (any more)."""
        if not self.whole or not 0 <= slot < self._size.entries:
            return None
        cells, at = self._pages.cells, Pages.at(slot)
        serial = cells[at + SERIAL]
        if not serial or cells[at + KEY] != key or cells[at + STAGE] not in Stage.__members__.values():
            return None
        stage = Stage(cells[at + STAGE])
        answer = None
        if stage is Stage.ANSWERED:
            answer = self._answer(at)
        found = Progress(stage, cells[at + DEADLINE] / TO_NS, answer, cells[at + UNTIL] / TO_NS)
        return found if cells[at + SERIAL] == serial and cells[at + KEY] == key else None

    def _answer(self, at: int) -> bytes | None:
        cells = self._pages.cells
        answer = self._pages.gather(8 * (at + CELLS) + INLINE, cells[at + ANSWER_FIRST], cells[at + ANSWER_LENGTH])
        return answer if answer is not None and zlib.adler32(answer) == cells[at + ANSWER_CHECK] else None

    # ---- the claim -----------------------------------------------------------------------

    def claim(self, slot: int, term: int) -> None:
        """The supervisor names an heir, in this term."""
        self._pages.cells[Pages.at(slot) + CLAIM] = term

    def claimed(self, slot: int) -> int:
        """The term in which an heir was named last."""
        return self._pages.cells[Pages.at(slot) + CLAIM]

    def adopt(self, slot: int, term: int) -> None:
        """The heir of this term has the work in its own book; from here on it is there."""
        self._pages.cells[Pages.at(slot) + ADOPTED] = term

    def adopted(self, slot: int) -> int:
        """The term of the heir that has said so."""
        return self._pages.cells[Pages.at(slot) + ADOPTED]
