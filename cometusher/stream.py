"""Streams a request body from the caller to a backend, with back-pressure and bounded memory.

Pieces are buffered between the caller's connection, which feeds them, and an attempt's connection, which receives
them. The first REPLAY_BYTES are retained until more than that has been delivered; until then the body can be
delivered again from its start to another attempt.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

REPLAY_BYTES = 256 * 1024  # bytes retained for a repeated attempt
MAX_WAITING_BYTES = 64 * 1024  # undelivered bytes at which reading from the caller pauses


class BodySource(Protocol):
    """The connection from which a body is read."""

    def pause_body(self) -> None:
        """Stops reading."""

    def resume_body(self) -> None:
        """Resumes reading."""


class BodyReceiver(Protocol):
    """The connection to which a body is written."""

    def can_accept(self) -> bool:
        """Whether the write buffer has room."""

    def write_body(self, data: bytes) -> None:
        """Writes the next bytes."""

    def end_body(self) -> None:
        """Writes the end of the body."""

    def abort_body(self) -> None:
        """The rest of the body will never arrive."""


class BodyStream:
    """One body, from one source to one receiver at a time."""

    __slots__ = (
        "_delivered_bytes",
        "_discarded",
        "_next_piece",
        "_pieces",
        "_receiver",
        "_source",
        "_source_paused",
        "_waiting_bytes",
        "complete",
        "consumed",
        "ending",
        "on_consumed",
        "on_ending",
        "size",
    )

    def __init__(self, source: BodySource, initial: bytes = b"") -> None:
        self._source = source
        self._pieces: list[bytes] = []
        self._next_piece = 0  # index of the next piece to deliver
        self._delivered_bytes = 0  # bytes delivered to the present receiver
        self._waiting_bytes = 0  # bytes that have arrived and are not delivered
        self._receiver: BodyReceiver | None = None
        self._source_paused = False  # reading from the source is paused
        self._discarded = False  # the rest of the body is not needed
        self.size = 0  # bytes that have arrived
        self.ending = False  # the last byte is about to be delivered, or has been
        self.complete = False  # the last byte has arrived
        self.consumed = False  # a part was discarded, so it can't be delivered again from its start
        self.on_consumed: Callable[[], None] | None = None
        self.on_ending: Callable[[], None] | None = None
        if initial:
            self.feed(initial)

    def feed(self, piece: bytes) -> None:
        """The next bytes have arrived."""
        self.size += len(piece)
        if self._discarded:
            return
        self._pieces.append(piece)
        self._waiting_bytes += len(piece)
        self.deliver()
        if self._waiting_bytes > MAX_WAITING_BYTES and not self._source_paused and not self._discarded:
            self._source_paused = True
            self._source.pause_body()

    def announce_end(self) -> None:
        """The last byte follows: whatever has to be known before a receiver gets it must be noted now."""
        if not self.ending:
            self.ending = True
            if self.on_ending is not None:
                self.on_ending()

    def finish(self) -> None:
        """The last byte has arrived.

        Resumes reading from the source: while reading is paused, a caller's disconnect goes unnoticed, and an answer
        that is streamed to it would wait forever.
        """
        self.announce_end()
        self.complete = True
        self.deliver()
        self._resume_source()

    def contents(self) -> bytes:
        """The whole body; it must be complete, with no part discarded."""
        assert self.complete and not self.consumed
        return b"".join(self._pieces)

    def attach(self, receiver: BodyReceiver) -> None:
        """Delivers the body to a receiver, from the start."""
        assert not self.consumed
        self._receiver = receiver
        self._next_piece = self._delivered_bytes = 0
        self._waiting_bytes = sum(map(len, self._pieces))
        self.deliver()

    def detach(self, receiver: BodyReceiver) -> None:
        """Stops the delivery to a receiver."""
        if self._receiver is receiver:
            self._receiver = None

    def deliver(self) -> None:
        """Delivers the buffered pieces as far as the receiver has room."""
        receiver = self._receiver
        if receiver is None:
            return
        while self._next_piece < len(self._pieces) and receiver.can_accept():
            piece = self._pieces[self._next_piece]
            self._next_piece += 1
            self._delivered_bytes += len(piece)
            self._waiting_bytes -= len(piece)
            receiver.write_body(piece)
            if self._receiver is not receiver:
                return  # the receiver was detached by a failure
        if self._delivered_bytes > REPLAY_BYTES:
            self._discard_delivered()
        if self._waiting_bytes <= MAX_WAITING_BYTES // 2:
            self._resume_source()
        if self.complete and self._next_piece == len(self._pieces) and self._receiver is receiver:
            self._receiver = None
            receiver.end_body()

    def _resume_source(self) -> None:
        if self._source_paused:
            self._source_paused = False
            self._source.resume_body()

    def _discard_delivered(self) -> None:
        del self._pieces[: self._next_piece]
        self._next_piece = 0
        if not self.consumed:
            self.consumed = True
            if self.on_consumed is not None:
                self.on_consumed()

    def discard(self) -> None:
        """Discards the body; what still arrives is read and dropped."""
        self._discarded = True
        receiver, self._receiver = self._receiver, None
        self._pieces.clear()
        self._next_piece = self._waiting_bytes = 0
        self.consumed = True
        self._resume_source()
        if receiver is not None:
            receiver.abort_body()
