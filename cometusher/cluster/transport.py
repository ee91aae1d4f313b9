"""The sockets of links: one TCP connection a neighbour, as `weldroute.links` decides.

Nothing waits here for a neighbour. What finds no room in the connection's own buffer waits in its outbox, which is
bounded, and whoever sends is not told.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from cometusher.cluster.frames import BadFrame, Message, Session, decode, encode
from cometusher.config import ConfigError, read_address
from weldroute.links import End, LinkPolicy, Links, stays

log = logging.getLogger("cometusher.mesh.wires")  # the `subsystem` of its log records

TICK = 0.05  # seconds between looks at dials and at links that are silent
BUFFER = 32 * 1024  # bytes that a connection may hold beside its outbox
UNGREETED = 64  # accepted connections whose other end has not proven itself

Hear = Callable[[str, Message], None]


@dataclass(frozen=True, slots=True)
class Me:
    """Who this end is."""

    fleet: str
    name: str
    life: int
    address: str  # as others are told of it


class Wire(asyncio.Protocol):
    """One connection."""

    def __init__(self, wires: Wires, dialled: str = "") -> None:
        self._wires = wires
        self.dialled = dialled  # the address; "": it was accepted
        me = wires.me
        self.session = Session(wires.key, me.fleet, me.name, me.life, me.address, bool(dialled))
        self.transport: asyncio.Transport | None = None
        self.address = ""  # of the neighbour, once it is known
        self.full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(BUFFER)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.dialled:
            self.transport.write(self.session.begin())
        else:
            self._wires.accepted(self)

    def data_received(self, data: bytes) -> None:
        try:
            for content in self.session.feed(data):
                self._greeted()
                if self.transport is None:
                    return  # another link to the same neighbour stays
                self._wires.came(self.address, decode(content))
            self._greeted()
        except BadFrame as fault:
            self._wires.bad += 1
            log.warning("a link from %s is ended: %s", self.address or self._far(), fault)
            self.end()

    def _far(self) -> str:
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{peer[0]}:{peer[1]}" if peer else "nowhere"

    def _greeted(self) -> None:
        if self.session.answer and self.transport is not None:
            answer, self.session.answer = self.session.answer, b""
            self.transport.write(answer)
        if self.session.up and not self.address and self.transport is not None:
            peer = self.session.peer
            assert peer is not None
            self.address = self.dialled or peer.address
            self._wires.up(self, End(peer.name, peer.life, bool(self.dialled)))
        if self.address:
            self._wires.heard(self.address)

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        self._wires.flush(self.address)

    def connection_lost(self, fault: Exception | None) -> None:
        self.transport = None
        self._wires.lost(self)

    def end(self) -> None:
        """At once: what it still held is for nobody."""
        if self.transport is not None:
            self.transport.abort()


class Wires:
    """All links of one member."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, me: Me, key: bytes, policy: LinkPolicy, seed: int, hear: Hear
    ) -> None:
        """Raises ValueError for a key that is too short."""
        Session(key, me.fleet, me.name, me.life, me.address, True)
        self.me, self.key = me, key
        self.links = Links(policy, seed)
        self.bad = 0  # links that were ended for what came over them
        self._loop = loop
        self._hear = hear
        self._wires: dict[str, tuple[Wire, End]] = {}  # those that are up, by the neighbour's address
        self._young: dict[Wire, float] = {}  # those whose handshake is not over, and since when
        self._dials: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._ticking: asyncio.TimerHandle | None = None

    async def start(self, listener: socket.socket) -> None:
        """Accept on a listener, and follow the links from here on."""
        self._server = await self._loop.create_server(lambda: Wire(self), sock=listener)
        self._tick()

    async def close(self) -> None:
        """End all."""
        if self._ticking is not None:
            self._ticking.cancel()
        if self._server is not None:
            self._server.close()
        for task in self._dials:
            task.cancel()
        for wire in [*self._young, *(wire for wire, _ in self._wires.values())]:
            wire.end()
        await asyncio.sleep(0)

    def send(self, address: str, message: Message) -> None:
        """A message for a neighbour: now, soon, or never; nobody waits for it, and nobody is told."""
        kind, content = encode(message)
        if self.links.put(self._loop.time(), address, kind, content) is None:
            return
        if address in self._wires:
            self.flush(address)
        else:
            self._dial()

    def flush(self, address: str) -> None:
        """Write what waits for a neighbour, as far as its connection takes it."""
        found = self._wires.get(address)
        one = self.links.neighbours.get(address)
        if found is None or one is None:
            return
        wire, now = found[0], self._loop.time()
        while not wire.full and wire.transport is not None:
            content = one.outbox.next(now)
            if content is None:
                return
            wire.transport.write(wire.session.seal(content))
            self.links.sent(now, address)

    # ---- what wires tell -----------------------------------------------------------------

    def accepted(self, wire: Wire) -> None:
        """A connection has come. Guards against strangers who connect and say nothing."""
        accepted = [one for one in self._young if not one.dialled]
        if len(accepted) >= UNGREETED:
            accepted[0].end()
        self._young[wire] = self._loop.time()

    def up(self, wire: Wire, end: End) -> None:
        """Its other end has proven itself."""
        self._young.pop(wire, None)
        before = self._wires.get(wire.address)
        if before is not None and not stays(self.me.name, before[1], end):
            wire.end()
            return
        self._wires[wire.address] = wire, end
        if before is not None:
            before[0].end()
        self.links.is_up(self._loop.time(), wire.address)
        self.flush(wire.address)

    def heard(self, address: str) -> None:
        """Something has come from a neighbour."""
        self.links.heard(self._loop.time(), address)

    def came(self, address: str, message: Message) -> None:
        """A message has come."""
        self._hear(address, message)

    def lost(self, wire: Wire) -> None:
        """A connection has ended."""
        self._young.pop(wire, None)
        found = self._wires.get(wire.address)
        if found is not None and found[0] is wire:
            del self._wires[wire.address]
        elif wire.address or not wire.dialled:
            return  # another link stays, or a stranger has gone
        self.links.failed(self._loop.time(), wire.address or wire.dialled)

    # ---- time ----------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._loop.time()
        for address in self.links.questions(now):
            wire = self._wires[address][0]
            if wire.transport is not None and not wire.full:
                wire.transport.write(wire.session.ask())
        for address, why in self.links.over(now):
            log.info("the link to %s is ended: %s", address, why)
            found = self._wires.get(address)
            if found is not None:
                found[0].end()
        for wire, since in list(self._young.items()):
            if now - since > self.links.policy.dial_for:
                wire.end()
        self._dial()
        self._ticking = self._loop.call_later(TICK, self._tick)

    def _dial(self) -> None:
        for address in self.links.dials(self._loop.time()):
            task = self._loop.create_task(self._connect(address))
            self._dials.add(task)
            task.add_done_callback(self._dials.discard)

    async def _connect(self, address: str) -> None:
        try:
            host, port = read_address(address, "member")
            async with asyncio.timeout(self.links.policy.dial_for):
                _, wire = await self._loop.create_connection(lambda: Wire(self, address), host, port)
        except (OSError, ConfigError) as fault:
            self.links.failed(self._loop.time(), address)
            log.debug("%s can't be reached: %s", address, fault)
        else:
            if wire.transport is not None and not wire.address:
                self._young[wire] = self._loop.time()
