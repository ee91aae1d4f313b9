"""HTTP/1.1 messages as the stand-ins read and write them (RFC 9112)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

Reader = asyncio.StreamReader
Writer = asyncio.StreamWriter
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"  # RFC 9110, 15.2.1
MAX_HEAD = 64 * 1024  # bytes of a message head
PEER_TIMEOUT = 10.0  # seconds that a peer waits for an expected event; never part of a measurement


@dataclass
class Message:
    """A request or response as a peer received it."""

    line: bytes
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response; raises ValueError or IndexError if the first line is not a status line."""
        return int(self.line.split()[1])


async def read_message(reader: Reader) -> Message | None:
    """Read a message with a Content-Length or chunked body; None at the end of the stream between messages."""
    head = b""
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as end:
            assert not end.partial, f"stream ended within a head: {end.partial!r}"
            return None
        if head != CONTINUE:
            break
    line, *header_lines = head[:-4].split(b"\r\n")
    headers = {}
    for header_line in header_lines:
        name, _, value = header_line.partition(b":")
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
    """Remove one message, with or without Content-Length, from the front of a buffer; None while it is incomplete.

    Raises ValueError for an invalid message.
    """
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        if len(buffer) > MAX_HEAD:
            raise ValueError("the head is too long")
        return None
    line, *header_lines = bytes(buffer[:end]).split(b"\r\n")
    headers = {}
    for header_line in header_lines:
        name, _, value = header_line.partition(b":")
        headers[name.strip().lower()] = value.strip()
    size = end + 4 + int(headers.get(b"content-length", b"0"))
    if len(buffer) < size:
        return None
    body = bytes(buffer[end + 4 : size])
    del buffer[:size]
    return Message(line, headers, body)


def reply(status: int = 200, body: bytes = b"ok", *extra: bytes) -> bytes:
    """The bytes of a response."""
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *extra, b"", b""]
    return b"\r\n".join(lines) + body
