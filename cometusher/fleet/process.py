"""Starts the processes of instances, and holds what the supervisor needs of each.

There are two ways: `fork` of the supervisor, which has imported everything already, and `exec` of a new interpreter
(or of an instance's own command). Both result in the same descriptors, limits and environment. The supervisor must
have one thread only: a fork copies no other thread, and locks that others held would never be released.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import resource
import secrets
import signal
import socket
import sys
import traceback
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

from cometusher.fleet import instance
from cometusher.fleet.identity import Identity
from cometusher.fleet.spec import FleetSpec, InstanceSpec, serialize_config, write_private

if TYPE_CHECKING:
    from cometusher.fleet.orphans import ProcessResources

REPOSITORY_ROOT = Path(__file__).resolve().parent.parent.parent
MIN_TEMPORARY_FD = 64  # descriptors are duplicated above this before they get their final numbers
EXIT_SETUP_FAILED = 70  # exit code of a process whose setup failed (EX_SOFTWARE, sysexits.h)
RESERVED_PREFIXES = ("LB_", "FLEET_", "LISTEN_", "WATCHDOG_", "NOTIFY_SOCKET")


@dataclass(slots=True)
class Child:
    """A process that this supervisor has started and not reaped."""

    name: str
    generation: int
    pid: int
    identity: Identity
    pidfd: int
    status_fd: int  # read end of the status pipe
    log_fd: int  # read end of its output
    lifeline_fd: int  # write end; its closing tells the process that the supervisor is gone
    spec: InstanceSpec  # the configuration that it runs with
    requested_spec: InstanceSpec  # the configuration of the last reload, which it may not have confirmed
    ring_position: dict[str, int]  # settings of its position among its tier's instances; fixed while it runs
    request_counters: dict[str, Any] = field(default_factory=dict)
    recovery_status: dict[str, Any] = field(default_factory=dict)  # its last report
    inflight_counters: dict[str, Any] = field(default_factory=dict)  # its last report
    resources: ProcessResources | None = None  # if takeover is enabled
    board_row: int = -1  # its row of the heartbeat board; -1 if it has none
    partial_line: bytes = b""  # of the status pipe

    def signal(self, number: int) -> None:
        """Send it a signal. Harmless if it has exited: its pidfd names no other process."""
        with contextlib.suppress(OSError):
            signal.pidfd_send_signal(self.pidfd, number)

    def signal_group(self, number: int) -> None:
        """Signal its process group, with all processes that it has started; only valid until it is reaped."""
        with contextlib.suppress(OSError):
            os.killpg(self.pid, number)

    def close(self) -> None:
        """Close the descriptors held for it."""
        for descriptor in (self.pidfd, self.status_fd, self.log_fd, self.lifeline_fd):
            os.close(descriptor)


def _child_environment(spec: FleetSpec, instance_spec: InstanceSpec, generation: int) -> dict[str, str]:
    switches = {"FLEET_COMEBACK": "1"} if spec.recovery is not None else {}
    switches |= {"FLEET_TAKEOVER": "1"} if spec.takeover is not None else {}
    switches |= {"FLEET_VIGIL": "1"} if spec.failure_detection is not None else {}
    environ = {k: v for k, v in os.environ.items() if not k.startswith(RESERVED_PREFIXES)}
    path = [str(REPOSITORY_ROOT), *filter(None, [environ.get("PYTHONPATH")])]
    return (
        environ
        | switches
        | {
            "PYTHONPATH": os.pathsep.join(path),
            "LB_CONFIG": str(spec.location.instance_file(instance_spec.name)),
            "LB_NAME": instance_spec.name,
            "FLEET_INSTANCE": instance_spec.name,
            "FLEET_GENERATION": str(generation),
            "FLEET_STATUS_FD": str(instance.STATUS_FD),
            "FLEET_LIFELINE_FD": str(instance.LIFELINE_FD),
            "LISTEN_FDS": "1",
            "LISTEN_PID": str(os.getpid()),
        }
    )


def _assign_descriptors(descriptors: dict[int, int]) -> None:
    """Give descriptors their final numbers and close all others, which include other instances' lifelines."""
    high = {number: fcntl.fcntl(source, fcntl.F_DUPFD, MIN_TEMPORARY_FD) for number, source in descriptors.items()}
    for number, source in high.items():
        os.dup2(source, number, inheritable=True)
    for entry in os.listdir("/proc/self/fd"):
        if int(entry) > max(high):
            with contextlib.suppress(OSError):  # the descriptor of the listing itself is closed by now
                os.close(int(entry))


def _limit_descriptors(limit: int) -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    wanted = limit if hard == resource.RLIM_INFINITY else min(limit, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, wanted))


def _run_child(
    spec: FleetSpec, instance_spec: InstanceSpec, generation: int, descriptors: dict[int, int], mask: set[int]
) -> NoReturn:
    """In the child: drop the supervisor's signal handlers and descriptors, and run the instance; never returns."""
    code = EXIT_SETUP_FAILED
    try:
        os.setpgid(0, 0)
        # A signal to the child must not wake up the supervisor through the wake-up descriptor that both share.
        signal.set_wakeup_fd(-1)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGCHLD, signal.SIGUSR1):
            signal.signal(number, signal.SIG_DFL)
        for number in (signal.SIGHUP, signal.SIGPIPE):
            signal.signal(number, signal.SIG_IGN)
        _assign_descriptors(descriptors)
        _limit_descriptors(instance_spec.sockets)
        os.umask(0o077)
        environ = _child_environment(spec, instance_spec, generation)
        if instance_spec.command or spec.spawn == "exec":
            command = instance_spec.command or (sys.executable, "-m", "cometusher", "instance")
            signal.pthread_sigmask(signal.SIG_SETMASK, mask)
            os.chdir("/")
            os.execvpe(command[0], command, environ)
        # The name that ps and top show; it would be the supervisor's otherwise (comm of proc(5), 15 bytes).
        Path("/proc/self/comm").write_bytes(instance_spec.name.encode()[:15])
        os.environ.clear()
        os.environ.update(environ)
        signal.pthread_sigmask(signal.SIG_SETMASK, mask)
        code = instance.main()
    except BaseException:
        traceback.print_exc()
    finally:
        with contextlib.suppress(Exception):
            sys.stdout.flush()
            sys.stderr.flush()
        # Not sys.exit: the supervisor's clean-up must not run here.
        os._exit(code)


def spawn(
    spec: FleetSpec,
    instance_spec: InstanceSpec,
    generation: int,
    listener: socket.socket,
    extra_values: dict[str, Any] | None = None,
    extra_descriptors: dict[int, int] | None = None,
) -> Child:
    """Start a process; raises OSError.

    `extra_values` are added to its configuration file; it gets `extra_descriptors` by number.
    """
    ring_position = spec.ring_position(instance_spec.name)
    values = instance_spec.at_ring_position(ring_position) | {"seed": secrets.token_hex(8)} | (extra_values or {})
    write_private(spec.location.instance_file(instance_spec.name), serialize_config(values))
    opened: list[int] = []
    try:
        for _ in range(3):
            opened += os.pipe()
        status_fd, status_write_fd, log_fd, log_write_fd, lifeline_read_fd, lifeline_fd = opened
        null_fd = os.open(os.devnull, os.O_RDWR)
        opened.append(null_fd)
        # Signals are blocked until the child has dropped the supervisor's handlers.
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        try:
            pid = os.fork()
            if pid == 0:
                _run_child(
                    spec,
                    instance_spec,
                    generation,
                    {
                        0: null_fd,
                        1: log_write_fd,
                        2: log_write_fd,
                        instance.LISTENER_FD: listener.fileno(),
                        instance.STATUS_FD: status_write_fd,
                        instance.LIFELINE_FD: lifeline_read_fd,
                    }
                    | (extra_descriptors or {}),
                    {int(number) for number in mask},
                )
        finally:
            signal.pthread_sigmask(signal.SIG_SETMASK, mask)
        pidfd = os.pidfd_open(pid)
    except OSError:
        for descriptor in opened:
            os.close(descriptor)
        raise
    for descriptor in (status_write_fd, log_write_fd, lifeline_read_fd, null_fd):
        os.close(descriptor)
    for descriptor in (status_fd, log_fd):
        os.set_blocking(descriptor, False)
    with contextlib.suppress(OSError):
        os.setpgid(pid, pid)  # parent and child both set it, whichever runs first
    identity = Identity.of(pid)
    assert identity is not None  # it exists until it is reaped
    return Child(
        instance_spec.name,
        generation,
        pid,
        identity,
        pidfd,
        status_fd,
        log_fd,
        lifeline_fd,
        instance_spec,
        instance_spec,
        ring_position,
    )
