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

LAYOUT_VERSION = 2
PAGE_SIZE = 4096  # bytes
BLOCK_SIZE = 2048  # bytes
INLINE_SIZE = 1536  # bytes of a request, and of an answer, that lie in the entry itself
HEADER_CELLS = 8  # cells
RECORD_CELLS = 64  # of an entry
RECORD_STRIDE = RECORD_CELLS + 2 * INLINE_SIZE // 8  # cells from one entry to the next
MAX_ATTEMPTS = 4  # attempts that are noted of one request; settings allow fewer
ATTEMPT_CELLS = 10
NONE, IN_RECORD = -1, -2  # in place of a block: nothing is noted; it lies in the entry

# Cells of an entry: attempts, the first of them last, then the rest. What is written in one go ends with what makes
# it hold: the first attempt may be written together with the request.
FIRST_ATTEMPT = ATTEMPT_CELLS * (MAX_ATTEMPTS - 1)
(
    CALLER_DESCRIPTOR,
    CALLER_CONNECTION_ID,
    DEADLINE,
    RECEIVED_AT,
    REQUEST_LENGTH,
    REQUEST_BLOCK,
    REQUEST_CHECKSUM,
    FLAGS,
    ORIGIN_PROCESS,
    ORIGIN_SLOT,
    ORIGIN_TERM,
) = range(40, 51)
(
    BYTES_READ,
    KEY_DIGEST,
    CLAIM_TERM,
    ADOPTED_TERM,
    ATTEMPT_COUNT,
    BYTES_WRITTEN,
    ANSWER_LENGTH,
    ANSWER_BLOCK,
    ANSWER_CHECKSUM,
    STAGE,
    SERIAL,
) = range(51, 62)
REPLAY_UNTIL = 62  # of a keyed request: when its answer is of no use any more; written before the rest
CONNECTION_CELLS = 4  # cells: name, read, wrote, state
CLOSED, IDLE, BUSY = range(3)  # states of a row

_ROW_LAYOUT = struct.Struct("<4q")
_RECORD_LAYOUT = struct.Struct("<22q")  # CALLER to SERIAL
_SENT_RECORD_LAYOUT = struct.Struct("<32q")  # the first attempt, and those
_ATTEMPT_LAYOUT = struct.Struct("<10q")
_ANSWER_LAYOUT = struct.Struct("<5q")  # WROTE to STAGE
_SLOT_MASK = 0xFFFF  # the part of a handle that is the slot; the rest is the serial

# Flags: the body is here whole; the connection ends with the answer; the last byte has come.
BODY_STORED, CLOSES_CONNECTION, BODY_RECEIVED = 1, 2, 4
_FLAGS_STORED, _FLAGS_STORED_CLOSES = BODY_STORED | BODY_RECEIVED, BODY_STORED | BODY_RECEIVED | CLOSES_CONNECTION
NS_PER_SECOND = 1e9


class Stage(IntEnum):
    """How far a piece of work is."""

    RECEIVED = 1
    SENT = 2  # a part of it may have gone out to a backend
    STREAMING = 3  # a part of a long answer may be out
    ANSWERED = 4  # the answer, or at least its length, is noted; a part of it may be out


class AttemptEnd(IntEnum):
    """How an attempt ended, as far as an heir must know."""

    OPEN = 0
    NEVER_RAN = 1  # it certainly did not run
    MAYBE_RAN = 2


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt. Counts are of its connection, from before it, in bytes."""

    server: ServerId
    zone: int
    cell: int
    sent_at: float  # seconds, of the machine's clock
    end: AttemptEnd
    descriptor: int  # descriptor
    connection_id: int  # of the connection
    request_length: int  # bytes of the request as it is written; 0 where that is not known yet
    bytes_written: int  # to the backend, before
    bytes_read: int  # from it, before


@dataclass(frozen=True, slots=True)
class Origin:
    """Whose work it was before: a process, the slot in its book, and the term in which it was handed on."""

    process: int
    slot: int
    term: int


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One piece of work, as it is read."""

    slot: int
    stage: Stage
    caller_descriptor: int  # descriptor
    caller_connection_id: int  # name of the caller's connection
    deadline: float  # seconds, of the machine's clock
    received_at: float
    request: bytes  # head and body as they came
    has_body: bool  # the body is here, or there is none...
    body_received: bool  # ...or has come whole to the one before
    closes_connection: bool  # the connection ends with the answer
    bytes_read: int  # bytes from the caller, this request's among them
    bytes_written: int  # bytes to the caller before the answer
    answer_length: int  # bytes of the answer...
    answer: bytes | None  # ...if it was kept
    attempts: tuple[AttemptRecord, ...]
    origin: Origin | None
    key: int = 0
    replay_until: float = 0.0  # seconds, of the machine's clock: to then the answer to a key may be given again


def digest_of(*parts: bytes | bytearray) -> int:
    """63 bits for a key in its place (tenant, class, what is asked); never 0. Only the last part may hold a NUL."""
    return int.from_bytes(hashlib.blake2b(b"\0".join(parts), digest_size=8).digest(), "big") >> 1 or 1


class KeyIndex:
    """Where work of a key is: rows that any process writes and any reads, without a lock.

    A row is a digest, the place (book and slot), until when it counts, and the three of them folded, so that one that
    two wrote at once is no row. What is lost so, or pushed out by later keys, is not found: it is then as without.
    """

    ROW_CELLS, WAYS = 4, 4  # cells of a row; rows in which a digest may stand

    def __init__(self, memory: memoryview, count: int) -> None:
        self._bytes = memory
        self._cells = memory.cast("q")
        self._sets = count // self.WAYS
        self._set_cells = self.WAYS * self.ROW_CELLS
        self._set_layout = struct.Struct(f"<{self._set_cells}q")

    def _locate(self, digest: int) -> tuple[int, bool]:
        """The cell where a digest's row begins, or where it would; and whether it is there."""
        begin = digest % self._sets * self._set_cells
        row = self._set_layout.unpack_from(self._bytes, 8 * begin)
        if digest in row:
            for i in range(0, self._set_cells, self.ROW_CELLS):
                if row[i] == digest:
                    return begin + i, True
        ends = row[2 :: self.ROW_CELLS]  # of one that two wrote at once it is one of theirs: it passes as well
        return begin + ends.index(min(ends)) * self.ROW_CELLS, False

    def put(self, digest: int, book: int, slot: int, until: float, spot: int = NONE) -> None:
        """Work of this key is there until then (seconds, of the machine's clock); `spot`: what `meet` has said."""
        at = spot if spot != NONE else self._locate(digest)[0]
        place, end = book << 32 | slot, int(until * NS_PER_SECOND)
        self._cells[at + 3] = 0
        _ROW_LAYOUT.pack_into(self._bytes, 8 * at, digest, place, end, digest ^ place ^ end)

    def lookup(self, digest: int, now: float) -> tuple[tuple[int, int] | None, int]:
        """The book and slot where a key is said to be; and the spot where `put` would note it, for a moment."""
        at, there = self._locate(digest)
        if there:
            _, place, end, fold = _ROW_LAYOUT.unpack_from(self._bytes, 8 * at)
            if end > now * NS_PER_SECOND and digest ^ place ^ end == fold:
                return (place >> 32, place & 0xFFFFFFFF), at
        return None, at

    def find(self, digest: int, now: float) -> tuple[int, int] | None:
        """The book and slot where it is said to be."""
        return self.lookup(digest, now)[0]


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a piece of work is, as one who asks for the same follows it."""

    stage: Stage
    deadline: float  # seconds, of the machine's clock
    answer: bytes | None
    replay_until: float = math.inf  # seconds, of the machine's clock: to then an answer may be given again


@dataclass(frozen=True, slots=True)
class ConnectionRecord:
    """A caller's connection between requests, as it was noted."""

    descriptor: int  # descriptor
    connection_id: int
    bytes_read: int
    bytes_written: int


@dataclass(frozen=True, slots=True)
class JournalSize:
    """How much a book holds."""

    entries: int = 1024
    blocks: int = 2048
    descriptors: int = 1024  # that callers' connections may have, from 0

    @property
    def bytes(self) -> int:
        """Of its buffer, of which what is never used costs no memory."""
        return (
            8 * (HEADER_CELLS + self.entries * RECORD_STRIDE + self.descriptors * CONNECTION_CELLS + self.blocks)
            + self.blocks * BLOCK_SIZE
        )


@dataclass(frozen=True, slots=True)
class JournalPool:
    """How a fleet's shared memory is laid out: the index of keys, then the books, each on pages of its own."""

    size: JournalSize = field(default_factory=JournalSize)
    books: int = 64
    keys: int = 16384  # rows of the index

    @property
    def index_bytes(self) -> int:
        """Bytes before the first book."""
        return _round_up_to_page(8 * self.keys * KeyIndex.ROW_CELLS)

    @property
    def journal_stride(self) -> int:
        """Bytes from one book to the next."""
        return _round_up_to_page(self.size.bytes)

    @property
    def bytes(self) -> int:
        """Of it all."""
        return self.index_bytes + self.books * self.journal_stride

    def key_index(self, memory: memoryview) -> KeyIndex:
        """The index of keys."""
        return KeyIndex(memory[: 8 * self.keys * KeyIndex.ROW_CELLS], self.keys)

    def journal_offset(self, book: int) -> int:
        """Where a book begins."""
        return self.index_bytes + book * self.journal_stride

    def journal_memory(self, memory: memoryview, book: int) -> memoryview:
        """The buffer of a book; raises ValueError for one that is not there."""
        if not 0 <= book < self.books:
            raise ValueError(f"book {book} of {self.books}")
        return memory[self.journal_offset(book) : self.journal_offset(book) + self.size.bytes]


def _round_up_to_page(count: int) -> int:
    return -(-count // PAGE_SIZE) * PAGE_SIZE


class JournalMemory:
    """The buffer, seen as cells and as blocks."""

    def __init__(self, memory: memoryview, size: JournalSize) -> None:
        self.memory = memory
        self.cells = memory.cast("q")
        self.size = size
        self.connections_cell = HEADER_CELLS + size.entries * RECORD_STRIDE
        self.next_block_cell = (
            self.connections_cell + size.descriptors * CONNECTION_CELLS
        )  # the cell that tells which block follows the first
        self.blocks_offset = 8 * (self.next_block_cell + size.blocks)

    @staticmethod
    def record_cell(slot: int) -> int:
        """The first cell of an entry."""
        return HEADER_CELLS + slot * RECORD_STRIDE

    def gather(self, inline: int, first: int, length: int) -> bytes | None:
        """Bytes out of the entry (from byte `inline`) or a chain of blocks; None where that makes no sense."""
        if first == IN_RECORD:
            return bytes(self.memory[inline : inline + length]) if 0 <= length <= INLINE_SIZE else None
        parts: list[bytes] = []
        block = first
        while length > 0:
            if not 0 <= block < self.size.blocks or len(parts) > self.size.blocks:
                return None
            at = self.blocks_offset + block * BLOCK_SIZE
            parts.append(bytes(self.memory[at : at + min(length, BLOCK_SIZE)]))
            length -= BLOCK_SIZE
            block = self.cells[self.next_block_cell + block]
        return b"".join(parts) if first >= 0 else None


_RECEIVED, _SENT, _STREAMING, _ANSWERED = (
    stage.value for stage in (Stage.RECEIVED, Stage.SENT, Stage.STREAMING, Stage.ANSWERED)
)


class RequestJournal:
    """The writer's side. A request is known by a *handle*; of one that is over, or never was, nothing is written."""

    def __init__(self, memory: memoryview, size: JournalSize, process: int) -> None:
        if size.entries > _SLOT_MASK:
            raise ValueError(f"{size.entries} entries are more than {_SLOT_MASK}")
        pages = self._pages = JournalMemory(memory, size)
        self._memory = memory
        self._cells = pages.cells
        # Last in, first out: as few pages of memory as possible are ever touched.
        self._free_slots = list(range(size.entries - 1, -1, -1))
        self._free_blocks = list(range(size.blocks - 1, -1, -1))
        self._blocks_by_slot: dict[int, list[int]] = {}  # blocks by slot, of those that have any
        self._retained: deque[tuple[float, int]] = deque()  # answers of keys: until when, and their handles
        self._serial = 0
        self.covered = 0  # requests noted since the start...
        self.uncovered = 0  # ...and those that found no room
        cells = self._cells
        cells[1], cells[2], cells[3], cells[4] = process, size.entries, size.blocks, size.descriptors
        cells[0] = LAYOUT_VERSION

    @property
    def used(self) -> int:
        """Entries that are not free."""
        return self._pages.size.entries - len(self._free_slots)

    @property
    def retained(self) -> int:
        """Answers that are kept for whoever asks for their key again."""
        return len(self._retained)

    @staticmethod
    def slot_of(handle: int) -> int:
        """Where a request is noted."""
        return handle & _SLOT_MASK

    def _record_cell(self, handle: int) -> int:
        """The first cell of a request's entry; NONE if it is not there any more."""
        at = HEADER_CELLS + (handle & _SLOT_MASK) * RECORD_STRIDE
        return at if handle >= 0 and self._cells[at + SERIAL] == handle >> 16 else NONE

    # ---- room ----------------------------------------------------------------------------

    def _store(self, slot: int, inline: int, data: bytes) -> int:
        """Put bytes into the entry (at byte `inline`) or into blocks; returns the first, or NONE without room."""
        length = len(data)
        if length <= INLINE_SIZE:
            self._memory[inline : inline + length] = data
            return IN_RECORD
        count = -(-length // BLOCK_SIZE)
        while count > len(self._free_blocks) and self._retained:
            self.release(self._retained.popleft()[1])
        if count > len(self._free_blocks):
            return NONE
        taken = [self._free_blocks.pop() for _ in range(count)]
        self._blocks_by_slot.setdefault(slot, []).extend(taken)
        for i, block in enumerate(taken):
            piece = data[i * BLOCK_SIZE : (i + 1) * BLOCK_SIZE]
            at = self._pages.blocks_offset + block * BLOCK_SIZE
            self._memory[at : at + len(piece)] = piece
            if i:
                self._cells[self._pages.next_block_cell + taken[i - 1]] = block
        return taken[0]

    def _allocate_slot(self, before: int) -> int:
        """The entry of the request before, if there is one, or a free one; NONE, and counted, where there is none.

        Guards what is in hand against what is only kept.
        """
        if before >= 0:
            slot = before & _SLOT_MASK
            self._cells[HEADER_CELLS + slot * RECORD_STRIDE + SERIAL] = 0
            if slot in self._blocks_by_slot:
                self._free_blocks += reversed(self._blocks_by_slot.pop(slot))
            return slot
        while not self._free_slots and self._retained:
            self.release(self._retained.popleft()[1])
        if self._free_slots:
            return self._free_slots.pop()
        self.uncovered += 1
        return NONE

    # ---- requests ------------------------------------------------------------------------

    def record_request(
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
        slot = self._allocate_slot(before)
        if slot < 0:
            return NONE
        at = HEADER_CELLS + slot * RECORD_STRIDE
        first = self._store(slot, 8 * (at + RECORD_CELLS), request)
        if first == NONE:
            self._free_slots.append(slot)
            self.uncovered += 1
            return NONE
        process, theirs, term = (0, 0, 0) if origin is None else (origin.process, origin.slot, origin.term)
        self._serial = serial = self._serial + 1
        if key:
            self._cells[at + REPLAY_UNTIL] = int(until * NS_PER_SECOND)
        _RECORD_LAYOUT.pack_into(
            self._memory,
            8 * (at + CALLER_DESCRIPTOR),
            caller,
            peer,
            int(deadline * NS_PER_SECOND),
            int(taken * NS_PER_SECOND),
            len(request),
            first,
            zlib.adler32(request),
            (BODY_STORED | BODY_RECEIVED) * whole + CLOSES_CONNECTION * closes,
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
            _RECEIVED,
            serial,
        )
        self.covered += 1
        return serial << 16 | slot

    def record_sent_request(
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
        slot = self._allocate_slot(before)
        if slot < 0:
            return NONE
        at = 8 * (HEADER_CELLS + slot * RECORD_STRIDE)
        inline = at + 8 * RECORD_CELLS
        self._memory[inline : inline + len(request)] = request
        self._serial = serial = self._serial + 1
        now = int(taken * NS_PER_SECOND)
        if key:
            self._cells[(at >> 3) + REPLAY_UNTIL] = int(until * NS_PER_SECOND)
        _SENT_RECORD_LAYOUT.pack_into(
            self._memory,
            at + 8 * FIRST_ATTEMPT,
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
            int(deadline * NS_PER_SECOND),
            now,
            len(request),
            IN_RECORD,
            zlib.adler32(request),
            _FLAGS_STORED_CLOSES if closes else _FLAGS_STORED,
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

    def record_body_received(self, handle: int, deadline: float, read: int) -> None:
        """The last byte of a body that is passed on while it comes: nothing can have run before. Its time is anew.

        `read` counts from here on, or the body itself would look like what came behind the request.
        """
        at = self._record_cell(handle)
        if at >= 0:
            self._cells[at + DEADLINE] = int(deadline * NS_PER_SECOND)
            self._cells[at + BYTES_READ] = read
            self._cells[at + FLAGS] |= BODY_RECEIVED

    def record_attempt(
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
        end: AttemptEnd = AttemptEnd.OPEN,
    ) -> int:
        """An attempt is about to be written (see `Try`); returns its place, or NONE."""
        at = self._record_cell(handle)
        if at < 0:
            return NONE
        cells = self._cells
        place = cells[at + ATTEMPT_COUNT]
        if place >= MAX_ATTEMPTS:
            return NONE
        _ATTEMPT_LAYOUT.pack_into(
            self._memory,
            8 * (at + FIRST_ATTEMPT - place * ATTEMPT_CELLS),
            server,
            zone,
            cell,
            int(sent * NS_PER_SECOND),
            end,
            connection,
            name,
            length,
            wrote,
            read,
        )
        cells[at + ATTEMPT_COUNT] = place + 1
        if cells[at + STAGE] == _RECEIVED:
            cells[at + STAGE] = _SENT
        return place

    def record_attempt_end(self, handle: int, place: int, end: AttemptEnd) -> None:
        """An attempt has ended; its connection may carry others from here on."""
        at = self._record_cell(handle)
        if at >= 0 and place >= 0:
            self._cells[at + FIRST_ATTEMPT - place * ATTEMPT_CELLS + 4] = end

    def record_answer_length(self, handle: int, wrote: int, length: int, closes: bool) -> None:
        """`answers`, of which only the length is noted."""
        at = HEADER_CELLS + (handle & _SLOT_MASK) * RECORD_STRIDE
        cells = self._cells
        if handle >= 0 and cells[at + SERIAL] == handle >> 16:
            if closes:
                cells[at + FLAGS] |= CLOSES_CONNECTION
            _ANSWER_LAYOUT.pack_into(self._memory, 8 * (at + BYTES_WRITTEN), wrote, length, NONE, 0, _ANSWERED)

    def record_streaming(self, handle: int) -> None:
        """A long answer is about to begin."""
        at = self._record_cell(handle)
        if at >= 0:
            self._cells[at + STAGE] = _STREAMING

    def record_answer(self, handle: int, wrote: int, answer: bytes, closes: bool = False) -> None:
        """An answer is about to be written, behind so many bytes on the caller's connection."""
        at = self._record_cell(handle)
        if at < 0:
            return
        first = self._store(handle & _SLOT_MASK, 8 * (at + RECORD_CELLS) + INLINE_SIZE, answer)
        if closes:
            self._cells[at + FLAGS] |= CLOSES_CONNECTION
        _ANSWER_LAYOUT.pack_into(
            self._memory, 8 * (at + BYTES_WRITTEN), wrote, len(answer), first, zlib.adler32(answer), _ANSWERED
        )

    def copy_record(self, entry: RequestRecord, origin: Origin, caller: int, tries: list[int]) -> int:
        """Note work of another's book with all that is known of it; `tries` are the attempts' descriptors here."""
        handle = self.record_request(
            entry.request,
            entry.deadline,
            entry.received_at,
            caller,
            entry.caller_connection_id,
            entry.bytes_read,
            entry.has_body,
            entry.closes_connection,
            origin,
            entry.key,
            NONE,
            entry.replay_until,
        )
        if entry.body_received and not entry.has_body:
            self.record_body_received(handle, entry.deadline, entry.bytes_read)
        for one, connection in zip(entry.attempts, tries, strict=True):
            self.record_attempt(
                handle,
                one.server,
                one.zone,
                one.cell,
                one.sent_at,
                connection,
                one.connection_id,
                one.request_length,
                one.bytes_written,
                one.bytes_read,
                one.end,
            )
        if entry.stage is Stage.STREAMING:
            self.record_streaming(handle)
        elif entry.stage is Stage.ANSWERED:
            if entry.answer is not None:
                self.record_answer(handle, entry.bytes_written, entry.answer, entry.closes_connection)
            else:
                self.record_answer_length(handle, entry.bytes_written, entry.answer_length, entry.closes_connection)
        return handle

    def record_connection(self, connection: int, name: int, read: int, wrote: int, state: int) -> None:
        """A caller's connection has no entry: between requests (IDLE), in the middle of what is none, or gone."""
        if 0 <= connection < self._pages.size.descriptors:
            _ROW_LAYOUT.pack_into(
                self._memory,
                8 * (self._pages.connections_cell + connection * CONNECTION_CELLS),
                name,
                read,
                wrote,
                state,
            )

    def release(self, handle: int) -> None:
        """Nothing of this request, nor of its connection, is in hand any more."""
        at = self._record_cell(handle)
        if at >= 0:
            self._cells[at + SERIAL] = 0
            slot = handle & _SLOT_MASK
            if slot in self._blocks_by_slot:
                self._free_blocks += reversed(self._blocks_by_slot.pop(slot))
            self._free_slots.append(slot)

    def retain_answer(self, handle: int, until: float) -> None:
        """The request is over; its answer stays to be found by its key until then, or until there is need of room."""
        at = self._record_cell(handle)
        if at < 0:
            return
        if self._cells[at + STAGE] != _ANSWERED:
            self.release(handle)
            return
        self._cells[at + CALLER_DESCRIPTOR] = NONE
        self._retained.append((until, handle))

    def expire_answers(self, now: float) -> None:
        """Forget the answers that were kept long enough. None of them is given again after its time in any case."""
        while self._retained and self._retained[0][0] <= now:
            self.release(self._retained.popleft()[1])


class OrphanedJournal:
    """The book of a process that is no more, or of another, as others read it."""

    def __init__(self, memory: memoryview, size: JournalSize) -> None:
        self._pages = JournalMemory(memory, size)
        self._size = size

    @property
    def is_valid(self) -> bool:
        """Whether its writer has come so far as to begin it."""
        size, cells = self._size, self._pages.cells
        return cells[0] == LAYOUT_VERSION and list(cells[2:5]) == [size.entries, size.blocks, size.descriptors]

    def slots(self) -> Iterator[int]:
        """Entries that are there."""
        if self.is_valid:
            cells = self._pages.cells
            yield from (slot for slot in range(self._size.entries) if cells[JournalMemory.record_cell(slot) + SERIAL])

    def connections(self, states: Collection[int]) -> Iterator[ConnectionRecord]:
        """Callers' connections without an entry, in some states."""
        if self.is_valid:
            cells = self._pages.cells
            for connection in range(self._size.descriptors):
                at = self._pages.connections_cell + connection * CONNECTION_CELLS
                if cells[at + 3] in states:
                    yield ConnectionRecord(connection, *cells[at : at + 3])

    def record_at(self, slot: int) -> RequestRecord | None:
        """One entry; None where it is not there, or makes no sense."""
        pages = self._pages
        at = JournalMemory.record_cell(slot)
        cells = pages.cells
        if not self.is_valid or not cells[at + SERIAL] or cells[at + STAGE] not in Stage.__members__.values():
            return None
        request = pages.gather(8 * (at + RECORD_CELLS), cells[at + REQUEST_BLOCK], cells[at + REQUEST_LENGTH])
        if request is None or zlib.adler32(request) != cells[at + REQUEST_CHECKSUM]:
            return None
        stage = Stage(cells[at + STAGE])
        answer = self._answer(at) if stage is Stage.ANSWERED else None
        tries = tuple(
            self._attempt_at(at + FIRST_ATTEMPT - i * ATTEMPT_CELLS)
            for i in range(min(cells[at + ATTEMPT_COUNT], MAX_ATTEMPTS))
        )
        origin = Origin(*cells[at + ORIGIN_PROCESS : at + ORIGIN_TERM + 1]) if cells[at + ORIGIN_PROCESS] else None
        flags = cells[at + FLAGS]
        return RequestRecord(
            slot,
            stage,
            cells[at + CALLER_DESCRIPTOR],
            cells[at + CALLER_CONNECTION_ID],
            cells[at + DEADLINE] / NS_PER_SECOND,
            cells[at + RECEIVED_AT] / NS_PER_SECOND,
            request,
            bool(flags & BODY_STORED),
            bool(flags & BODY_RECEIVED),
            bool(flags & CLOSES_CONNECTION),
            cells[at + BYTES_READ],
            cells[at + BYTES_WRITTEN],
            cells[at + ANSWER_LENGTH],
            answer,
            tries,
            origin,
            cells[at + KEY_DIGEST],
            cells[at + REPLAY_UNTIL] / NS_PER_SECOND if cells[at + KEY_DIGEST] else 0.0,
        )

    def _attempt_at(self, at: int) -> AttemptRecord:
        server, zone, cell, began, end, connection, name, length, wrote, read = self._pages.cells[
            at : at + ATTEMPT_CELLS
        ]
        known = AttemptEnd(end) if end in AttemptEnd.__members__.values() else AttemptEnd.MAYBE_RAN
        return AttemptRecord(server, zone, cell, began / NS_PER_SECOND, known, connection, name, length, wrote, read)

    def progress(self, slot: int, key: int) -> Progress | None:
        """How far the work of a key is; None if it is not there (any more)."""
        if not self.is_valid or not 0 <= slot < self._size.entries:
            return None
        cells, at = self._pages.cells, JournalMemory.record_cell(slot)
        serial = cells[at + SERIAL]
        if not serial or cells[at + KEY_DIGEST] != key or cells[at + STAGE] not in Stage.__members__.values():
            return None
        stage = Stage(cells[at + STAGE])
        answer = None
        if stage is Stage.ANSWERED:
            answer = self._answer(at)
        found = Progress(
            stage, cells[at + DEADLINE] / NS_PER_SECOND, answer, cells[at + REPLAY_UNTIL] / NS_PER_SECOND
        )
        return found if cells[at + SERIAL] == serial and cells[at + KEY_DIGEST] == key else None

    def _answer(self, at: int) -> bytes | None:
        cells = self._pages.cells
        answer = self._pages.gather(
            8 * (at + RECORD_CELLS) + INLINE_SIZE, cells[at + ANSWER_BLOCK], cells[at + ANSWER_LENGTH]
        )
        return answer if answer is not None and zlib.adler32(answer) == cells[at + ANSWER_CHECKSUM] else None

    # ---- the claim -----------------------------------------------------------------------

    def claim(self, slot: int, term: int) -> None:
        """The supervisor names an heir, in this term."""
        self._pages.cells[JournalMemory.record_cell(slot) + CLAIM_TERM] = term

    def claimed_term(self, slot: int) -> int:
        """The term in which an heir was named last."""
        return self._pages.cells[JournalMemory.record_cell(slot) + CLAIM_TERM]

    def adopt(self, slot: int, term: int) -> None:
        """The heir of this term has the work in its own book; from here on it is there."""
        self._pages.cells[JournalMemory.record_cell(slot) + ADOPTED_TERM] = term

    def adopted_term(self, slot: int) -> int:
        """The term of the heir that has said so."""
        return self._pages.cells[JournalMemory.record_cell(slot) + ADOPTED_TERM]
