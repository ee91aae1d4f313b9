"""An in-memory TCP network on a virtual loop, with the runtime that a proxy needs.

Connections have latency, bandwidth and a window; written data arrives in segments whose sizes the seed decides.
Connections close by halves and are reset; accept queues fill up, descriptors run out and machines fall silent. The
rules are those of RFC 9293 as a program sees them through asyncio's transports.
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

from cometusher.bounded_read import BoundedReadProtocol
from cometusher.config import Address
from cometusher.handover import MAX_PROCESSES, ORDERS_CELL, Handover, ProcessLedger
from cometusher.runtime import Listener
from cometusher.simulation.loop import CURRENT_MACHINE, VirtualLoop
from weldroute.handover import OpenRequestIds
from weldroute.snapshots import ClockReading, Owner, Record, read_record
from weldroute.takeover import ConnectionCounters

if TYPE_CHECKING:
    from cometusher.inflight.endpoint import JournalAssignment
    from cometusher.inflight.tracker import TakeoverChannel
    from cometusher.recovery import RecordSink, RecoveryConfig

RECEIVE_WINDOW = 64 * 1024  # bytes in transit and unread in one direction
WRITE_BUFFER_HIGH, WRITE_BUFFER_LOW = 64 * 1024, 16 * 1024  # asyncio's own limits of its write buffer
DEFAULT_BACKLOG = 128
READINESS_INTERVAL = 0.0005  # seconds between notifications while connections wait at a shared listener
SYN_RETRIES = (1.0, 2.0, 4.0, 8.0, 16.0)  # seconds between attempts to connect (RFC 6298, 2)


def _os_error(code: int) -> OSError:
    return OSError(code, os.strerror(code))


@dataclass
class Link:
    """The properties of the link between machines; seconds and bytes a second."""

    latency: float = 0.001
    jitter: float = 0.0  # part of the latency, drawn for each segment; order is kept
    bandwidth: float = 1e9
    cut: float = 0.5  # chance that a write is split at a random place, repeatedly


class Machine:
    """One process on a machine of its own: its address, descriptors, tasks and connections.

    A restarted process is another Machine at the same address.
    """

    def __init__(self, network: VirtualNetwork, address: str, descriptors: int = 1024) -> None:
        self.network = network
        self.address = address
        self.descriptor_limit = descriptors
        self.descriptors_used = 0
        self.on_descriptors_exhausted: Callable[[], None] = lambda: None  # called when no descriptor is free
        self.timer_granularity = 0.0  # seconds; timers expire only at multiples of it
        self.dead = False
        self.stopped = False  # paused, or dead
        self.on_write: Callable[[VirtualTransport, bytes], None] | None = None  # called with all written data
        self.transports: dict[VirtualTransport, None] = {}
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self._deferred: deque[asyncio.Handle] = deque()

    def context(self) -> contextvars.Context:
        """A context for tasks and callbacks that run on this machine."""
        context = contextvars.copy_context()
        context.run(CURRENT_MACHINE.set, self)
        return context

    def on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Remove a task that is done."""
        self.tasks.pop(task, None)

    def defer(self, handle: asyncio.Handle) -> None:
        """Defer a callback while the process is paused; callbacks of a dead process are dropped."""
        if not self.dead:
            self._deferred.append(handle)

    def pause(self) -> None:
        """Pause the process, as by SIGSTOP: the kernel goes on."""
        self.stopped = True

    def resume(self) -> None:
        """Resume the process: deferred callbacks run in their order."""
        if not self.dead:
            self.stopped = False
            self.network.loop._ready.extend(self._deferred)
            self._deferred.clear()

    def kill(self, keep_connections: bool = False) -> list[VirtualTransport]:
        """Kill the process: its connections are reset, and new ones to its address are refused.

        With `keep_connections` another process holds copies of the connections: they stay, and are returned.
        """
        kept_connections = [item for item in self.transports if keep_connections and not item.is_closing()]
        self.dead = self.stopped = True
        self._deferred.clear()
        for listener in list(self.network.listeners.values()):
            if listener.machine is self:
                listener.close()
            for holder in [item for item in listener.holders if item.machine is self]:
                holder.close()
        for transport in list(self.transports):
            if transport in kept_connections:
                transport.orphan()
            else:
                transport.kill()
        self.network.loop.discard_tasks(list(self.tasks))
        self.tasks.clear()
        return kept_connections

    @property
    def silent(self) -> bool:
        """Whether everything that is sent to or from this machine is lost."""
        return self.address in self.network.silent

    @silent.setter
    def silent(self, value: bool) -> None:
        self.network.set_silent(self.address, value)

    def take_descriptor(self) -> None:
        """Take a descriptor; raises OSError (EMFILE) if none is free."""
        if self.descriptors_used >= self.descriptor_limit:
            self.on_descriptors_exhausted()
            raise _os_error(errno.EMFILE)
        self.descriptors_used += 1


class VirtualTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(self, network: VirtualNetwork, machine: Machine | None, local: Address, remote: Address) -> None:
        super().__init__()
        self._network = network
        self._loop = network.loop
        self.machine = machine
        self._addresses = {"sockname": local, "peername": remote}
        self._context = machine.context() if machine is not None else contextvars.copy_context()
        self._protocol: asyncio.Protocol | BoundedReadProtocol | None = None
        self.peer: VirtualTransport | None = None
        self._send_buffer = bytearray()  # written by the program, not yet taken by the kernel
        self._bytes_in_transit = 0  # bytes sent that have not reached the peer
        self._receive_buffer: deque[bytes] = deque()  # segments that have arrived and are not read
        self._last_arrival = 0.0  # when the newest of them arrived
        self._deliveries: deque[Callable[[], None]] = deque()  # in transit to the peer, in their order
        self._last_delivery_at = 0.0  # when the newest of them arrives
        self._link_free_at = 0.0  # when the link has sent all that was given to it
        self._reading = True
        self._writing_paused = False
        self._high_water, self._low_water = WRITE_BUFFER_HIGH, WRITE_BUFFER_LOW
        self._eof_wanted = self._eof_sent = False
        self._eof_received = self._eof_reported = False
        self._reset_received = False
        self._closing = False
        self._descriptor_closed = False  # whether the descriptor is closed
        self._read_scheduled = False  # whether a read is scheduled
        # What is to be sent when the partition ends: size and delivery.
        self._blocked_deliveries: deque[tuple[int, Callable[[], None]]] = deque()
        network.transport_count += 1
        self.number = network.transport_count  # identifies the connection, as a descriptor would
        self.bytes_written = 0  # by the program
        self.bytes_read = 0  # passed to the program
        if machine is not None:
            machine.transports[self] = None

    # ---- the transport's interface -------------------------------------------------------

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The addresses of both ends; there is no socket."""
        return self._addresses.get(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that receives the events."""
        assert isinstance(protocol, asyncio.Protocol | BoundedReadProtocol)
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """The protocol that receives the events."""
        assert self._protocol is not None
        return self._protocol

    def is_closing(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._closing

    def is_reading(self) -> bool:
        """Whether arriving data is passed to the protocol."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Pass no data to the protocol until `resume_reading`."""
        self._reading = False

    def resume_reading(self) -> None:
        """Pass data to the protocol again."""
        if not self._reading and not self._closing:
            self._reading = True
            self._schedule_read()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffer sizes at which the protocol's writing is paused and resumed."""
        self._high_water = WRITE_BUFFER_HIGH if high is None else high
        self._low_water = self._high_water // 4 if low is None else low

    def get_write_buffer_size(self) -> int:
        """Bytes that the kernel has not yet taken."""
        return len(self._send_buffer)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """The low and the high limit."""
        return self._low_water, self._high_water

    def can_write_eof(self) -> bool:
        """Always."""
        return True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data; raises RuntimeError after `write_eof`. After the connection's end the data is dropped."""
        if self._eof_wanted:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._closing or self._descriptor_closed:
            return
        if self.machine is not None and self.machine.on_write is not None:
            self.machine.on_write(self, bytes(data))
        self.bytes_written += len(data)
        self._send_buffer += data
        self._flush()
        if len(self._send_buffer) > self._high_water and not self._writing_paused and self._protocol is not None:
            self._writing_paused = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        """Send the items in their order."""
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        """End this direction when all data is sent."""
        if self._eof_wanted or self._closing:
            return
        self._eof_wanted = True
        self._flush()

    def close(self) -> None:
        """Send what is left, then close."""
        if self._closing:
            return
        self._closing = True
        self._reading = False
        if not self._send_buffer:
            self._call_soon(self._finish_close, None)

    def abort(self) -> None:
        """Close at once; unsent data is dropped."""
        self._start_close(None)

    def reset(self) -> None:
        """Close at once with a reset, which the peer cannot take for an orderly end."""
        if not self._descriptor_closed:
            self._send_reset()
            self._start_close(None)

    # ---- closing -------------------------------------------------------------------------

    def _call_soon(self, callback: Callable[..., Any], *args: Any) -> None:
        self._loop.call_soon(callback, *args, context=self._context)

    def _start_close(self, exc: Exception | None) -> None:
        if self._descriptor_closed:
            return
        self._send_buffer.clear()
        self._closing, self._reading = True, False
        self._call_soon(self._finish_close, exc)

    def _finish_close(self, exc: Exception | None) -> None:
        if self._descriptor_closed:
            return
        self._descriptor_closed = True
        unread = bool(self._receive_buffer)
        self._receive_buffer.clear()
        if self.machine is not None:
            self.machine.descriptors_used -= 1
            self.machine.transports.pop(self, None)
        if unread:
            self._send_reset()  # closing with unread bytes resets (RFC 9293, 3.6.1)
        elif not self._eof_sent:
            self._send_eof()
        protocol, self._protocol = self._protocol, None  # as in asyncio: the peer must not keep the protocol alive
        if protocol is not None:
            protocol.connection_lost(exc)

    def attach(self, protocol: asyncio.Protocol | BoundedReadProtocol) -> None:
        """Connect a protocol; data that has arrived already is passed to it afterwards."""
        self._protocol = protocol
        protocol.connection_made(self)
        self._schedule_read()

    # ---- sending -------------------------------------------------------------------------

    def _transmit(self, size: int, deliver: Callable[[], None]) -> None:
        """Send something to the peer. Each timer delivers the next item in order, so that nothing is reordered."""
        local, remote = self._addresses["sockname"][0], self._addresses["peername"][0]
        network = self._network
        if network.silent and (local in network.silent or remote in network.silent):
            network.transports_with_loss[self] = None
            return
        if self._blocked_deliveries or (
            network.partitioned_pairs and frozenset((local, remote)) in network.partitioned_pairs
        ):
            self._blocked_deliveries.append((size, deliver))
            network.blocked_transports[self] = None
            return
        link = network.link_between(local, remote)
        self._link_free_at = max(self._link_free_at, self._loop.time()) + size / link.bandwidth
        delay = link.latency * (1.0 + link.jitter * self._loop.rng.random())
        self._last_delivery_at = max(self._last_delivery_at, self._link_free_at + delay)
        self._deliveries.append(deliver)
        self._loop.call_at(self._last_delivery_at, self._deliver_next, context=network.neutral_context)

    def retransmit_blocked(self) -> None:
        """Resend what a partition held back, now that it has ended."""
        blocked, self._blocked_deliveries = self._blocked_deliveries, deque()
        for size, deliver in blocked:
            self._transmit(size, deliver)

    def _deliver_next(self) -> None:
        self._deliveries.popleft()()

    def kill(self) -> None:
        """The process has died: its kernel resets the connection."""
        if not self._descriptor_closed:
            self._descriptor_closed = self._closing = True
            self._reading = False
            self._receive_buffer.clear()
            self._send_buffer.clear()
            if self.machine is not None:
                self.machine.transports.pop(self, None)
            self._send_reset()

    def orphan(self) -> None:
        """The process has died and another one holds the connection: data not taken by the kernel is lost."""
        self.bytes_written -= len(self._send_buffer)
        self._send_buffer.clear()
        self._protocol = None
        self._read_scheduled = self._writing_paused = False
        self._reading = True
        if self.machine is not None:
            self.machine.transports.pop(self, None)
            self.machine = None
        self._context = self._network.neutral_context  # a close by the successor must not depend on the dead process

    def fileno(self) -> int:
        """The connection's number, in place of a descriptor."""
        return self.number

    def counters(self) -> ConnectionCounters | None:
        """The kernel's counters of the connection; None if it is closed or reset."""
        if self._reset_received or self._descriptor_closed:
            return None
        unread = sum(map(len, self._receive_buffer))
        idle = self._loop.time() - self._last_arrival if unread else 0.0
        return ConnectionCounters(self.bytes_written, self.bytes_read, self._eof_received, unread, idle)

    def assign_to(self, machine: Machine) -> None:
        """A process has accepted the connection on a shared listener, or it was handed over to the process."""
        self.machine = machine
        self._context = machine.context()
        machine.transports[self] = None

    def _flush(self) -> None:
        """Send what the window has room for, in segments whose sizes the seed decides."""
        peer = self.peer
        if peer is None:
            return
        window_left = RECEIVE_WINDOW - self._bytes_in_transit - sum(map(len, peer._receive_buffer))
        while self._send_buffer and window_left > 0:
            size = min(len(self._send_buffer), window_left)
            cut = self._network.default_link.cut
            while size > 1 and self._loop.rng.random() < cut:
                size = self._loop.rng.randint(1, size - 1)
            segment = bytes(self._send_buffer[:size])
            del self._send_buffer[:size]
            window_left -= size
            self._bytes_in_transit += size
            self._transmit(size, functools.partial(peer._on_segment, segment))
        if self._writing_paused and len(self._send_buffer) <= self._low_water and not self._descriptor_closed:
            self._writing_paused = False
            if self._protocol is not None:
                self._call_soon(self._protocol.resume_writing)
        if not self._send_buffer:
            if self._eof_wanted and not self._eof_sent:
                self._send_eof()
            if self._closing and not self._descriptor_closed:
                self._call_soon(self._finish_close, None)

    def _send_eof(self) -> None:
        self._eof_sent = True
        if self.peer is not None:
            self._transmit(0, self.peer._on_eof)

    def _send_reset(self) -> None:
        self._eof_sent = True
        if self.peer is not None:
            self._transmit(0, self.peer._on_reset)

    # ---- the kernel's part, whether or not the process runs ------------------------------

    def _on_segment(self, segment: bytes) -> None:
        assert self.peer is not None
        self.peer._bytes_in_transit -= len(segment)
        if self._descriptor_closed:
            self._send_reset()  # data after the close is answered with a reset
            return
        self._receive_buffer.append(segment)
        self._last_arrival = self._loop.time()
        self._schedule_read()

    def _on_eof(self) -> None:
        self._eof_received = True
        self._schedule_read()

    def _on_reset(self) -> None:
        if self._descriptor_closed:
            return
        self._reset_received = True
        self._receive_buffer.clear()  # unread data is lost
        self._send_buffer.clear()
        self._schedule_read()

    @property
    def ended(self) -> bool:
        """Whether the connection has ended from either side, as far as the program has been notified."""
        return self._closing or self._eof_reported or self._reset_received

    @property
    def pending(self) -> bool:
        """Whether there is an event that was not passed to the protocol yet."""
        return bool(self._receive_buffer) or (self._eof_received and not self._eof_reported) or self._reset_received

    @property
    def peer_ended(self) -> bool:
        """Whether the peer has closed or reset the connection."""
        return self._eof_received or self._reset_received

    def _schedule_read(self) -> None:
        if self._protocol is None or self._read_scheduled or self._descriptor_closed:
            return
        self._read_scheduled = True
        max_delay = self._network.max_read_delay
        if max_delay and self._loop.rng.random() < 0.5:
            # A busy process reads its sockets after a delay, and in no particular order.
            self._loop.call_later(max_delay * self._loop.rng.random(), self._read, context=self._context)
        else:
            self._call_soon(self._read)

    def _read(self) -> None:
        """Pass on what has arrived in one piece, as a read of a socket returns it."""
        self._read_scheduled = False
        if self._descriptor_closed or (self._closing and not self._reset_received):
            return
        if self._reset_received:
            if self._reading or self._send_buffer or self._closing:
                self._start_close(ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET)))
            return
        if not self._reading:
            return
        assert self._protocol is not None
        if self._receive_buffer:
            data = b"".join(self._receive_buffer)
            self._receive_buffer.clear()
            self.bytes_read += len(data)
            if self.peer is not None:
                self._loop.call_soon(self.peer._flush, context=self.peer._context)
            self._protocol.data_received(data)
            if self._eof_received and not self._closing:
                self._schedule_read()
        elif self._eof_received and not self._eof_reported:
            self._eof_reported = True
            if not self._protocol.eof_received():
                self.close()


@dataclass(eq=False)
class VirtualListener:
    """A listening socket; with a factory it accepts connections by itself."""

    network: VirtualNetwork
    machine: Machine | None
    address: Address
    backlog: int = DEFAULT_BACKLOG
    factory: Callable[[], asyncio.BaseProtocol] | None = None
    queue: deque[VirtualTransport] = field(default_factory=deque)
    holders: dict[SharedListener, tuple[Callable[[], None], contextvars.Context]] = field(default_factory=dict)
    _on_waiting: Callable[[], None] | None = None
    _context: contextvars.Context | None = None
    _notify_scheduled: bool = False
    _is_listening: bool = True

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self.address[1]

    @property
    def sockets(self) -> list[VirtualListener]:
        """The attribute of an asyncio.Server, whose users read the address only."""
        return [self]

    def getsockname(self) -> Address:
        """The address it listens on."""
        return self.address

    def is_serving(self) -> bool:
        """Whether it is listening."""
        return self._is_listening

    async def wait_closed(self) -> None:
        """Return at once: closing takes no time."""

    def enqueue(self, transport: VirtualTransport) -> None:
        """Queue a connection that the kernel has established."""
        self.queue.append(transport)
        self.notify()

    def notify(self) -> None:
        """Notify those who watch it; level-triggered, so repeated while a connection waits."""
        if self.factory is not None:
            self._accept_all()
        elif self.holders and self.queue and not self._notify_scheduled:
            self._notify_scheduled = True
            self.network.loop.call_soon(self._notify_holders, context=self.network.neutral_context)
        elif self._on_waiting is not None and self.queue and not self._notify_scheduled:
            self._notify_scheduled = True
            self.network.loop.call_soon(self._notify_owner, context=self._context)

    def _notify_owner(self) -> None:
        self._notify_scheduled = False
        if self._on_waiting is not None and self.queue:
            self._on_waiting()
            self.notify()

    def _notify_holders(self) -> None:
        """Wake every process that watches; the first to run accepts (no EPOLLEXCLUSIVE)."""
        self._notify_scheduled = False
        for holder, (on_waiting, context) in list(self.holders.items()):
            if not holder.notify_scheduled:
                holder.notify_scheduled = True
                self.network.loop.call_soon(self._notify_holder, holder, on_waiting, context=context)
        if self.queue and self.holders:
            self._notify_scheduled = True
            self.network.loop.call_later(
                READINESS_INTERVAL, self._notify_holders, context=self.network.neutral_context
            )

    def _notify_holder(self, holder: SharedListener, on_waiting: Callable[[], None]) -> None:
        holder.notify_scheduled = False
        if holder in self.holders and self.queue:
            on_waiting()

    def _accept_all(self) -> None:
        while self.queue and self.factory is not None:
            try:
                transport = self.accept()
            except OSError:
                self.network.loop.call_later(1.0, self.notify)  # as asyncio does (ACCEPT_RETRY_DELAY)
                return
            protocol = self.factory()
            assert isinstance(protocol, asyncio.Protocol | BoundedReadProtocol)
            transport._call_soon(transport.attach, protocol)

    def watch(self, waits: Callable[[], None]) -> None:
        """Call `waits` whenever a connection waits, until `unwatch`."""
        self._on_waiting = waits
        self._context = contextvars.copy_context()
        self.notify()

    def unwatch(self) -> None:
        """Leave connections waiting."""
        self._on_waiting = None

    def accept(self, holder: Machine | None = None) -> VirtualTransport:
        """Accept a connection for a holder, or for its own machine; raises BlockingIOError, OSError (EMFILE)."""
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        machine = holder or self.machine
        if machine is not None:
            machine.take_descriptor()
        return self.queue.popleft()

    def stop_accepting(self) -> None:
        """Refuse new connections; queued ones can still be accepted."""
        if self._is_listening:
            self._is_listening = False
            del self.network.listeners[self.address]

    def close(self) -> None:
        """Stop listening and reset queued connections."""
        if self._is_listening:
            self.stop_accepting()
            self._on_waiting = None
            while self.queue:
                self.queue.popleft().kill()


@dataclass(eq=False)
class SharedListener:
    """One process's copy of a listener that the platform holds: the first process to accept gets a connection."""

    source: VirtualListener
    machine: Machine
    notify_scheduled: bool = False  # whether a notification of its process is scheduled

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self.source.port

    def watch(self, waits: Callable[[], None]) -> None:
        """Call `waits` whenever a connection waits, until `unwatch`."""
        self.source.holders[self] = (waits, contextvars.copy_context())
        self.source.notify()

    def unwatch(self) -> None:
        """Leave connections waiting."""
        self.source.holders.pop(self, None)

    def accept(self) -> VirtualTransport:
        """Accept a connection; raises BlockingIOError if none waits, OSError (EMFILE) without a descriptor."""
        transport = self.source.accept(self.machine)
        transport.assign_to(self.machine)
        return transport

    def close(self) -> None:
        """Close this copy only: queued connections stay for the other holders."""
        self.unwatch()


class VirtualNetwork:
    """All machines, links and listeners of a world."""

    def __init__(self, loop: VirtualLoop, link: Link | None = None) -> None:
        self.loop = loop
        loop.network = self
        self.default_link = link or Link()
        self.listeners: dict[Address, VirtualListener] = {}
        self.machines: dict[str, Machine] = {}
        self.link_overrides: dict[str, Link] = {}  # by address, where it differs from the default
        self.max_read_delay = 0.0  # seconds that a program may take to read what has arrived
        self.transport_count = 0  # created since the start
        self.silent: set[str] = set()
        self.partitioned_pairs: set[frozenset[str]] = set()
        self.transports_with_loss: dict[VirtualTransport, None] = {}  # those of which sent data was lost
        self.blocked_transports: dict[VirtualTransport, None] = {}  # those with data held back by a partition
        self.neutral_context = contextvars.Context()  # for callbacks that run on no machine
        self._last_port = 40000

    def add_machine(self, address: str, descriptors: int = 1024) -> Machine:
        """A new machine, or a new process at an address whose last one is dead."""
        self.machines[address] = machine = Machine(self, address, descriptors)
        return machine

    def link_between(self, local: str, remote: str) -> Link:
        """The link between two addresses."""
        if self.link_overrides:
            return self.link_overrides.get(local) or self.link_overrides.get(remote) or self.default_link
        return self.default_link

    def set_silent(self, address: str, silent: bool) -> None:
        """Make a machine silent or end its silence; connections that lost data meanwhile are reset at its end."""
        if silent:
            self.silent.add(address)
            return
        self.silent.discard(address)
        for transport in list(self.transports_with_loss):
            names = (transport._addresses["sockname"][0], transport._addresses["peername"][0])
            if not self.silent.intersection(names):
                del self.transports_with_loss[transport]
                for end in (transport, transport.peer):
                    if end is not None:
                        end._on_reset()

    def set_partitioned(self, first: str, second: str, partitioned: bool) -> None:
        """Start or end a partition of two machines; data that is sent meanwhile arrives after its end."""
        pair = frozenset((first, second))
        if partitioned:
            self.partitioned_pairs.add(pair)
            return
        self.partitioned_pairs.discard(pair)
        for transport in list(self.blocked_transports):
            if (
                frozenset((transport._addresses["sockname"][0], transport._addresses["peername"][0]))
                not in self.partitioned_pairs
            ):
                del self.blocked_transports[transport]
                transport.retransmit_blocked()

    def _next_port(self) -> int:
        self._last_port += 1
        return self._last_port

    def listen(
        self,
        address: Address,
        factory: Callable[[], asyncio.BaseProtocol] | None = None,
        backlog: int = DEFAULT_BACKLOG,
    ) -> VirtualListener:
        """Listen; raises OSError (EADDRINUSE). Port 0 stands for a free one."""
        if address[1] == 0:
            address = (address[0], self._next_port())
        if address in self.listeners:
            raise _os_error(errno.EADDRINUSE)
        listener = VirtualListener(self, CURRENT_MACHINE.get(), address, backlog, factory)
        self.listeners[address] = listener
        return listener

    def serve(self, factory: Callable[[], asyncio.BaseProtocol], address: Address) -> VirtualListener:
        """Listen, and accept every connection."""
        return self.listen(address, factory)

    async def connect(
        self, factory: Callable[[], asyncio.BaseProtocol], address: Address
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect from the machine on which the calling code runs; raises OSError."""
        machine = CURRENT_MACHINE.get()
        if machine is not None:
            machine.take_descriptor()
        try:
            listener = await self._handshake(address, machine)
        except BaseException:
            if machine is not None:
                machine.descriptors_used -= 1
            raise
        local_address = (machine.address if machine is not None else "127.0.0.1", self._next_port())
        near = VirtualTransport(self, machine, local_address, address)
        far = VirtualTransport(self, listener.machine, address, local_address)
        near.peer, far.peer = far, near
        listener.enqueue(far)
        protocol = factory()
        assert isinstance(protocol, asyncio.Protocol | BoundedReadProtocol)
        near.attach(protocol)
        return near, protocol

    async def _handshake(self, address: Address, machine: Machine | None) -> VirtualListener:
        """Three-way handshake; a SYN to a full queue or a silent machine is retransmitted until it times out."""
        local = machine.address if machine is not None else "127.0.0.1"
        for delay in SYN_RETRIES:
            await asyncio.sleep(2.0 * self.link_between(local, address[0]).latency)
            listener = self.listeners.get(address)
            if (
                self.silent.intersection((local, address[0]))
                or frozenset((local, address[0])) in self.partitioned_pairs
            ):
                pass
            elif listener is None:
                raise ConnectionRefusedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
            elif len(listener.queue) < listener.backlog:
                return listener
            await asyncio.sleep(delay)
        raise TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT))


class SharedMemory:
    """What the processes of one proxy share: named data, the process ledger's page, and its locks."""

    def __init__(self) -> None:
        self.data: dict[str, bytes] = {}
        self._revisions: dict[str, int] = {}
        self.ledger_page = [0] * (ORDERS_CELL + 1)
        self.request_id_cells = [0] * (MAX_PROCESSES * OpenRequestIds.ROW_WIDTH)
        self.lock_holders: dict[int, Machine] = {}  # by row

    def replace(self, name: str, data: bytes) -> None:
        """Replace data atomically: a reader finds the old or the new version."""
        self.data[name] = data
        self._revisions[name] = self._revisions.get(name, 0) + 1

    def read(self, name: str) -> bytes | None:
        """The data of a name; None if there is none."""
        return self.data.get(name)

    def revision(self, name: str) -> Hashable | None:
        """A value that differs after each replacement."""
        return self._revisions.get(name)

    def truncate(self, name: str) -> None:
        """Lose half of the data, as by a write that was interrupted."""
        data = self.data.get(name)
        if data is not None:
            self.replace(name, data[: len(data) // 2])


class MemoryLocks:
    """One process's view of the locks; dead processes hold none."""

    def __init__(self, memory: SharedMemory, machine: Machine) -> None:
        self._holders = memory.lock_holders
        self._machine = machine

    def try_lock(self, row: int) -> bool:
        """Take a row's lock unless another process holds it; returns whether it is held."""
        holder = self._holders.get(row)
        if holder is not None and holder is not self._machine and not holder.dead:
            return False
        self._holders[row] = self._machine
        return True

    def unlock(self, row: int) -> None:
        """Release a row's lock."""
        self._holders.pop(row, None)


DISK_WRITE_DELAY = 0.05  # seconds until a record is on the virtual disk


class VirtualDisk:
    """The stored records of one instance, which outlive its processes."""

    def __init__(self) -> None:
        self.records: dict[str, dict[str, Any]] = {}
        self._snapshot: dict[str, dict[str, Any]] = {}

    def take_snapshot(self) -> None:
        """Take a snapshot of all records."""
        self._snapshot = dict(self.records)

    def restore_snapshot(self) -> None:
        """Restore the records of the snapshot."""
        self.records = dict(self._snapshot)

    def read(self) -> dict[str, Record]:
        """All records, by kind."""
        return {kind: read_record(data) for kind, data in self.records.items()}


class DiskRecordWriter:
    """Writes a process's records to its disk; records that are pending when the process dies are lost."""

    def __init__(self, disk: VirtualDisk, owner: Owner, runtime: VirtualRuntime, machine: Machine | None) -> None:
        self._disk = disk
        self._owner = owner
        self._runtime = runtime
        self._machine = machine

    def put(self, kind: str, body: object) -> None:
        """Write a record after DISK_WRITE_DELAY."""
        data = Record(kind, 1, self._owner, self._runtime.clock_reading(), body).to_dict()
        self._runtime.loop.call_later(DISK_WRITE_DELAY, self._write, kind, orjson.loads(orjson.dumps(data)))

    def _write(self, kind: str, data: dict[str, Any]) -> None:
        if self._machine is None or not self._machine.dead:
            self._disk.records[kind] = data

    async def close(self) -> None:
        """Do nothing: no file is open."""


class VirtualRuntime:
    """Implements `cometusher.runtime.Network` on a virtual network; one for each process."""

    def __init__(
        self,
        network: VirtualNetwork,
        epoch: float = 1.6e9,
        memory: SharedMemory | None = None,
        disk: VirtualDisk | None = None,
        open_channel: Callable[[JournalAssignment], TakeoverChannel] | None = None,
    ) -> None:
        self._network = network
        self._memory = memory
        self._disk = disk or VirtualDisk()
        self._open_channel = open_channel
        self.loop = network.loop
        self.epoch = epoch  # Unix time at the world's start; changing it steps the wall clock

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
        """A copy of a listener that the platform has opened."""
        assert isinstance(listener, VirtualListener)
        machine = CURRENT_MACHINE.get()
        assert machine is not None
        return SharedListener(listener, machine)

    async def attach(self, connection: Any, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """Attach a protocol to a connection that was accepted or handed over."""
        machine = CURRENT_MACHINE.get()
        if connection.machine is None and machine is not None:
            machine.take_descriptor()
            connection.assign_to(machine)
        connection.attach(protocol())

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """A function that tells whether data or an end has arrived that was not read."""
        assert isinstance(transport, VirtualTransport)
        return lambda: transport.pending

    def peer_ended_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """A function that tells whether the peer has ended a connection."""
        assert isinstance(transport, VirtualTransport)
        return lambda: transport.peer_ended

    def abort(self, transport: asyncio.Transport) -> None:
        """Close at once, so that the peer sees a reset."""
        assert isinstance(transport, VirtualTransport)
        transport.reset()

    def open_records(self, returning: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
        """The stored records of an instance, and a writer for further ones."""
        return self._disk.read(), DiskRecordWriter(self._disk, returning.owner, self, CURRENT_MACHINE.get())

    def clock_reading(self) -> ClockReading:
        """The current time by the wall clock, which may step, and by the monotonic clock."""
        return ClockReading(self.unix_time(), "virtual", self._network.loop.time())

    def open_takeover_channel(self, covered: JournalAssignment) -> TakeoverChannel:
        """The takeover channel of a process's in-flight requests; raises OSError in a world without takeover."""
        if self._open_channel is None:
            raise _os_error(errno.ENOSYS)
        return self._open_channel(covered)

    def connection_id(self, transport: asyncio.Transport) -> tuple[int, int]:
        """A connection's identity: its unique number."""
        assert isinstance(transport, VirtualTransport)
        return transport.number, transport.number

    def read_counters(self, connection: Any, name: int, opened_here: bool) -> ConnectionCounters | None:
        """The kernel's counters of a connection; None if it is closed or not the named one."""
        assert isinstance(connection, VirtualTransport)
        return connection.counters() if connection.number == name else None

    def reset(self, connection: Any) -> None:
        """Reset a connection."""
        connection.kill()

    def open_handover(self, folder: str) -> Handover:
        """The state that the processes of one proxy share; raises OSError if there is none."""
        machine = CURRENT_MACHINE.get()
        if self._memory is None or machine is None:
            raise _os_error(errno.ENOENT)
        return Handover(
            self._memory,
            ProcessLedger(
                self._memory.ledger_page, self._memory.request_id_cells, MemoryLocks(self._memory, machine)
            ),
        )
