"""The body of a request that is passed on while it comes, with back-pressure and bounded memory.

Pieces wait here between the caller's connection, which feeds them, and an attempt's connection, which takes them.
The first KEPT bytes stay until more than that has been taken: so long the body can be taken again from its start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

REPLAY_BYTES = 256 * 1024  # bytes that stay for a repeat
MAX_WAITING_BYTES = 64 * 1024  # bytes that wait for an attempt before the caller is read no further


class BodySource(Protocol):
    """The connection that a body comes on."""

    def pause_body(self) -> None:
        """Read no further."""

    def resume_body(self) -> None:
        """Read on."""


class BodyReceiver(Protocol):
    """The connection that a body goes to."""

    def can_accept(self) -> bool:
        """Whether it has room."""

    def write_body(self, piece: bytes) -> None:
        """The next bytes."""

    def end_body(self) -> None:
        """There are no more."""

    def abort_body(self) -> None:
        """The rest will never come."""


class BodyStream:
    """One body: from one source, to one taker at a time."""

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
        "on_consumed",
        "size",
    )

    def __init__(self, source: BodySource, first: bytes = b"") -> None:
        self._source = source
        self._pieces: list[bytes] = []
        self._next_piece = 0  # the next of them to be taken
        self._delivered_bytes = 0  # bytes taken by the present taker
        self._waiting_bytes = 0  # bytes that have come and are not taken
        self._receiver: BodyReceiver | None = None
        self._source_paused = False  # the source reads no further
        self._discarded = False  # nobody wants it any more
        self.size = 0  # bytes that have come
        self.complete = False  # the last byte has come
        self.consumed = False  # a part is let go: it can't be taken again
        self.on_consumed: Callable[[], None] | None = None
        if first:
            self.feed(first)

    def feed(self, piece: bytes) -> None:
        """The next bytes have come."""
        self.size += len(piece)
        if self._discarded:
            return
        self._pieces.append(piece)
        self._waiting_bytes += len(piece)
        self.deliver()
        if self._waiting_bytes > MAX_WAITING_BYTES and not self._source_paused and not self._discarded:
            self._source_paused = True
            self._source.pause_body()

    def finish(self) -> None:
        """The last byte has come.

        Guards the end of the connection: a caller that is read no further, though nothing more of this body can
        come, goes away unnoticed, and an answer that is passed on to it waits for good.
        """
        self.complete = True
        self.deliver()
        self._resume_source()

    def contents(self) -> bytes:
        """All of it, where it has come and nothing is let go."""
        assert self.complete and not self.consumed
        return b"".join(self._pieces)

    def attach(self, taker: BodyReceiver) -> None:
        """Give it to a taker, from the start."""
        assert not self.consumed
        self._receiver = taker
        self._next_piece = self._delivered_bytes = 0
        self._waiting_bytes = sum(map(len, self._pieces))
        self.deliver()

    def detach(self, taker: BodyReceiver) -> None:
        """That one takes no more."""
        if self._receiver is taker:
            self._receiver = None

    def deliver(self) -> None:
        """Give what there is, as far as there is room for it."""
        taker = self._receiver
        if taker is None:
            return
        while self._next_piece < len(self._pieces) and taker.can_accept():
            piece = self._pieces[self._next_piece]
            self._next_piece += 1
            self._delivered_bytes += len(piece)
            self._waiting_bytes -= len(piece)
            taker.write_body(piece)
            if self._receiver is not taker:
                return  # it broke
        if self._delivered_bytes > REPLAY_BYTES:
            self._discard_delivered()
        if self._waiting_bytes <= MAX_WAITING_BYTES // 2:
            self._resume_source()
        if self.complete and self._next_piece == len(self._pieces) and self._receiver is taker:
            self._receiver = None
            taker.end_body()

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
        """Nobody wants it any more: what still comes is read and forgotten."""
        self._discarded = True
        taker, self._receiver = self._receiver, None
        self._pieces.clear()
        self._next_piece = self._waiting_bytes = 0
        self.consumed = True
        self._resume_source()
        if taker is not None:
            taker.abort_body()
