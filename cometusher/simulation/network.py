"""An in-memory network with TCP's manners, on a virtual loop.

Connections have latency, bandwidth and a window; what is written comes in segments that the seed cuts; sides close
by halves, reset each other, and meet queues that are full, descriptors that are used up and machines that say
nothing. The rules are those of RFC 9293 as a program sees them through asyncio's transports.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import functools
import os
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson

from cometusher.config import Address
from cometusher.handover import MAX_PROCESSES, ORDERS_CELL, Handover, ProcessLedger
from cometusher.runtime import Listener
from cometusher.simulation.loop import MACHINE, VirtualLoop
from weldroute.handover import OpenRequestIds
from weldroute.snapshots import ClockReading, Owner, Record, read_record
from weldroute.takeover import ConnectionCounters

if TYPE_CHECKING:
    from cometusher.inflight.endpoint import JournalAssignment
    from cometusher.inflight.tracker import TakeoverChannel
    from cometusher.recovery import RecordSink, RecoveryConfig

WINDOW = 64 * 1024  # bytes under way and unread in one direction
HIGH, LOW = 64 * 1024, 16 * 1024  # asyncio's own marks for its write buffer
BACKLOG = 128
AGAIN = 0.0005  # seconds until those who watch a shared listener on which something waits are told again
SYN_RETRIES = (1.0, 2.0, 4.0, 8.0, 16.0)  # seconds between tries to connect (RFC 6298, 2)


def _fault(number: int) -> OSError:
    return OSError(number, os.strerror(number))


@dataclass
class Link:
    """What lies between machines; seconds and bytes a second."""

    latency: float = 0.001
    jitter: float = 0.0  # of latency, drawn for each segment; order is kept
    bandwidth: float = 1e9
    cut: float = 0.5  # chance that a write is cut in two anywhere, again and again


class Machine:
    """One process on a machine of its own: an address, descriptors, and whether it runs.

    A process that is started anew is another Machine at the same address.
    """

    def __init__(self, network: VirtualNetwork, address: str, descriptors: int = 1024) -> None:
        self.network = network
        self.address = address
        self.limit = descriptors
        self.used = 0
        self.on_short: Callable[[], None] = lambda: None  # told when a descriptor is not to be had
        self.coarse = 0.0  # seconds; timers end at multiples of it only
        self.dead = False
        self.stopped = False  # paused, or dead
        self.tap: Callable[[VirtualTransport, bytes], None] | None = None  # told of all that it writes
        self.transports: dict[VirtualTransport, None] = {}
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self._held: deque[asyncio.Handle] = deque()

    def context(self) -> contextvars.Context:
        """A context in which code runs on this machine; for tasks and callbacks."""
        context = contextvars.copy_context()
        context.run(MACHINE.set, self)
        return context

    def forget(self, task: asyncio.Task[Any]) -> None:
        """A task is done."""
        self.tasks.pop(task, None)

    def hold(self, handle: asyncio.Handle) -> None:
        """Keep a callback for later, while the process is paused; a dead one's are dropped."""
        if not self.dead:
            self._held.append(handle)

    def pause(self) -> None:
        """As by SIGSTOP: the kernel goes on, the process does not."""
        self.stopped = True

    def resume(self) -> None:
        """Run what has become ready meanwhile, in its order."""
        if not self.dead:
            self.stopped = False
            self.network.loop._ready.extend(self._held)
            self._held.clear()

    def kill(self, keeps: bool = False) -> list[VirtualTransport]:
        """The process dies: its connections are reset, and what comes to its address is refused.

        Where a second process `keeps` its connections they stay, and are returned.
        """
        kept = [one for one in self.transports if keeps and not one.is_closing()]
        self.dead = self.stopped = True
        self._held.clear()
        for listener in list(self.network.listeners.values()):
            if listener.machine is self:
                listener.close()
            for holder in [one for one in listener.holders if one.machine is self]:
                holder.close()
        for transport in list(self.transports):
            if transport in kept:
                transport.orphan()
            else:
                transport.die()
        self.network.loop.bury(list(self.tasks))
        self.tasks.clear()
        return kept

    @property
    def silent(self) -> bool:
        """Whether nothing that it is sent arrives, and nothing that it sends."""
        return self.address in self.network.silent

    @silent.setter
    def silent(self, whether: bool) -> None:
        self.network.silence(self.address, whether)

    def take(self) -> None:
        """Use a descriptor; raises EMFILE."""
        if self.used >= self.limit:
            self.on_short()
            raise _fault(errno.EMFILE)
        self.used += 1


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: VirtualNetwork, machine: Machine | None, here: Address, there: Address) -> None:
        super().__init__()
        self._network = network
        self._loop = network.loop
        self.machine = machine
        self._names = {"sockname": here, "peername": there}
        self._context = machine.context() if machine is not None else contextvars.copy_context()
        self._protocol: asyncio.Protocol | None = None
        self.peer: VirtualTransport | None = None
        self._out = bytearray()  # not taken by the kernel yet
        self._under_way = 0  # bytes sent and not yet at the peer
        self._inbox: deque[bytes] = deque()  # at this end, not read...
        self._heard = 0.0  # ...and when the last of it came
        self._wire: deque[Callable[[], None]] = deque()  # on the way to the peer, first in first out
        self._last = 0.0  # when the last of it arrives
        self._sent = 0.0  # when the line is free again
        self._reading = True
        self._writing_paused = False
        self._high, self._low = HIGH, LOW
        self._eof_wanted = self._eof_sent = False
        self._eof_came = self._eof_told = False
        self._reset = False
        self._closing = False
        self._gone = False  # the descriptor is closed
        self._due = False  # reading is scheduled
        self._kept: deque[tuple[int, Callable[[], None]]] = deque()  # the way is cut: to be sent again
        network.transports += 1
        self.number = network.transports  # in place of a descriptor
        self.written = 0  # bytes that the program wrote...
        self.told = 0  # ...and that it was told
        if machine is not None:
            machine.transports[self] = None

    # ---- what programs call --------------------------------------------------------------

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Names of both ends; there is no socket."""
        return self._names.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Whom to tell."""
        assert isinstance(protocol, asyncio.Protocol)
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Who is told."""
        assert self._protocol is not None
        return self._protocol

    def is_closing(self) -> bool:
        """Whether it is closed, or will be."""
        return self._closing

    def is_reading(self) -> bool:
        """Whether what comes is told."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Tell nothing more for now."""
        self._reading = False

    def resume_reading(self) -> None:
        """Go on telling."""
        if not self._reading and not self._closing:
            self._reading = True
            self._read_soon()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """When to pause and to resume the writer."""
        self._high = HIGH if high is None else high
        self._low = self._high // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Bytes that the kernel has not taken."""
        return len(self._out)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Low and high."""
        return self._low, self._high

    def can_write_eof(self) -> bool:
        """Always."""
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send; after the end of writing that is an error, after the connection's it is dropped."""
        if self._eof_wanted:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._closing or self._gone:
            return
        if self.machine is not None and self.machine.tap is not None:
            self.machine.tap(self, bytes(data))
        self.written += len(data)
        self._out += data
        self._pump()
        if len(self._out) > self._high and not self._writing_paused and self._protocol is not None:
            self._writing_paused = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        """Send one after the other."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """End this direction when all is sent."""
        if self._eof_wanted or self._closing:
            return
        self._eof_wanted = True
        self._pump()

    def close(self) -> None:
        """Send what is left, then end."""
        if self._closing:
            return
        self._closing = True
        self._reading = False
        if not self._out:
            self._soon(self._lost, None)

    def abort(self) -> None:
        """End at once; what is left is dropped."""
        self._end(None)

    def reset(self) -> None:
        """End at once, in a way that the far side can't take for an end in order."""
        if not self._gone:
            self._send_reset()
            self._end(None)

    # ---- within --------------------------------------------------------------------------

    def _soon(self, callback: Callable[..., Any], *args: Any) -> None:
        self._loop.call_soon(callback, *args, context=self._context)

    def _end(self, exc: Exception | None) -> None:
        if self._gone:
            return
        self._out.clear()
        self._closing, self._reading = True, False
        self._soon(self._lost, exc)

    def _lost(self, exc: Exception | None) -> None:
        if self._gone:
            return
        self._gone = True
        unread = bool(self._inbox)
        self._inbox.clear()
        if self.machine is not None:
            self.machine.used -= 1
            self.machine.transports.pop(self, None)
        if unread:
            self._send_reset()  # closing with bytes unread resets (RFC 9293, 3.6.1)
        elif not self._eof_sent:
            self._send_eof()
        protocol, self._protocol = self._protocol, None  # as asyncio's own: the other end must not keep it alive
        if protocol is not None:
            protocol.connection_lost(exc)

    def attach(self, protocol: asyncio.Protocol) -> None:
        """Connection made: what has come already is told after that."""
        self._protocol = protocol
        protocol.connection_made(self)
        self._read_soon()

    # ---- sending -------------------------------------------------------------------------

    def _carry(self, size: int, arrives: Callable[[], None]) -> None:
        """Put something on the wire. A timer brings the next that is due, whichever: nothing overtakes."""
        here, there = self._names["sockname"][0], self._names["peername"][0]
        network = self._network
        if network.silent and (here in network.silent or there in network.silent):
            network.lost[self] = None
            return
        if self._kept or (network.cuts and frozenset((here, there)) in network.cuts):
            self._kept.append((size, arrives))
            network.waiting[self] = None
            return
        link = network.link(here, there)
        self._sent = max(self._sent, self._loop.time()) + size / link.bandwidth
        delay = link.latency * (1.0 + link.jitter * self._loop.rng.random())
        self._last = max(self._last, self._sent + delay)
        self._wire.append(arrives)
        self._loop.call_at(self._last, self._bring, context=network.nowhere)

    def go_on(self) -> None:
        """The way is open again: what was kept is sent once more."""
        kept, self._kept = self._kept, deque()
        for size, arrives in kept:
            self._carry(size, arrives)

    def _bring(self) -> None:
        self._wire.popleft()()

    def die(self) -> None:
        """The process is no more; its kernel resets the connection."""
        if not self._gone:
            self._gone = self._closing = True
            self._reading = False
            self._inbox.clear()
            self._out.clear()
            if self.machine is not None:
                self.machine.transports.pop(self, None)
            self._send_reset()

    def orphan(self) -> None:
        """Its process is no more, and another holds it: what the kernel had not taken is gone."""
        self.written -= len(self._out)
        self._out.clear()
        self._protocol = None
        self._due = self._writing_paused = False
        self._reading = True
        if self.machine is not None:
            self.machine.transports.pop(self, None)
            self.machine = None
        self._context = self._network.nowhere  # a close by its heir must not wait for the dead

    def fileno(self) -> int:
        """In place of a descriptor."""
        return self.number

    def seen(self) -> ConnectionCounters | None:
        """What the kernel knows of it; None if it is gone."""
        if self._reset or self._gone:
            return None
        unread = sum(map(len, self._inbox))
        quiet = self._loop.time() - self._heard if unread else 0.0
        return ConnectionCounters(self.written, self.told, self._eof_came, unread, quiet)

    def belongs(self, machine: Machine) -> None:
        """A process has accepted it, on a listener that several hold, or was handed it."""
        self.machine = machine
        self._context = machine.context()
        machine.transports[self] = None

    def _pump(self) -> None:
        """Give the kernel what it has room for, in segments that the seed cuts."""
        peer = self.peer
        if peer is None:
            return
        room = WINDOW - self._under_way - sum(map(len, peer._inbox))
        while self._out and room > 0:
            size = min(len(self._out), room)
            cut = self._network.default.cut
            while size > 1 and self._loop.rng.random() < cut:
                size = self._loop.rng.randint(1, size - 1)
            segment = bytes(self._out[:size])
            del self._out[:size]
            room -= size
            self._under_way += size
            self._carry(size, functools.partial(peer._arrive, segment))
        if self._writing_paused and len(self._out) <= self._low and not self._gone:
            self._writing_paused = False
            if self._protocol is not None:
                self._soon(self._protocol.resume_writing)
        if not self._out:
            if self._eof_wanted and not self._eof_sent:
                self._send_eof()
            if self._closing and not self._gone:
                self._soon(self._lost, None)

    def _send_eof(self) -> None:
        self._eof_sent = True
        if self.peer is not None:
            self._carry(0, self.peer._eof_arrives)

    def _send_reset(self) -> None:
        self._eof_sent = True
        if self.peer is not None:
            self._carry(0, self.peer._reset_arrives)

    # ---- what the kernel does, whether the process runs or not ---------------------------

    def _arrive(self, segment: bytes) -> None:
        assert self.peer is not None
        self.peer._under_way -= len(segment)
        if self._gone:
            self._send_reset()  # nobody is there any more
            return
        self._inbox.append(segment)
        self._heard = self._loop.time()
        self._read_soon()

    def _eof_arrives(self) -> None:
        self._eof_came = True
        self._read_soon()

    def _reset_arrives(self) -> None:
        if self._gone:
            return
        self._reset = True
        self._inbox.clear()  # what was not read is lost
        self._out.clear()
        self._read_soon()

    @property
    def over(self) -> bool:
        """Whether it has ended, from either side, as far as the program was told."""
        return self._closing or self._eof_told or self._reset

    @property
    def pending(self) -> bool:
        """Whether something waits that was not told yet."""
        return bool(self._inbox) or (self._eof_came and not self._eof_told) or self._reset

    @property
    def peer_ended(self) -> bool:
        """Whether the far side has ended it."""
        return self._eof_came or self._reset

    def _read_soon(self) -> None:
        if self._protocol is None or self._due or self._gone:
            return
        self._due = True
        lazy = self._network.lazy
        if lazy and self._loop.rng.random() < 0.5:
            # A process at work looks at its sockets when it comes to it, and in no order.
            self._loop.call_later(lazy * self._loop.rng.random(), self._read, context=self._context)
        else:
            self._soon(self._read)

    def _read(self) -> None:
        """Tell what has come: all of it in one piece, as a read of a socket returns it."""
        self._due = False
        if self._gone or (self._closing and not self._reset):
            return
        if self._reset:
            if self._reading or self._out or self._closing:
                self._end(ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET)))
            return
        if not self._reading:
            return
        assert self._protocol is not None
        if self._inbox:
            data = b"".join(self._inbox)
            self._inbox.clear()
            self.told += len(data)
            if self.peer is not None:
                self._loop.call_soon(self.peer._pump, context=self.peer._context)
            self._protocol.data_received(data)
            if self._eof_came and not self._closing:
                self._read_soon()
        elif self._eof_came and not self._eof_told:
            self._eof_told = True
            if not self._protocol.eof_received():
                self.close()


@dataclass(eq=False)
class VirtualListener:
    """A place to connect to; with a factory it accepts by itself."""

    network: VirtualNetwork
    machine: Machine | None
    address: Address
    backlog: int = BACKLOG
    factory: Callable[[], asyncio.BaseProtocol] | None = None
    queue: deque[VirtualTransport] = field(default_factory=deque)
    holders: dict[SharedListener, tuple[Callable[[], None], contextvars.Context]] = field(default_factory=dict)
    _waits: Callable[[], None] | None = None
    _context: contextvars.Context | None = None
    _due: bool = False
    _open: bool = True

    @property
    def port(self) -> int:
        """The port."""
        return self.address[1]

    @property
    def sockets(self) -> list[VirtualListener]:
        """As of an asyncio.Server, whose callers ask for the address only."""
        return [self]

    def getsockname(self) -> Address:
        """The address."""
        return self.address

    def is_serving(self) -> bool:
        """Whether it listens."""
        return self._open

    async def wait_closed(self) -> None:
        """It closes at once."""

    def arrive(self, transport: VirtualTransport) -> None:
        """The kernel has a connection for it."""
        self.queue.append(transport)
        self.tell()

    def tell(self) -> None:
        """Level-triggered, as readiness is: told again as long as something waits."""
        if self.factory is not None:
            self._accept_all()
        elif self.holders and self.queue and not self._due:
            self._due = True
            self.network.loop.call_soon(self._ready_all, context=self.network.nowhere)
        elif self._waits is not None and self.queue and not self._due:
            self._due = True
            self.network.loop.call_soon(self._ready, context=self._context)

    def _ready(self) -> None:
        self._due = False
        if self._waits is not None and self.queue:
            self._waits()
            self.tell()

    def _ready_all(self) -> None:
        """Every process that watches wakes up; the first that runs accepts (no EPOLLEXCLUSIVE)."""
        self._due = False
        for holder, (waits, context) in list(self.holders.items()):
            if not holder.due:
                holder.due = True
                self.network.loop.call_soon(self._wake, holder, waits, context=context)
        if self.queue and self.holders:
            self._due = True
            self.network.loop.call_later(AGAIN, self._ready_all, context=self.network.nowhere)

    def _wake(self, holder: SharedListener, waits: Callable[[], None]) -> None:
        holder.due = False
        if holder in self.holders and self.queue:
            waits()

    def _accept_all(self) -> None:
        while self.queue and self.factory is not None:
            try:
                transport = self.accept()
            except OSError:
                self.network.loop.call_later(1.0, self.tell)  # as asyncio does (ACCEPT_RETRY_DELAY)
                return
            protocol = self.factory()
            assert isinstance(protocol, asyncio.Protocol)
            transport._soon(transport.attach, protocol)

    def watch(self, waits: Callable[[], None]) -> None:
        """Call `waits` whenever a connection waits, until `unwatch`."""
        self._waits = waits
        self._context = contextvars.copy_context()
        self.tell()

    def unwatch(self) -> None:
        """Leave connections waiting."""
        self._waits = None

    def accept(self, holder: Machine | None = None) -> VirtualTransport:
        """A connection, for one of its holders or for its own machine; raises BlockingIOError and EMFILE."""
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        machine = holder or self.machine
        if machine is not None:
            machine.take()
        return self.queue.popleft()

    def refuse(self) -> None:
        """Nothing new comes; what waits can still be accepted."""
        if self._open:
            self._open = False
            del self.network.listeners[self.address]

    def close(self) -> None:
        """Listen no more; what waits is reset."""
        if self._open:
            self.refuse()
            self._waits = None
            while self.queue:
                self.queue.popleft().die()


@dataclass(eq=False)
class SharedListener:
    """One process's copy of a listener that the platform holds: whoever is first accepts."""

    source: VirtualListener
    machine: Machine
    due: bool = False  # its process is about to look

    @property
    def port(self) -> int:
        """The port."""
        return self.source.port

    def watch(self, waits: Callable[[], None]) -> None:
        """Call `waits` whenever a connection waits, until `unwatch`."""
        self.source.holders[self] = (waits, contextvars.copy_context())
        self.source.tell()

    def unwatch(self) -> None:
        """Leave connections waiting."""
        self.source.holders.pop(self, None)

    def accept(self) -> VirtualTransport:
        """A connection; raises BlockingIOError where none waits, and EMFILE."""
        transport = self.source.accept(self.machine)
        transport.belongs(self.machine)
        return transport

    def close(self) -> None:
        """Close this copy only: what waits stays for the others."""
        self.unwatch()


class VirtualNetwork:
    """All machines and listeners of a world."""

    def __init__(self, loop: VirtualLoop, link: Link | None = None) -> None:
        self.loop = loop
        loop.network = self
        self.default = link or Link()
        self.listeners: dict[Address, VirtualListener] = {}
        self.machines: dict[str, Machine] = {}
        self.links: dict[str, Link] = {}  # where a machine's differs from the usual
        self.lazy = 0.0  # seconds that a program may take to see what has come
        self.transports = 0  # since the beginning
        self.silent: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.lost: dict[VirtualTransport, None] = {}  # something that they sent was lost
        self.waiting: dict[VirtualTransport, None] = {}  # something that they sent waits for an open way
        self.nowhere = contextvars.Context()  # of what happens between machines
        self._ports = 40000

    def machine(self, address: str, descriptors: int = 1024) -> Machine:
        """A new machine, or a new process at an address whose last one is dead."""
        self.machines[address] = made = Machine(self, address, descriptors)
        return made

    def link(self, here: str, there: str) -> Link:
        """What lies between two addresses."""
        if self.links:
            return self.links.get(here) or self.links.get(there) or self.default
        return self.default

    def silence(self, address: str, whether: bool) -> None:
        """A machine says and hears nothing; when it is back, connections that missed something are reset."""
        if whether:
            self.silent.add(address)
            return
        self.silent.discard(address)
        for transport in list(self.lost):
            names = (transport._names["sockname"][0], transport._names["peername"][0])
            if not self.silent.intersection(names):
                del self.lost[transport]
                for end in (transport, transport.peer):
                    if end is not None:
                        end._reset_arrives()

    def cut(self, one: str, other: str, whether: bool) -> None:
        """Nothing passes between two machines; what is sent meanwhile arrives when the way is open again."""
        pair = frozenset((one, other))
        if whether:
            self.cuts.add(pair)
            return
        self.cuts.discard(pair)
        for transport in list(self.waiting):
            if frozenset((transport._names["sockname"][0], transport._names["peername"][0])) not in self.cuts:
                del self.waiting[transport]
                transport.go_on()

    def _port(self) -> int:
        self._ports += 1
        return self._ports

    def listen(
        self, address: Address, factory: Callable[[], asyncio.BaseProtocol] | None = None, backlog: int = BACKLOG
    ) -> VirtualListener:
        """Listen; raises EADDRINUSE. Port 0 takes a free one."""
        if address[1] == 0:
            address = (address[0], self._port())
        if address in self.listeners:
            raise _fault(errno.EADDRINUSE)
        listener = VirtualListener(self, MACHINE.get(), address, backlog, factory)
        self.listeners[address] = listener
        return listener

    def serve(self, factory: Callable[[], asyncio.BaseProtocol], address: Address) -> VirtualListener:
        """Listen, and accept whatever comes."""
        return self.listen(address, factory)

    async def connect(
        self, factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect from the machine that the caller runs on; raises OSError."""
        machine = MACHINE.get()
        if machine is not None:
            machine.take()
        try:
            listener = await self._reach(address, machine)
        except BaseException:
            if machine is not None:
                machine.used -= 1
            raise
        here = (machine.address if machine is not None else "127.0.0.1", self._port())
        near = VirtualTransport(self, machine, here, address)
        far = VirtualTransport(self, listener.machine, address, here)
        near.peer, far.peer = far, near
        listener.arrive(far)
        protocol = factory()
        assert isinstance(protocol, asyncio.Protocol)
        near.attach(protocol)
        return near, protocol

    async def _reach(self, address: Address, machine: Machine | None) -> VirtualListener:
        """Three ways of a handshake; a SYN that finds a full queue or a silent machine is sent again, in vain."""
        here = machine.address if machine is not None else "127.0.0.1"
        for wait in SYN_RETRIES:
            await asyncio.sleep(2.0 * self.link(here, address[0]).latency)
            listener = self.listeners.get(address)
            if self.silent.intersection((here, address[0])) or frozenset((here, address[0])) in self.cuts:
                pass
            elif listener is None:
                raise ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
            elif len(listener.queue) < listener.backlog:
                return listener
            await asyncio.sleep(wait)
        raise TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))


class Memory:
    """What processes of one proxy share, in memory: named data, the ledger's page, and its locks."""

    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}
        self._marks: dict[str, int] = {}
        self.page = [0] * (ORDERS_CELL + 1)
        self.ids = [0] * (MAX_PROCESSES * OpenRequestIds.ROW_WIDTH)
        self.holders: dict[int, Machine] = {}  # of the locks

    def replace(self, name: str, data: bytes) -> None:
        """A reader finds the old or the new one."""
        self.data[name] = data
        self._marks[name] = self._marks.get(name, 0) + 1

    def read(self, name: str) -> bytes | None:
        """What is there, if anything."""
        return self.data.get(name)

    def revision(self, name: str) -> Hashable | None:
        """Another value after each replacement."""
        return self._marks.get(name)

    def tear(self, name: str) -> None:
        """Half of what is there is lost, as by a write that was cut off."""
        data = self.data.get(name)
        if data is not None:
            self.replace(name, data[: len(data) // 2])


class MemoryLocks:
    """One process's view of the locks; the dead hold none."""

    def __init__(self, memory: Memory, machine: Machine) -> None:
        self._holders = memory.holders
        self._machine = machine

    def try_lock(self, row: int) -> bool:
        """Hold a row's lock, if no other process does."""
        holder = self._holders.get(row)
        if holder is not None and holder is not self._machine and not holder.dead:
            return False
        self._holders[row] = self._machine
        return True

    def unlock(self, row: int) -> None:
        """Let go of it."""
        self._holders.pop(row, None)


WRITTEN = 0.05  # seconds until what is kept is on a virtual disk


class Disk:
    """What is kept of one instance, over the lives of its processes."""

    def __init__(self) -> None:
        self.records: dict[str, dict[str, Any]] = {}
        self._older: dict[str, dict[str, Any]] = {}

    def copy(self) -> None:
        """Keep a copy of all."""
        self._older = dict(self.records)

    def put_back(self) -> None:
        """All is as it was at the copy."""
        self.records = dict(self._older)

    def read(self) -> dict[str, Record]:
        """What is there."""
        return {kind: read_record(form) for kind, form in self.records.items()}


class DiskKeeper:
    """One process's way to its disk; what it has not written when it dies is lost."""

    def __init__(self, disk: Disk, owner: Owner, surroundings: VirtualSurroundings, machine: Machine | None) -> None:
        self._disk = disk
        self._owner = owner
        self._surroundings = surroundings
        self._machine = machine

    def put(self, kind: str, body: object) -> None:
        """Have a form written soon."""
        form = Record(kind, 1, self._owner, self._surroundings.moment(), body).to_dict()
        self._surroundings.loop.call_later(WRITTEN, self._write, kind, orjson.loads(orjson.dumps(form)))

    def _write(self, kind: str, form: dict[str, Any]) -> None:
        if self._machine is None or not self._machine.dead:
            self._disk.records[kind] = form

    async def close(self) -> None:
        """Nothing is held open."""


class VirtualSurroundings:
    """What `cometusher.runtime.Network` asks for, out of a virtual network; one for each proxy."""

    def __init__(
        self,
        network: VirtualNetwork,
        epoch: float = 1.6e9,
        memory: Memory | None = None,
        disk: Disk | None = None,
        covers: Callable[[JournalAssignment], TakeoverChannel] | None = None,
    ) -> None:
        self._network = network
        self._memory = memory
        self._disk = disk or Disk()
        self._covers = covers
        self.loop = network.loop
        self.epoch = epoch  # Unix time at the world's beginning; a change of it is a step of the wall clock

    def unix_time(self) -> float:
        """Seconds since 1970."""
        return self.epoch + self._network.loop.time()

    def monotonic(self) -> float:
        """Seconds since the world began."""
        return self._network.loop.time()

    def listen(self, address: Address) -> Listener:
        """Listen; raises OSError."""
        return self._network.listen(address)

    def adopt(self, listener: Any) -> Listener:
        """A listener that somebody else has opened."""
        assert isinstance(listener, VirtualListener)
        machine = MACHINE.get()
        assert machine is not None
        return SharedListener(listener, machine)

    async def attach(self, connection: Any, protocol: Callable[[], asyncio.Protocol]) -> None:
        """Give an accepted connection, or one that was handed over, to its protocol."""
        machine = MACHINE.get()
        if connection.machine is None and machine is not None:
            machine.take()
            connection.belongs(machine)
        connection.attach(protocol())

    def pending(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Tells whether something has come that was not read."""
        assert isinstance(transport, VirtualTransport)
        return lambda: transport.pending

    def peer_ended(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Tells whether the far side has ended a connection."""
        assert isinstance(transport, VirtualTransport)
        return lambda: transport.peer_ended

    def abort(self, transport: asyncio.Transport) -> None:
        """Close at once, so that the far side sees a reset."""
        assert isinstance(transport, VirtualTransport)
        transport.reset()

    def keep(self, returning: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
        """What is kept of an instance, and where to keep more."""
        return self._disk.read(), DiskKeeper(self._disk, returning.owner, self, MACHINE.get())

    def moment(self) -> ClockReading:
        """Now, by the clock that may step and by the one that does not."""
        return ClockReading(self.unix_time(), "virtual", self._network.loop.time())

    def cover(self, covered: JournalAssignment) -> TakeoverChannel:
        """Where a process notes what it has in hand; raises OSError in a world without."""
        if self._covers is None:
            raise _fault(errno.ENOSYS)
        return self._covers(covered)

    def named(self, transport: asyncio.Transport) -> tuple[int, int]:
        """By its number, which no other has."""
        assert isinstance(transport, VirtualTransport)
        return transport.number, transport.number

    def look(self, connection: Any, name: int, opened_here: bool) -> ConnectionCounters | None:
        """The kernel's account of a connection."""
        assert isinstance(connection, VirtualTransport)
        return connection.seen() if connection.number == name else None

    def reset(self, connection: Any) -> None:
        """By RST."""
        connection.die()

    def share(self, folder: str) -> Handover:
        """What processes of one proxy share; raises OSError."""
        machine = MACHINE.get()
        if self._memory is None or machine is None:
            raise _fault(errno.ENOENT)
        return Handover(
            self._memory, ProcessLedger(self._memory.page, self._memory.ids, MemoryLocks(self._memory, machine))
        )
