"""Streamed request bodies: order, limits, repeated delivery."""

from __future__ import annotations

import pytest

from cometusher.http1 import MAX_BODY, Request, RequestParser
from cometusher.stream import MAX_WAITING_BYTES, REPLAY_BYTES, BodyStream

LONG_BODY = 2 * MAX_BODY
CHUNKS = (b"1000\r\n" + b"x" * 0x1000 + b"\r\n") * (LONG_BODY // 0x1000)


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


class AttachingSink:
    """Delivers a long body to a receiver, and notes whether its end is announced before the receiver has it."""

    def __init__(self, receiver: FakeReceiver) -> None:
        self.receiver = receiver
        self.had_all_at_announcement: list[bool] = []

    def receiver_has_all(self) -> bool:
        return self.receiver.ended or self.receiver.received == b"x" * LONG_BODY

    def on_request_begin(self) -> None: ...

    def on_request_head(self, request: Request) -> None: ...

    def on_large_body(self, request: Request) -> None:
        received, request.body = bytes(request.body), bytearray()
        request.stream = BodyStream(FakeSource(), received)
        request.stream.on_ending = lambda: self.had_all_at_announcement.append(self.receiver_has_all())
        request.stream.attach(self.receiver)

    def on_request(self, request: Request) -> None:
        assert request.stream is not None
        request.stream.finish()


@pytest.mark.parametrize(
    "framed",
    [
        b"Content-Length: %d\r\n\r\n" % LONG_BODY + b"x" * LONG_BODY,
        b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS + b"1\r\nx\r\n0\r\n\r\n",
    ],
    ids=["length", "chunked"],
)
def test_end_is_announced_before_a_receiver_gets_the_last_byte(framed: bytes) -> None:
    """Guards against a request that runs while its journal says that it can't have begun (review/7)."""
    sink = AttachingSink(FakeReceiver())
    parser = RequestParser(sink)
    data = b"POST / HTTP/1.1\r\n" + framed
    for start in range(0, len(data), 10_000):
        parser.feed(data[start : start + 10_000])
    assert sink.receiver_has_all() and sink.had_all_at_announcement == [False]
