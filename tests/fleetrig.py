"""A fleet on loopback under a supervisor process, for tests that inject faults."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator, Sequence
from pathlib import Path
from typing import Any

import orjson
from rig import PEER_TIMEOUT, SETTINGS

from cometusher.fault_injection.environment import RequestResult, World, wait_until
from cometusher.fleet.control import ControlError, NoSupervisor, send_request
from cometusher.fleet.identity import read_stat
from standins.ports import free_ports

ROOT = Path(__file__).parent.parent
FAULTY_COMMAND = [sys.executable, str(ROOT / "standins" / "faulty_instance.py")]
TIMEOUT = 3.0 * PEER_TIMEOUT
QUICK_POLICY = {
    "backoff_from": 0.02,
    "backoff_to": 0.2,
    "ready_within": 20.0,
    "stop_within": 20.0,
    "hang_after": 20.0,
    "budget": 50,
}


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test that is a coroutine."""
    asyncio.run(test())


async def wait_for(condition: Callable[[], Any], what: str) -> None:
    """Wait until a condition of a fault injection world is true; fails after a time limit."""
    assert await wait_until(condition, 2 * PEER_TIMEOUT), f"never: {what}"


@contextlib.asynccontextmanager
async def running(world: World, rate: float, extra: str = "") -> AsyncIterator[World]:
    """Run a fault injection world, and stop all of it at the end."""
    try:
        await world.start(rate, extra)
        yield world
    finally:
        await world.stop()


async def next_requests(world: World, count: int) -> list[RequestResult]:
    """Wait for the results of so many more requests, whatever their outcome."""
    assert world.load is not None
    rows = world.load.results
    before = len(rows)
    await wait_for(lambda: len(rows) >= before + count, "requests")
    return rows[before:]


def assert_consistent(world: World) -> None:
    """No request took effect twice, got another's answer, or got a second one."""
    assert world.load is not None
    assert (world.duplicate_effects(), world.load.wrong_answers, world.load.extra_answers) == (0, 0, 0)


def eventually(condition: Callable[[], Any], what: str = "") -> Any:
    """Wait until a condition is true and return its value; fails after a time limit."""
    until = time.monotonic() + TIMEOUT
    while time.monotonic() < until:
        if value := condition():
            return value
        time.sleep(0.01)
    raise AssertionError(f"never came true: {what or condition}")


def to_toml(values: dict[str, Any]) -> str:
    """Return `key = value` lines; the JSON forms of strings, numbers and lists are valid TOML."""
    return "".join(f"{key} = {orjson.dumps(value).decode()}\n" for key, value in values.items())


class FleetRig:
    """A fleet's files and its supervisor process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.file = folder / "fleet.toml"
        self.state = folder / "s"
        self.log = folder / "fleet.log"
        self.control = self.state / "control.sock"
        self.fleet_table: dict[str, Any] = {"name": "t", "state": "s"}
        self.policy: dict[str, Any] = dict(QUICK_POLICY)
        self.logging: dict[str, Any] = {"target": "fleet.log"}
        self.common: dict[str, Any] = {}
        self.mesh: dict[str, Any] = {}
        self.instances: dict[str, dict[str, Any]] = {}
        self.started: list[subprocess.Popen[bytes]] = []
        self.seen_pids: set[int] = set()  # of all processes that the status has shown
        config = {"discovery": "127.0.0.1:9", "settings": SETTINGS}
        (folder / "proxy.json").write_bytes(orjson.dumps(config))

    def add(self, *names: str, mode: str = "", value: str = "", **settings: Any) -> None:
        """Add instances: proxies, or with `mode` the faulty stand-in."""
        for name, port in zip(names, free_ports(len(names)), strict=True):
            what: dict[str, Any] = {"command": [*FAULTY_COMMAND, mode, value]} if mode else {"config": "proxy.json"}
            self.instances[name] = {"name": name, "listen": f"127.0.0.1:{port}"} | what | settings

    def port(self, name: str) -> int:
        return int(self.instances[name]["listen"].rpartition(":")[2])

    def write(self) -> Path:
        text = f"[fleet]\n{to_toml(self.fleet_table)}[policy]\n{to_toml(self.policy)}[log]\n{to_toml(self.logging)}"
        text += f"[common]\n{to_toml(self.common)}"
        text += f"[mesh]\n{to_toml(self.mesh)}" if self.mesh else ""
        text += "".join(f"[[instance]]\n{to_toml(values)}" for values in self.instances.values())
        self.file.write_text(text)
        return self.file

    def command_line(self, *arguments: str) -> list[str]:
        return [sys.executable, "-m", "cometusher", *arguments]

    def launch(
        self,
        *more: str,
        prefix: Sequence[str] = (),
        env: dict[str, str] | None = None,
        stderr: int = subprocess.PIPE,
        pass_fds: Sequence[int] = (),
    ) -> subprocess.Popen[bytes]:
        """Start a supervisor in the foreground; returns at once."""
        command = [*prefix, *self.command_line("fleet", "start", "-c", str(self.file), *more)]
        process = subprocess.Popen(
            command,
            cwd=self.folder,
            env=os.environ | {"PYTHONPATH": str(ROOT)} | (env or {}),
            stdout=subprocess.PIPE,
            stderr=stderr,
            pass_fds=pass_fds,
        )
        self.started.append(process)
        return process

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess[bytes]:
        """Run a command to its end."""
        environ = os.environ | {"PYTHONPATH": str(ROOT)}
        return subprocess.run(
            self.command_line(*arguments),
            cwd=self.folder,
            env=environ,
            capture_output=True,
            timeout=2 * TIMEOUT,
            check=False,
        )

    def fleet_command(self, action: str, *more: str) -> subprocess.CompletedProcess[bytes]:
        return self.run_command("fleet", action, "-c", str(self.file), *more)

    def start(self, *more: str, **options: Any) -> subprocess.Popen[bytes]:
        """Write the file, launch, and wait until every instance is ready."""
        self.write()
        process = self.launch(*more, **options)
        eventually(lambda: self.states() == {"ready"} or process.poll() is not None, "all ready")
        assert process.poll() is None, process.communicate()[1]
        return process

    def status(self) -> dict[str, dict[str, Any]]:
        """The status of each instance by name; empty if no supervisor answers."""
        try:
            rows = send_request(self.control, "status", PEER_TIMEOUT)["instances"]
        except (NoSupervisor, ControlError):
            for process in self.started[-1:]:
                assert process.poll() in (None, 0, -signal.SIGKILL), process.communicate()[1]
            return {}
        self.seen_pids |= {row["pid"] for row in rows if row["pid"]}
        return {row["name"]: row for row in rows}

    def states(self) -> set[str]:
        return {row["state"] for row in self.status().values()}

    def pids(self) -> dict[str, int]:
        return {name: row["pid"] for name, row in self.status().items()}

    def log_text(self) -> str:
        return self.log.read_text() if self.log.exists() else ""

    def leftover_pids(self) -> list[int]:
        """Processes of the fleet that still exist, by their environment or command line."""
        found = []
        mark = str(self.folder).encode()
        for entry in os.listdir("/proc"):
            if entry.isdigit() and int(entry) != os.getpid():
                with contextlib.suppress(OSError):
                    environ = Path(f"/proc/{entry}/environ").read_bytes()
                    command = Path(f"/proc/{entry}/cmdline").read_bytes()
                    if (mark in environ or mark in command) and b"cometusher" in command + environ:
                        found.append(int(entry))
        return found + [pid for pid in self.seen_pids if has_exited(pid) is False]

    def stop_supervisor(self, process: subprocess.Popen[bytes], signal_number: int = signal.SIGTERM) -> int:
        """Signal a supervisor and wait for its end; returns its exit code."""
        process.send_signal(signal_number)
        process.communicate(timeout=TIMEOUT)
        return process.returncode


def has_exited(pid: int) -> bool:
    stat = read_stat(pid)
    return stat is None or stat.state == "Z"


@contextlib.contextmanager
def fleet_rig(folder: Path) -> Iterator[FleetRig]:
    """Provide a rig, and kill all processes that the test started."""
    rig = FleetRig(folder)
    try:
        yield rig
    finally:
        with contextlib.suppress(AssertionError):
            rig.status()
        for process in rig.started:
            if process.poll() is None:
                process.kill()
            process.communicate()
        eventually(lambda: kill_leftovers(rig), "no process is left")


def kill_leftovers(rig: FleetRig) -> bool:
    left = rig.leftover_pids()
    for pid in left:
        with contextlib.suppress(OSError):
            os.kill(pid, signal.SIGKILL)
    return not left
