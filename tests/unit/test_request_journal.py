"""The book of work in hand: what is noted is read; torn, full or damaged, it never tells of what was not."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from weldroute.request_journal import (
    BLOCK,
    BUSY,
    IDLE,
    NOBODY,
    NONE,
    TRIES,
    Book,
    End,
    Entry,
    Keys,
    Left,
    Origin,
    Row,
    Shelf,
    Size,
    Stage,
    Try,
    digest_of,
)

SIZE = Size(entries=4, blocks=8, descriptors=32)
REQUEST = b"POST /api HTTP/1.1\r\nx-call-id: 1\r\n\r\ndraft"


def made(size: Size = SIZE) -> tuple[Book, Left, bytearray]:
    memory = bytearray(size.bytes)
    return Book(memoryview(memory), size, 7), Left(memoryview(memory), size), memory


def take(book: Book, request: bytes = REQUEST) -> int:
    return book.take(request, 20.5, 10.25, 9, 77, 300, True, False)


def one_try(**changes: int) -> Try:
    values = {"server": 3, "zone": 1, "cell": 2, "connection": 5, "name": 99, "length": 50, "wrote": 10, "read": 20}
    return Try(at=11.5, end=End.OPEN, **(values | changes))


def sends(book: Book, handle: int, one: Try) -> int:
    return book.sends(
        handle,
        one.server,
        one.zone,
        one.cell,
        one.at,
        one.connection,
        one.name,
        one.length,
        one.wrote,
        one.read,
        one.end,
    )


def read(left: Left, handle: int) -> Entry:
    entry = left.read(Book.slot(handle))
    assert entry is not None
    return entry


def test_what_is_noted_is_read() -> None:
    book, left, _ = made()
    slot = take(book)
    entry = read(left, slot)
    assert list(left.slots()) == [Book.slot(slot)]
    assert (entry.stage, entry.caller, entry.peer, entry.read) == (Stage.TAKEN, 9, 77, 300)
    assert (entry.deadline, entry.taken, entry.request) == (20.5, 10.25, REQUEST)
    assert entry.whole and not entry.closes and entry.origin is None and entry.tries == () and entry.answer is None
    place = sends(book, slot, one_try())
    assert read(left, slot).stage is Stage.SENT and read(left, slot).tries == (one_try(),)
    book.ends(slot, place, End.NEVER)
    assert read(left, slot).tries[0].end is End.NEVER
    book.came(slot, 30.0, 900)
    book.answers(slot, 200, b"an answer")
    entry = read(left, slot)
    found = (entry.stage, entry.wrote, entry.answer, entry.deadline, entry.read)
    assert found == (Stage.ANSWERED, 200, b"an answer", 30.0, 900), "its body counts as read with it"
    book.done(slot)
    assert not list(left.slots()) and left.read(Book.slot(slot)) is None
    assert (book.used, book.covered, book.uncovered) == (0, 1, 0)


def test_a_long_answer_is_noted_as_passing() -> None:
    book, left, _ = made()
    slot = take(book)
    book.passes(slot)
    assert read(left, slot).stage is Stage.PASSING


def test_full_means_uncovered_and_no_more() -> None:
    book, left, _ = made()
    slots = [take(book) for _ in range(5)]
    assert slots[4] == NONE and book.uncovered == 1 and len(list(left.slots())) == 4
    for call in (
        lambda: sends(book, NONE, one_try()),
        lambda: book.passes(NONE),
        lambda: book.done(NONE),
        lambda: book.answers(NONE, 0, b""),
        lambda: book.ends(NONE, 0, End.MAYBE),
    ):
        call()
    book.done(slots[1])
    assert Book.slot(take(book)) == Book.slot(slots[1]) and read(left, slots[1])
    book.done(slots[0])
    assert take(book, b"x" * 9 * BLOCK) == NONE, "no blocks"
    assert len(list(left.slots())) == 3


def test_of_an_answer_that_finds_no_room_the_length_is_noted() -> None:
    book, left, _ = made()
    slot = take(book)
    book.answers(slot, 7, b"x" * 9 * BLOCK)
    entry = read(left, slot)
    assert (entry.stage, entry.wrote, entry.length, entry.answer) == (Stage.ANSWERED, 7, 9 * BLOCK, None)


def test_the_next_request_of_a_connection_takes_the_place_of_the_last() -> None:
    book, left, _ = made()
    first = take(book, REQUEST * 100)
    book.answers(first, 0, b"x" * 3 * BLOCK)
    second = book.take(b"next", 20.5, 10.25, 9, 77, 400, True, False, before=first)
    assert Book.slot(first) == Book.slot(second) and read(left, second).request == b"next"
    assert read(left, second).answer is None and book.used == 1
    book.done(first)
    assert read(left, second).stage is Stage.TAKEN, "the last handle is nobody's"


def test_attempts_beyond_those_that_are_noted() -> None:
    book, left, _ = made()
    slot = take(book)
    places = [sends(book, slot, one_try(server=i)) for i in range(TRIES + 1)]
    assert places == [*range(TRIES), NONE]
    assert [one.server for one in read(left, slot).tries] == list(range(TRIES))


def test_rows_of_connections() -> None:
    book, left, _ = made()
    book.row(3, 77, 100, 200, IDLE)
    book.row(4, 78, 0, 0, BUSY)
    book.row(31, 79, 1, 2, IDLE)
    book.row(32, 80, 1, 2, IDLE)  # beyond the table
    assert list(left.rows([IDLE])) == [Row(3, 77, 100, 200), Row(31, 79, 1, 2)]
    book.row(3, 0, 0, 0, NOBODY)
    assert [row.connection for row in left.rows([IDLE])] == [31]


def test_the_next_book_has_all_that_was_known() -> None:
    book, left, _ = made()
    slot = take(book, REQUEST * 60)
    book.ends(slot, sends(book, slot, one_try()), End.MAYBE)
    sends(book, slot, one_try(server=4))
    book.answers(slot, 200, b"an answer")
    entry = read(left, slot)
    heir, theirs, _ = made()
    after = read(theirs, heir.renote(entry, Origin(7, slot, 2), 15, [NONE, 16]))
    assert after.origin == Origin(7, slot, 2) and after.caller == 15
    assert [one.connection for one in after.tries] == [NONE, 16]
    assert (after.request, after.stage, after.answer, after.wrote) == (
        entry.request,
        entry.stage,
        entry.answer,
        entry.wrote,
    )
    assert [one.end for one in after.tries] == [End.MAYBE, End.OPEN]


def test_the_claim() -> None:
    book, left, _ = made()
    slot = take(book)
    at = Book.slot(slot)
    left.claim(at, 3)
    assert (left.claimed(at), left.adopted(at)) == (3, 0)
    left.adopt(at, 3)
    assert left.adopted(at) == 3
    book.done(slot)
    assert Book.slot(take(book)) == at
    assert (left.claimed(at), left.adopted(at)) == (0, 0), "a new entry owes nothing to the last"


def test_a_book_that_was_never_begun_holds_nothing() -> None:
    left = Left(memoryview(bytearray(SIZE.bytes)), SIZE)
    assert not left.whole and not list(left.slots()) and not list(left.rows([IDLE])) and left.read(0) is None


@settings(max_examples=200)
@given(st.integers(0, 2**32), st.integers(1, 60))
def test_any_order_of_notes_keeps_every_entry_apart(seed: int, count: int) -> None:
    rng = Random(seed)
    book, left, _ = made()
    known: dict[int, bytes] = {}
    for number in range(count):
        if known and rng.random() < 0.4:
            slot = rng.choice(list(known))
            book.done(slot)
            del known[slot]
            continue
        request = b"%d " % number * rng.randrange(1, 3000)
        slot = take(book, request)
        if slot != NONE:
            known[slot] = request
            if rng.random() < 0.3:
                book.answers(slot, 0, request[:100])
    assert sorted(left.slots()) == sorted(map(Book.slot, known))
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
    book.answers(slot, 200, b"an answer")
    for _ in range(rng.randrange(1, 20)):
        memory[rng.randrange(len(memory))] = rng.randrange(256)
    for found in left.slots():
        entry = left.read(found)
        assert entry is None or entry.request == REQUEST
        assert entry is None or entry.answer in (None, b"an answer")
    list(left.rows([IDLE]))


def test_of_a_request_that_is_over_nothing_is_written() -> None:
    """A late end of an attempt, when its place in the book is another's."""
    book, left, _ = made()
    old = take(book)
    place = sends(book, old, one_try())
    book.done(old)
    new = take(book)
    sends(book, new, one_try())
    assert Book.slot(old) == Book.slot(new)
    book.ends(old, place, End.NEVER)
    book.answers(old, 0, b"not its own")
    book.passes(old)
    book.came(old, 99.0, 99)
    book.keep(old, 99.0)
    book.done(old)
    entry = read(left, new)
    assert (entry.stage, entry.tries, entry.deadline) == (Stage.SENT, (one_try(),), 20.5) and book.kept == 0


def test_kept_answers_are_found_by_their_key_until_their_time_or_until_there_is_need_of_room() -> None:
    book, left, _ = made()
    handles = [book.take(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100 + i) for i in range(3)]
    for i, handle in enumerate(handles):
        book.answers(handle, 0, b"answer %d" % i)
        book.keep(handle, 30.0 + i)
    found = left.follow(Book.slot(handles[1]), 101)
    assert found is not None and found.answer == b"answer 1" and book.kept == 3 and book.used == 3
    assert left.follow(Book.slot(handles[1]), 102) is None, "another's key"
    assert read(left, handles[0]).caller == NONE
    book.expire(30.5)
    assert left.follow(Book.slot(handles[0]), 100) is None and book.kept == 2
    for _ in range(4):
        assert take(book) != NONE
    assert book.kept == 0 and book.uncovered == 0


def test_of_a_key_whose_request_was_not_answered_nothing_is_kept() -> None:
    book, left, _ = made()
    handle = book.take(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100, until=14.0)
    assert read(left, handle).until == 14.0
    book.keep(handle, 14.0)
    assert book.kept == 0 and book.used == 0 and left.follow(Book.slot(handle), 100) is None


def test_an_answer_tells_until_when_it_may_be_given_again_also_in_an_heirs_book() -> None:
    book, left, _ = made()
    handle = book.take(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100, until=14.0)
    book.answers(handle, 0, b"answer")
    heir, heirs, _ = made()
    entry = read(left, handle)
    again = heir.renote(entry, Origin(1, entry.slot, 5), 12, [])
    for book_of, slot in ((left, Book.slot(handle)), (heirs, Book.slot(again))):
        found = book_of.follow(slot, 100)
        assert found is not None and (found.answer, found.until) == (b"answer", 14.0)


def test_keys_are_found_until_their_time_and_a_row_that_two_wrote_is_none() -> None:
    memory = bytearray(8 * 16 * Keys.ROW)
    keys = Keys(memoryview(memory), 16)
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
    keys = Keys(memoryview(bytearray(8 * 4 * Keys.ROW)), 4)
    for i in range(5):
        keys.put(1000 + i, i, i, 20.0 + i)
    assert [keys.find(1000 + i, 1.0) for i in range(5)] == [None, (1, 1), (2, 2), (3, 3), (4, 4)]


def test_a_shelf_has_each_book_on_pages_of_its_own() -> None:
    shelf = Shelf(SIZE, books=3, keys=64)
    memory = memoryview(bytearray(shelf.bytes))
    books = [Book(shelf.book(memory, i), SIZE, i + 1) for i in range(3)]
    handles = [take(book, b"%d" % i) for i, book in enumerate(books)]
    for i, handle in enumerate(handles):
        assert read(Left(shelf.book(memory, i), SIZE), handle).request == b"%d" % i
        assert shelf.at(i) % 4096 == 0
    for number in (-1, 3):
        with pytest.raises(ValueError):
            shelf.book(memory, number)
