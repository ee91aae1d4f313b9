"""The tracker of in-flight requests, without a proxy around it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from cometusher.http1 import Request
from cometusher.inflight.tracker import InflightTracker
from cometusher.stream import BodyStream
from weldroute.request_journal import JournalSize, KeyIndex, Origin, OrphanedJournal, RequestJournal


def test_key_is_found_as_long_as_its_request_is_in_flight() -> None:
    """Guards against a second effect: settings may name a deadline that outlasts the key's place in the index."""
    size = JournalSize(entries=4, blocks=8, descriptors=32)
    journal = RequestJournal(memoryview(bytearray(size.bytes)), size, 7)
    keys = KeyIndex(memoryview(bytearray(8 * 16 * KeyIndex.ROW_CELLS)), 16)
    tracker: Any = object.__new__(InflightTracker)
    tracker.journal = journal
    tracker._channel = SimpleNamespace(keys=keys, number=0)
    tracker._proxy = SimpleNamespace(clock=SimpleNamespace(to_machine=lambda instant: instant))
    handle = journal.record_request(b"a request", 600.0, 1.0, 9, 77, 300, True, False, None, 5)
    exchange: Any = SimpleNamespace(journal_slot=handle, dedup_key=5, answer_stored_until=4.0, deadline=600.0)
    tracker.publish_key(exchange)
    assert keys.find(5, 599.0) == (0, RequestJournal.slot_of(handle))


@pytest.mark.parametrize("ends_first", [True, False], ids=["all-at-once", "while-it-waits"])
def test_long_body_that_is_complete_before_its_record_counts_as_received(ends_first: bool) -> None:
    """Guards against the refusal of a request that runs: it is sent again then, and runs twice (review/7)."""
    size = JournalSize(entries=4, blocks=8, descriptors=32)
    memory = memoryview(bytearray(size.bytes))
    tracker: Any = object.__new__(InflightTracker)
    tracker.journal, tracker._keyed = RequestJournal(memory, size, 7), {}
    tracker._network = SimpleNamespace(monotonic=lambda: 1.0)
    tracker._proxy = SimpleNamespace(clock=SimpleNamespace(to_machine=lambda instant: instant))
    request = Request()
    request.method, request.target, request.length = b"POST", b"/", 100_000
    request.stream = BodyStream(SimpleNamespace(pause_body=bool, resume_body=bool), b"x" * 100_000)
    if ends_first:
        request.stream.finish()
    else:
        request.stream.announce_end()  # its last byte is passed on next, and its attempt begins in that moment
    caller = SimpleNamespace(
        last_request_bytes=b"", journal_slot=-1, descriptor=9, connection_id=77, bytes_read=100_100
    )
    exchange: Any = SimpleNamespace(
        request=request,
        caller=caller,
        headers=[],
        journal_slot=-1,
        deadline=3.0,
        dedup_key=0,
        answer_stored_until=0.0,
    )
    tracker.ensure_recorded(exchange)
    record = OrphanedJournal(memory, size).record_at(RequestJournal.slot_of(exchange.journal_slot))
    assert record is not None and (record.body_stored, record.body_received) == (False, True)
    copied = tracker.journal.copy_record(record, Origin(1, 2, 3), 9, [])
    copy = OrphanedJournal(memory, size).record_at(RequestJournal.slot_of(copied))
    assert copy is not None and (copy.body_stored, copy.body_received) == (False, True)
