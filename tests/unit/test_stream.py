"""Streamed request bodies: order, limits, repeated delivery."""

from __future__ import annotations

from cometusher.stream import MAX_WAITING_BYTES, REPLAY_BYTES, BodyStream


class FakeSource:
    def __init__(self) -> None:
        self.paused = 0
        self.events: list[str] = []

    def pause_body(self) -> None:
        self.paused += 1
        self.events.append("hold")

    def resume_body(self) -> None:
        self.paused -= 1
        self.events.append("more")


class FakeReceiver:
    def __init__(self, room: int = 10**9) -> None:
        self.room = room
        self.received = b""
        self.ended = self.aborted = False

    def can_accept(self) -> bool:
        return self.room > 0

    def write_body(self, data: bytes) -> None:
        self.received += data
        self.room -= len(data)

    def end_body(self) -> None:
        self.ended = True

    def abort_body(self) -> None:
        self.aborted = True


def test_pieces_are_delivered_in_order_as_they_arrive() -> None:
    stream, backend = BodyStream(FakeSource(), b"ab"), FakeReceiver()
    stream.attach(backend)
    assert backend.received == b"ab"
    stream.feed(b"cd")
    assert backend.received == b"abcd" and not backend.ended
    stream.finish()
    assert backend.ended and stream.size == 4


def test_source_is_paused_without_a_receiver_and_resumed_with_one() -> None:
    caller = FakeSource()
    stream = BodyStream(caller)
    stream.feed(b"x" * MAX_WAITING_BYTES)
    assert caller.paused == 0
    stream.feed(b"x")
    assert caller.paused == 1
    stream.feed(b"x" * MAX_WAITING_BYTES)
    assert caller.paused == 1
    backend = FakeReceiver(room=MAX_WAITING_BYTES)
    stream.attach(backend)
    assert caller.paused == 1 and len(backend.received) == MAX_WAITING_BYTES
    backend.room = 10**9
    stream.deliver()
    assert caller.paused == 0 and len(backend.received) == 2 * MAX_WAITING_BYTES + 1


def test_retained_body_is_delivered_again_from_its_start() -> None:
    stream, first, second = BodyStream(FakeSource()), FakeReceiver(), FakeReceiver()
    stream.attach(first)
    stream.feed(b"one")
    stream.detach(first)
    stream.feed(b"two")
    assert first.received == b"one"
    stream.attach(second)
    stream.finish()
    assert second.received == b"onetwo" and second.ended and not first.ended
    assert stream.contents() == b"onetwo"


def test_discarding_a_part_is_reported_once() -> None:
    reports: list[bool] = []
    stream, backend = BodyStream(FakeSource()), FakeReceiver()
    stream.on_consumed = lambda: reports.append(True)
    stream.attach(backend)
    for _ in range(REPLAY_BYTES // 65536):
        stream.feed(b"x" * 65536)
    assert not stream.consumed and not reports
    stream.feed(b"y")
    stream.feed(b"z" * REPLAY_BYTES)
    assert stream.consumed and reports == [True] and len(backend.received) == 2 * REPLAY_BYTES + 1


def test_discarded_body_is_dropped_and_its_receiver_aborted() -> None:
    caller, backend = FakeSource(), FakeReceiver(room=10)
    stream = BodyStream(caller)
    stream.attach(backend)
    stream.feed(b"x" * 10)
    stream.feed(b"x" * (2 * MAX_WAITING_BYTES))
    assert caller.paused == 1
    stream.discard()
    assert caller.paused == 0 and backend.aborted
    stream.feed(b"x" * REPLAY_BYTES)
    assert caller.paused == 0 and len(backend.received) == 10


def test_discarding_a_fully_delivered_body_aborts_nothing() -> None:
    stream, backend = BodyStream(FakeSource(), b"x"), FakeReceiver()
    stream.attach(backend)
    stream.finish()
    stream.discard()
    assert backend.ended and not backend.aborted


def test_complete_body_resumes_its_source_without_a_receiver() -> None:
    """The body can be sent again from memory; with reading paused, a caller's disconnect would go unnoticed."""
    caller = FakeSource()
    stream, backend = BodyStream(caller), FakeReceiver(room=1)
    stream.attach(backend)
    stream.feed(b"xx")
    stream.feed(b"x" * (MAX_WAITING_BYTES + 1))
    assert caller.paused == 1
    stream.detach(backend)
    stream.finish()
    assert caller.paused == 0 and not stream.consumed and len(stream.contents()) == MAX_WAITING_BYTES + 3
