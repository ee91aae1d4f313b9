"""The sockets of links: one TCP connection per peer, managed by `weldroute.links`.

Nothing waits here for a peer. What does not fit the connection's write buffer waits in the peer's send queue, which
is bounded, and the sender is not notified.
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

TICK_INTERVAL = 0.05  # seconds
WRITE_BUFFER_BYTES = 32 * 1024  # that a connection may hold in addition to the peer's send queue
MAX_PENDING_HANDSHAKES = 64  # accepted connections whose other end is not authenticated

MessageHandler = Callable[[str, Message], None]


@dataclass(frozen=True, slots=True)
class LocalMember:
    """Identity of this end of all links."""

    fleet: str
    name: str
    life: int  # identifier of the process
    address: str  # advertised to the other members


class PeerConnection(asyncio.Protocol):
    """One connection to a peer."""

    def __init__(self, owner: ClusterTransport, dialled: str = "") -> None:
        self._owner = owner
        self.dialled = dialled  # the address; "": the connection was accepted
        local = owner.local
        self.session = Session(owner.key, local.fleet, local.name, local.life, local.address, bool(dialled))
        self.transport: asyncio.Transport | None = None
        self.address = ""  # of the peer, once it is authenticated
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
                    return  # another link to the same peer was kept
                self._owner.on_message(self.address, decode(content))
            self._after_frame()
        except BadFrame as error:
            self._owner.invalid_links += 1
            log.warning("closing the link from %s: %s", self.address or self._remote_address(), error)
            self.disconnect()

    def _remote_address(self) -> str:
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        return f"{peer[0]}:{peer[1]}" if peer else "nowhere"

    def _after_frame(self) -> None:
        """Write the session's reply, and report authentication and activity."""
        if self.session.reply and self.transport is not None:
            reply, self.session.reply = self.session.reply, b""
            self.transport.write(reply)
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

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self._owner.on_lost(self)

    def disconnect(self) -> None:
        """Close at once, discarding what is still buffered."""
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
        self.invalid_links = 0  # links closed for invalid input
        self._loop = loop
        self._on_message = on_message
        # Authenticated connections, by the address of the peer.
        self._connections: dict[str, tuple[PeerConnection, LinkEnd]] = {}
        self._handshaking: dict[PeerConnection, float] = {}  # not authenticated yet, and since when
        self._dial_tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, listener: socket.socket) -> None:
        """Accept connections on a listener, and start the periodic work."""
        self._server = await self._loop.create_server(lambda: PeerConnection(self), sock=listener)
        self._tick()

    async def close(self) -> None:
        """Close the listener and all links."""
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
        for task in self._dial_tasks:
            task.cancel()
        for connection in [*self._handshaking, *(connection for connection, _ in self._connections.values())]:
            connection.disconnect()
        await asyncio.sleep(0)

    def send(self, address: str, message: Message) -> None:
        """Send a message to a peer if possible: it may be delayed or dropped, and the caller is not notified."""
        priority, content = encode(message)
        if self.links.enqueue(self._loop.time(), address, priority, content) is None:
            return
        if address in self._connections:
            self.flush(address)
        else:
            self._dial_due()

    def flush(self, address: str) -> None:
        """Write the queued messages of a peer, as far as its connection takes them."""
        found = self._connections.get(address)
        peer = self.links.peers.get(address)
        if found is None or peer is None:
            return
        connection, now = found[0], self._loop.time()
        while not connection.write_paused and connection.transport is not None:
            content = peer.send_queue.dequeue(now)
            if content is None:
                return
            connection.transport.write(connection.session.seal(content))
            self.links.on_sent(now, address)

    # ---- events of connections -----------------------------------------------------------

    def on_accepted(self, connection: PeerConnection) -> None:
        """A connection was accepted.

        If too many handshakes are pending, the oldest is closed: this bounds clients that connect and send nothing.
        """
        accepted = [pending for pending in self._handshaking if not pending.dialled]
        if len(accepted) >= MAX_PENDING_HANDSHAKES:
            accepted[0].disconnect()
        self._handshaking[connection] = self._loop.time()

    def on_authenticated(self, connection: PeerConnection, end: LinkEnd) -> None:
        """The other end of a connection is authenticated; of two links to one peer, one is closed."""
        self._handshaking.pop(connection, None)
        previous = self._connections.get(connection.address)
        if previous is not None and not should_replace(self.local.name, previous[1], end):
            connection.disconnect()
            return
        self._connections[connection.address] = connection, end
        if previous is not None:
            previous[0].disconnect()
        self.links.on_connected(self._loop.time(), connection.address)
        self.flush(connection.address)

    def on_received(self, address: str) -> None:
        """Something was received from a peer."""
        self.links.on_received(self._loop.time(), address)

    def on_message(self, address: str, message: Message) -> None:
        """A message was received from a peer."""
        self._on_message(address, message)

    def on_lost(self, connection: PeerConnection) -> None:
        """A connection has ended."""
        self._handshaking.pop(connection, None)
        found = self._connections.get(connection.address)
        if found is not None and found[0] is connection:
            del self._connections[connection.address]
        elif connection.address or not connection.dialled:
            return  # another link to the peer was kept, or the other end was never authenticated
        self.links.on_disconnected(self._loop.time(), connection.address or connection.dialled)

    # ---- time ----------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._loop.time()
        for address in self.links.due_keepalives(now):
            connection = self._connections[address][0]
            if connection.transport is not None and not connection.write_paused:
                connection.transport.write(connection.session.keepalive())
        for address, reason in self.links.expired_links(now):
            log.info("closing the link to %s: %s", address, reason)
            found = self._connections.get(address)
            if found is not None:
                found[0].disconnect()
        for connection, since in list(self._handshaking.items()):
            if now - since > self.links.policy.dial_for:
                connection.disconnect()
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
                _, connection = await self._loop.create_connection(lambda: PeerConnection(self, address), host, port)
        except (OSError, ConfigError) as error:
            self.links.on_disconnected(self._loop.time(), address)
            log.debug("%s can't be reached: %s", address, error)
        else:
            if connection.transport is not None and not connection.address:
                self._handshaking[connection] = self._loop.time()
