"""The body that is passed on while it comes: order, bounds, repeats."""

from __future__ import annotations

from cometusher.stream import MAX_WAITING_BYTES, REPLAY_BYTES, BodyStream


class Caller:
    def __init__(self) -> None:
        self.held = 0
        self.events: list[str] = []

    def pause_body(self) -> None:
        self.held += 1
        self.events.append("hold")

    def resume_body(self) -> None:
        self.held -= 1
        self.events.append("more")


class Backend:
    def __init__(self, room: int = 10**9) -> None:
        self.room = room
        self.got = b""
        self.ended = self.lost = False

    def can_accept(self) -> bool:
        return self.room > 0

    def write_body(self, piece: bytes) -> None:
        self.got += piece
        self.room -= len(piece)

    def end_body(self) -> None:
        self.ended = True

    def abort_body(self) -> None:
        self.lost = True


def test_pieces_go_on_in_order_as_they_come() -> None:
    stream, backend = BodyStream(Caller(), b"ab"), Backend()
    stream.attach(backend)
    assert backend.got == b"ab"
    stream.feed(b"cd")
    assert backend.got == b"abcd" and not backend.ended
    stream.finish()
    assert backend.ended and stream.size == 4


def test_a_caller_is_held_while_nobody_takes_and_read_on_when_somebody_does() -> None:
    caller = Caller()
    stream = BodyStream(caller)
    stream.feed(b"x" * MAX_WAITING_BYTES)
    assert caller.held == 0
    stream.feed(b"x")
    assert caller.held == 1
    stream.feed(b"x" * MAX_WAITING_BYTES)
    assert caller.held == 1
    backend = Backend(room=MAX_WAITING_BYTES)
    stream.attach(backend)
    assert caller.held == 1 and len(backend.got) == MAX_WAITING_BYTES
    backend.room = 10**9
    stream.deliver()
    assert caller.held == 0 and len(backend.got) == 2 * MAX_WAITING_BYTES + 1


def test_what_is_kept_goes_out_again_from_its_start() -> None:
    stream, first, second = BodyStream(Caller()), Backend(), Backend()
    stream.attach(first)
    stream.feed(b"one")
    stream.detach(first)
    stream.feed(b"two")
    assert first.got == b"one"
    stream.attach(second)
    stream.finish()
    assert second.got == b"onetwo" and second.ended and not first.ended
    assert stream.contents() == b"onetwo"


def test_what_is_let_go_is_told_once() -> None:
    told: list[bool] = []
    stream, backend = BodyStream(Caller()), Backend()
    stream.on_consumed = lambda: told.append(True)
    stream.attach(backend)
    for _ in range(REPLAY_BYTES // 65536):
        stream.feed(b"x" * 65536)
    assert not stream.consumed and not told
    stream.feed(b"y")
    stream.feed(b"z" * REPLAY_BYTES)
    assert stream.consumed and told == [True] and len(backend.got) == 2 * REPLAY_BYTES + 1


def test_a_body_that_nobody_wants_is_forgotten_and_its_taker_told() -> None:
    caller, backend = Caller(), Backend(room=10)
    stream = BodyStream(caller)
    stream.attach(backend)
    stream.feed(b"x" * 10)
    stream.feed(b"x" * (2 * MAX_WAITING_BYTES))
    assert caller.held == 1
    stream.discard()
    assert caller.held == 0 and backend.lost
    stream.feed(b"x" * REPLAY_BYTES)
    assert caller.held == 0 and len(backend.got) == 10


def test_a_body_that_was_taken_whole_is_no_loss() -> None:
    stream, backend = BodyStream(Caller(), b"x"), Backend()
    stream.attach(backend)
    stream.finish()
    stream.discard()
    assert backend.ended and not backend.lost


def test_a_whole_body_holds_its_caller_no_longer_whoever_takes_it() -> None:
    """It may be sent again from memory: without this a caller that goes away would not be seen to."""
    caller = Caller()
    stream, backend = BodyStream(caller), Backend(room=1)
    stream.attach(backend)
    stream.feed(b"xx")
    stream.feed(b"x" * (MAX_WAITING_BYTES + 1))
    assert caller.held == 1
    stream.detach(backend)
    stream.finish()
    assert caller.held == 0 and not stream.consumed and len(stream.contents()) == MAX_WAITING_BYTES + 3
