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
from weldroute.links import Kind

FORM = 1
HEAD, TAG = 4, 16  # bytes
MOST_HELLO = 1024  # bytes
MOST = 256 * 1024  # bytes of a frame
NONCE = 16  # bytes
LEAST_KEY = 16  # bytes
HELLO, HERE, ASK = 0, 1, 8  # kinds of frames that carry no message: the last asks for the one before

Message = members.Message | leases.Request | leases.Answer | replicated_map.Message

KINDS: dict[int, tuple[type[Any], Kind]] = {
    2: (members.Ping, Kind.PROBE),
    3: (members.Ack, Kind.PROBE),
    4: (members.Nack, Kind.PROBE),
    5: (members.PingFor, Kind.PROBE),
    6: (members.Gossip, Kind.NEWS),
    7: (members.Sync, Kind.WHOLE),
    16: (leases.Prepare, Kind.LEASE),
    17: (leases.Promise, Kind.LEASE),
    18: (leases.Propose, Kind.LEASE),
    19: (leases.Accepted, Kind.LEASE),
    20: (leases.Rejected, Kind.LEASE),
    21: (leases.Released, Kind.LEASE),
    24: (replicated_map.News, Kind.NEWS),
    25: (replicated_map.Digest, Kind.WHOLE),
}
_NUMBERS = {form: number for number, (form, _) in KINDS.items()}
_DECODERS = {number: msgspec.msgpack.Decoder(form) for number, (form, _) in KINDS.items()}
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


def encode(message: Message) -> tuple[Kind, bytes]:
    """A message as the content of a frame, and what kind it is for the outbox."""
    number = _NUMBERS[type(message)]
    return KINDS[number][1], bytes((number,)) + _ENCODER.encode(message)


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
    made = hashlib.blake2b(number.to_bytes(8, "big"), digest_size=TAG, key=key)
    for part in parts:
        made.update(part)
    return made.digest()


class Session:
    """One end of one link."""

    def __init__(self, key: bytes, fleet: str, name: str, life: int, address: str, dials: bool) -> None:
        """Raises ValueError for a key that is too short."""
        if len(key) < LEAST_KEY:
            raise ValueError(f"a key of {len(key)} bytes is shorter than {LEAST_KEY}")
        self._key = hashlib.blake2b(key, digest_size=32, person=b"fleet links").digest()
        self._me = Hello(FORM, fleet, name, life, address, secrets.token_bytes(NONCE))
        self._dials = dials
        self._buffer = bytearray()
        self._in = self._out = b""  # keys of either way, once both nonces are known
        self._came = self._went = 0  # frames
        self.peer: Hello | None = None
        self.up = False  # the other end has proven that it is there now
        self.answer = b""  # to be written before anything else is sealed

    def begin(self) -> bytes:
        """What the dialler writes first."""
        return self._hello(b"")

    def _hello(self, covers: bytes) -> bytes:
        content = bytes((HELLO,)) + _ENCODER.encode(self._me)
        return len(content).to_bytes(HEAD, "big") + _tag(self._key, 0, covers, content) + content

    def ask(self) -> bytes:
        """A frame that asks for a sign of life."""
        return self.seal(bytes((ASK,)))

    def seal(self, content: bytes) -> bytes:
        """A frame; only once the other end's hello is known."""
        if len(content) > MOST:
            raise ValueError(f"{len(content)} bytes do not fit a frame")
        self._went += 1
        return len(content).to_bytes(HEAD, "big") + _tag(self._out, self._went, content) + content

    def feed(self, data: bytes) -> Iterator[bytes]:
        """The contents of all frames that are whole now; raises BadFrame, and then the link is to be ended."""
        self._buffer += data
        while len(self._buffer) >= HEAD:
            length = int.from_bytes(self._buffer[:HEAD], "big")
            most = MOST if self.peer is not None else MOST_HELLO
            if not 0 < length <= most:
                raise BadFrame(f"a frame of {length} bytes; {most} at most")
            end = HEAD + TAG + length
            if len(self._buffer) < end:
                return
            tag, content = bytes(self._buffer[HEAD : HEAD + TAG]), bytes(self._buffer[HEAD + TAG : end])
            del self._buffer[:end]
            if self.peer is None:
                self._greet(tag, content)
                continue
            self._came += 1
            if not hmac.compare_digest(tag, _tag(self._in, self._came, content)):
                raise BadFrame("a tag that is not this link's")
            self.up = True
            if content[0] == ASK:
                self.answer += self.seal(bytes((HERE,)))
            elif content[0] != HERE:
                yield content

    def _greet(self, tag: bytes, content: bytes) -> None:
        covers = self._me.nonce if self._dials else b""
        if not hmac.compare_digest(tag, _tag(self._key, 0, covers, content)):
            raise BadFrame("a hello with another key")
        if content[0] != HELLO:
            raise BadFrame("no hello")
        try:
            peer = _HELLOS.decode(content[1:])
        except (msgspec.DecodeError, ValueError) as fault:
            raise BadFrame(f"hello: {fault}") from None
        if peer.form != FORM:
            raise BadFrame(f"form {peer.form} is not spoken here; {FORM} is")
        if peer.fleet != self._me.fleet:
            raise BadFrame(f"of fleet {peer.fleet!r}")
        if len(peer.nonce) != NONCE or peer.nonce == self._me.nonce:
            raise BadFrame("a nonce that is none")
        self.peer = peer
        nonces = (self._me.nonce + peer.nonce) if self._dials else (peer.nonce + self._me.nonce)
        up, down = (
            hashlib.blake2b(nonces, digest_size=32, key=self._key, person=way).digest() for way in (b"up", b"down")
        )
        self._out, self._in = (up, down) if self._dials else (down, up)
        if self._dials:
            self.up = True  # its tag covers our nonce
            self.answer = self.seal(bytes((HERE,)))
        else:
            self.answer = self._hello(peer.nonce)
