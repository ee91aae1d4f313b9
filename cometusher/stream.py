"""The body of a request that is passed on while it comes, with back-pressure and bounded memory.

Pieces wait here between the caller's connection, which feeds them, and an attempt's connection, which takes them.
The first KEPT bytes stay until more than that has been taken: so long the body can be taken again from its start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

KEPT = 256 * 1024  # bytes that stay for a repeat
WAITING = 64 * 1024  # bytes that wait for an attempt before the caller is read no further


class Source(Protocol):
    """The connection that a body comes on."""

    def hold_body(self) -> None:
        """Read no further."""

    def more_body(self) -> None:
        """Read on."""


class Taker(Protocol):
    """The connection that a body goes to."""

    def takes_more(self) -> bool:
        """Whether it has room."""

    def take_piece(self, piece: bytes) -> None:
        """The next bytes."""

    def take_end(self) -> None:
        """There are no more."""

    def take_loss(self) -> None:
        """The rest will never come."""


class BodyStream:
    """One body: from one source, to one taker at a time."""

    __slots__ = (
        "_at",
        "_dropped",
        "_held",
        "_pieces",
        "_source",
        "_taken",
        "_taker",
        "_waiting",
        "done",
        "on_spent",
        "size",
        "spent",
    )

    def __init__(self, source: Source, first: bytes = b"") -> None:
        self._source = source
        self._pieces: list[bytes] = []
        self._at = 0  # the next of them to be taken
        self._taken = 0  # bytes taken by the present taker
        self._waiting = 0  # bytes that have come and are not taken
        self._taker: Taker | None = None
        self._held = False  # the source reads no further
        self._dropped = False  # nobody wants it any more
        self.size = 0  # bytes that have come
        self.done = False  # the last byte has come
        self.spent = False  # a part is let go: it can't be taken again
        self.on_spent: Callable[[], None] | None = None
        if first:
            self.feed(first)

    def feed(self, piece: bytes) -> None:
        """The next bytes have come."""
        self.size += len(piece)
        if self._dropped:
            return
        self._pieces.append(piece)
        self._waiting += len(piece)
        self.push()
        if self._waiting > WAITING and not self._held and not self._dropped:
            self._held = True
            self._source.hold_body()

    def finish(self) -> None:
        """The last byte has come.

        Guards the end of the connection: a caller that is read no further, though nothing more of this body can
        come, goes away unnoticed, and an answer that is passed on to it waits for good.
        """
        self.done = True
        self.push()
        self._read_on()

    def whole(self) -> bytes:
        """All of it, where it has come and nothing is let go."""
        assert self.done and not self.spent
        return b"".join(self._pieces)

    def attach(self, taker: Taker) -> None:
        """Give it to a taker, from the start."""
        assert not self.spent
        self._taker = taker
        self._at = self._taken = 0
        self._waiting = sum(map(len, self._pieces))
        self.push()

    def detach(self, taker: Taker) -> None:
        """That one takes no more."""
        if self._taker is taker:
            self._taker = None

    def push(self) -> None:
        """Give what there is, as far as there is room for it."""
        taker = self._taker
        if taker is None:
            return
        while self._at < len(self._pieces) and taker.takes_more():
            piece = self._pieces[self._at]
            self._at += 1
            self._taken += len(piece)
            self._waiting -= len(piece)
            taker.take_piece(piece)
            if self._taker is not taker:
                return  # it broke
        if self._taken > KEPT:
            self._let_go()
        if self._waiting <= WAITING // 2:
            self._read_on()
        if self.done and self._at == len(self._pieces) and self._taker is taker:
            self._taker = None
            taker.take_end()

    def _read_on(self) -> None:
        if self._held:
            self._held = False
            self._source.more_body()

    def _let_go(self) -> None:
        del self._pieces[: self._at]
        self._at = 0
        if not self.spent:
            self.spent = True
            if self.on_spent is not None:
                self.on_spent()

    def drop(self) -> None:
        """Nobody wants it any more: what still comes is read and forgotten."""
        self._dropped = True
        taker, self._taker = self._taker, None
        self._pieces.clear()
        self._at = self._waiting = 0
        self.spent = True
        self._read_on()
        if taker is not None:
            taker.take_loss()
