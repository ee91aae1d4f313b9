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
from weldroute.links import LinkEnd, LinkManager, LinkPolicy, should_replace

log = logging.getLogger("cometusher.mesh.wires")  # the `subsystem` of its log records

TICK_INTERVAL = 0.05  # seconds between looks at dials and at links that are silent
WRITE_BUFFER_BYTES = 32 * 1024  # bytes that a connection may hold beside its outbox
MAX_PENDING_HANDSHAKES = 64  # accepted connections whose other end has not proven itself

MessageHandler = Callable[[str, Message], None]


@dataclass(frozen=True, slots=True)
class LocalMember:
    """Who this end is."""

    fleet: str
    name: str
    life: int
    address: str  # as others are told of it


class PeerConnection(asyncio.Protocol):
    """One connection."""

    def __init__(self, owner: ClusterTransport, dialled: str = "") -> None:
        self._owner = owner
        self.dialled = dialled  # the address; "": it was accepted
        me = owner.local
        self.session = Session(owner.key, me.fleet, me.name, me.life, me.address, bool(dialled))
        self.transport: asyncio.Transport | None = None
        self.address = ""  # of the neighbour, once it is known
        self.write_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.dialled:
            self.transport.write(self.session.start_handshake())
        else:
            self._owner.on_accepted(self)

    def data_received(self, data: bytes) -> None:
        try:
            for content in self.session.feed(data):
                self._after_frame()
                if self.transport is None:
                    return  # another link to the same neighbour stays
                self._owner.on_message(self.address, decode(content))
            self._after_frame()
        except BadFrame as fault:
            self._owner.invalid_links += 1
            log.warning("a link from %s is ended: %s", self.address or self._remote_address(), fault)
            self.abort()

    def _remote_address(self) -> str:
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{peer[0]}:{peer[1]}" if peer else "nowhere"

    def _after_frame(self) -> None:
        if self.session.reply and self.transport is not None:
            answer, self.session.reply = self.session.reply, b""
            self.transport.write(answer)
        if self.session.authenticated and not self.address and self.transport is not None:
            peer = self.session.peer
            assert peer is not None
            self.address = self.dialled or peer.address
            self._owner.on_authenticated(self, LinkEnd(peer.name, peer.life, bool(self.dialled)))
        if self.address:
            self._owner.on_received(self.address)

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False
        self._owner.flush(self.address)

    def connection_lost(self, fault: Exception | None) -> None:
        self.transport = None
        self._owner.on_lost(self)

    def abort(self) -> None:
        """At once: what it still held is for nobody."""
        if self.transport is not None:
            self.transport.abort()


class ClusterTransport:
    """All links of one member."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        local: LocalMember,
        key: bytes,
        policy: LinkPolicy,
        seed: int,
        on_message: MessageHandler,
    ) -> None:
        """Raises ValueError for a key that is too short."""
        Session(key, local.fleet, local.name, local.life, local.address, True)
        self.local, self.key = local, key
        self.links = LinkManager(policy, seed)
        self.invalid_links = 0  # links that were ended for what came over them
        self._loop = loop
        self._on_message = on_message
        self._connections: dict[
            str, tuple[PeerConnection, LinkEnd]
        ] = {}  # those that are up, by the neighbour's address
        self._handshaking: dict[PeerConnection, float] = {}  # those whose handshake is not over, and since when
        self._dial_tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, listener: socket.socket) -> None:
        """Accept on a listener, and follow the links from here on."""
        self._server = await self._loop.create_server(lambda: PeerConnection(self), sock=listener)
        self._tick()

    async def close(self) -> None:
        """End all."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for task in self._dial_tasks:
            task.cancel()
        for wire in [*self._handshaking, *(wire for wire, _ in self._connections.values())]:
            wire.abort()
        await asyncio.sleep(0)

    def send(self, address: str, message: Message) -> None:
        """A message for a neighbour: now, soon, or never; nobody waits for it, and nobody is told."""
        kind, content = encode(message)
        if self.links.enqueue(self._loop.time(), address, kind, content) is None:
            return
        if address in self._connections:
            self.flush(address)
        else:
            self._dial_due()

    def flush(self, address: str) -> None:
        """Write what waits for a neighbour, as far as its connection takes it."""
        found = self._connections.get(address)
        one = self.links.peers.get(address)
        if found is None or one is None:
            return
        wire, now = found[0], self._loop.time()
        while not wire.write_paused and wire.transport is not None:
            content = one.send_queue.dequeue(now)
            if content is None:
                return
            wire.transport.write(wire.session.seal(content))
            self.links.on_sent(now, address)

    # ---- what wires tell -----------------------------------------------------------------

    def on_accepted(self, wire: PeerConnection) -> None:
        """A connection has come. Guards against strangers who connect and say nothing."""
        accepted = [one for one in self._handshaking if not one.dialled]
        if len(accepted) >= MAX_PENDING_HANDSHAKES:
            accepted[0].abort()
        self._handshaking[wire] = self._loop.time()

    def on_authenticated(self, wire: PeerConnection, end: LinkEnd) -> None:
        """Its other end has proven itself."""
        self._handshaking.pop(wire, None)
        before = self._connections.get(wire.address)
        if before is not None and not should_replace(self.local.name, before[1], end):
            wire.abort()
            return
        self._connections[wire.address] = wire, end
        if before is not None:
            before[0].abort()
        self.links.on_connected(self._loop.time(), wire.address)
        self.flush(wire.address)

    def on_received(self, address: str) -> None:
        """Something has come from a neighbour."""
        self.links.on_received(self._loop.time(), address)

    def on_message(self, address: str, message: Message) -> None:
        """A message has come."""
        self._on_message(address, message)

    def on_lost(self, wire: PeerConnection) -> None:
        """A connection has ended."""
        self._handshaking.pop(wire, None)
        found = self._connections.get(wire.address)
        if found is not None and found[0] is wire:
            del self._connections[wire.address]
        elif wire.address or not wire.dialled:
            return  # another link stays, or a stranger has gone
        self.links.on_disconnected(self._loop.time(), wire.address or wire.dialled)

    # ---- time ----------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._loop.time()
        for address in self.links.due_keepalives(now):
            wire = self._connections[address][0]
            if wire.transport is not None and not wire.write_paused:
                wire.transport.write(wire.session.keepalive())
        for address, why in self.links.expired_links(now):
            log.info("the link to %s is ended: %s", address, why)
            found = self._connections.get(address)
            if found is not None:
                found[0].abort()
        for wire, since in list(self._handshaking.items()):
            if now - since > self.links.policy.dial_for:
                wire.abort()
        self._dial_due()
        self._timer = self._loop.call_later(TICK_INTERVAL, self._tick)

    def _dial_due(self) -> None:
        for address in self.links.start_dials(self._loop.time()):
            task = self._loop.create_task(self._connect(address))
            self._dial_tasks.add(task)
            task.add_done_callback(self._dial_tasks.discard)

    async def _connect(self, address: str) -> None:
        try:
            host, port = read_address(address, "member")
            async with asyncio.timeout(self.links.policy.dial_for):
                _, wire = await self._loop.create_connection(lambda: PeerConnection(self, address), host, port)
        except (OSError, ConfigError) as fault:
            self.links.on_disconnected(self._loop.time(), address)
            log.debug("%s can't be reached: %s", address, fault)
        else:
            if wire.transport is not None and not wire.address:
                self._handshaking[wire] = self._loop.time()
