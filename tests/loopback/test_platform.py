"""What the platform asks of `build` and `run`: one process, no programs, no forks, nothing that it refuses."""

from __future__ import annotations

import ast
import asyncio
import os
import platform
import subprocess
import sys
import tomllib
from pathlib import Path

import orjson
import pytest
from rig import PEER_TIMEOUT, SETTINGS, Backend, Caller, serve_ok
from test_proxy import run

from standins.ports import free_ports

ROOT = Path(__file__).parent.parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
#: Calls that start a program or a process, or that the platform refuses.
REFUSED = {
    "fork",
    "forkpty",
    "posix_spawn",
    "posix_spawnp",
    "system",
    "popen",
    "sendfile",
    "splice",
    "Popen",
    "check_output",
    "create_subprocess_exec",
    "create_subprocess_shell",
    "subprocess_exec",
    "subprocess_shell",
    "ProcessPoolExecutor",
}
#: Parts that `run` has no use for.
ABSENT = {
    "cometusher.fleet",
    "cometusher.simulation",
    "cometusher.demo",
    "cometusher.cli",
    "cometusher.toml_reader",
    "cometusher.management",
    "cometusher.hot_restart",
    "cometusher.handover",
    "cometusher.inflight",
    "cometusher.cluster",
    "weldroute.members",
    "weldroute.links",
    "weldroute.leases",
    "msgspec",
    "weldroute.failure_detector",
    "weldroute.fleet",
    "weldroute.handover",
    "weldroute.benchlink",
    "standins",
    "sqlite3",
    "tomllib",
    "argparse",
    "multiprocessing",
    "matplotlib",
    "numpy",
}
#: Imports what `run` imports and prints the files of it that are ours, and all names.
IMPORTED = """
import json, sys
import cometusher.service
ours = {n: m.__file__ for n, m in sys.modules.items() if n.split(".")[0] in ("cometusher", "weldroute")}
print(json.dumps([sorted(sys.modules), ours]))
"""
#: Runs the proxy behind a filter of its own (seccomp(2)) that answers ENOSYS to what starts processes, threads or
#: programs, to io_uring, splice and sendfile; what it asks for all the same is told by the interpreter's audit.
FILTERED = """
import ctypes, struct, sys
import cometusher.service
NUMBERS = {calls}
PR_SET_NO_NEW_PRIVS, PR_SET_SECCOMP, FILTER, ENOSYS = 38, 22, 2, 38
LOAD, EQUAL, RETURN, ALLOW, ERRNO = 0x20, 0x15, 0x06, 0x7FFF0000, 0x00050000
code = [(LOAD, 0, 0, 0)] + [(EQUAL, len(NUMBERS) - i, 0, n) for i, n in enumerate(NUMBERS)]
code += [(RETURN, 0, 0, ALLOW), (RETURN, 0, 0, ERRNO | ENOSYS)]
program = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *row) for row in code))
header = ctypes.create_string_buffer(struct.pack("HxxxxxxP", len(code), ctypes.addressof(program)))
libc = ctypes.CDLL(None, use_errno=True)
assert libc.prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 and libc.prctl(PR_SET_SECCOMP, FILTER, header) == 0
def told(event, arguments):
    if event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen"):
        print("REFUSED", event, file=sys.stderr, flush=True)
sys.addaudithook(told)
sys.exit(cometusher.service.main())
"""
#: System calls by machine: execve, execveat, fork, vfork, clone, clone3, sendfile, splice, io_uring_setup, _enter.
CALLS = {
    "x86_64": [59, 322, 57, 58, 56, 435, 40, 275, 425, 426],
    "aarch64": [221, 281, 220, 435, 71, 76, 425, 426],
}


def imported() -> tuple[set[str], dict[str, str]]:
    done = subprocess.run([sys.executable, "-c", IMPORTED], cwd=ROOT, capture_output=True, check=True)
    names, files = orjson.loads(done.stdout)
    return set(names), files


def test_run_ends_by_exec_in_one_process() -> None:
    for command in (DEPLOY["run"], DEPLOY["sim"]):
        assert command.startswith("exec .venv/bin/python -m "), command
        assert not set(command) & set(";|&$`<>()\n"), command


def test_build_stays_inside_the_folder_and_installs_what_run_needs() -> None:
    """An ordinary user's: no privileges, no path from outside, and the pinned requirements only."""
    words = DEPLOY["build"].replace("{", " ").replace("}", " ").split()
    assert not {"sudo", "su", "apt-get", "apt"} & set(words)
    assert not [word for word in words if word.startswith(("/", "~", "../"))]
    assert "requirements.txt" in DEPLOY["build"] and DEPLOY["packages"] == []
    for line in (ROOT / "requirements.txt").read_text().split():
        assert "==" in line, f"{line} is not pinned"


def test_run_imports_nothing_that_it_does_not_use() -> None:
    names, _ = imported()
    assert not [name for name in names if any(name == a or name.startswith(a + ".") for a in ABSENT)]


def test_nothing_that_run_imports_starts_programs_or_processes() -> None:
    """By the words of our own sources; asyncio's own subprocess module is imported by it and never called."""
    _, files = imported()
    assert len(files) > 12
    for name, file in files.items():
        for node in ast.walk(ast.parse(Path(file).read_text())):
            called = node.func if isinstance(node, ast.Call) else None
            word = called.attr if isinstance(called, ast.Attribute) else getattr(called, "id", "")
            assert word not in REFUSED, f"{name}:{getattr(node, 'lineno', 0)} calls {word}"
            if isinstance(node, (ast.Import, ast.ImportFrom)):
                heads = {alias.name.split(".")[0] for alias in node.names} | {str(getattr(node, "module", ""))}
                assert not heads & {"subprocess", "multiprocessing", "pty"}, f"{name} imports {heads}"


@pytest.mark.skipif(platform.machine() not in CALLS, reason="system calls have other numbers here")
def test_a_proxy_serves_and_ends_where_all_of_that_is_refused(tmp_path: Path) -> None:
    """Its descriptors and threads are what the kernel lists (proc(5)): libuv falls back to epoll_ctl."""

    async def test() -> None:
        backend = Backend(1, serve_ok)
        await backend.start()
        port = free_ports(1)[0]
        path = tmp_path / "config.json"
        path.write_bytes(
            orjson.dumps(
                {
                    "listen": f"127.0.0.1:{port}",
                    "discovery": "127.0.0.1:9",
                    "settings": SETTINGS,
                    "known": {"seq": 1, "whole": True, "hosts": [backend.discovery_entry()]},
                }
            )
        )
        code = FILTERED.replace("{calls}", repr(CALLS[platform.machine()]))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            code,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"LB_CONFIG": str(path)},
        )
        try:
            assert process.stderr is not None
            while b"listens on" not in (line := await asyncio.wait_for(process.stderr.readline(), PEER_TIMEOUT)):
                assert line and b"REFUSED" not in line, line
            caller = Caller(*await asyncio.open_connection("127.0.0.1", port))
            assert (await caller.call())[0] == 200
            held = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{process.pid}/fd")]
            assert not [link for link in held if "io_uring" in link], held
            assert len(os.listdir(f"/proc/{process.pid}/task")) == 1
            process.terminate()
            assert b"REFUSED" not in await asyncio.wait_for(process.stderr.read(), PEER_TIMEOUT)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
            await backend.stop()

    run(test)
