"""HTTP/1.1 messages as the peers read and write them (RFC 9112)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"  # RFC 9110, 15.2.1
MAX_HEAD = 64 * 1024  # bytes of a head, before a peer gives up
PEER_TIMEOUT = 10.0  # how long a peer waits for what must happen; never a figure that is measured


@dataclass
class Message:
    """A request as a peer read it."""

    line: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        """Of an answer; raises ValueError or IndexError where the line is none's."""
        return int(self.line.split()[1])


async def read_message(reader: Reader) -> Message | None:
    """One message with a Content-Length or chunked body; None at a clean end."""
    head = b""
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as end:
            assert not end.partial, f"cut off in a head: {end.partial!r}"
            return None
        if head != CONTINUE:
            break
    line, *rest = head[:-4].split(b"\r\n")
    headers = {}
    for row in rest:
        name, _, value = row.partition(b":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get(b"transfer-encoding") == b"chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif b"content-length" in headers:
        body = await reader.readexactly(int(headers[b"content-length"]))
    return Message(line, headers, body)


def take_message(buffer: bytearray) -> Message | None:
    """One whole message with a Content-Length, or none, off the front of what has come; None while it is not whole.

    Raises ValueError for what is no message.
    """
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        if len(buffer) > MAX_HEAD:
            raise ValueError("a head without end")
        return None
    line, *rows = bytes(buffer[:end]).split(b"\r\n")
    headers = {}
    for row in rows:
        name, _, value = row.partition(b":")
        headers[name.strip().lower()] = value.strip()
    size = end + 4 + int(headers.get(b"content-length", b"0"))
    if len(buffer) < size:
        return None
    body = bytes(buffer[end + 4 : size])
    del buffer[:size]
    return Message(line, headers, body)


def reply(status: int = 200, body: bytes = b"ok", *extra: bytes) -> bytes:
    """An answer's bytes."""
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *extra, b"", b""]
    return b"\r\n".join(lines) + body
