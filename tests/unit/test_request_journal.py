"""The book of work in hand: what is noted is read; torn, full or damaged, it never tells of what was not."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from weldroute.request_journal import (
    BLOCK_SIZE,
    BUSY,
    CLOSED,
    IDLE,
    MAX_ATTEMPTS,
    NONE,
    AttemptEnd,
    AttemptRecord,
    ConnectionRecord,
    JournalPool,
    JournalSize,
    KeyIndex,
    Origin,
    OrphanedJournal,
    RequestJournal,
    RequestRecord,
    Stage,
    digest_of,
)

SIZE = JournalSize(entries=4, blocks=8, descriptors=32)
REQUEST = b"POST /api HTTP/1.1\r\nx-call-id: 1\r\n\r\ndraft"


def made(size: JournalSize = SIZE) -> tuple[RequestJournal, OrphanedJournal, bytearray]:
    memory = bytearray(size.bytes)
    return RequestJournal(memoryview(memory), size, 7), OrphanedJournal(memoryview(memory), size), memory


def take(book: RequestJournal, request: bytes = REQUEST) -> int:
    return book.record_request(request, 20.5, 10.25, 9, 77, 300, True, False)


def one_try(**changes: int) -> AttemptRecord:
    values = {
        "server": 3,
        "zone": 1,
        "cell": 2,
        "descriptor": 5,
        "connection_id": 99,
        "request_length": 50,
        "bytes_written": 10,
        "bytes_read": 20,
    }
    return AttemptRecord(sent_at=11.5, end=AttemptEnd.OPEN, **(values | changes))


def sends(book: RequestJournal, handle: int, one: AttemptRecord) -> int:
    return book.record_attempt(
        handle,
        one.server,
        one.zone,
        one.cell,
        one.sent_at,
        one.descriptor,
        one.connection_id,
        one.request_length,
        one.bytes_written,
        one.bytes_read,
        one.end,
    )


def read(left: OrphanedJournal, handle: int) -> RequestRecord:
    entry = left.record_at(RequestJournal.slot_of(handle))
    assert entry is not None
    return entry


def test_what_is_noted_is_read() -> None:
    book, left, _ = made()
    slot = take(book)
    entry = read(left, slot)
    assert list(left.slots()) == [RequestJournal.slot_of(slot)]
    assert (entry.stage, entry.caller_descriptor, entry.caller_connection_id, entry.bytes_read) == (
        Stage.RECEIVED,
        9,
        77,
        300,
    )
    assert (entry.deadline, entry.received_at, entry.request) == (20.5, 10.25, REQUEST)
    assert (
        entry.body_stored
        and not entry.closes_connection
        and entry.origin is None
        and entry.attempts == ()
        and entry.answer is None
    )
    place = sends(book, slot, one_try())
    assert read(left, slot).stage is Stage.SENT and read(left, slot).attempts == (one_try(),)
    book.record_attempt_end(slot, place, AttemptEnd.NEVER_RAN)
    assert read(left, slot).attempts[0].end is AttemptEnd.NEVER_RAN
    book.record_body_received(slot, 30.0, 900)
    book.record_answer(slot, 200, b"an answer")
    entry = read(left, slot)
    found = (entry.stage, entry.bytes_written, entry.answer, entry.deadline, entry.bytes_read)
    assert found == (Stage.ANSWERED, 200, b"an answer", 30.0, 900), "its body counts as read with it"
    book.release(slot)
    assert not list(left.slots()) and left.record_at(RequestJournal.slot_of(slot)) is None
    assert (book.used, book.covered, book.uncovered) == (0, 1, 0)


def test_a_long_answer_is_noted_as_passing() -> None:
    book, left, _ = made()
    slot = take(book)
    book.record_streaming(slot)
    assert read(left, slot).stage is Stage.STREAMING


def test_full_means_uncovered_and_no_more() -> None:
    book, left, _ = made()
    slots = [take(book) for _ in range(5)]
    assert slots[4] == NONE and book.uncovered == 1 and len(list(left.slots())) == 4
    for call in (
        lambda: sends(book, NONE, one_try()),
        lambda: book.record_streaming(NONE),
        lambda: book.release(NONE),
        lambda: book.record_answer(NONE, 0, b""),
        lambda: book.record_attempt_end(NONE, 0, AttemptEnd.MAYBE_RAN),
    ):
        call()
    book.release(slots[1])
    assert RequestJournal.slot_of(take(book)) == RequestJournal.slot_of(slots[1]) and read(left, slots[1])
    book.release(slots[0])
    assert take(book, b"x" * 9 * BLOCK_SIZE) == NONE, "no blocks"
    assert len(list(left.slots())) == 3


def test_of_an_answer_that_finds_no_room_the_length_is_noted() -> None:
    book, left, _ = made()
    slot = take(book)
    book.record_answer(slot, 7, b"x" * 9 * BLOCK_SIZE)
    entry = read(left, slot)
    assert (entry.stage, entry.bytes_written, entry.answer_length, entry.answer) == (
        Stage.ANSWERED,
        7,
        9 * BLOCK_SIZE,
        None,
    )


def test_the_next_request_of_a_connection_takes_the_place_of_the_last() -> None:
    book, left, _ = made()
    first = take(book, REQUEST * 100)
    book.record_answer(first, 0, b"x" * 3 * BLOCK_SIZE)
    second = book.record_request(b"next", 20.5, 10.25, 9, 77, 400, True, False, previous=first)
    assert RequestJournal.slot_of(first) == RequestJournal.slot_of(second) and read(left, second).request == b"next"
    assert read(left, second).answer is None and book.used == 1
    book.release(first)
    assert read(left, second).stage is Stage.RECEIVED, "the last handle is nobody's"


def test_attempts_beyond_those_that_are_noted() -> None:
    book, left, _ = made()
    slot = take(book)
    places = [sends(book, slot, one_try(server=i)) for i in range(MAX_ATTEMPTS + 1)]
    assert places == [*range(MAX_ATTEMPTS), NONE]
    assert [one.server for one in read(left, slot).attempts] == list(range(MAX_ATTEMPTS))


def test_rows_of_connections() -> None:
    book, left, _ = made()
    book.record_connection(3, 77, 100, 200, IDLE)
    book.record_connection(4, 78, 0, 0, BUSY)
    book.record_connection(31, 79, 1, 2, IDLE)
    book.record_connection(32, 80, 1, 2, IDLE)  # beyond the table
    assert list(left.connections([IDLE])) == [ConnectionRecord(3, 77, 100, 200), ConnectionRecord(31, 79, 1, 2)]
    book.record_connection(3, 0, 0, 0, CLOSED)
    assert [row.descriptor for row in left.connections([IDLE])] == [31]


def test_the_next_book_has_all_that_was_known() -> None:
    book, left, _ = made()
    slot = take(book, REQUEST * 60)
    book.record_attempt_end(slot, sends(book, slot, one_try()), AttemptEnd.MAYBE_RAN)
    sends(book, slot, one_try(server=4))
    book.record_answer(slot, 200, b"an answer")
    entry = read(left, slot)
    heir, theirs, _ = made()
    after = read(theirs, heir.copy_record(entry, Origin(7, slot, 2), 15, [NONE, 16]))
    assert after.origin == Origin(7, slot, 2) and after.caller_descriptor == 15
    assert [one.descriptor for one in after.attempts] == [NONE, 16]
    assert (after.request, after.stage, after.answer, after.bytes_written) == (
        entry.request,
        entry.stage,
        entry.answer,
        entry.bytes_written,
    )
    assert [one.end for one in after.attempts] == [AttemptEnd.MAYBE_RAN, AttemptEnd.OPEN]


def test_the_claim() -> None:
    book, left, _ = made()
    slot = take(book)
    at = RequestJournal.slot_of(slot)
    left.claim(at, 3)
    assert (left.claimed_term(at), left.adopted_term(at)) == (3, 0)
    left.adopt(at, 3)
    assert left.adopted_term(at) == 3
    book.release(slot)
    assert RequestJournal.slot_of(take(book)) == at
    assert (left.claimed_term(at), left.adopted_term(at)) == (0, 0), "a new entry owes nothing to the last"


def test_a_book_that_was_never_begun_holds_nothing() -> None:
    left = OrphanedJournal(memoryview(bytearray(SIZE.bytes)), SIZE)
    assert (
        not left.is_valid
        and not list(left.slots())
        and not list(left.connections([IDLE]))
        and left.record_at(0) is None
    )


@settings(max_examples=200)
@given(st.integers(0, 2**32), st.integers(1, 60))
def test_any_order_of_notes_keeps_every_entry_apart(seed: int, count: int) -> None:
    rng = Random(seed)
    book, left, _ = made()
    known: dict[int, bytes] = {}
    for number in range(count):
        if known and rng.random() < 0.4:
            slot = rng.choice(list(known))
            book.release(slot)
            del known[slot]
            continue
        request = b"%d " % number * rng.randrange(1, 3000)
        slot = take(book, request)
        if slot != NONE:
            known[slot] = request
            if rng.random() < 0.3:
                book.record_answer(slot, 0, request[:100])
    assert sorted(left.slots()) == sorted(map(RequestJournal.slot_of, known))
    for slot, request in known.items():
        assert read(left, slot).request == request


@settings(max_examples=300)
@given(st.integers(0, 2**32))
def test_damage_is_told_or_harmless(seed: int) -> None:
    """Bytes that are not as they were written: an entry is as it was, or is not there, or can't be read."""
    rng = Random(seed)
    book, left, memory = made()
    slot = take(book)
    sends(book, slot, one_try())
    book.record_answer(slot, 200, b"an answer")
    for _ in range(rng.randrange(1, 20)):
        memory[rng.randrange(len(memory))] = rng.randrange(256)
    for found in left.slots():
        entry = left.record_at(found)
        assert entry is None or entry.request == REQUEST
        assert entry is None or entry.answer in (None, b"an answer")
    list(left.connections([IDLE]))


def test_of_a_request_that_is_over_nothing_is_written() -> None:
    """A late end of an attempt, when its place in the book is another's."""
    book, left, _ = made()
    old = take(book)
    place = sends(book, old, one_try())
    book.release(old)
    new = take(book)
    sends(book, new, one_try())
    assert RequestJournal.slot_of(old) == RequestJournal.slot_of(new)
    book.record_attempt_end(old, place, AttemptEnd.NEVER_RAN)
    book.record_answer(old, 0, b"not its own")
    book.record_streaming(old)
    book.record_body_received(old, 99.0, 99)
    book.retain_answer(old, 99.0)
    book.release(old)
    entry = read(left, new)
    assert (entry.stage, entry.attempts, entry.deadline) == (Stage.SENT, (one_try(),), 20.5) and book.retained == 0


def test_kept_answers_are_found_by_their_key_until_their_time_or_until_there_is_need_of_room() -> None:
    book, left, _ = made()
    handles = [book.record_request(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100 + i) for i in range(3)]
    for i, handle in enumerate(handles):
        book.record_answer(handle, 0, b"answer %d" % i)
        book.retain_answer(handle, 30.0 + i)
    found = left.progress(RequestJournal.slot_of(handles[1]), 101)
    assert found is not None and found.answer == b"answer 1" and book.retained == 3 and book.used == 3
    assert left.progress(RequestJournal.slot_of(handles[1]), 102) is None, "another's key"
    assert read(left, handles[0]).caller_descriptor == NONE
    book.expire_answers(30.5)
    assert left.progress(RequestJournal.slot_of(handles[0]), 100) is None and book.retained == 2
    for _ in range(4):
        assert take(book) != NONE
    assert book.retained == 0 and book.uncovered == 0


def test_of_a_key_whose_request_was_not_answered_nothing_is_kept() -> None:
    book, left, _ = made()
    handle = book.record_request(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100, replay_until=14.0)
    assert read(left, handle).replay_until == 14.0
    book.retain_answer(handle, 14.0)
    assert book.retained == 0 and book.used == 0 and left.progress(RequestJournal.slot_of(handle), 100) is None


def test_an_answer_tells_until_when_it_may_be_given_again_also_in_an_heirs_book() -> None:
    book, left, _ = made()
    handle = book.record_request(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100, replay_until=14.0)
    book.record_answer(handle, 0, b"answer")
    heir, heirs, _ = made()
    entry = read(left, handle)
    again = heir.copy_record(entry, Origin(1, entry.slot, 5), 12, [])
    for book_of, slot in ((left, RequestJournal.slot_of(handle)), (heirs, RequestJournal.slot_of(again))):
        found = book_of.progress(slot, 100)
        assert found is not None and (found.answer, found.replay_until) == (b"answer", 14.0)


def test_keys_are_found_until_their_time_and_a_row_that_two_wrote_is_none() -> None:
    memory = bytearray(8 * 16 * KeyIndex.ROW_CELLS)
    keys = KeyIndex(memoryview(memory), 16)
    digest = digest_of(b"k1", b"acme", b"draft")
    keys.put(digest, 3, 5, 20.0)
    assert keys.find(digest, 19.0) == (3, 5) and keys.find(digest, 20.5) is None
    assert keys.find(digest + 1, 1.0) is None
    keys.put(digest, 4, 6, 30.0)
    assert keys.find(digest, 19.0) == (4, 6), "the later place counts"
    at = next(i for i in range(0, len(memory), 8) if int.from_bytes(memory[i : i + 8], "little") == digest)
    memory[at + 8] ^= 1
    assert keys.find(digest, 19.0) is None


def test_later_keys_push_out_those_that_end_first() -> None:
    keys = KeyIndex(memoryview(bytearray(8 * 4 * KeyIndex.ROW_CELLS)), 4)
    for i in range(5):
        keys.put(1000 + i, i, i, 20.0 + i)
    assert [keys.find(1000 + i, 1.0) for i in range(5)] == [None, (1, 1), (2, 2), (3, 3), (4, 4)]


def test_a_shelf_has_each_book_on_pages_of_its_own() -> None:
    shelf = JournalPool(SIZE, books=3, keys=64)
    memory = memoryview(bytearray(shelf.bytes))
    books = [RequestJournal(shelf.journal_memory(memory, i), SIZE, i + 1) for i in range(3)]
    handles = [take(book, b"%d" % i) for i, book in enumerate(books)]
    for i, handle in enumerate(handles):
        assert read(OrphanedJournal(shelf.journal_memory(memory, i), SIZE), handle).request == b"%d" % i
        assert shelf.journal_offset(i) % 4096 == 0
    for number in (-1, 3):
        with pytest.raises(ValueError):
            shelf.journal_memory(memory, number)
