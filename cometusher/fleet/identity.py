"""Who a process is, and the lock that makes one supervisor the only one of its state directory.

A pid alone names nobody: it is used again. A process is named by its pid, its start time (clock ticks since boot,
proc(5), field 22 of stat), the boot id and its user; all have to fit before a number out of a file is believed.
The lock is a POSIX record lock (fcntl(2)): the kernel drops it with its process, children don't inherit it, and
it tells who holds it. The pid file is for people; nothing is decided by it.
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
    """Names this boot of the machine."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


@dataclass(frozen=True, slots=True)
class ProcessStat:
    """What proc(5) tells of a process."""

    state: str
    parent: int
    group: int
    cpu: float  # seconds of processor time
    started: int  # ticks since boot
    threads: int  # that have not ended; 1 for a zombie of which nothing is left


RUNNABLE = "R"  # a state: it runs, or waits for a processor; all others wait for something else


def read_stat(pid: int) -> ProcessStat | None:
    """None if there is no such process."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    rest = text[text.rindex(")") + 2 :].split()  # the name may hold anything, also brackets and spaces
    cpu = (int(rest[11]) + int(rest[12])) / CLOCK_TICKS_PER_SECOND
    return ProcessStat(rest[0], int(rest[1]), int(rest[2]), cpu, int(rest[19]), int(rest[17]))


def read_schedstat(pid: int) -> tuple[float, float]:
    """Seconds of processor time, and of waiting for it, of a process's first thread, to the nanosecond.

    schedstat of proc(5); zeros if the process is gone, or the kernel does not count.
    """
    try:
        cpu_time, wait_time, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    except (OSError, ValueError):
        return 0.0, 0.0
    return int(cpu_time) / 1e9, int(wait_time) / 1e9


@dataclass(frozen=True, slots=True)
class Identity:
    """Exactly one process."""

    pid: int
    started: int
    boot: str
    uid: int

    @staticmethod
    def of(pid: int) -> Identity | None:
        """The identity of a process that is there now."""
        stat = read_stat(pid)
        try:
            uid = os.stat(f"/proc/{pid}").st_uid
        except OSError:
            return None
        return Identity(pid, stat.started, boot_id(), uid) if stat is not None else None

    @staticmethod
    def parse(value: Any) -> Identity | None:
        """Out of a file; None for anything that is not whole."""
        if not isinstance(value, dict):
            return None
        pid, started, boot, uid = (value.get(key) for key in ("pid", "started", "boot", "uid"))
        numbers = [n for n in (pid, started, uid) if isinstance(n, int) and not isinstance(n, bool) and n >= 0]
        if len(numbers) != 3 or not isinstance(boot, str) or numbers[0] < 2:
            return None
        return Identity(numbers[0], numbers[1], boot, numbers[2])

    def as_values(self) -> dict[str, Any]:
        """For a file."""
        return asdict(self)

    def is_alive(self) -> bool:
        """Whether this very process is there, and no zombie.

        The state is that of its first thread. While another one is still ending, as a killed one does that waits for
        a disk, the process holds its descriptors, listeners among them, though it looks like a zombie.
        """
        stat = read_stat(self.pid)
        if stat is None or (stat.state in "ZX" and stat.threads <= 1):
            return False
        return Identity.of(self.pid) == self

    def signal(self, number: int) -> bool:
        """Signal this very process or nobody; tells whether it was there.

        The descriptor is taken first and the identity looked at after: what the descriptor names can't change.
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
    """Another one has what is wanted; the text says who."""


class StateLock:
    """The lock of a state directory, held until the process ends."""

    def __init__(self, lock_file: Path, pid_file: Path) -> None:
        self._lock_file = lock_file
        self._pid_file = pid_file
        self._descriptor = -1

    def acquire(self) -> None:
        """Take the lock and say so in the pid file; raises Held, or OSError."""
        self._descriptor = os.open(self._lock_file, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except (BlockingIOError, PermissionError):
            raise LockHeld(self._describe_holder()) from None
        identity = Identity.of(os.getpid())
        assert identity is not None
        write_private(self._pid_file, orjson.dumps(identity.as_values() | {"since": time.time()}) + b"\n")

    def _describe_holder(self) -> str:
        """Who holds it: the kernel knows, whatever stands in the pid file."""
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
        """Give it back; the lock file stays, for a new one would not be the one that others wait on."""
        if self._descriptor >= 0:
            with contextlib.suppress(OSError):
                self._pid_file.unlink()
            os.close(self._descriptor)
            self._descriptor = -1
