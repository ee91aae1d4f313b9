"""The platform's requirements for `build` and `run`: one process, no child processes, no forbidden system calls."""

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
#: Calls that start a program or a process, or that the platform forbids.
FORBIDDEN_CALLS = {
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
#: Modules that `run` does not use.
UNUSED_MODULES = {
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
#: Imports what `run` imports; prints the names of all modules, and the files of the project's own ones.
PRINT_IMPORTS = """
import json, sys
import cometusher.service
own_files = {n: m.__file__ for n, m in sys.modules.items() if n.split(".")[0] in ("cometusher", "weldroute")}
print(json.dumps([sorted(sys.modules), own_files]))
"""
#: Runs the proxy under a seccomp(2) filter that returns ENOSYS for calls that start processes, threads or programs,
#: for io_uring, splice and sendfile; an audit hook of the interpreter reports attempts to start processes.
RUN_FILTERED = """
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
def on_audit_event(event, arguments):
    if event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen"):
        print("REFUSED", event, file=sys.stderr, flush=True)
sys.addaudithook(on_audit_event)
sys.exit(cometusher.service.main())
"""
#: System calls by machine: execve, execveat, fork, vfork, clone, clone3, sendfile, splice, io_uring_setup, _enter.
FILTERED_SYSCALLS = {
    "x86_64": [59, 322, 57, 58, 56, 435, 40, 275, 425, 426],
    "aarch64": [221, 281, 220, 435, 71, 76, 425, 426],
}


def run_imports() -> tuple[set[str], dict[str, str]]:
    result = subprocess.run([sys.executable, "-c", PRINT_IMPORTS], cwd=ROOT, capture_output=True, check=True)
    names, files = orjson.loads(result.stdout)
    return set(names), files


def test_run_command_is_one_exec() -> None:
    for command in (DEPLOY["run"], DEPLOY["sim"]):
        assert command.startswith("exec .venv/bin/python -m "), command
        assert not set(command) & set(";|&$`<>()\n"), command


def test_build_uses_only_the_folder_and_installs_pinned_requirements() -> None:
    """The build needs no privileges, uses no paths outside the folder, and installs only pinned requirements."""
    words = DEPLOY["build"].replace("{", " ").replace("}", " ").split()
    assert not {"sudo", "su", "apt-get", "apt"} & set(words)
    assert not [word for word in words if word.startswith(("/", "~", "../"))]
    assert "requirements.txt" in DEPLOY["build"] and DEPLOY["packages"] == []
    for line in (ROOT / "requirements.txt").read_text().split():
        assert "==" in line, f"{line} is not pinned"


def test_run_imports_no_unused_modules() -> None:
    names, _ = run_imports()
    assert not [name for name in names if any(name == a or name.startswith(a + ".") for a in UNUSED_MODULES)]


def test_modules_of_run_start_no_programs_or_processes() -> None:
    """Checks the project's sources; asyncio imports its own subprocess module, which is never called."""
    _, files = run_imports()
    assert len(files) > 12
    for name, file in files.items():
        for node in ast.walk(ast.parse(Path(file).read_text())):
            function = node.func if isinstance(node, ast.Call) else None
            word = function.attr if isinstance(function, ast.Attribute) else getattr(function, "id", "")
            assert word not in FORBIDDEN_CALLS, f"{name}:{getattr(node, 'lineno', 0)} calls {word}"
            if isinstance(node, (ast.Import, ast.ImportFrom)):
                modules = {alias.name.split(".")[0] for alias in node.names} | {str(getattr(node, "module", ""))}
                assert not modules & {"subprocess", "multiprocessing", "pty"}, f"{name} imports {modules}"


@pytest.mark.skipif(platform.machine() not in FILTERED_SYSCALLS, reason="unknown system call numbers")
def test_proxy_serves_and_ends_under_the_syscall_filter(tmp_path: Path) -> None:
    """Checks descriptors and threads in proc(5); without io_uring libuv falls back to epoll_ctl."""

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
        code = RUN_FILTERED.replace("{calls}", repr(FILTERED_SYSCALLS[platform.machine()]))
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
            links = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{process.pid}/fd")]
            assert not [link for link in links if "io_uring" in link], links
            assert len(os.listdir(f"/proc/{process.pid}/task")) == 1
            process.terminate()
            assert b"REFUSED" not in await asyncio.wait_for(process.stderr.read(), PEER_TIMEOUT)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
            await backend.stop()

    run(test)
