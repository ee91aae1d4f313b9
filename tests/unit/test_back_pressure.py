"""How much of a request's time may have passed while its body was held back."""

from __future__ import annotations

from weldroute.back_pressure import CATCH_UP_TIME, BodyDelay


def paused(delay: BodyDelay, start: float, end: float) -> BodyDelay:
    delay.pause(start)
    delay.resume(end, waiting=True)
    delay.on_read(end)
    return delay


def test_pauses_add_up() -> None:
    """Guards against a backend that takes a little at a time: pauses are short, and the last byte waits for all."""
    delay = paused(paused(BodyDelay(), 1.0, 1.5), 2.0, 2.25)
    assert delay.total(9.0) == 0.75 and not delay.is_held
    delay.pause(10.0)
    assert delay.total(11.0) == 1.75 and delay.is_held


def test_span_ends_with_the_read_if_something_waits() -> None:
    """Guards against a busy process: between the end of a pause and the next read the body waits all the same."""
    delay = BodyDelay()
    delay.pause(1.0)
    delay.resume(2.0, waiting=True)
    assert delay.is_held and delay.total(2.5) == 1.5
    delay.on_read(3.0)
    assert delay.total(9.0) == 2.0
    delay.pause(10.0)
    delay.resume(11.0, waiting=False)
    assert delay.total(20.0) == 3.0, "the caller had sent nothing more, so the rest of the time is its own"


def test_only_reads_that_empty_the_connection_twice_end_the_delay() -> None:
    delay = paused(BodyDelay(), 1.0, 2.0)
    delay.on_emptied(2.0)
    delay.on_emptied(2.0 + CATCH_UP_TIME / 2)
    assert delay.total(2.1) == 1.0
    delay.on_left_unread()
    delay.on_emptied(2.0 + CATCH_UP_TIME)
    assert delay.total(2.1) == 1.0
    delay.on_emptied(2.0 + 2 * CATCH_UP_TIME)
    assert delay.total(2.2) == 0.0


def test_pause_between_the_reads_starts_anew() -> None:
    delay = paused(BodyDelay(), 1.0, 2.0)
    delay.on_emptied(2.0)
    paused(delay, 2.01, 2.02)
    delay.on_emptied(2.0 + CATCH_UP_TIME)
    assert delay.total(3.0) > 1.0
