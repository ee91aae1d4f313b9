"""The frame protocol of links: frames of bounded length, authenticated and protected against replay. Sans I/O.

    length (4 bytes, big-endian) | tag (16 bytes) | kind (1 byte) | MessagePack

The tag is keyed BLAKE2b (RFC 7693) over the frame's number in its direction, and over the content. Both ends begin
with a hello frame, tagged with the fleet's key: protocol version, fleet, name, life, address and a nonce; the tag of
the answering hello covers the dialler's nonce as well. All later frames are tagged with a key derived from the
fleet's key and both nonces, a separate one for each direction, so frames recorded on another link or in the other
direction are refused. The accepting end trusts the dialler after its first such frame: a recorded hello alone proves
nothing. The protocol authenticates and does not encrypt: the messages contain no secrets.

A length over the bound ends the link before anything is read for it, and so does any other invalid input.
"""

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
LENGTH_BYTES, TAG_BYTES = 4, 16
MAX_HELLO_BYTES = 1024
MAX_FRAME_BYTES = 256 * 1024
NONCE_BYTES = 16
MIN_KEY_BYTES = 16
# Kinds of frames that carry no message; ALIVE_FRAME answers KEEPALIVE_FRAME.
HELLO_FRAME, ALIVE_FRAME, KEEPALIVE_FRAME = 0, 1, 8

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
_NUMBERS = {message_type: number for number, (message_type, _) in MESSAGE_TYPES.items()}
_DECODERS = {number: msgspec.msgpack.Decoder(message_type) for number, (message_type, _) in MESSAGE_TYPES.items()}
_ENCODER = msgspec.msgpack.Encoder()


class BadFrame(Exception):
    """The input is not a valid frame of this link; the text says why."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Identity of one end of a link."""

    form: int  # protocol version
    fleet: str
    name: str
    life: int  # identifier of the process
    address: str  # that it listens on
    nonce: bytes


_HELLO_DECODER = msgspec.msgpack.Decoder(Hello)


def encode(message: Message) -> tuple[Priority, bytes]:
    """A message as the content of a frame, and its priority in the send queue."""
    number = _NUMBERS[type(message)]
    return MESSAGE_TYPES[number][1], bytes((number,)) + _ENCODER.encode(message)


def decode(content: bytes) -> Message:
    """The message in a frame; raises BadFrame."""
    decoder = _DECODERS.get(content[0]) if content else None
    if decoder is None:
        raise BadFrame(f"unknown frame kind {content[0]}" if content else "empty")
    try:
        message: Message = decoder.decode(content[1:])
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadFrame(f"frame of kind {content[0]}: {error}") from None
    return message


def _tag(key: bytes, number: int, *parts: bytes) -> bytes:
    digest = hashlib.blake2b(number.to_bytes(8, "big"), digest_size=TAG_BYTES, key=key)
    for part in parts:
        digest.update(part)
    return digest.digest()


class Session:
    """Protocol state of one end of one link."""

    def __init__(self, key: bytes, fleet: str, name: str, life: int, address: str, is_dialler: bool) -> None:
        """Raises ValueError for a key that is too short."""
        if len(key) < MIN_KEY_BYTES:
            raise ValueError(f"a key of {len(key)} bytes is shorter than {MIN_KEY_BYTES}")
        self._key = hashlib.blake2b(key, digest_size=32, person=b"fleet links").digest()
        self._local_hello = Hello(PROTOCOL_VERSION, fleet, name, life, address, secrets.token_bytes(NONCE_BYTES))
        self._is_dialler = is_dialler
        self._buffer = bytearray()
        self._receive_key = self._send_key = b""  # derived once both nonces are known
        self._frames_received = self._frames_sent = 0
        self.peer: Hello | None = None
        self.authenticated = False  # the other end has proven that it knows the key, with a fresh nonce
        self.reply = b""  # to be written before anything else is sealed

    def start_handshake(self) -> bytes:
        """The first bytes that the dialler writes."""
        return self._build_hello(b"")

    def _build_hello(self, covered_nonce: bytes) -> bytes:
        content = bytes((HELLO_FRAME,)) + _ENCODER.encode(self._local_hello)
        return len(content).to_bytes(LENGTH_BYTES, "big") + _tag(self._key, 0, covered_nonce, content) + content

    def keepalive(self) -> bytes:
        """A frame that the other end has to answer."""
        return self.seal(bytes((KEEPALIVE_FRAME,)))

    def seal(self, content: bytes) -> bytes:
        """Content as a frame, which must be sent next; only once the other end's hello is known.

        Raises ValueError if the content is too long.
        """
        if len(content) > MAX_FRAME_BYTES:
            raise ValueError(f"{len(content)} bytes do not fit a frame")
        self._frames_sent += 1
        return len(content).to_bytes(LENGTH_BYTES, "big") + _tag(self._send_key, self._frames_sent, content) + content

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Take received bytes and yield the contents of all complete frames.

        Raises BadFrame for invalid input; the link must then be closed.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            max_length = MAX_FRAME_BYTES if self.peer is not None else MAX_HELLO_BYTES
            if not 0 < length <= max_length:
                raise BadFrame(f"a frame of {length} bytes; {max_length} at most")
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
                raise BadFrame("the tag of a frame does not match")
            self.authenticated = True
            if content[0] == KEEPALIVE_FRAME:
                self.reply += self.seal(bytes((ALIVE_FRAME,)))
            elif content[0] != ALIVE_FRAME:
                yield content

    def _on_hello(self, tag: bytes, content: bytes) -> None:
        covered_nonce = self._local_hello.nonce if self._is_dialler else b""
        if not hmac.compare_digest(tag, _tag(self._key, 0, covered_nonce, content)):
            raise BadFrame("a hello with another key")
        if content[0] != HELLO_FRAME:
            raise BadFrame("the first frame is not a hello")
        try:
            peer = _HELLO_DECODER.decode(content[1:])
        except (msgspec.DecodeError, ValueError) as error:
            raise BadFrame(f"hello: {error}") from None
        if peer.form != PROTOCOL_VERSION:
            raise BadFrame(f"protocol version {peer.form} is not supported; {PROTOCOL_VERSION} is")
        if peer.fleet != self._local_hello.fleet:
            raise BadFrame(f"a hello of fleet {peer.fleet!r}")
        if len(peer.nonce) != NONCE_BYTES or peer.nonce == self._local_hello.nonce:
            raise BadFrame("a hello with an invalid nonce")
        self.peer = peer
        nonces = (
            (self._local_hello.nonce + peer.nonce) if self._is_dialler else (peer.nonce + self._local_hello.nonce)
        )
        up, down = (
            hashlib.blake2b(nonces, digest_size=32, key=self._key, person=direction).digest()
            for direction in (b"up", b"down")
        )
        self._send_key, self._receive_key = (up, down) if self._is_dialler else (down, up)
        if self._is_dialler:
            self.authenticated = True  # the tag of the answering hello covers this end's nonce
            self.reply = self.seal(bytes((ALIVE_FRAME,)))
        else:
            self.reply = self._build_hello(peer.nonce)
