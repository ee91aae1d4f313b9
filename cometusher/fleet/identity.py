"""Identities of processes, and the lock that admits one supervisor to a state directory.

A pid alone identifies no process, since pids are reused. A process is identified by its pid, its start time (clock
ticks since boot, proc(5), field 22 of stat), the boot id and its user; all must match before a pid read from a file
is trusted. The lock is a POSIX record lock (fcntl(2)): the kernel releases it when its process exits, children don't
inherit it, and the kernel tells who holds it. The pid file is for people; nothing is decided by it.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import signal
import struct
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import orjson

from cometusher.fleet.spec import write_private

_FLOCK = "hhqqi4x"  # struct flock of Linux on 64 bits: type, whence, start, length, pid
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def boot_id() -> str:
    """Identifies this boot of the machine."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(frozen=True, slots=True)
class ProcessStat:
    """Fields of /proc/PID/stat, see proc(5)."""

    state: str
    parent: int
    group: int
    cpu: float  # seconds of processor time
    started: int  # ticks since boot
    threads: int  # threads that have not exited; 1 for a zombie without any


RUNNABLE = (
    "R"  # state of a process that runs or waits for a processor; in all other states it waits for something else
)


def read_stat(pid: int) -> ProcessStat | None:
    """Read /proc/PID/stat; None if there is no such process."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    rest = text[text.rindex(")") + 2 :].split()  # the name may contain any characters, also brackets and spaces
    cpu = (int(rest[11]) + int(rest[12])) / CLOCK_TICKS_PER_SECOND
    return ProcessStat(rest[0], int(rest[1]), int(rest[2]), cpu, int(rest[19]), int(rest[17]))


def read_schedstat(pid: int) -> tuple[float, float]:
    """Return the processor time and run queue wait of a process's first thread, in seconds, exact to a nanosecond.

    From schedstat of proc(5); zeros if the process has exited or the kernel does not count.
    """
    try:
        cpu_time, wait_time, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    except (OSError, ValueError):
        return 0.0, 0.0
    return int(cpu_time) / 1e9, int(wait_time) / 1e9


@dataclass(frozen=True, slots=True)
class Identity:
    """Identifies exactly one process, also after its pid has been reused."""

    pid: int
    started: int
    boot: str
    uid: int

    @staticmethod
    def of(pid: int) -> Identity | None:
        """Return the identity of a running process; None if there is none with this pid."""
        stat = read_stat(pid)
        try:
            uid = os.stat(f"/proc/{pid}").st_uid
        except OSError:
            return None
        return Identity(pid, stat.started, boot_id(), uid) if stat is not None else None

    @staticmethod
    def parse(value: Any) -> Identity | None:
        """Parse an identity read from a file; None if it is incomplete or invalid."""
        if not isinstance(value, dict):
            return None
        pid, started, boot, uid = (value.get(key) for key in ("pid", "started", "boot", "uid"))
        numbers = [n for n in (pid, started, uid) if isinstance(n, int) and not isinstance(n, bool) and n >= 0]
        if len(numbers) != 3 or not isinstance(boot, str) or numbers[0] < 2:
            return None
        return Identity(numbers[0], numbers[1], boot, numbers[2])

    def as_values(self) -> dict[str, Any]:
        """Return the identity as plain values, for a file."""
        return asdict(self)

    def is_alive(self) -> bool:
        """Whether exactly this process exists and is not a zombie.

        The state is that of its first thread. While another thread is still exiting (a killed thread may wait for a
        disk), the process keeps its descriptors, listeners among them, though it looks like a zombie.
        """
        stat = read_stat(self.pid)
        if stat is None or (stat.state in "ZX" and stat.threads <= 1):
            return False
        return Identity.of(self.pid) == self

    def signal(self, number: int) -> bool:
        """Signal exactly this process; return whether it was there.

        The pidfd is opened before the identity is checked, because the process that a pidfd refers to can't change.
        """
        try:
            descriptor = os.pidfd_open(self.pid)
        except OSError:
            return False
        try:
            if not self.is_alive():
                return False
            signal.pidfd_send_signal(descriptor, number)
        except OSError:
            return False
        finally:
            os.close(descriptor)
        return True


class LockHeld(Exception):
    """The lock is held by another process; the text names it."""


class StateLock:
    """The lock of a state directory, held until the process exits."""

    def __init__(self, lock_file: Path, pid_file: Path) -> None:
        self._lock_file = lock_file
        self._pid_file = pid_file
        self._descriptor = -1

    def acquire(self) -> None:
        """Take the lock and write the pid file; raises LockHeld or OSError."""
        self._descriptor = os.open(self._lock_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except (BlockingIOError, PermissionError):
            raise LockHeld(self._describe_holder()) from None
        identity = Identity.of(os.getpid())
        assert identity is not None
        write_private(self._pid_file, orjson.dumps(identity.as_values() | {"since": time.time()}) + b"\n")

    def _describe_holder(self) -> str:
        """Describe the holder as the kernel knows it, whatever the pid file says."""
        query = struct.pack(_FLOCK, fcntl.F_WRLCK, os.SEEK_SET, 0, 0, 0)
        pid = int(struct.unpack(_FLOCK, fcntl.fcntl(self._descriptor, fcntl.F_GETLK, query))[4])
        text = f"{self._lock_file.parent} is held by another supervisor"
        if pid <= 0:
            return text
        since = ""
        with contextlib.suppress(OSError, ValueError, TypeError):
            values = orjson.loads(self._pid_file.read_bytes())
            written = Identity.parse(values)
            if written is not None and written.pid == pid and written.is_alive():
                since = time.strftime(", since %Y-%m-%d %H:%M:%S", time.localtime(float(values["since"])))
        return f"{text}, pid {pid}{since}"

    def release(self) -> None:
        """Release the lock. The lock file stays: others may wait on it, and a new file would be another lock."""
        if self._descriptor >= 0:
            with contextlib.suppress(OSError):
                self._pid_file.unlink()
            os.close(self._descriptor)
            self._descriptor = -1
