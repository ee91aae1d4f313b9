"""A second process that shares all descriptors of an instance, and so keeps its connections when it dies.

The keeper is made by clone(2) with CLONE_FILES: there is one table of descriptors, which ends with the last of the
two. So a connection costs nothing to be covered, however short its request: nothing is lent, sent or told while the
instance lives. Its memory is the instance's of its start, copied on write, and it runs nothing but what is here. It
is the supervisor's child, not the instance's (CLONE_PARENT), in a process group of its own.

Over its socket (SOCK_SEQPACKET) it first says who it is, `{"pid": N}`. When the instance is dead the supervisor sends
lists `[[name, [descriptor, ...]], ...]`; for each the answer is `[name, [is it open, ...]]` with those that are open
(SCM_RIGHTS, unix(7)). `{"ports": [P, ...], "known": [descriptor, ...]}` asks for callers' connections that the
instance had accepted, or was handed, and not noted yet: `["others", [name, ...]]` with them, the last time with none.
`[]` ends it, as does the end of the socket: then all that was not given is closed.
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
CLONE_SYSCALLS = {"x86_64": 56, "aarch64": 220}  # of clone(2)
BATCH_DESCRIPTORS = 32  # descriptors of one message; the kernel takes 253 (SCM_MAX_FD)


def start(descriptor: int) -> None:
    """Begin to be kept; the process must have one thread. Raises OSError."""
    owner = os.pidfd_open(os.getpid())
    if _clone() == 0:
        try:
            _run(socket.socket(fileno=descriptor), owner)
        finally:
            os._exit(0)
    # Not closed: there is one table of descriptors.


def _clone() -> int:
    """As fork, but with one table of descriptors, and as the parent's child. Returns 0 in the new process."""
    number = CLONE_SYSCALLS.get(platform.machine())
    if number is None:
        raise OSError(f"the number of clone(2) on {platform.machine()} is not known")
    library = ctypes.PyDLL(None, use_errno=True)  # keeps hold of the interpreter, as os.fork does
    library.syscall.restype = ctypes.c_long
    none = ctypes.c_long(0)
    ctypes.pythonapi.PyOS_BeforeFork()
    flags = ctypes.c_long(CLONE_FILES | CLONE_PARENT | signal.SIGCHLD)
    pid = int(library.syscall(ctypes.c_long(number), flags, none, none, none, none))
    if pid == 0:
        ctypes.pythonapi.PyOS_AfterFork_Child()
    else:
        ctypes.pythonapi.PyOS_AfterFork_Parent()
    if pid < 0:
        fault = ctypes.get_errno()
        raise OSError(fault, os.strerror(fault))
    return pid


def _run(sock: socket.socket, owner: int) -> None:
    # What the supervisor ends by the instance's group must not end this one.
    os.setpgid(0, 0)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)  # the end of the socket ends it, and nothing before
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
        asked = orjson.loads(message)
        if not asked:
            return
        if isinstance(asked, dict):
            _send_unrecorded(sock, set(asked["ports"]), set(asked["known"]))
            continue
        for name, descriptors in asked:
            have = [_is_socket(number) for number in descriptors]
            given = [number for number, there in zip(descriptors, have, strict=True) if there]
            socket.send_fds(sock, [orjson.dumps([name, have])], given)


def _close_listeners() -> None:
    """Listen no longer: the next process of the instance wants the addresses. The supervisor holds its own copies."""
    for entry in os.listdir("/proc/self/fd"):
        with contextlib.suppress(OSError):
            sock = socket.socket(fileno=os.dup(int(entry)))
            listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
            sock.close()
            if listens:
                os.close(int(entry))


def _send_unrecorded(sock: socket.socket, ports: set[int], known: set[int]) -> None:
    """Connections that came to any of these ports and of which nothing is known."""
    found: list[tuple[int, int]] = []
    for entry in os.listdir("/proc/self/fd"):
        number = int(entry)
        if number in known:
            continue
        with contextlib.suppress(OSError):
            one = socket.socket(fileno=os.dup(number))
            name = connection_id_of(one) if one.family in (socket.AF_INET, socket.AF_INET6) else 0
            if name and one.getsockname()[1] in ports:
                found.append((number, name))
            one.close()
    for at in range(0, len(found) + 1, BATCH_DESCRIPTORS):
        part = found[at : at + BATCH_DESCRIPTORS]
        message = orjson.dumps(["others", [name for _, name in part]])
        if part:
            socket.send_fds(sock, [message], [number for number, _ in part])
    sock.send(orjson.dumps(["others", []]))


def _is_socket(descriptor: int) -> bool:
    """Whether a descriptor is a socket: one that was noted may be closed, and its number be anything's by now."""
    try:
        return stat.S_ISSOCK(os.fstat(descriptor).st_mode)
    except OSError:
        return False
