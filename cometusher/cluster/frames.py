"""What goes over a link: frames of bounded length, each authenticated, none taken twice. Sans I/O.

    length (4 bytes, big-endian) | tag (16 bytes) | kind (1 byte) | MessagePack

The tag is keyed BLAKE2b (RFC 7693) over the frame's number on its way, and the rest. Both ends begin with a hello,
tagged by the fleet's key: form, fleet, name, life, address, and a nonce; the answer's tag covers the dialler's nonce
too. All frames after that are tagged by a key made of the fleet's and both nonces, one for each way, so that what
was recorded of another link, or of the other way, is nobody's word. Who accepts believes the dialler with its first
frame: a recorded hello alone proves nothing. It authenticates and does not hide: the messages hold no secret.

A length over the bound ends the link before anything is read for it, and so does whatever else is not as it should
be."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from weldroute import leases, members, replicated_map
from weldroute.links import Priority

PROTOCOL_VERSION = 1
LENGTH_BYTES, TAG_BYTES = 4, 16  # bytes
MAX_HELLO_BYTES = 1024  # bytes
MAX_FRAME_BYTES = 256 * 1024  # bytes of a frame
NONCE_BYTES = 16  # bytes
MIN_KEY_BYTES = 16  # bytes
HELLO_FRAME, ALIVE_FRAME, KEEPALIVE_FRAME = (
    0,
    1,
    8,
)  # kinds of frames that carry no message: the last asks for the one before

Message = members.Message | leases.Request | leases.Answer | replicated_map.Message

MESSAGE_TYPES: dict[int, tuple[type[Any], Priority]] = {
    2: (members.Ping, Priority.PROBE),
    3: (members.Ack, Priority.PROBE),
    4: (members.Nack, Priority.PROBE),
    5: (members.PingFor, Priority.PROBE),
    6: (members.Gossip, Priority.NEWS),
    7: (members.Sync, Priority.WHOLE),
    16: (leases.Prepare, Priority.LEASE),
    17: (leases.Promise, Priority.LEASE),
    18: (leases.Propose, Priority.LEASE),
    19: (leases.Accepted, Priority.LEASE),
    20: (leases.Rejected, Priority.LEASE),
    21: (leases.Released, Priority.LEASE),
    24: (replicated_map.News, Priority.NEWS),
    25: (replicated_map.Digest, Priority.WHOLE),
}
_NUMBERS = {form: number for number, (form, _) in MESSAGE_TYPES.items()}
_DECODERS = {number: msgspec.msgpack.Decoder(form) for number, (form, _) in MESSAGE_TYPES.items()}
_ENCODER = msgspec.msgpack.Encoder()


class BadFrame(Exception):
    """What came is no frame of this link; the text says why."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Who is at an end of a link."""

    form: int
    fleet: str
    name: str
    life: int
    address: str  # that it listens on
    nonce: bytes


_HELLOS = msgspec.msgpack.Decoder(Hello)


def encode(message: Message) -> tuple[Priority, bytes]:
    """A message as the content of a frame, and what kind it is for the outbox."""
    number = _NUMBERS[type(message)]
    return MESSAGE_TYPES[number][1], bytes((number,)) + _ENCODER.encode(message)


def decode(content: bytes) -> Message:
    """The message in a frame; raises BadFrame."""
    decoder = _DECODERS.get(content[0]) if content else None
    if decoder is None:
        raise BadFrame(f"kind {content[0]}" if content else "empty")
    try:
        message: Message = decoder.decode(content[1:])
    except (msgspec.DecodeError, ValueError, RecursionError) as fault:
        raise BadFrame(f"kind {content[0]}: {fault}") from None
    return message


def _tag(key: bytes, number: int, *parts: bytes) -> bytes:
    made = hashlib.blake2b(number.to_bytes(8, "big"), digest_size=TAG_BYTES, key=key)
    for part in parts:
        made.update(part)
    return made.digest()


class Session:
    """One end of one link."""

    def __init__(self, key: bytes, fleet: str, name: str, life: int, address: str, is_dialler: bool) -> None:
        """Raises ValueError for a key that is too short."""
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"a key of {len(key)} bytes is shorter than {MIN_KEY_BYTES}")
        self._key = hashlib.blake2b(key, digest_size=32, person=b"fleet links").digest()
        self._local_hello = Hello(PROTOCOL_VERSION, fleet, name, life, address, secrets.token_bytes(NONCE_BYTES))
        self._is_dialler = is_dialler
        self._buffer = bytearray()
        self._receive_key = self._send_key = b""  # keys of either way, once both nonces are known
        self._frames_received = self._frames_sent = 0  # frames
        self.peer: Hello | None = None
        self.authenticated = False  # the other end has proven that it is there now
        self.reply = b""  # to be written before anything else is sealed

    def start_handshake(self) -> bytes:
        """What the dialler writes first."""
        return self._build_hello(b"")

    def _build_hello(self, covers: bytes) -> bytes:
        content = bytes((HELLO_FRAME,)) + _ENCODER.encode(self._local_hello)
        return len(content).to_bytes(LENGTH_BYTES, "big") + _tag(self._key, 0, covers, content) + content

    def keepalive(self) -> bytes:
        """A frame that asks for a sign of life."""
        return self.seal(bytes((KEEPALIVE_FRAME,)))

    def seal(self, content: bytes) -> bytes:
        """A frame; only once the other end's hello is known."""
        if len(content) > MAX_FRAME_BYTES:
            raise ValueError(f"{len(content)} bytes do not fit a frame")
        self._frames_sent += 1
        return len(content).to_bytes(LENGTH_BYTES, "big") + _tag(self._send_key, self._frames_sent, content) + content

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The contents of all frames that are whole now; raises BadFrame, and then the link is to be ended."""
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            most = MAX_FRAME_BYTES if self.peer is not None else MAX_HELLO_BYTES
            if not 0 < length <= most:
                raise BadFrame(f"a frame of {length} bytes; {most} at most")
            end = LENGTH_BYTES + TAG_BYTES + length
            if len(self._buffer) < end:
                return
            tag, content = (
                bytes(self._buffer[LENGTH_BYTES : LENGTH_BYTES + TAG_BYTES]),
                bytes(self._buffer[LENGTH_BYTES + TAG_BYTES : end]),
            )
            del self._buffer[:end]
            if self.peer is None:
                self._on_hello(tag, content)
                continue
            self._frames_received += 1
            if not hmac.compare_digest(tag, _tag(self._receive_key, self._frames_received, content)):
                raise BadFrame("a tag that is not this link's")
            self.authenticated = True
            if content[0] == KEEPALIVE_FRAME:
                self.reply += self.seal(bytes((ALIVE_FRAME,)))
            elif content[0] != ALIVE_FRAME:
                yield content

    def _on_hello(self, tag: bytes, content: bytes) -> None:
        covers = self._local_hello.nonce if self._is_dialler else b""
        if not hmac.compare_digest(tag, _tag(self._key, 0, covers, content)):
            raise BadFrame("a hello with another key")
        if content[0] != HELLO_FRAME:
            raise BadFrame("no hello")
        try:
            peer = _HELLOS.decode(content[1:])
        except (msgspec.DecodeError, ValueError) as fault:
            raise BadFrame(f"hello: {fault}") from None
        if peer.form != PROTOCOL_VERSION:
            raise BadFrame(f"form {peer.form} is not spoken here; {PROTOCOL_VERSION} is")
        if peer.fleet != self._local_hello.fleet:
            raise BadFrame(f"of fleet {peer.fleet!r}")
        if len(peer.nonce) != NONCE_BYTES or peer.nonce == self._local_hello.nonce:
            raise BadFrame("a nonce that is none")
        self.peer = peer
        nonces = (
            (self._local_hello.nonce + peer.nonce) if self._is_dialler else (peer.nonce + self._local_hello.nonce)
        )
        up, down = (
            hashlib.blake2b(nonces, digest_size=32, key=self._key, person=way).digest() for way in (b"up", b"down")
        )
        self._send_key, self._receive_key = (up, down) if self._is_dialler else (down, up)
        if self._is_dialler:
            self.authenticated = True  # its tag covers our nonce
            self.reply = self.seal(bytes((ALIVE_FRAME,)))
        else:
            self.reply = self._build_hello(peer.nonce)
