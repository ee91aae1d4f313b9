"""A client that tests control: one connection to a proxy, and the bytes of a request."""

from __future__ import annotations

import asyncio
from typing import Any

from standins.messages import PEER_TIMEOUT, Message, Reader, Writer, read_message


class Caller:
    """One connection to the proxy."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader = reader
        self.writer = writer

    async def answer(self) -> tuple[int, Message]:
        """Read the next response; raises AssertionError at the end of the stream."""
        response = await asyncio.wait_for(read_message(self.reader), PEER_TIMEOUT)
        assert response is not None, "the proxy closed the connection without a response"
        return response.status, response

    async def call(self, **options: Any) -> tuple[int, Message]:
        self.writer.write(request(**options))
        return await self.answer()

    async def read_to_end(self) -> bytes:
        """Read until the proxy closes the connection."""
        try:
            return await asyncio.wait_for(self.reader.read(), PEER_TIMEOUT)
        except ConnectionError:
            return b""

    def abort(self) -> None:
        self.writer.transport.abort()


def request(
    kind: str = "view",
    body: bytes = b"",
    budget: str | None = "5000m",
    request_id: str | None = "1",
    extra: tuple[bytes, ...] = (),
) -> bytes:
    """The bytes of a request."""
    safe = kind in ("view", "report-view") and not body
    lines = [b"GET /api?x=1 HTTP/1.1" if safe else b"POST /api?x=1 HTTP/1.1"]
    lines.append(b"Host: backend.local")
    lines.append(b"X-Call-Class: " + kind.encode())
    if request_id is not None:
        lines.append(b"X-Call-Id: " + request_id.encode())
    if budget is not None:
        lines.append(b"X-Budget: " + budget.encode())
    if kind == "submit":
        lines.append(b"Idempotency-Key: k1")
    if body:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join([*lines, *extra, b"", b""]) + body
