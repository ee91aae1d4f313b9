"""Starting one process of an instance, and what the supervisor keeps of it.

Two ways: `fork` of the supervisor, which has everything imported already, and `exec` of a new interpreter (or of
an instance's own command). Both end in the same descriptors, limits and environment. The supervisor has one
thread, always: a fork copies no other, and locks that others hold would never be released.
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
MIN_TEMPORARY_FD = 64  # descriptors are moved above this before they get their numbers
EXIT_SETUP_FAILED = 70  # exit code of a process that could not get ready to run (EX_SOFTWARE, sysexits.h)
RESERVED_PREFIXES = ("LB_", "FLEET_", "LISTEN_", "WATCHDOG_", "NOTIFY_SOCKET")


@dataclass(slots=True)
class Child:
    """A process that this supervisor started and has not reaped."""

    name: str
    generation: int
    pid: int
    identity: Identity
    pidfd: int
    status_fd: int  # to read from
    log_fd: int  # to read from
    lifeline_fd: int  # to hold open
    spec: InstanceSpec  # what it runs with
    requested_spec: InstanceSpec  # ...and what it was told last, before its word on that
    ring_position: dict[str, int]  # on the ring of backends, for as long as it runs
    request_counters: dict[str, Any] = field(default_factory=dict)
    recovery_status: dict[str, Any] = field(default_factory=dict)  # what it last said of its return...
    inflight_counters: dict[str, Any] = field(default_factory=dict)  # ...and of its work in hand
    resources: ProcessResources | None = None  # what it would leave behind, where that is switched on
    board_row: int = -1  # of the board that it beats on, where that is switched on
    partial_line: bytes = b""  # of a status line that is not whole

    def signal(self, number: int) -> None:
        """Signal it; nothing happens if it has ended, for it is not reaped before this object is dropped."""
        with contextlib.suppress(OSError):
            signal.pidfd_send_signal(self.pidfd, number)

    def signal_group(self, number: int) -> None:
        """Signal all that it started and left behind in its group; only while its pid is not reaped."""
        with contextlib.suppress(OSError):
            os.killpg(self.pid, number)

    def close(self) -> None:
        """Close what is held for it."""
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
    """Give descriptors their numbers, and close all others: lifelines of other instances among them."""
    high = {number: fcntl.fcntl(source, fcntl.F_DUPFD, MIN_TEMPORARY_FD) for number, source in descriptors.items()}
    for number, source in high.items():
        os.dup2(source, number, inheritable=True)
    for entry in os.listdir("/proc/self/fd"):
        if int(entry) > max(high):
            with contextlib.suppress(OSError):  # the listing's own is closed by now
                os.close(int(entry))


def _limit_descriptors(limit: int) -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    wanted = limit if hard == resource.RLIM_INFINITY else min(limit, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, wanted))


def _run_child(
    spec: FleetSpec, instance_spec: InstanceSpec, generation: int, descriptors: dict[int, int], mask: set[int]
) -> NoReturn:
    """In the child: leave everything of the supervisor behind, and run; does not return."""
    code = EXIT_SETUP_FAILED
    try:
        os.setpgid(0, 0)
        # A signal that the child gets must not wake up the supervisor through the descriptor that both have.
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
        # What ps and top show: else all would have the supervisor's name (comm of proc(5), 15 bytes).
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
        # Not sys.exit: the supervisor's own clean-up must not run here.
        os._exit(code)


def spawn(
    spec: FleetSpec,
    instance_spec: InstanceSpec,
    generation: int,
    listener: socket.socket,
    extra_values: dict[str, Any] | None = None,
    extra_descriptors: dict[int, int] | None = None,
) -> Child:
    """Start a process; `more` goes into its file, and it has the descriptors `given` by number. Raises OSError."""
    ring_position = spec.ring_position(instance_spec.name)
    values = instance_spec.at_ring_position(ring_position) | {"seed": secrets.token_hex(8)} | (extra_values or {})
    write_private(spec.location.instance_file(instance_spec.name), serialize_config(values))
    opened: list[int] = []
    try:
        for _ in range(3):
            opened += os.pipe()
        status, status_w, log, log_w, lifeline_r, lifeline = opened
        null = os.open(os.devnull, os.O_RDWR)
        opened.append(null)
        # No signal between the fork and the moment when the child has dropped the supervisor's handlers.
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
        try:
            pid = os.fork()
            if pid == 0:
                _run_child(
                    spec,
                    instance_spec,
                    generation,
                    {
                        0: null,
                        1: log_w,
                        2: log_w,
                        instance.LISTENER_FD: listener.fileno(),
                        instance.STATUS_FD: status_w,
                        instance.LIFELINE_FD: lifeline_r,
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
    for descriptor in (status_w, log_w, lifeline_r, null):
        os.close(descriptor)
    for descriptor in (status, log):
        os.set_blocking(descriptor, False)
    with contextlib.suppress(OSError):
        os.setpgid(pid, pid)  # here too: whichever comes first
    identity = Identity.of(pid)
    assert identity is not None  # not reaped, so it is there
    return Child(
        instance_spec.name,
        generation,
        pid,
        identity,
        pidfd,
        status,
        log,
        lifeline,
        instance_spec,
        instance_spec,
        ring_position,
    )
