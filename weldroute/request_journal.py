"""The journal of in-flight requests: what a process records of each request, so that another process can finish it.

Sans I/O: the journal is a buffer that outlives the process. Only that process writes it, at the cost of a memory
write; where the buffer lies is the caller's concern. Others write only two cells of a record: the supervisor its
claim (which successor it has named), and that successor the confirmation that it has adopted the request.

Layout, in little-endian cells of 64 bits:

1. a header;
2. the request records, each of RECORD_CELLS cells, followed by room for a small request and a small answer;
3. a connection row for each descriptor that a caller's connection may have;
4. for each block, the number of the block that follows it;
5. the blocks, which hold longer messages.

A caller's connection has one record for all its requests: between two of them, the last answer shows how far the
connection is. A record exists when its serial is not 0. The serial is written last and cleared first, so a record
that was torn by the writer's death does not exist. Everything else of a record is written before the action that it
describes. Descriptor numbers are trusted only if the connection still has the id that was recorded.

All journals of a fleet lie in one *pool* of shared memory, which each of its processes can read. An index of the keys
of keyed requests precedes the journals. By it a process finds a request of the same key that is in flight elsewhere,
or was recently answered, and follows it by reading memory alone. Readers of a journal that is being written
accept only what matches its checksum.

A connection row describes a caller's connection that has no record: how much was read from it and written to it.
While its state is IDLE, nothing has been sent for the bytes read since.

Memory is bounded: where no record or no block is free the request is not covered, which is counted.
"""

from __future__ import annotations

import hashlib
import math
import struct
import zlib
from collections import deque
from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from weldroute.model import ServerId

LAYOUT_VERSION = 2
PAGE_SIZE = 4096  # bytes
BLOCK_SIZE = 2048  # bytes
INLINE_SIZE = 1536  # bytes of a request, and of an answer, that are stored in the record itself
HEADER_CELLS = 8
RECORD_CELLS = 64
RECORD_STRIDE = RECORD_CELLS + 2 * INLINE_SIZE // 8  # cells from one record to the next
MAX_ATTEMPTS = 4  # attempts that are recorded of one request at a time; see `RequestJournal.record_attempt`
ATTEMPT_CELLS = 10
ATTEMPT_SENT_AT, ATTEMPT_END = 3, 4  # cells of an attempt
NONE, IN_RECORD = -1, -2  # in place of a block: nothing is stored; the bytes are in the record

# Cells of a record: the attempts, the first of them last, then the rest. What is written in one call ends with the
# cell that makes it valid: the first attempt may be written together with the request.
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
REPLAY_UNTIL = 62  # of a keyed request: when its answer may not be replayed any more; written before the rest
CONNECTION_CELLS = 4  # connection id, bytes read, bytes written, state
CLOSED, IDLE, BUSY = range(3)  # states of a connection row

_ROW_LAYOUT = struct.Struct("<4q")
_RECORD_LAYOUT = struct.Struct("<22q")  # CALLER_DESCRIPTOR to SERIAL
_SENT_RECORD_LAYOUT = struct.Struct("<32q")  # the first attempt, then CALLER_DESCRIPTOR to SERIAL
_ATTEMPT_LAYOUT = struct.Struct("<10q")
_ANSWER_LAYOUT = struct.Struct("<5q")  # BYTES_WRITTEN to STAGE
_SLOT_MASK = 0xFFFF  # the part of a handle that is the slot; the rest is the serial

# Flags: the whole body is stored; the connection closes after the answer; the last byte of the body has arrived; an
# attempt that may have run has no record.
BODY_STORED, CLOSES_CONNECTION, BODY_RECEIVED, ATTEMPT_UNRECORDED = 1, 2, 4, 8
_FLAGS_STORED, _FLAGS_STORED_CLOSES = BODY_STORED | BODY_RECEIVED, BODY_STORED | BODY_RECEIVED | CLOSES_CONNECTION
NS_PER_SECOND = 1e9


class Stage(IntEnum):
    """How far a request has come."""

    RECEIVED = 1
    SENT = 2  # part of it may have been sent to a backend
    STREAMING = 3  # part of a long answer may have been sent to the caller
    ANSWERED = 4  # the answer, or at least its length, is recorded; part of it may have been sent


class AttemptEnd(IntEnum):
    """How an attempt ended, as far as a successor must know."""

    OPEN = 0
    NEVER_RAN = 1  # it certainly did not run
    MAYBE_RAN = 2


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """One attempt. Byte counts are those of its connection before the attempt."""

    server: ServerId
    zone: int
    cell: int
    sent_at: float  # seconds, of the machine's clock
    end: AttemptEnd
    descriptor: int
    connection_id: int
    request_length: int  # bytes of the request as it is written; 0 where that is not known yet
    bytes_written: int  # to the backend
    bytes_read: int  # from the backend


@dataclass(frozen=True, slots=True)
class Origin:
    """Where a request was taken over from: a process, the slot in its journal, and the term of the claim."""

    process: int
    slot: int
    term: int


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request, as it is read from a journal."""

    slot: int
    stage: Stage
    caller_descriptor: int
    caller_connection_id: int
    deadline: float  # seconds, of the machine's clock
    received_at: float  # seconds, of the machine's clock
    request: bytes  # head and body as they came
    body_stored: bool  # the body is stored, or there is none
    body_received: bool  # the last byte of the body had arrived at the writer
    closes_connection: bool  # the connection closes after the answer
    bytes_read: int  # from the caller, this request's bytes included
    bytes_written: int  # to the caller before the answer
    answer_length: int  # bytes
    answer: bytes | None  # None where only its length was recorded
    attempts: tuple[AttemptRecord, ...]  # in the order in which they were sent
    origin: Origin | None
    key: int = 0
    replay_until: float = 0.0  # seconds, of the machine's clock: until then the answer to a key may be replayed
    replaced_attempts: int = 0  # earlier attempts whose records were reused; they matter only for their number
    attempt_unrecorded: bool = False  # an attempt that may have run is in no record


def digest_of(*parts: bytes | bytearray) -> int:
    """63 bits for a key and its context (tenant, class, request); never 0. Only the last part may hold a NUL."""
    return int.from_bytes(hashlib.blake2b(b"\0".join(parts), digest_size=8).digest(), "big") >> 1 or 1


class KeyIndex:
    """Where the request of a key is recorded: rows that any process writes and any process reads, without a lock.

    A row is a digest, the location (journal and slot), its expiry, and the XOR of the three, so that a row that two
    processes wrote at once is recognized as invalid. A row that is lost this way, or replaced by later keys, is not
    found: the request is then handled as if there were no index.
    """

    ROW_CELLS, WAYS = 4, 4  # cells of a row; rows in which a digest may be stored

    def __init__(self, memory: memoryview, count: int) -> None:
        self._bytes = memory
        self._cells = memory.cast("q")
        self._sets = count // self.WAYS
        self._set_cells = self.WAYS * self.ROW_CELLS
        self._set_layout = struct.Struct(f"<{self._set_cells}q")

    def _locate(self, digest: int) -> tuple[int, bool]:
        """The cell where a digest's row begins or would begin, and whether the row is there."""
        begin = digest % self._sets * self._set_cells
        row_set = self._set_layout.unpack_from(self._bytes, 8 * begin)
        if digest in row_set:
            for offset in range(0, self._set_cells, self.ROW_CELLS):
                if row_set[offset] == digest:
                    return begin + offset, True
        # In a row that two processes wrote at once the expiry is one of theirs, so such a row ages out as well.
        expiries = row_set[2 :: self.ROW_CELLS]
        return begin + expiries.index(min(expiries)) * self.ROW_CELLS, False

    def put(self, digest: int, journal: int, slot: int, expires_at: float, row: int = NONE) -> None:
        """Store a key's location until `expires_at` (machine's clock, seconds); `row`: as returned by `lookup`."""
        cell = row if row != NONE else self._locate(digest)[0]
        location, expiry = journal << 32 | slot, int(expires_at * NS_PER_SECOND)
        self._cells[cell + 3] = 0
        _ROW_LAYOUT.pack_into(self._bytes, 8 * cell, digest, location, expiry, digest ^ location ^ expiry)

    def lookup(self, digest: int, now: float) -> tuple[tuple[int, int] | None, int]:
        """The journal and slot of a key, if any, and the row for `put`, which is valid only for a moment."""
        cell, found = self._locate(digest)
        if found:
            _, location, expiry, checksum = _ROW_LAYOUT.unpack_from(self._bytes, 8 * cell)
            if expiry > now * NS_PER_SECOND and digest ^ location ^ expiry == checksum:
                return (location >> 32, location & 0xFFFFFFFF), cell
        return None, cell

    def find(self, digest: int, now: float) -> tuple[int, int] | None:
        """The journal and slot of a key, if any."""
        return self.lookup(digest, now)[0]


@dataclass(frozen=True, slots=True)
class Progress:
    """How far a request is, for another request of the same key that follows it."""

    stage: Stage
    deadline: float  # seconds, of the machine's clock
    answer: bytes | None
    replay_until: float = math.inf  # seconds, of the machine's clock: until then the answer may be replayed


@dataclass(frozen=True, slots=True)
class ConnectionRecord:
    """A caller's connection between two requests, as it was recorded."""

    descriptor: int
    connection_id: int
    bytes_read: int
    bytes_written: int


@dataclass(frozen=True, slots=True)
class JournalSize:
    """The capacity of a journal."""

    entries: int = 1024
    blocks: int = 2048
    descriptors: int = 1024  # that callers' connections may have, from 0

    @property
    def bytes(self) -> int:
        """Size of the buffer; parts that are never used cost no memory."""
        return (
            8 * (HEADER_CELLS + self.entries * RECORD_STRIDE + self.descriptors * CONNECTION_CELLS + self.blocks)
            + self.blocks * BLOCK_SIZE
        )


@dataclass(frozen=True, slots=True)
class JournalPool:
    """The layout of a fleet's shared memory: the key index, then the journals, each on pages of its own."""

    size: JournalSize = field(default_factory=JournalSize)
    books: int = 64  # number of journals
    keys: int = 16384  # rows of the index

    @property
    def index_bytes(self) -> int:
        """Bytes before the first journal."""
        return _round_up_to_page(8 * self.keys * KeyIndex.ROW_CELLS)

    @property
    def journal_stride(self) -> int:
        """Bytes from one journal to the next."""
        return _round_up_to_page(self.size.bytes)

    @property
    def bytes(self) -> int:
        """Size of the whole shared memory."""
        return self.index_bytes + self.books * self.journal_stride

    def key_index(self, memory: memoryview) -> KeyIndex:
        """The index of keys."""
        return KeyIndex(memory[: 8 * self.keys * KeyIndex.ROW_CELLS], self.keys)

    def journal_offset(self, journal: int) -> int:
        """The byte at which a journal begins."""
        return self.index_bytes + journal * self.journal_stride

    def journal_memory(self, memory: memoryview, journal: int) -> memoryview:
        """The buffer of a journal; raises ValueError for a number outside the pool."""
        if not 0 <= journal < self.books:
            raise ValueError(f"journal {journal} is outside the pool of {self.books}")
        return memory[self.journal_offset(journal) : self.journal_offset(journal) + self.size.bytes]


def _round_up_to_page(count: int) -> int:
    return -(-count // PAGE_SIZE) * PAGE_SIZE


class JournalMemory:
    """A journal's buffer, seen as cells and as blocks."""

    def __init__(self, memory: memoryview, size: JournalSize) -> None:
        self.memory = memory
        self.cells = memory.cast("q")
        self.size = size
        self.connections_cell = HEADER_CELLS + size.entries * RECORD_STRIDE
        # Cell i from here on holds the number of the block that follows block i.
        self.next_block_cell = self.connections_cell + size.descriptors * CONNECTION_CELLS
        self.blocks_offset = 8 * (self.next_block_cell + size.blocks)

    @staticmethod
    def record_cell(slot: int) -> int:
        """The first cell of a record."""
        return HEADER_CELLS + slot * RECORD_STRIDE

    def gather(self, inline: int, first: int, length: int) -> bytes | None:
        """Read bytes from the record (at byte `inline`) or from a chain of blocks; None if the chain is invalid."""
        if first == IN_RECORD:
            return bytes(self.memory[inline : inline + length]) if 0 <= length <= INLINE_SIZE else None
        parts: list[bytes] = []
        block = first
        while length > 0:
            if not 0 <= block < self.size.blocks or len(parts) > self.size.blocks:
                return None
            offset = self.blocks_offset + block * BLOCK_SIZE
            parts.append(bytes(self.memory[offset : offset + min(length, BLOCK_SIZE)]))
            length -= BLOCK_SIZE
            block = self.cells[self.next_block_cell + block]
        return b"".join(parts) if first >= 0 else None


_RECEIVED, _SENT, _STREAMING, _ANSWERED = (
    stage.value for stage in (Stage.RECEIVED, Stage.SENT, Stage.STREAMING, Stage.ANSWERED)
)


class RequestJournal:
    """The writer's side of a journal.

    A request is known by a *handle*. With the handle of a request that is over, or was never recorded, nothing is
    written.
    """

    def __init__(self, memory: memoryview, size: JournalSize, process: int) -> None:
        if size.entries > _SLOT_MASK:
            raise ValueError(f"{size.entries} entries are more than {_SLOT_MASK}")
        layout = self._layout = JournalMemory(memory, size)
        self._memory = memory
        self._cells = layout.cells
        # Last in, first out: as few pages of memory as possible are ever touched.
        self._free_slots = list(range(size.entries - 1, -1, -1))
        self._free_blocks = list(range(size.blocks - 1, -1, -1))
        self._blocks_by_slot: dict[int, list[int]] = {}  # for slots that have any
        self._retained: deque[tuple[float, int]] = deque()  # answers of keys: until when, and their handles
        self._serial = 0
        self.covered = 0  # requests recorded since the start
        self.uncovered = 0  # requests that found no room
        cells = self._cells
        cells[1], cells[2], cells[3], cells[4] = process, size.entries, size.blocks, size.descriptors
        cells[0] = LAYOUT_VERSION

    @property
    def used(self) -> int:
        """Records that are not free."""
        return self._layout.size.entries - len(self._free_slots)

    @property
    def retained(self) -> int:
        """Answers that are retained for repeats of their key."""
        return len(self._retained)

    @staticmethod
    def slot_of(handle: int) -> int:
        """The slot of a request's record."""
        return handle & _SLOT_MASK

    def _record_cell(self, handle: int) -> int:
        """The first cell of a request's record; NONE if the request is over."""
        cell = HEADER_CELLS + (handle & _SLOT_MASK) * RECORD_STRIDE
        return cell if handle >= 0 and self._cells[cell + SERIAL] == handle >> 16 else NONE

    # ---- allocation ----------------------------------------------------------------------

    def _store(self, slot: int, inline: int, data: bytes) -> int:
        """Write bytes into the record (at byte `inline`) or into blocks; returns the first, or NONE without room."""
        length = len(data)
        if length <= INLINE_SIZE:
            self._memory[inline : inline + length] = data
            return IN_RECORD
        count = -(-length // BLOCK_SIZE)
        while count > len(self._free_blocks) and self._retained:
            self.release(self._retained.popleft()[1])
        if count > len(self._free_blocks):
            return NONE
        blocks = [self._free_blocks.pop() for _ in range(count)]
        self._blocks_by_slot.setdefault(slot, []).extend(blocks)
        for index, block in enumerate(blocks):
            part = data[index * BLOCK_SIZE : (index + 1) * BLOCK_SIZE]
            offset = self._layout.blocks_offset + block * BLOCK_SIZE
            self._memory[offset : offset + len(part)] = part
            if index:
                self._cells[self._layout.next_block_cell + blocks[index - 1]] = block
        return blocks[0]

    def _allocate_slot(self, previous: int) -> int:
        """Reuse the previous request's slot, if there is one, or take a free one; NONE, and counted, without room.

        Guards in-flight requests against a shortage of slots: retained answers are dropped first.
        """
        if previous >= 0:
            slot = previous & _SLOT_MASK
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
        received_at: float,
        caller_descriptor: int,
        caller_connection_id: int,
        bytes_read: int,
        body_stored: bool,
        closes_connection: bool,
        origin: Origin | None = None,
        key: int = 0,
        previous: int = NONE,
        replay_until: float = 0.0,
        body_received: bool = False,
    ) -> int:
        """Record a request; returns its handle, or NONE where it is not covered. `key`: a digest, or 0.

        `previous`: the handle of the same connection's previous request, which is over; its slot is reused.
        `replay_until`: until when the answer to its key may be replayed (seconds, of the machine's clock).
        `body_received`: the last byte of the body has arrived, as it has where the body is stored.
        """
        slot = self._allocate_slot(previous)
        if slot < 0:
            return NONE
        cell = HEADER_CELLS + slot * RECORD_STRIDE
        first = self._store(slot, 8 * (cell + RECORD_CELLS), request)
        if first == NONE:
            self._free_slots.append(slot)
            self.uncovered += 1
            return NONE
        process, origin_slot, term = (0, 0, 0) if origin is None else (origin.process, origin.slot, origin.term)
        self._serial = serial = self._serial + 1
        if key:
            self._cells[cell + REPLAY_UNTIL] = int(replay_until * NS_PER_SECOND)
        _RECORD_LAYOUT.pack_into(
            self._memory,
            8 * (cell + CALLER_DESCRIPTOR),
            caller_descriptor,
            caller_connection_id,
            int(deadline * NS_PER_SECOND),
            int(received_at * NS_PER_SECOND),
            len(request),
            first,
            zlib.adler32(request),
            BODY_STORED * body_stored
            | BODY_RECEIVED * (body_stored or body_received)
            | CLOSES_CONNECTION * closes_connection,
            process,
            origin_slot,
            term,
            bytes_read,
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
        received_at: float,
        caller_descriptor: int,
        caller_connection_id: int,
        bytes_read: int,
        closes_connection: bool,
        previous: int,
        server: ServerId,
        zone: int,
        cell: int,
        descriptor: int,
        connection_id: int,
        request_length: int,
        backend_bytes_written: int,
        backend_bytes_read: int,
        key: int = 0,
        replay_until: float = 0.0,
    ) -> int:
        """`record_request` and `record_attempt` in one write, for most requests: small, complete, sent at once."""
        slot = self._allocate_slot(previous)
        if slot < 0:
            return NONE
        offset = 8 * (HEADER_CELLS + slot * RECORD_STRIDE)
        inline = offset + 8 * RECORD_CELLS
        self._memory[inline : inline + len(request)] = request
        self._serial = serial = self._serial + 1
        now = int(received_at * NS_PER_SECOND)
        if key:
            self._cells[(offset >> 3) + REPLAY_UNTIL] = int(replay_until * NS_PER_SECOND)
        _SENT_RECORD_LAYOUT.pack_into(
            self._memory,
            offset + 8 * FIRST_ATTEMPT,
            server,
            zone,
            cell,
            now,
            0,
            descriptor,
            connection_id,
            request_length,
            backend_bytes_written,
            backend_bytes_read,
            caller_descriptor,
            caller_connection_id,
            int(deadline * NS_PER_SECOND),
            now,
            len(request),
            IN_RECORD,
            zlib.adler32(request),
            _FLAGS_STORED_CLOSES if closes_connection else _FLAGS_STORED,
            0,
            0,
            0,
            bytes_read,
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

    def record_body_received(self, handle: int, deadline: float, bytes_read: int) -> None:
        """Record the arrival of the last byte of a streamed body, before it is passed on: no attempt has run yet.

        The deadline and `bytes_read` count from here on; otherwise the body would look like bytes after the request.
        """
        cell = self._record_cell(handle)
        if cell >= 0:
            self._cells[cell + DEADLINE] = int(deadline * NS_PER_SECOND)
            self._cells[cell + BYTES_READ] = bytes_read
            self._cells[cell + FLAGS] |= BODY_RECEIVED

    def record_attempt(
        self,
        handle: int,
        server: ServerId,
        zone: int,
        cell: int,
        sent_at: float,
        descriptor: int,
        connection_id: int,
        request_length: int,
        bytes_written: int,
        bytes_read: int,
        end: AttemptEnd = AttemptEnd.OPEN,
    ) -> int:
        """Record an attempt that is about to be written (see `AttemptRecord`); returns its index, or NONE.

        Settings may allow any number of attempts. From the fifth on, an attempt takes the record of one that a
        successor needs not know of. If there is none, the request is marked as one that may have run.
        """
        first_cell = self._record_cell(handle)
        if first_cell < 0:
            return NONE
        cells = self._cells
        count = cells[first_cell + ATTEMPT_COUNT]
        index = count if count < MAX_ATTEMPTS else self._replaceable_attempt(first_cell)
        if index == NONE:
            cells[first_cell + FLAGS] |= ATTEMPT_UNRECORDED
            cells[first_cell + ATTEMPT_COUNT] = count + 1
            return NONE
        attempt_cell = first_cell + FIRST_ATTEMPT - index * ATTEMPT_CELLS
        if count >= MAX_ATTEMPTS:
            # If this process dies in between, what is read must be an attempt that came last and may have run.
            cells[attempt_cell + ATTEMPT_SENT_AT] = int(sent_at * NS_PER_SECOND)
            cells[attempt_cell + ATTEMPT_END] = AttemptEnd.MAYBE_RAN
        _ATTEMPT_LAYOUT.pack_into(
            self._memory,
            8 * attempt_cell,
            server,
            zone,
            cell,
            int(sent_at * NS_PER_SECOND),
            end if count < MAX_ATTEMPTS else AttemptEnd.MAYBE_RAN,
            descriptor,
            connection_id,
            request_length,
            bytes_written,
            bytes_read,
        )
        if count >= MAX_ATTEMPTS:
            cells[attempt_cell + ATTEMPT_END] = end
        cells[first_cell + ATTEMPT_COUNT] = count + 1
        if cells[first_cell + STAGE] == _RECEIVED:
            cells[first_cell + STAGE] = _SENT
        return index

    def _replaceable_attempt(self, first_cell: int) -> int:
        """The index of a recorded attempt that a successor needs not know of, or NONE.

        Such an attempt never ran, or has ended and is not the first of those that may have run and have ended: that
        one may decide where and until when a keyed request may be repeated, also if an open one precedes it, as that
        one may still turn out never to have run.
        """
        cells = self._cells
        attempts = [first_cell + FIRST_ATTEMPT - index * ATTEMPT_CELLS for index in range(MAX_ATTEMPTS)]
        ends = [cells[attempt + ATTEMPT_END] for attempt in attempts]
        if AttemptEnd.NEVER_RAN in ends:
            return ends.index(AttemptEnd.NEVER_RAN)
        ended = [index for index in range(MAX_ATTEMPTS) if ends[index] == AttemptEnd.MAYBE_RAN]
        ended.sort(key=lambda index: cells[attempts[index] + ATTEMPT_SENT_AT])
        return ended[1] if len(ended) > 1 else NONE

    def record_attempt_end(self, handle: int, index: int, end: AttemptEnd) -> None:
        """Record that an attempt has ended; its connection may carry others from here on."""
        cell = self._record_cell(handle)
        if cell >= 0 and index >= 0:
            self._cells[cell + FIRST_ATTEMPT - index * ATTEMPT_CELLS + ATTEMPT_END] = end

    def record_answer_length(self, handle: int, bytes_written: int, length: int, closes_connection: bool) -> None:
        """Like `record_answer`, without the answer itself."""
        cell = HEADER_CELLS + (handle & _SLOT_MASK) * RECORD_STRIDE
        cells = self._cells
        if handle >= 0 and cells[cell + SERIAL] == handle >> 16:
            if closes_connection:
                cells[cell + FLAGS] |= CLOSES_CONNECTION
            _ANSWER_LAYOUT.pack_into(
                self._memory, 8 * (cell + BYTES_WRITTEN), bytes_written, length, NONE, 0, _ANSWERED
            )

    def record_streaming(self, handle: int) -> None:
        """Record that a long answer is about to begin."""
        cell = self._record_cell(handle)
        if cell >= 0:
            self._cells[cell + STAGE] = _STREAMING

    def record_answer(self, handle: int, bytes_written: int, answer: bytes, closes_connection: bool = False) -> None:
        """Record an answer that is about to be written to the caller, after `bytes_written` earlier bytes."""
        cell = self._record_cell(handle)
        if cell < 0:
            return
        first = self._store(handle & _SLOT_MASK, 8 * (cell + RECORD_CELLS) + INLINE_SIZE, answer)
        if closes_connection:
            self._cells[cell + FLAGS] |= CLOSES_CONNECTION
        _ANSWER_LAYOUT.pack_into(
            self._memory,
            8 * (cell + BYTES_WRITTEN),
            bytes_written,
            len(answer),
            first,
            zlib.adler32(answer),
            _ANSWERED,
        )

    def copy_record(
        self,
        record: RequestRecord,
        origin: Origin,
        caller_descriptor: int,
        attempt_descriptors: list[int],
        attempt_ends: Sequence[AttemptEnd] | None = None,
    ) -> int:
        """Record a request of another journal with all that is known of it; descriptors are this process's own.

        `attempt_ends`: how the attempts ended, where more is known than the record says.
        """
        handle = self.record_request(
            record.request,
            record.deadline,
            record.received_at,
            caller_descriptor,
            record.caller_connection_id,
            record.bytes_read,
            record.body_stored,
            record.closes_connection,
            origin,
            record.key,
            NONE,
            record.replay_until,
            record.body_received,
        )
        ends = [attempt.end for attempt in record.attempts] if attempt_ends is None else attempt_ends
        for attempt, descriptor, end in zip(record.attempts, attempt_descriptors, ends, strict=True):
            self.record_attempt(
                handle,
                attempt.server,
                attempt.zone,
                attempt.cell,
                attempt.sent_at,
                descriptor,
                attempt.connection_id,
                attempt.request_length,
                attempt.bytes_written,
                attempt.bytes_read,
                end,
            )
        self._copy_unrecorded(handle, record)
        if record.stage is Stage.STREAMING:
            self.record_streaming(handle)
        elif record.stage is Stage.ANSWERED:
            if record.answer is not None:
                self.record_answer(handle, record.bytes_written, record.answer, record.closes_connection)
            else:
                self.record_answer_length(
                    handle, record.bytes_written, record.answer_length, record.closes_connection
                )
        return handle

    def _copy_unrecorded(self, handle: int, record: RequestRecord) -> None:
        """Copy what is known of attempts without a record of their own."""
        cell = self._record_cell(handle)
        if cell >= 0:
            self._cells[cell + ATTEMPT_COUNT] += record.replaced_attempts
            if record.attempt_unrecorded:
                self._cells[cell + FLAGS] |= ATTEMPT_UNRECORDED

    def record_connection(
        self, descriptor: int, connection_id: int, bytes_read: int, bytes_written: int, state: int
    ) -> None:
        """Record a caller's connection without a request record: idle, busy with an uncovered request, or closed."""
        if 0 <= descriptor < self._layout.size.descriptors:
            _ROW_LAYOUT.pack_into(
                self._memory,
                8 * (self._layout.connections_cell + descriptor * CONNECTION_CELLS),
                connection_id,
                bytes_read,
                bytes_written,
                state,
            )

    def release(self, handle: int) -> None:
        """Free the record of a request that is over and whose connection is not in use any more."""
        cell = self._record_cell(handle)
        if cell >= 0:
            self._cells[cell + SERIAL] = 0
            slot = handle & _SLOT_MASK
            if slot in self._blocks_by_slot:
                self._free_blocks += reversed(self._blocks_by_slot.pop(slot))
            self._free_slots.append(slot)

    def retain_answer(self, handle: int, until: float) -> None:
        """Keep the answer of a finished request for repeats of its key, until then or until its room is needed."""
        cell = self._record_cell(handle)
        if cell < 0:
            return
        if self._cells[cell + STAGE] != _ANSWERED:
            self.release(handle)
            return
        self._cells[cell + CALLER_DESCRIPTOR] = NONE
        self._retained.append((until, handle))

    def expire_answers(self, now: float) -> None:
        """Release answers that were retained long enough; after its time an answer is not replayed in any case."""
        while self._retained and self._retained[0][0] <= now:
            self.release(self._retained.popleft()[1])


class OrphanedJournal:
    """The reader's side of a journal: that of a dead process, or of a live one whose requests are followed."""

    def __init__(self, memory: memoryview, size: JournalSize) -> None:
        self._layout = JournalMemory(memory, size)
        self._size = size

    @property
    def is_valid(self) -> bool:
        """Whether its writer has initialized it."""
        size, cells = self._size, self._layout.cells
        return cells[0] == LAYOUT_VERSION and list(cells[2:5]) == [size.entries, size.blocks, size.descriptors]

    def slots(self) -> Iterator[int]:
        """Slots that hold a record."""
        if self.is_valid:
            cells = self._layout.cells
            yield from (slot for slot in range(self._size.entries) if cells[JournalMemory.record_cell(slot) + SERIAL])

    def connections(self, states: Collection[int]) -> Iterator[ConnectionRecord]:
        """Connection rows in one of these states."""
        if self.is_valid:
            cells = self._layout.cells
            for descriptor in range(self._size.descriptors):
                cell = self._layout.connections_cell + descriptor * CONNECTION_CELLS
                if cells[cell + 3] in states:
                    yield ConnectionRecord(descriptor, *cells[cell : cell + 3])

    def record_at(self, slot: int) -> RequestRecord | None:
        """Read a record; None where there is none, or where it is invalid."""
        layout = self._layout
        cell = JournalMemory.record_cell(slot)
        cells = layout.cells
        if not self.is_valid or not cells[cell + SERIAL] or cells[cell + STAGE] not in Stage.__members__.values():
            return None
        request = layout.gather(8 * (cell + RECORD_CELLS), cells[cell + REQUEST_BLOCK], cells[cell + REQUEST_LENGTH])
        if request is None or zlib.adler32(request) != cells[cell + REQUEST_CHECKSUM]:
            return None
        stage = Stage(cells[cell + STAGE])
        answer = self._answer(cell) if stage is Stage.ANSWERED else None
        attempt_count = cells[cell + ATTEMPT_COUNT]
        attempts = tuple(
            sorted(
                (
                    self._attempt_at(cell + FIRST_ATTEMPT - index * ATTEMPT_CELLS)
                    for index in range(min(attempt_count, MAX_ATTEMPTS))
                ),
                key=lambda attempt: attempt.sent_at,
            )
        )
        origin = (
            Origin(*cells[cell + ORIGIN_PROCESS : cell + ORIGIN_TERM + 1]) if cells[cell + ORIGIN_PROCESS] else None
        )
        flags = cells[cell + FLAGS]
        return RequestRecord(
            slot,
            stage,
            cells[cell + CALLER_DESCRIPTOR],
            cells[cell + CALLER_CONNECTION_ID],
            cells[cell + DEADLINE] / NS_PER_SECOND,
            cells[cell + RECEIVED_AT] / NS_PER_SECOND,
            request,
            bool(flags & BODY_STORED),
            bool(flags & BODY_RECEIVED),
            bool(flags & CLOSES_CONNECTION),
            cells[cell + BYTES_READ],
            cells[cell + BYTES_WRITTEN],
            cells[cell + ANSWER_LENGTH],
            answer,
            attempts,
            origin,
            cells[cell + KEY_DIGEST],
            cells[cell + REPLAY_UNTIL] / NS_PER_SECOND if cells[cell + KEY_DIGEST] else 0.0,
            max(0, attempt_count - MAX_ATTEMPTS),
            bool(flags & ATTEMPT_UNRECORDED),
        )

    def _attempt_at(self, begin: int) -> AttemptRecord:
        server, zone, cell, sent_at, end, descriptor, connection_id, length, written, read = self._layout.cells[
            begin : begin + ATTEMPT_CELLS
        ]
        known_end = AttemptEnd(end) if end in AttemptEnd.__members__.values() else AttemptEnd.MAYBE_RAN
        return AttemptRecord(
            server, zone, cell, sent_at / NS_PER_SECOND, known_end, descriptor, connection_id, length, written, read
        )

    def progress(self, slot: int, key: int) -> Progress | None:
        """How far the request of a key is; None if it is not (or no longer) in this slot."""
        if not self.is_valid or not 0 <= slot < self._size.entries:
            return None
        cells, cell = self._layout.cells, JournalMemory.record_cell(slot)
        serial = cells[cell + SERIAL]
        if not serial or cells[cell + KEY_DIGEST] != key or cells[cell + STAGE] not in Stage.__members__.values():
            return None
        stage = Stage(cells[cell + STAGE])
        answer = None
        if stage is Stage.ANSWERED:
            answer = self._answer(cell)
        progress = Progress(
            stage, cells[cell + DEADLINE] / NS_PER_SECOND, answer, cells[cell + REPLAY_UNTIL] / NS_PER_SECOND
        )
        return progress if cells[cell + SERIAL] == serial and cells[cell + KEY_DIGEST] == key else None

    def _answer(self, cell: int) -> bytes | None:
        cells = self._layout.cells
        answer = self._layout.gather(
            8 * (cell + RECORD_CELLS) + INLINE_SIZE, cells[cell + ANSWER_BLOCK], cells[cell + ANSWER_LENGTH]
        )
        return answer if answer is not None and zlib.adler32(answer) == cells[cell + ANSWER_CHECKSUM] else None

    # ---- claims --------------------------------------------------------------------------

    def claim(self, slot: int, term: int) -> None:
        """The supervisor names a successor in this term."""
        self._layout.cells[JournalMemory.record_cell(slot) + CLAIM_TERM] = term

    def claimed_term(self, slot: int) -> int:
        """The term in which a successor was last named."""
        return self._layout.cells[JournalMemory.record_cell(slot) + CLAIM_TERM]

    def adopt(self, slot: int, term: int) -> None:
        """The successor of this term has the request in its own journal, and moves it there by this write."""
        self._layout.cells[JournalMemory.record_cell(slot) + ADOPTED_TERM] = term

    def adopted_term(self, slot: int) -> int:
        """The term in which a successor has adopted the request."""
        return self._layout.cells[JournalMemory.record_cell(slot) + ADOPTED_TERM]
