"""The supervisor: runs the processes of a fleet as the state machine `weldroute.fleet` decides.

This module owns the processes, signals, pipes and files. It passes every event to the state machine and executes the
returned actions in order; it never decides itself when to start, wait, give up or replace.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import resource
import secrets
import signal
import socket
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from cometusher.config import Address, ConfigError, read_address
from cometusher.fleet import process
from cometusher.fleet.control import ControlError, ControlServer
from cometusher.fleet.identity import RUNNABLE, Identity, LockHeld, StateLock, read_stat
from cometusher.fleet.listeners import AddressUnavailable, Listeners, passed_sockets
from cometusher.fleet.log_collector import LogSink, LogSinkHandler, LogTarget, ProcessOutput
from cometusher.fleet.notify import ServiceManager
from cometusher.fleet.process import Child
from cometusher.fleet.spec import (
    FleetSpec,
    InstanceSpec,
    prepare_state_directory,
    read_spec,
    serialize_config,
    write_private,
)
from weldroute.fleet import (
    Action,
    CloseListener,
    ExitStatus,
    Fleet,
    Notice,
    OperationDone,
    Phase,
    ProcessCommand,
    SendCommand,
    Spawn,
    Step,
)
from weldroute.outlier_detection import Key
from weldroute.snapshots import Owner

if TYPE_CHECKING:
    from cometusher.cluster.host import ClusterHost
    from cometusher.fleet.orphans import OrphanedRequests
    from cometusher.fleet.supervisor_state import SupervisorState
    from cometusher.fleet.watchdog import Watchdog

log = logging.getLogger(__name__)

STATE_WRITE_DELAY = 0.2  # seconds from a change until it is stored
TICK_INTERVAL = 0.1  # seconds
MEMORY_CHECK_INTERVAL = 1.0  # seconds
PROBE_INTERVAL = 1.0  # seconds between readiness checks of a process that is ready
STARTING_PROBE_INTERVAL = 0.05  # seconds between readiness checks of a process that is starting
PROBE_TIMEOUT = 1.0  # seconds
COMMAND_SIGNALS = {
    ProcessCommand.TERMINATE: signal.SIGTERM,
    ProcessCommand.KILL: signal.SIGKILL,
    ProcessCommand.RELOAD: signal.SIGHUP,
}
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
MAX_STATUS_LINE = 16 * 1024  # bytes


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes; 0 if it has exited."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_SIZE
    except (OSError, IndexError):
        return 0


def descriptor_count(pid: int) -> int:
    """Return the number of open descriptors of a process; 0 if it has exited."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def oom_kill_count() -> int:
    """Return how many processes the kernel's OOM killer has killed since boot (oom_kill in /proc/vmstat)."""
    with contextlib.suppress(OSError, ValueError):
        for line in Path("/proc/vmstat").read_text().splitlines():
            if line.startswith("oom_kill "):
                return int(line.split()[1])
    return 0


def integer_values(values: Any) -> dict[str, int]:
    """Return the integer entries of a reported object; empty for anything else."""
    return {k: v for k, v in values.items() if isinstance(v, int)} if isinstance(values, dict) else {}


class ProbeResult(Enum):
    """The outcome of a readiness check."""

    UP = "up"
    WAITING = "waits"  # it runs, but has no list of backends yet
    FAILED = "none"  # no answer, not ready, or another process answered


async def probe(address: tuple[str, int], instance_id: bytes) -> ProbeResult:
    """Send one readiness check: `GET /up` to the listener must be answered with 200 by the process `instance_id`.

    During a replacement two processes accept from one listener; the header X-Instance tells which one answered. A
    custom command may leave the header out.
    """
    host = {"0.0.0.0": "127.0.0.1", "::": "::1"}.get(address[0], address[0])
    loop = asyncio.get_running_loop()
    with socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setblocking(False)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                await loop.sock_connect(sock, (host, address[1]))
                await loop.sock_sendall(sock, b"GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n")
                response = b""
                while b"\r\n\r\n" not in response and len(response) < 4096:
                    data = await loop.sock_recv(sock, 4096)
                    if not data:
                        break
                    response += data
        except (OSError, TimeoutError):
            return ProbeResult.FAILED
    status, *header_lines = response.partition(b"\r\n\r\n")[0].split(b"\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(b":") for line in header_lines)
    }
    if headers.get(b"x-instance", instance_id) != instance_id:
        return ProbeResult.FAILED
    if status.split(b" ")[1:2] == [b"200"]:
        return ProbeResult.UP
    return ProbeResult.WAITING if headers.get(b"x-comeback") == b"nothing" else ProbeResult.FAILED


class Supervisor:
    """Runs one fleet from its start to its end."""

    def __init__(self, spec: FleetSpec, environ: Mapping[str, str]) -> None:
        self.spec = spec
        self.loop = asyncio.get_running_loop()
        correlation_policy = spec.recovery.correlation if spec.recovery is not None else None
        self.fleet = Fleet(spec.policy, secrets.randbits(64), correlation_policy)
        self.stored_state: SupervisorState | None = None
        self.orphans: OrphanedRequests | None = None
        self.watchdog: Watchdog | None = None
        self.cluster: ClusterHost | None = None
        self._state_write_due = False
        self.children: dict[Key, Child] = {}
        self.manager = ServiceManager(environ)
        self.listeners = Listeners(passed_sockets(environ))
        self.sink = LogSink(self.loop, LogTarget(spec.log), spec.location.name)
        self.control = ControlServer(spec.location.control_socket, self._handle_request)
        self._operation_futures: dict[int, asyncio.Future[OperationDone]] = {}
        self._probes: dict[Key, asyncio.Task[None]] = {}
        self._reloads: set[asyncio.Task[None]] = set()
        self._ended = asyncio.Event()
        self._memory_check_at = 0.0
        self._oom_kills = [oom_kill_count()] * 2  # at the last two memory checks
        self._roster_due = False
        handler = LogSinkHandler(self.sink, spec.location.name)
        logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)

    # ---- lifecycle -----------------------------------------------------------------------

    async def prepare(self) -> None:
        """Do what can fail at the start: end the predecessor's processes, open the listeners and the control socket.

        Raises AddressUnavailable, OSError or ConfigError.
        """
        if self.spec.recovery is not None:
            from cometusher.fleet.supervisor_state import SupervisorState

            self.stored_state = SupervisorState(self.spec)
        if self.spec.takeover is not None:
            from cometusher.fleet.orphans import OrphanedRequests

            self.orphans = OrphanedRequests(self.spec.takeover, self.loop, self._successors)
        if self.spec.failure_detection is not None:
            from cometusher.fleet.observations import ObservationRecorder
            from cometusher.fleet.watchdog import Watchdog

            self.watchdog = Watchdog(
                self.spec.failure_detection, self.spec.outliers, self.loop, self, self.orphans is not None
            )
            if self.spec.observation_file is not None:
                self.watchdog.recorder = ObservationRecorder(
                    self.spec.observation_file.path, self.spec.observation_file.size_limit
                )
        if self.spec.cluster is not None:
            from cometusher.cluster.host import ClusterHost

            self.cluster = ClusterHost(
                self.spec.cluster, self.spec.location.name, self.loop, self._management_addresses
            )
            self.fleet.may_begin_step = self.cluster.may_roll_out
        await self._end_predecessor()
        for instance in self.spec.instances.values():
            self.listeners.get(instance.name, instance.listen)
        await self.control.start()

    async def run(self, names: Iterable[str]) -> OperationDone:
        """Start instances and return the outcome. The fleet keeps running until `wait_ended` returns."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload_by_signal)
        self.loop.add_signal_handler(signal.SIGUSR1, self._reopen_log)
        # Forked processes share the memory of all objects that exist now, until a garbage collection visits them.
        gc.collect()
        gc.freeze()
        now = self.loop.time()
        names_to_start = self._restore_instances(now, list(names))
        for name in set(self.spec.instances) - set(names_to_start):
            self.listeners.release(name)
        self._tick()
        if self.watchdog is not None:
            self.watchdog.start()
        if self.cluster is not None:
            await self.cluster.start()
        log.info("supervisor %d is starting; %d instances configured", os.getpid(), len(self.spec.instances))
        done = await self._begin_operation(self.fleet.start(now, names_to_start))
        if not self.fleet.is_shutting_down:
            self.manager.ready(done.text)
        return done

    def _restore_instances(self, now: float, names: list[str]) -> list[str]:
        """Add all instances; return those to start. After a supervisor that was killed its stored state decides."""
        stored = self.stored_state
        for name, instance_spec in self.spec.instances.items():
            prior = stored.prior if stored is not None else None
            self.fleet.add(now, name, prior.generations.get(name, 0) if prior is not None else 0, instance_spec.tier)
            if prior is not None:
                self.fleet.instances[name].restarts = prior.restarts.get(name, 0)
        names_to_start = names or list(self.spec.instances)
        if stored is None or self.fleet.failure_correlator is None:
            return names_to_start
        prior = stored.prior
        if prior.unclean and not names:
            names_to_start = [
                name for name in names_to_start if prior.wanted.get(name, True) and name not in prior.failed
            ]
            for name in set(prior.failed) & set(self.spec.instances):
                self.fleet.instances[name].should_run = self.fleet.instances[name].failed = True
                self.fleet.instances[name].reason = prior.failed[name]
        cause = "the previous supervisor did not shut down cleanly" if prior.unclean else "start"
        self.fleet.failure_correlator.on_unclean_start(now, names_to_start, len(self.spec.instances), cause)
        log.info("epoch %d: %s", stored.epoch, cause, extra={"event": "epoch"})
        self._schedule_state_write()
        return names_to_start

    async def wait_ended(self) -> None:
        """Wait until the fleet has stopped, and clean up."""
        await self._ended.wait()
        for task in self._probes.values():
            task.cancel()
        if self.cluster is not None:
            await self.cluster.close()
        await self.control.stop()
        self.listeners.release_all()
        with contextlib.suppress(OSError):
            self.spec.location.roster.unlink()
        if self.stored_state is not None:
            self.stored_state.close(self.fleet)
        if self.watchdog is not None:
            self.watchdog.close()
        if self.orphans is not None:
            self.orphans.close()
        log.info("supervisor stopped")
        self.sink.close()

    def stop(self) -> None:
        """Begin a graceful shutdown."""
        if not self.fleet.is_shutting_down:
            log.info("stopping")
            self.manager.stopping()
            if self.watchdog is not None:
                self.watchdog.on_listeners_closing(self.spec.instances)
            self.listeners.release_all()
            self._execute(self.fleet.shutdown(self.loop.time()))

    async def _end_predecessor(self) -> None:
        """Wait for the processes of a supervisor that was killed, and kill those that do not end by themselves.

        Its instances have noticed the end of their lifelines and are shutting down. A process that is stopped or hung
        can't notice: it is killed, but only if its whole identity matches, not just its pid.
        """
        remaining = []
        with contextlib.suppress(OSError, orjson.JSONDecodeError):
            entries = orjson.loads(self.spec.location.roster.read_bytes())
            identities = [Identity.parse(entry) for entry in entries] if isinstance(entries, list) else []
            remaining = [
                process_identity
                for process_identity in identities
                if process_identity is not None
                and process_identity.uid == os.geteuid()
                and process_identity.is_alive()
            ]
        if not remaining:
            return
        log.warning("%d processes of an earlier supervisor are ending", len(remaining))
        deadline = self.loop.time() + self.spec.policy.stop_within
        while remaining and self.loop.time() < deadline:
            await asyncio.sleep(0.05)
            remaining = [process_identity for process_identity in remaining if process_identity.is_alive()]
        for process_identity in remaining:
            log.warning("pid %d of an earlier supervisor does not end; killed", process_identity.pid)
            process_identity.signal(signal.SIGKILL)
        while any(process_identity.is_alive() for process_identity in remaining):
            await asyncio.sleep(0.02)

    def _tick(self) -> None:
        now = self.loop.time()
        self.manager.feed_watchdog(now)
        if now >= self._memory_check_at:
            self._memory_check_at = now + MEMORY_CHECK_INTERVAL
            self._check_memory(now)
        for name, generation in self.fleet.silent_processes(now):
            child = self.children.get((name, generation))
            stat = read_stat(child.pid) if child is not None else None
            if stat is not None:
                self.fleet.on_cpu_time(now, name, generation, stat.cpu, stat.state == RUNNABLE)
        if self.cluster is not None:
            self.cluster.request_rollout(self.fleet.has_rolling_operation)
        self._execute(self.fleet.tick(now))
        if not self._ended.is_set():
            self.loop.call_later(TICK_INTERVAL, self._tick)

    def _check_memory(self, now: float) -> None:
        """Compare each process with its memory limit, and read the kernel's count of OOM kills."""
        self._oom_kills = [self._oom_kills[1], oom_kill_count()]
        for child in list(self.children.values()):
            instance_spec = self.spec.instances.get(child.name)
            limit = instance_spec.memory_mb * 1024 * 1024 if instance_spec is not None else 0
            used = resident_bytes(child.pid)
            if limit and used > limit:
                text = f"{used >> 20} MB, over {limit >> 20} MB"
                self._execute(self.fleet.on_memory_exceeded(now, child.name, child.generation, text))

    # ---- actions -------------------------------------------------------------------------

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Spawn):
                self._spawn(action)
            elif isinstance(action, SendCommand):
                self._send_command(action)
            elif isinstance(action, CloseListener):
                if self.watchdog is not None:
                    self.watchdog.on_listeners_closing([action.name])
                self.listeners.release(action.name)
            elif isinstance(action, Notice):
                level = logging.WARNING if action.is_problem else logging.INFO
                log.log(level, "%s", action.text, extra={"event": action.event, "instance": action.name or None})
                self._schedule_state_write()
            else:
                self._on_operation_done(action)
        if self.fleet.has_stopped and not self.children:
            self._ended.set()

    def _on_operation_done(self, done: OperationDone) -> None:
        log.log(logging.INFO if done.ok else logging.WARNING, "%s", done.text, extra={"event": "operation"})
        future = self._operation_futures.pop(done.operation, None)
        if future is not None and not future.done():
            future.set_result(done)

    def _begin_operation(self, operation: tuple[int, list[Action]]) -> asyncio.Future[OperationDone]:
        """Execute the first actions of an operation; the future returned completes with its outcome."""
        operation_id, actions = operation
        future = self._operation_futures[operation_id] = self.loop.create_future()
        self._execute(actions)
        return future

    def _spawn(self, action: Spawn) -> None:
        instance_spec = self.spec.instances.get(action.name)
        try:
            if instance_spec is None:
                raise AddressUnavailable("no longer in the fleet's file")
            listener = self.listeners.get(instance_spec.name, instance_spec.listen)
            child = self._start_process(instance_spec, action.generation, listener)
        except (OSError, AddressUnavailable) as error:
            text = f"cannot start: {error}"
            self._execute(self.fleet.on_spawn_failed(self.loop.time(), action.name, action.generation, text))
            return
        self.children[child.name, child.generation] = child
        stream = ProcessOutput(self.sink, child.name, child.log_fd)
        self.loop.add_reader(child.log_fd, self._read_log, child, stream)
        self.loop.add_reader(child.status_fd, self._read_status, child)
        self.loop.add_reader(child.pidfd, self._on_child_exit, child, stream)
        self._write_roster()

    def _start_process(self, instance_spec: InstanceSpec, generation: int, listener: socket.socket) -> Child:
        extra_values = self._recovery_values(instance_spec.name)
        if instance_spec.command:
            return process.spawn(self.spec, instance_spec, generation, listener, extra_values)
        if self.watchdog is None:
            return self._start_with_takeover(instance_spec, generation, listener, extra_values, {})
        board_row = self.watchdog.board.allocate_row()
        try:
            child = self._start_with_takeover(
                instance_spec,
                generation,
                listener,
                extra_values | self.watchdog.heartbeat_values(board_row),
                self.watchdog.child_descriptors(),
            )
        except OSError:
            self.watchdog.board.release_row(board_row)
            raise
        child.board_row = board_row
        return child

    def _start_with_takeover(
        self,
        instance_spec: InstanceSpec,
        generation: int,
        listener: socket.socket,
        extra_values: dict[str, Any],
        descriptors: dict[int, int],
    ) -> Child:
        if self.orphans is None:
            return process.spawn(self.spec, instance_spec, generation, listener, extra_values, descriptors)
        resources = self.orphans.open_resources(instance_spec.name, instance_spec.tier, instance_spec.listen[1])
        try:
            child = process.spawn(
                self.spec,
                instance_spec,
                generation,
                listener,
                extra_values | self.orphans.takeover_values(resources),
                descriptors | resources.child_descriptors(),
            )
        except OSError:
            self.orphans.discard_resources(resources)
            raise
        child.resources = resources
        self.orphans.on_started(resources)
        return child

    # ---- interface of `cometusher.fleet.watchdog.WatchdogHost` -------------------------------

    def processes_with_heartbeat(self) -> list[tuple[Child, Phase]]:
        """The processes that have a row on the heartbeat board, and their phases.

        None while the fleet shuts down: a process that is killed then has no successor for its requests, and it may
        still answer them itself.
        """
        processes = self._processes_with_phase() if not self.fleet.is_shutting_down else ()
        return [(child, phase) for child, phase in processes if child.board_row >= 0]

    def wanted_count(self) -> int:
        """How many instances should run."""
        return sum(instance.should_run for instance in self.fleet.instances.values())

    def listener(self, name: str) -> socket.socket | None:
        """The listener of an instance, while it is open in this process."""
        return self.listeners.find(name)

    def distribute(self, key: Key, connections: list[socket.socket], to_itself: bool = False) -> None:
        """Send connections accepted for a process to others of its tier, or with `to_itself` to the process first."""
        child = self.children.get(key)
        if self.orphans is None or child is None or child.resources is None:
            for connection in connections:
                connection.close()
            return
        self.orphans.distribute_accepted(child.resources, connections, to_itself)

    def tier_of(self, name: str) -> int:
        """The tier of an instance."""
        instance_spec = self.spec.instances.get(name)
        return instance_spec.tier if instance_spec is not None else 0

    def replace(self, key: Key, reason: str) -> None:
        """Have a process killed and replaced."""
        self._execute(self.fleet.on_stalled(self.loop.time(), *key, reason))

    def _processes_with_phase(self) -> Iterator[tuple[Child, Phase]]:
        for (name, generation), child in self.children.items():
            instance = self.fleet.instances.get(name)
            found = instance.find_process(generation) if instance is not None else None
            if found is not None:
                yield child, found.phase

    def _successors(self, tier: int) -> list[tuple[int, int]]:
        """The processes of a tier that can take over requests, each with its number of in-flight requests."""
        successors = []
        for child, phase in self._processes_with_phase():
            instance_spec = self.spec.instances.get(child.name)
            if (
                phase is Phase.READY
                and child.resources is not None
                and instance_spec is not None
                and instance_spec.tier == tier
            ):
                successors.append((child.resources.process, int(child.request_counters.get("open", 0))))
        return [] if self.fleet.is_shutting_down else successors

    def _management_addresses(self) -> Iterator[tuple[Key, Address]]:
        """The ready processes that have a management address, with that address."""
        for child, phase in self._processes_with_phase():
            address = child.spec.values.get("management")
            if phase is Phase.READY and address:
                yield (child.name, child.generation), read_address(str(address), "management")

    def _recovery_values(self, name: str) -> dict[str, Any]:
        """The part of a process's configuration file that controls its recovery."""
        spec, stored, correlator = self.spec.recovery, self.stored_state, self.fleet.failure_correlator
        if spec is None or stored is None or correlator is None:
            return {}
        from cometusher.recovery import RecoveryConfig, write_recovery_config

        plan = replace(
            spec.plan,
            instances=len(self.fleet.instances),
            returning=correlator.recovering_count(self.loop.time(), name),
        )
        owner = Owner(self.spec.location.name, name, stored.epoch)
        known_versions = stored.known_versions(name)
        return {
            "comeback": write_recovery_config(
                RecoveryConfig(
                    plan,
                    spec.limits,
                    owner,
                    self.spec.location.records_file(name),
                    known_versions,
                    stored.orders.get(name),
                )
            )
        }

    def _schedule_state_write(self) -> None:
        """Store the fleet's state after a short delay, once for many changes."""
        if self.stored_state is not None and not self._state_write_due:
            self._state_write_due = True
            self.loop.call_later(STATE_WRITE_DELAY, self._write_state)

    def _write_state(self) -> None:
        self._state_write_due = False
        if self.stored_state is not None and not self._ended.is_set():
            self.stored_state.write(self.fleet)

    def _send_command(self, action: SendCommand) -> None:
        child = self.children.get((action.name, action.generation))
        if child is None:
            return
        if action.command is ProcessCommand.RELOAD:
            # An instance that is no longer in the file will be removed; it keeps its configuration until then.
            child.requested_spec = self.spec.instances.get(action.name, child.spec)
            try:
                content = serialize_config(child.requested_spec.at_ring_position(child.ring_position))
                write_private(self.spec.location.instance_file(action.name), content)
            except OSError as error:
                text = f"its configuration file cannot be written: {error.strerror}"
                self._execute(self.fleet.on_reloaded(self.loop.time(), action.name, action.generation, text))
                return
        child.signal(COMMAND_SIGNALS[action.command])

    # ---- processes -----------------------------------------------------------------------

    def _read_log(self, child: Child, stream: ProcessOutput) -> None:
        if not stream.read():
            self.loop.remove_reader(child.log_fd)

    def _read_status(self, child: Child) -> None:
        try:
            data = os.read(child.status_fd, 65536)
        except BlockingIOError:
            return
        if not data:
            self.loop.remove_reader(child.status_fd)
            return
        *lines, child.partial_line = (child.partial_line + data).split(b"\n")
        child.partial_line = child.partial_line[:MAX_STATUS_LINE]
        for line in lines:
            try:
                values = orjson.loads(line)
                event = str(values["event"])
            except (orjson.JSONDecodeError, KeyError, TypeError):
                log.warning("%s: invalid line in the status pipe", child.name)
                continue
            self._on_status(child, event, values)

    def _on_status(self, child: Child, event: str, values: dict[str, Any]) -> None:
        now = self.loop.time()
        if event == "beat":
            child.request_counters, child.inflight_counters = (
                integer_values(values),
                integer_values(values.get("hand")),
            )
            finished = sum(v for k, v in child.request_counters.items() if k != "open")
            self.fleet.on_heartbeat(now, child.name, child.generation, finished)
        elif event == "ready":
            if (child.name, child.generation) not in self._probes:
                self._probes[child.name, child.generation] = self.loop.create_task(self._probe(child))
            self._on_recovery_phase(child, "up")
            self._execute(self.fleet.on_ready(now, child.name, child.generation))
        elif event == "comeback":
            self._on_recovery_status(child, values)
        elif event == "declined" and self.orphans is not None and child.resources is not None:
            self.orphans.on_declined(child.resources, values)
        elif event == "reloaded":
            reason = values.get("why")
            if reason is None:
                child.spec = child.requested_spec
            self._execute(
                self.fleet.on_reloaded(now, child.name, child.generation, None if reason is None else str(reason))
            )

    def _on_recovery_status(self, child: Child, values: dict[str, Any]) -> None:
        """An instance reports on its recovery."""
        if self.stored_state is None or self.fleet.failure_correlator is None:
            return
        if self.stored_state.on_recovery_status(child.name, values):
            self._schedule_state_write()
        child.recovery_status = {k: v for k, v in values.items() if k not in ("event", "standing")}
        keys = ("connects", "held", "refused", "dropped")
        costs = {key: count for key in keys if isinstance(count := values.get(key), int)}
        self.fleet.failure_correlator.on_costs(child.name, costs)
        for phase in ("known", "first", "full"):
            if values.get(phase) is not None:
                self._on_recovery_phase(child, phase)

    def _on_recovery_phase(self, child: Child, phase: str) -> None:
        correlator, now = self.fleet.failure_correlator, self.loop.time()
        found = correlator.on_phase(now, child.name, phase) if correlator is not None else None
        if found is not None:
            failure, reached = found
            text = (
                f"event {failure.event_id}, {len(failure.names)} of {failure.fleet_size}: "
                f"{reached} after {failure.phase_times[reached]:.2f} s"
            )
            log.info("%s", text, extra={"event": "comeback"})
            if reached == "full":
                log.info(
                    "event %d is over: %s",
                    failure.event_id,
                    failure.view(now),
                    extra={"event": "comeback_full"},
                )

    async def _probe(self, child: Child) -> None:
        """Send readiness checks to one process while it is starting or ready."""
        instance_id = f"{child.name}/{child.generation}".encode()
        while (child.name, child.generation) in self.children:
            instance = self.fleet.instances.get(child.name)
            instance_spec = self.spec.instances.get(child.name)
            tracked = instance.find_process(child.generation) if instance is not None else None
            if instance_spec is None or tracked is None or tracked.phase not in (Phase.STARTING, Phase.READY):
                return
            result = await probe(instance_spec.listen, instance_id)
            if result is ProbeResult.UP:
                self._execute(self.fleet.on_check_answered(self.loop.time(), child.name, child.generation))
            elif result is ProbeResult.WAITING:
                self.fleet.on_waiting_for_backends(self.loop.time(), child.name, child.generation)
            is_starting = tracked.phase is Phase.STARTING
            await asyncio.sleep(STARTING_PROBE_INTERVAL if is_starting else PROBE_INTERVAL)

    def _on_child_exit(self, child: Child, stream: ProcessOutput) -> None:
        """A process has exited: kill the rest of its process group, reap it and release its resources."""
        self.loop.remove_reader(child.pidfd)
        child.signal_group(signal.SIGKILL)
        _, status = os.waitpid(child.pid, 0)
        self._read_status(child)
        for _ in range(64):  # remaining output; bounded, because another process may hold the pipe's other end
            if not stream.read():
                break
        for descriptor in (child.log_fd, child.status_fd):
            self.loop.remove_reader(descriptor)
        del self.children[child.name, child.generation]
        probe = self._probes.pop((child.name, child.generation), None)
        if probe is not None:
            probe.cancel()  # the next process would answer the check
        child.close()
        if self.watchdog is not None and child.board_row >= 0:
            self.watchdog.on_reaped((child.name, child.generation), child.board_row)
        if self.orphans is not None and child.resources is not None:
            self.orphans.on_reaped(child.resources)
        self._write_roster()
        self._execute(self.fleet.on_exit(self.loop.time(), child.name, child.generation, self._exit_status(status)))

    def _exit_status(self, status: int) -> ExitStatus:
        code = os.waitstatus_to_exitcode(status)
        if code >= 0:
            return ExitStatus(code=code)
        # The kernel counts for the whole machine: another process's OOM kill at about the same time looks like ours.
        by_kernel = -code == signal.SIGKILL and oom_kill_count() > self._oom_kills[0]
        return ExitStatus(signal=-code, out_of_memory=by_kernel)

    def _write_roster(self) -> None:
        """Record the running processes for the next supervisor, once for all changes of one loop iteration."""
        if not self._roster_due:
            self._roster_due = True
            self.loop.call_soon(self._write_roster_now)

    def _write_roster_now(self) -> None:
        self._roster_due = False
        if self._ended.is_set():
            return
        entries = [child.identity.as_values() | {"name": child.name} for child in self.children.values()]
        try:
            write_private(self.spec.location.roster, orjson.dumps(entries))
        except OSError as error:
            log.error("the roster cannot be written: %s", error)

    # ---- reload --------------------------------------------------------------------------

    def _reload_by_signal(self) -> None:
        async def attempt() -> None:
            with contextlib.suppress(ControlError):  # `reload` has logged it
                await self.reload()

        task = self.loop.create_task(attempt())
        self._reloads.add(task)
        task.add_done_callback(self._reloads.discard)

    async def reload(self) -> OperationDone:
        """Read the fleet's file again, check all of it, and apply it to the instances; raises ControlError.

        An invalid file changes nothing. Instances apply what they can while they run; others are replaced, a few at
        a time.
        """
        self._require_running()
        try:
            new = read_spec(self.spec.location.file)
            self._check_change(new)
        except (ConfigError, AddressUnavailable) as error:
            log.error("configuration not reloaded: %s", error, extra={"event": "reload_refused"})
            raise ControlError(str(error)) from None
        self.manager.reloading()
        previous, self.spec = self.spec, new
        self.fleet.policy = new.policy
        if self.watchdog is not None and new.failure_detection is not None:
            self.watchdog.detector.policy = new.failure_detection
            self.watchdog.detector.outlier_detector.policy = new.outliers
        if self.fleet.failure_correlator is not None and new.recovery is not None:
            self.fleet.failure_correlator.policy = new.recovery.correlation
        steps = [(name, Step.REMOVE) for name in previous.instances if name not in new.instances]
        for name, instance_spec in new.instances.items():
            step = self._required_step(instance_spec, previous.instances.get(name))
            if step is not None:
                steps.append((name, step))
        now = self.loop.time()
        log.info("configuration reloaded; %d instances change", len(steps), extra={"event": "reload"})
        done = await self._begin_operation(self.fleet.reload(now, steps))
        for name in previous.instances:
            if name not in self.spec.instances and name not in self.fleet.instances:
                with contextlib.suppress(OSError):
                    self.spec.location.instance_file(name).unlink()
        self.manager.ready(done.text)
        return done

    def _required_step(self, instance_spec: InstanceSpec, previous: InstanceSpec | None) -> Step | None:
        """Return the least disruptive step that applies a configuration to an instance; None if none is needed.

        The configuration that its process runs with counts, not the previous content of the file: a reload that
        halted leaves some instances unchanged.
        """
        if previous is None:
            return Step.START
        instance = self.fleet.instances.get(instance_spec.name)
        current = instance.current if instance is not None else None
        child = self.children.get((instance_spec.name, current.generation)) if current is not None else None
        running = child.spec if child is not None else previous
        if running.version == instance_spec.version:
            return None
        return Step.REPLACE if running.needs_restart(instance_spec) else Step.RELOAD

    def _check_change(self, new: FleetSpec) -> None:
        """Raise ConfigError for changes that need a restart of the fleet; open the listeners of new instances."""
        running_spec = self.spec
        for key, before, after in (
            ("fleet.name", running_spec.location.name, new.location.name),
            ("fleet.state", running_spec.location.state_directory, new.location.state_directory),
            ("fleet.spawn", running_spec.spawn, new.spawn),
            ("log", running_spec.log, new.log),
            ("mesh", running_spec.cluster, new.cluster),
        ):
            if before != after:
                raise ConfigError(
                    f"{new.location.file}: {key}: {after} instead of {before} needs a restart of the fleet"
                )
        for key, previous, current in (
            ("comeback", running_spec.recovery, new.recovery),
            ("takeover", running_spec.takeover, new.takeover),
            ("vigil", running_spec.failure_detection, new.failure_detection),
        ):
            if (previous is None) is not (current is None):
                raise ConfigError(
                    f"{new.location.file}: {key}: adding or removing the table needs a restart of the fleet"
                )
        added = []
        for name, instance_spec in new.instances.items():
            running = running_spec.instances.get(name)
            if running is not None and running.listen != instance_spec.listen:
                raise ConfigError(
                    f"{new.location.file}: {name}: listen: can't change; give the instance another name"
                )
            if running is None:
                added.append(instance_spec)
        try:
            for instance_spec in added:
                self.listeners.get(instance_spec.name, instance_spec.listen)
        except AddressUnavailable:
            for instance_spec in added:
                self.listeners.release(instance_spec.name)
            raise

    def _reopen_log(self) -> None:
        self.sink.target.reopen()
        log.info("log reopened", extra={"event": "reopened"})

    # ---- control -------------------------------------------------------------------------

    async def _handle_request(self, command: str, request: dict[str, Any]) -> dict[str, Any]:
        names = request.get("names") or []
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise ControlError("names: not a list of names")
        if command in ("members", "leases", "bans", "ban", "unban"):
            return self._handle_cluster_request(command, names)
        unknown = [name for name in names if name not in self.fleet.instances]
        if unknown:
            raise ControlError(f"no such instance: {', '.join(map(repr, unknown[:5]))}")
        if command == "status":
            return self.status(names)
        if command == "explain":
            return self._explain(names)
        self._require_running()
        now = self.loop.time()
        if command == "start":
            operation = self.fleet.start(now, names or list(self.fleet.instances))
        elif command == "restart":
            operation = self.fleet.restart(now, names or list(self.fleet.instances))
        elif command == "stop" and names:
            operation = self.fleet.stop(now, names)
        elif command == "stop":
            self.loop.call_soon(self.stop)
            return {"text": "stopping", "pid": os.getpid(), "within": self.spec.policy.stop_within}
        elif command == "reload":
            done = await self.reload()
            return self._operation_reply(done)
        else:
            raise ControlError(f"unknown command {command!r}")
        return self._operation_reply(await self._begin_operation(operation))

    def _handle_cluster_request(self, command: str, names: list[str]) -> dict[str, Any]:
        """Handle a command about the cluster."""
        cluster = self.cluster
        if cluster is None:
            raise ControlError("the fleet's file has no table [mesh]")
        if command in ("ban", "unban"):
            if not names:
                raise ControlError(f"{command}: which backends?")
            rejected = cluster.set_banned(names, command == "ban")
            if rejected:
                raise ControlError(f"not recorded for {', '.join(map(repr, rejected[:5]))}: no room, or too long")
            return {"text": f"{command}: {', '.join(names)}"}
        views = {"members": cluster.view, "leases": cluster.leases, "bans": cluster.bans}
        return views[command]()

    def _explain(self, names: list[str]) -> dict[str, Any]:
        """The recent verdicts and actions of the failure detector."""
        if self.watchdog is None:
            raise ControlError("the fleet's file has no table [vigil]")
        now = self.loop.time()
        return {"notes": {name: self.watchdog.detector.explain(now, name) for name in names or self.fleet.instances}}

    @staticmethod
    def _operation_reply(done: OperationDone) -> dict[str, Any]:
        if not done.ok:
            raise ControlError(done.text)
        return {"text": done.text}

    def _require_running(self) -> None:
        if self.fleet.is_shutting_down:
            raise ControlError("the fleet is stopping")

    def status(self, names: list[str]) -> dict[str, Any]:
        """The state of the fleet as plain values, in bytes and seconds."""
        now = self.loop.time()
        rows = []
        for name in names or list(self.fleet.instances):
            row = self.fleet.view(now, name)
            child = self.children.get((name, row["generation"]))
            instance_spec = self.spec.instances.get(name)
            row["listen"] = "{}:{}".format(*instance_spec.listen) if instance_spec is not None else None
            row["pid"] = child.pid if child else None
            row["version"] = child.spec.version if child else None
            row["memory"] = resident_bytes(child.pid) if child else 0
            row["descriptors"] = descriptor_count(child.pid) if child else 0
            row["requests"] = child.request_counters if child else {}
            if self.stored_state is not None:
                row["comeback"] = child.recovery_status if child else {}
            if self.orphans is not None:
                row["hand"] = child.inflight_counters if child else {}
            if self.watchdog is not None:
                row["vigil"] = self.watchdog.detector.view((name, row["generation"]))
            rows.append(row)
        correlator = self.fleet.failure_correlator
        recoveries = (
            {"comeback": [failure.view(now) for failure in correlator.failures]} if correlator is not None else {}
        )
        takeover = {"takeover": self.orphans.view()} if self.orphans is not None else {}
        detector = {"vigil": self.watchdog.view()} if self.watchdog is not None else {}
        return (
            recoveries
            | takeover
            | detector
            | {
                "fleet": self.spec.location.name,
                "pid": os.getpid(),
                "instances": rows,
                "operations": self.fleet.progress_reports,
                "log_dropped": self.sink.dropped_total,
            }
        )


class CannotStart(Exception):
    """A fleet could not be started; the text gives the reason."""


StartCallback = Callable[[OperationDone], None]


async def supervise(spec: FleetSpec, names: list[str], environ: Mapping[str, str], on_started: StartCallback) -> None:
    """Run a fleet to its end; `on_started` is called with the outcome of its start. Raises CannotStart."""
    supervisor = Supervisor(spec, environ)
    try:
        await supervisor.prepare()
    except (AddressUnavailable, OSError, ConfigError) as error:
        supervisor.listeners.release_all()
        raise CannotStart(str(error)) from None
    on_started(await supervisor.run(names))
    await supervisor.wait_ended()


def run(spec: FleetSpec, names: list[str], environ: Mapping[str, str], on_started: StartCallback) -> None:
    """Hold the state directory and run the fleet in the foreground; raises CannotStart or ConfigError."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload
    # Each instance takes five descriptors: the usual limit would suffice for about two hundred instances.
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    prepare_state_directory(spec.location.state_directory)
    lock = StateLock(spec.location.lock_file, spec.location.pid_file)
    try:
        lock.acquire()
    except LockHeld as error:
        raise CannotStart(str(error)) from None
    except OSError as error:
        raise CannotStart(f"{spec.location.lock_file}: {error.strerror}") from None
    try:
        asyncio.run(supervise(spec, names, environ, on_started))
    finally:
        lock.release()
