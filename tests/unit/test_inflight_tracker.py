"""The tracker of in-flight requests, without a proxy around it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from cometusher.inflight.tracker import InflightTracker
from weldroute.request_journal import JournalSize, KeyIndex, RequestJournal


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
