"""A second process that shares all descriptors of an instance, and so keeps its connections open when it dies.

The descriptor holder is made by clone(2) with CLONE_FILES: the two processes have one table of descriptors, which is
freed with the last of them. So it costs nothing to cover a connection, however short its request: nothing is
transferred or reported while the instance lives. The holder's memory is a copy-on-write image of the instance at its
start, and it runs nothing but this module. It is the supervisor's child, not the instance's (CLONE_PARENT), in a
process group of its own.

Over its socket (SOCK_SEQPACKET) it first sends its process id, `{"pid": N}`. When the instance is dead the supervisor
sends lists `[[name, [descriptor, ...]], ...]`; for each the answer is `[name, [is it open, ...]]` together with the
open ones (SCM_RIGHTS, unix(7)). `{"ports": [P, ...], "known": [descriptor, ...]}` requests callers' connections that
the instance had accepted, or taken over, and not recorded yet: the answers are `["others", [id, ...]]` with those
connections, the last of them without any. `[]` ends the holder, as does the end of the socket: then all connections
that were not handed out are closed.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import platform
import select
import signal
import socket
import stat
from pathlib import Path

import orjson

from cometusher.inflight.offer import MAX_MESSAGE
from cometusher.inflight.tcp_info import connection_id_of

CLONE_FILES, CLONE_PARENT = 0x400, 0x8000  # linux/sched.h
CLONE_SYSCALLS = {"x86_64": 56, "aarch64": 220}  # numbers of clone(2)
BATCH_DESCRIPTORS = 32  # of one message; the kernel allows 253 (SCM_MAX_FD)


def start(descriptor: int) -> None:
    """Start the holder of this process, which must have one thread, on a socket's descriptor; raises OSError."""
    owner = os.pidfd_open(os.getpid())
    if _clone() == 0:
        try:
            _run(socket.socket(fileno=descriptor), owner)
        finally:
            os._exit(0)
    # The descriptors stay open: the table is shared, so closing them here would close them in the holder as well.


def _clone() -> int:
    """Fork with a shared table of descriptors, as a child of this process's parent; 0 in the new process."""
    number = CLONE_SYSCALLS.get(platform.machine())
    if number is None:
        raise OSError(f"the system call number of clone(2) on {platform.machine()} is not known")
    library = ctypes.PyDLL(None, use_errno=True)  # holds the interpreter lock during the call, as os.fork does
    library.syscall.restype = ctypes.c_long
    zero = ctypes.c_long(0)
    ctypes.pythonapi.PyOS_BeforeFork()
    flags = ctypes.c_long(CLONE_FILES | CLONE_PARENT | signal.SIGCHLD)
    pid = int(library.syscall(ctypes.c_long(number), flags, zero, zero, zero, zero))
    if pid == 0:
        ctypes.pythonapi.PyOS_AfterFork_Child()
    else:
        ctypes.pythonapi.PyOS_AfterFork_Parent()
    if pid < 0:
        error = ctypes.get_errno()
        raise OSError(error, os.strerror(error))
    return pid


def _run(sock: socket.socket, owner: int) -> None:
    # A signal of the supervisor to the instance's process group must not end this process.
    os.setpgid(0, 0)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # only the end of the socket ends it
    with contextlib.suppress(OSError):
        Path("/proc/self/comm").write_bytes(b"keeper")
    sock.setblocking(True)
    sock.send(orjson.dumps({"pid": os.getpid()}))
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    poller.register(owner, select.POLLIN)
    if (owner, select.POLLIN) in poller.poll():
        _close_listeners()
    while message := sock.recv(MAX_MESSAGE):
        request = orjson.loads(message)
        if not request:
            return
        if isinstance(request, dict):
            _send_unrecorded(sock, set(request["ports"]), set(request["known"]))
            continue
        for name, descriptors in request:
            are_open = [_is_socket(descriptor) for descriptor in descriptors]
            available = [descriptor for descriptor, is_open in zip(descriptors, are_open, strict=True) if is_open]
            socket.send_fds(sock, [orjson.dumps([name, are_open])], available)


def _close_listeners() -> None:
    """Close the listeners: the instance's next process needs the addresses. The supervisor has its own copies."""
    for entry in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            sock = socket.socket(fileno=os.dup(int(entry)))
            is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            sock.close()
            if is_listening:
                os.close(int(entry))


def _send_unrecorded(sock: socket.socket, ports: set[int], known: set[int]) -> None:
    """Send the connections to any of these ports whose descriptors the supervisor does not know, in batches."""
    found: list[tuple[int, int]] = []
    for entry in os.listdir("/proc/self/fd"):
        descriptor = int(entry)
        if descriptor in known:
            continue
        with contextlib.suppress(OSError):
            candidate = socket.socket(fileno=os.dup(descriptor))
            connection_id = (
                connection_id_of(candidate) if candidate.family in (socket.AF_INET, socket.AF_INET6) else 0
            )
            if connection_id and candidate.getsockname()[1] in ports:
                found.append((descriptor, connection_id))
            candidate.close()
    for begin in range(0, len(found) + 1, BATCH_DESCRIPTORS):
        batch = found[begin : begin + BATCH_DESCRIPTORS]
        message = orjson.dumps(["others", [connection_id for _, connection_id in batch]])
        if batch:
            socket.send_fds(sock, [message], [descriptor for descriptor, _ in batch])
    sock.send(orjson.dumps(["others", []]))


def _is_socket(descriptor: int) -> bool:
    """Whether a descriptor is a socket; a recorded one may be closed, and its number reused for something else."""
    try:
        return stat.S_ISSOCK(os.fstat(descriptor).st_mode)
    except OSError:
        return False
