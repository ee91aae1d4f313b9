"""The request journal: records are read back as written; a torn, full or damaged journal yields no false record."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from weldroute.request_journal import (
    BLOCK_SIZE,
    BUSY,
    CLOSED,
    FIRST_ATTEMPT,
    HEADER_CELLS,
    IDLE,
    MAX_ATTEMPTS,
    NONE,
    RECORD_STRIDE,
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


def new_journal(size: JournalSize = SIZE) -> tuple[RequestJournal, OrphanedJournal, bytearray]:
    memory = bytearray(size.bytes)
    return RequestJournal(memoryview(memory), size, 7), OrphanedJournal(memoryview(memory), size), memory


def record_request(journal: RequestJournal, request: bytes = REQUEST) -> int:
    return journal.record_request(request, 20.5, 10.25, 9, 77, 300, True, False)


def attempt_record(**changes: int) -> AttemptRecord:
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


def record_attempt(journal: RequestJournal, handle: int, attempt: AttemptRecord) -> int:
    return journal.record_attempt(
        handle,
        attempt.server,
        attempt.zone,
        attempt.cell,
        attempt.sent_at,
        attempt.descriptor,
        attempt.connection_id,
        attempt.request_length,
        attempt.bytes_written,
        attempt.bytes_read,
        attempt.end,
    )


def read_record(reader: OrphanedJournal, handle: int) -> RequestRecord:
    record = reader.record_at(RequestJournal.slot_of(handle))
    assert record is not None
    return record


def test_records_are_read_back() -> None:
    journal, reader, _ = new_journal()
    handle = record_request(journal)
    record = read_record(reader, handle)
    assert list(reader.slots()) == [RequestJournal.slot_of(handle)]
    assert (record.stage, record.caller_descriptor, record.caller_connection_id, record.bytes_read) == (
        Stage.RECEIVED,
        9,
        77,
        300,
    )
    assert (record.deadline, record.received_at, record.request) == (20.5, 10.25, REQUEST)
    assert (
        record.body_stored
        and not record.closes_connection
        and record.origin is None
        and record.attempts == ()
        and record.answer is None
    )
    index = record_attempt(journal, handle, attempt_record())
    assert read_record(reader, handle).stage is Stage.SENT and read_record(reader, handle).attempts == (
        attempt_record(),
    )
    journal.record_attempt_end(handle, index, AttemptEnd.NEVER_RAN)
    assert read_record(reader, handle).attempts[0].end is AttemptEnd.NEVER_RAN
    journal.record_body_received(handle, 30.0, 900)
    journal.record_answer(handle, 200, b"an answer")
    record = read_record(reader, handle)
    found = (record.stage, record.bytes_written, record.answer, record.deadline, record.bytes_read)
    assert found == (Stage.ANSWERED, 200, b"an answer", 30.0, 900), "the body counts among the bytes read"
    journal.release(handle)
    assert not list(reader.slots()) and reader.record_at(RequestJournal.slot_of(handle)) is None
    assert (journal.used, journal.covered, journal.uncovered) == (0, 1, 0)


def test_long_answer_is_recorded_as_streaming() -> None:
    journal, reader, _ = new_journal()
    handle = record_request(journal)
    journal.record_streaming(handle)
    assert read_record(reader, handle).stage is Stage.STREAMING


def test_full_journal_leaves_requests_uncovered() -> None:
    journal, reader, _ = new_journal()
    handles = [record_request(journal) for _ in range(5)]
    assert handles[4] == NONE and journal.uncovered == 1 and len(list(reader.slots())) == 4
    for call in (
        lambda: record_attempt(journal, NONE, attempt_record()),
        lambda: journal.record_streaming(NONE),
        lambda: journal.release(NONE),
        lambda: journal.record_answer(NONE, 0, b""),
        lambda: journal.record_attempt_end(NONE, 0, AttemptEnd.MAYBE_RAN),
    ):
        call()
    journal.release(handles[1])
    assert RequestJournal.slot_of(record_request(journal)) == RequestJournal.slot_of(handles[1]) and read_record(
        reader, handles[1]
    )
    journal.release(handles[0])
    assert record_request(journal, b"x" * 9 * BLOCK_SIZE) == NONE, "no blocks are free"
    assert len(list(reader.slots())) == 3


def test_answer_without_room_is_recorded_by_its_length() -> None:
    journal, reader, _ = new_journal()
    handle = record_request(journal)
    journal.record_answer(handle, 7, b"x" * 9 * BLOCK_SIZE)
    record = read_record(reader, handle)
    assert (record.stage, record.bytes_written, record.answer_length, record.answer) == (
        Stage.ANSWERED,
        7,
        9 * BLOCK_SIZE,
        None,
    )


def test_next_request_of_a_connection_reuses_the_slot() -> None:
    journal, reader, _ = new_journal()
    first = record_request(journal, REQUEST * 100)
    journal.record_answer(first, 0, b"x" * 3 * BLOCK_SIZE)
    second = journal.record_request(b"next", 20.5, 10.25, 9, 77, 400, True, False, previous=first)
    assert (
        RequestJournal.slot_of(first) == RequestJournal.slot_of(second)
        and read_record(reader, second).request == b"next"
    )
    assert read_record(reader, second).answer is None and journal.used == 1
    journal.release(first)
    assert read_record(reader, second).stage is Stage.RECEIVED, "the previous handle is not valid any more"


def test_attempts_beyond_max_attempts_are_not_recorded() -> None:
    journal, reader, _ = new_journal()
    handle = record_request(journal)
    indices = [record_attempt(journal, handle, attempt_record(server=i)) for i in range(MAX_ATTEMPTS + 1)]
    assert indices == [*range(MAX_ATTEMPTS), NONE]
    record = read_record(reader, handle)
    assert [attempt.server for attempt in record.attempts] == list(range(MAX_ATTEMPTS))
    assert record.attempt_unrecorded, "all of them are open: the request may have run in the one without a record"
    successor, successor_reader, _ = new_journal()
    copy = read_record(successor_reader, successor.copy_record(record, Origin(7, handle, 2), 15, [NONE] * 4))
    assert copy.attempt_unrecorded and copy.replaced_attempts == 1


#: How an attempt ends, and whether a second copy is sent first.
ATTEMPT_PLANS = st.lists(st.tuples(st.sampled_from([AttemptEnd.NEVER_RAN, AttemptEnd.MAYBE_RAN]), st.booleans()))


#: The first attempt that may have run is open for long, and turns out never to have run.
FIRST_NEVER_RAN = [
    *[(AttemptEnd.NEVER_RAN, False)] * 3,
    (AttemptEnd.NEVER_RAN, True),
    *[(AttemptEnd.MAYBE_RAN, True)] * 3,
    (AttemptEnd.NEVER_RAN, False),
]


@given(ATTEMPT_PLANS, st.integers(0, 9))
@example(FIRST_NEVER_RAN, 1)
@settings(max_examples=300, deadline=None)
def test_any_number_of_attempts_leaves_what_a_successor_needs(
    plan: list[tuple[AttemptEnd, bool]], closing: int
) -> None:
    """Guards against an attempt without a record, after which the request counts as never run (review/1).

    However many attempts settings allow, the first that may have run and the open ones are on record, and all count.
    """
    journal, reader, _ = new_journal()
    handle = record_request(journal)
    ends: dict[int, AttemptEnd] = {}  # by server, in the order of the attempts
    open_attempts: list[tuple[int, int]] = []  # server and index
    for server, (end, second_copy) in enumerate(plan):
        index = journal.record_attempt(handle, server, 1, 2, 11.5 + server, 5, 99, 50, 10, 20)
        ends[server] = AttemptEnd.OPEN
        open_attempts.append((server, index))
        while len(open_attempts) > (1 if second_copy else 0):
            ended, index = open_attempts.pop(closing % len(open_attempts))
            ends[ended] = end
            journal.record_attempt_end(handle, index, end)
        record = read_record(reader, handle)
        recorded = {attempt.server: attempt.end for attempt in record.attempts}
        assert all(ends[found] is known for found, known in recorded.items())
        assert list(recorded) == sorted(recorded) and not record.attempt_unrecorded
        assert len(recorded) + record.replaced_attempts == server + 1
        maybe_ran = [found for found, known in ends.items() if known is not AttemptEnd.NEVER_RAN]
        assert maybe_ran[:1] == [found for found, known in recorded.items() if known is not AttemptEnd.NEVER_RAN][:1]
        assert all(found in recorded for found, _ in open_attempts)


def test_death_while_a_record_is_reused_leaves_an_attempt_that_may_have_run() -> None:
    """Guards against a torn record: half of it is of the attempt before, which never ran."""
    journal, reader, memory = new_journal()
    handle = record_request(journal)
    for server, end in enumerate([AttemptEnd.NEVER_RAN, AttemptEnd.MAYBE_RAN, *[AttemptEnd.NEVER_RAN] * 2]):
        index = journal.record_attempt(handle, server, 1, 2, 11.5 + server, 5, 99, 50, 10, 20)
        journal.record_attempt_end(handle, index, end)
    before = bytes(memory)
    journal.record_attempt(handle, 9, 1, 2, 20.0, 5, 99, 50, 10, 20)
    after = bytes(memory)
    changed = [
        offset for offset in range(0, len(before), 8) if before[offset : offset + 8] != after[offset : offset + 8]
    ]
    attempt_cells = changed[:-1]  # the last is the count of attempts
    assert len(attempt_cells) >= 3
    for written in range(1, len(attempt_cells)):
        memory[:] = before
        journal.record_attempt_end(handle, 0, AttemptEnd.MAYBE_RAN)  # as in the moment before
        offset_of_time = 8 * (HEADER_CELLS + RequestJournal.slot_of(handle) * RECORD_STRIDE + FIRST_ATTEMPT + 3)
        for offset in {offset_of_time, *attempt_cells[:written]} - {offset_of_time + 8}:
            memory[offset : offset + 8] = after[offset : offset + 8]
        torn = read_record(reader, handle).attempts
        assert torn[-1].sent_at == 20.0 and torn[-1].end is AttemptEnd.MAYBE_RAN
        assert torn[0].server == 1, "the first that may have run stays the first"


def test_connection_rows() -> None:
    journal, reader, _ = new_journal()
    journal.record_connection(3, 77, 100, 200, IDLE)
    journal.record_connection(4, 78, 0, 0, BUSY)
    journal.record_connection(31, 79, 1, 2, IDLE)
    journal.record_connection(32, 80, 1, 2, IDLE)  # beyond the table
    assert list(reader.connections([IDLE])) == [ConnectionRecord(3, 77, 100, 200), ConnectionRecord(31, 79, 1, 2)]
    journal.record_connection(3, 0, 0, 0, CLOSED)
    assert [row.descriptor for row in reader.connections([IDLE])] == [31]


def test_copied_record_holds_everything_of_the_original() -> None:
    journal, reader, _ = new_journal()
    handle = record_request(journal, REQUEST * 60)
    journal.record_attempt_end(handle, record_attempt(journal, handle, attempt_record()), AttemptEnd.MAYBE_RAN)
    record_attempt(journal, handle, attempt_record(server=4))
    journal.record_answer(handle, 200, b"an answer")
    record = read_record(reader, handle)
    successor, successor_reader, _ = new_journal()
    after = read_record(successor_reader, successor.copy_record(record, Origin(7, handle, 2), 15, [NONE, 16]))
    assert after.origin == Origin(7, handle, 2) and after.caller_descriptor == 15
    assert [attempt.descriptor for attempt in after.attempts] == [NONE, 16]
    assert (after.request, after.stage, after.answer, after.bytes_written) == (
        record.request,
        record.stage,
        record.answer,
        record.bytes_written,
    )
    assert [attempt.end for attempt in after.attempts] == [AttemptEnd.MAYBE_RAN, AttemptEnd.OPEN]


def test_claim_and_adoption() -> None:
    journal, reader, _ = new_journal()
    handle = record_request(journal)
    slot = RequestJournal.slot_of(handle)
    reader.claim(slot, 3)
    assert (reader.claimed_term(slot), reader.adopted_term(slot)) == (3, 0)
    reader.adopt(slot, 3)
    assert reader.adopted_term(slot) == 3
    journal.release(handle)
    assert RequestJournal.slot_of(record_request(journal)) == slot
    assert (reader.claimed_term(slot), reader.adopted_term(slot)) == (0, 0), (
        "a new record has no claims of the previous one"
    )


def test_uninitialized_journal_holds_nothing() -> None:
    reader = OrphanedJournal(memoryview(bytearray(SIZE.bytes)), SIZE)
    assert (
        not reader.is_valid
        and not list(reader.slots())
        and not list(reader.connections([IDLE]))
        and reader.record_at(0) is None
    )


@settings(max_examples=200)
@given(st.integers(0, 2**32), st.integers(1, 60))
def test_records_do_not_interfere_in_any_order_of_writes(seed: int, count: int) -> None:
    rng = Random(seed)
    journal, reader, _ = new_journal()
    known: dict[int, bytes] = {}
    for number in range(count):
        if known and rng.random() < 0.4:
            handle = rng.choice(list(known))
            journal.release(handle)
            del known[handle]
            continue
        request = b"%d " % number * rng.randrange(1, 3000)
        handle = record_request(journal, request)
        if handle != NONE:
            known[handle] = request
            if rng.random() < 0.3:
                journal.record_answer(handle, 0, request[:100])
    assert sorted(reader.slots()) == sorted(map(RequestJournal.slot_of, known))
    for handle, request in known.items():
        assert read_record(reader, handle).request == request


@settings(max_examples=300)
@given(st.integers(0, 2**32))
def test_damage_is_detected_or_harmless(seed: int) -> None:
    """After random bytes are overwritten a record is unchanged, missing, or recognized as invalid."""
    rng = Random(seed)
    journal, reader, memory = new_journal()
    handle = record_request(journal)
    record_attempt(journal, handle, attempt_record())
    journal.record_answer(handle, 200, b"an answer")
    for _ in range(rng.randrange(1, 20)):
        memory[rng.randrange(len(memory))] = rng.randrange(256)
    for found in reader.slots():
        record = reader.record_at(found)
        assert record is None or record.request == REQUEST
        assert record is None or record.answer in (None, b"an answer")
    list(reader.connections([IDLE]))


def test_handle_of_a_finished_request_writes_nothing() -> None:
    """An attempt may end when the slot of its request already holds another request."""
    journal, reader, _ = new_journal()
    old = record_request(journal)
    index = record_attempt(journal, old, attempt_record())
    journal.release(old)
    new = record_request(journal)
    record_attempt(journal, new, attempt_record())
    assert RequestJournal.slot_of(old) == RequestJournal.slot_of(new)
    journal.record_attempt_end(old, index, AttemptEnd.NEVER_RAN)
    journal.record_answer(old, 0, b"not its own")
    journal.record_streaming(old)
    journal.record_body_received(old, 99.0, 99)
    journal.retain_answer(old, 99.0)
    journal.release(old)
    record = read_record(reader, new)
    assert (record.stage, record.attempts, record.deadline) == (
        Stage.SENT,
        (attempt_record(),),
        20.5,
    ) and journal.retained == 0


def test_retained_answers_are_found_by_key_until_they_expire_or_their_room_is_needed() -> None:
    journal, reader, _ = new_journal()
    handles = [journal.record_request(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100 + i) for i in range(3)]
    for i, handle in enumerate(handles):
        journal.record_answer(handle, 0, b"answer %d" % i)
        journal.retain_answer(handle, 30.0 + i)
    found = reader.progress(RequestJournal.slot_of(handles[1]), 101)
    assert found is not None and found.answer == b"answer 1" and journal.retained == 3 and journal.used == 3
    assert reader.progress(RequestJournal.slot_of(handles[1]), 102) is None, "the key of another request"
    assert read_record(reader, handles[0]).caller_descriptor == NONE
    journal.expire_answers(30.5)
    assert reader.progress(RequestJournal.slot_of(handles[0]), 100) is None and journal.retained == 2
    for _ in range(4):
        assert record_request(journal) != NONE
    assert journal.retained == 0 and journal.uncovered == 0


def test_unanswered_keyed_request_is_not_retained() -> None:
    journal, reader, _ = new_journal()
    handle = journal.record_request(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100, replay_until=14.0)
    assert read_record(reader, handle).replay_until == 14.0
    journal.retain_answer(handle, 14.0)
    assert (
        journal.retained == 0 and journal.used == 0 and reader.progress(RequestJournal.slot_of(handle), 100) is None
    )


def test_replay_time_of_an_answer_is_kept_in_a_successors_journal() -> None:
    journal, reader, _ = new_journal()
    handle = journal.record_request(REQUEST, 20.5, 10.25, 9, 77, 300, True, False, key=100, replay_until=14.0)
    journal.record_answer(handle, 0, b"answer")
    successor, successor_reader, _ = new_journal()
    record = read_record(reader, handle)
    copy = successor.copy_record(record, Origin(1, record.slot, 5), 12, [])
    for journal_reader, slot in (
        (reader, RequestJournal.slot_of(handle)),
        (successor_reader, RequestJournal.slot_of(copy)),
    ):
        found = journal_reader.progress(slot, 100)
        assert found is not None and (found.answer, found.replay_until) == (b"answer", 14.0)


def test_keys_are_found_until_they_expire_and_a_torn_row_is_ignored() -> None:
    memory = bytearray(8 * 16 * KeyIndex.ROW_CELLS)
    keys = KeyIndex(memoryview(memory), 16)
    digest = digest_of(b"k1", b"acme", b"draft")
    keys.put(digest, 3, 5, 20.0)
    assert keys.find(digest, 19.0) == (3, 5) and keys.find(digest, 20.5) is None
    assert keys.find(digest + 1, 1.0) is None
    keys.put(digest, 4, 6, 30.0)
    assert keys.find(digest, 19.0) == (4, 6), "the later location counts"
    at = next(i for i in range(0, len(memory), 8) if int.from_bytes(memory[i : i + 8], "little") == digest)
    memory[at + 8] ^= 1
    assert keys.find(digest, 19.0) is None


def test_new_keys_replace_those_that_expire_first() -> None:
    keys = KeyIndex(memoryview(bytearray(8 * 4 * KeyIndex.ROW_CELLS)), 4)
    for i in range(5):
        keys.put(1000 + i, i, i, 20.0 + i)
    assert [keys.find(1000 + i, 1.0) for i in range(5)] == [None, (1, 1), (2, 2), (3, 3), (4, 4)]


def test_pool_has_each_journal_on_pages_of_its_own() -> None:
    pool = JournalPool(SIZE, books=3, keys=64)
    memory = memoryview(bytearray(pool.bytes))
    journals = [RequestJournal(pool.journal_memory(memory, i), SIZE, i + 1) for i in range(3)]
    handles = [record_request(journal, b"%d" % i) for i, journal in enumerate(journals)]
    for i, handle in enumerate(handles):
        assert read_record(OrphanedJournal(pool.journal_memory(memory, i), SIZE), handle).request == b"%d" % i
        assert pool.journal_offset(i) % 4096 == 0
    for number in (-1, 3):
        with pytest.raises(ValueError):
            pool.journal_memory(memory, number)
