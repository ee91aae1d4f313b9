"""Forty instances on one machine: started, reloaded, rolling-restarted, killed at random and stopped under load.

    python benchmarks/fleet.py [--quick] [--instances N] [--kills N]

Prints one line of figures and exits 1 if a process is left, a request is lost outside the kills, an instance is not
ready, or a restart is not counted. Memory of an instance is compared with that of a proxy on its own, in the same
run. What a killed process held is the clients' to retry; it is counted apart.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from cometusher.demo import settings  # noqa: E402
from cometusher.fleet.control import ControlError, NoSupervisor, send_request  # noqa: E402
from cometusher.fleet.identity import Identity, read_stat  # noqa: E402
from standins.backend import Backend, serve_ok  # noqa: E402
from standins.discovery import HostList  # noqa: E402
from standins.load import Figures, Kind, Load  # noqa: E402
from standins.ports import free_ports  # noqa: E402

KINDS = [Kind("report-view", 0.63, 3.0, False), Kind("submit", 0.37, 2.5, True)]
PATIENCE = 120.0  # seconds for any one step
RATE = 200.0  # requests a second over all instances


def memory(pid: int) -> tuple[float, float]:
    """Resident and proportional megabytes (smaps_rollup of proc(5))."""
    values = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, _, rest = line.partition(":")
        values[name] = int(rest.split()[0]) / 1024.0
    return values["Rss"], values["Pss"]


def strays(pids: set[int], supervisor: int) -> list[int]:
    """Processes left of a fleet: by parent, by process group, and those that were seen in it."""
    found = []
    for entry in os.listdir("/proc"):
        stat = read_stat(int(entry)) if entry.isdigit() else None
        if stat is None or stat.state == "Z":
            continue
        if stat.parent == supervisor or stat.group in pids or int(entry) in pids:
            found.append(int(entry))
    return found


class Run:
    """One fleet, its peers and its figures."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder = folder
        self.count = count
        self.file = folder / "fleet.toml"
        self.control = folder / "s" / "control.sock"
        self.ports = free_ports(count)
        self.pids: set[int] = set()
        self.faults: list[str] = []
        self.environ = os.environ | {"PYTHONPATH": str(ROOT)}

    def write(self, discovery: int) -> None:
        """The fleet's file; `discovery` is what a reload changes."""
        lines = [
            "[fleet]",
            'name = "bench"',
            'state = "s"',
            "[policy]",
            "budget = 1000",
            "backoff_from = 0.05",
            "backoff_to = 0.5",
            "at_once = 4",
            "[log]",
            'target = "fleet.log"',
            "[common]",
            'config = "proxy.json"',
            f'discovery = "127.0.0.1:{discovery}"',
            "sockets = 256",
        ]
        for i, port in enumerate(self.ports):
            lines += ["[[instance]]", f'name = "p{i}"', f'listen = "127.0.0.1:{port}"']
        self.file.write_text("\n".join(lines) + "\n")

    def command(self, action: str) -> None:
        """A fleet command, to its end."""
        command = [sys.executable, "-m", "cometusher", "fleet", action, "-c", str(self.file)]
        done = subprocess.run(command, env=self.environ, capture_output=True, timeout=PATIENCE, check=False)
        if done.returncode:
            self.faults.append(f"{action}: {done.stderr.decode().strip()}")

    def rows(self) -> list[dict[str, Any]]:
        """The status of all instances; empty while nobody answers."""
        try:
            rows: list[dict[str, Any]] = send_request(self.control, "status", 20.0)["instances"]
        except (NoSupervisor, ControlError):
            return []
        self.pids |= {row["pid"] for row in rows if row["pid"]}
        return rows

    async def until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait for what has to become true."""
        deadline = time.monotonic() + PATIENCE
        while not await asyncio.to_thread(condition):
            if time.monotonic() > deadline:
                self.faults.append(f"never: {what}")
                return
            await asyncio.sleep(0.02)

    def all_ready(self) -> bool:
        """Whether every instance is ready."""
        rows = self.rows()
        return len(rows) == self.count and all(row["state"] == "ready" for row in rows)


async def alone(folder: Path, config: dict[str, Any]) -> tuple[float, float]:
    """Memory of a proxy that nobody supervises, for comparison."""
    port = free_ports(1)[0]
    path = folder / "alone.json"
    path.write_bytes(orjson.dumps(config | {"listen": f"127.0.0.1:{port}", "discovery": "127.0.0.1:9"}))
    environ = os.environ | {"LB_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cometusher", env=environ, stderr=subprocess.DEVNULL
    )
    try:
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        return memory(process.pid)
    finally:
        process.terminate()
        await process.wait()


async def kill_at_random(run: Run, kills: int, rng: Random) -> int:
    """Kill ready instances, whole batches while others come back; returns how many restarts are right."""
    expected: dict[str, int] = {}
    left = kills
    while left:
        ready = [row for row in await asyncio.to_thread(run.rows) if row["state"] == "ready"]
        for row in rng.sample(ready, min(left, len(ready), rng.randint(1, 5))):
            # The identity first: the one that was seen is killed, or nobody.
            identity = Identity.of(row["pid"])
            if identity is not None and identity.signal(signal.SIGKILL):
                expected[row["name"]] = expected.get(row["name"], 0) + 1
                left -= 1
        await asyncio.sleep(0.1)
        # A status that is older than the kill would name the killed again.
        await run.until(
            lambda: all(row["restarts"] >= expected.get(row["name"], 0) for row in run.rows()), "restarts after kills"
        )
    await run.until(run.all_ready, "all ready after the kills")
    rows = await asyncio.to_thread(run.rows)
    return sum(row["restarts"] for row in rows if row["restarts"] == expected.get(row["name"], 0))


async def measure(folder: Path, count: int, kills: int) -> tuple[dict[str, Any], list[str]]:
    """The whole of it; returns figures and faults."""
    backends = [Backend(i + 1, serve_ok) for i in range(4)]
    for backend in backends:
        await backend.start()
    lists = [HostList([b.entry(site="kigali") for b in backends]) for _ in range(2)]
    for hosts in lists:
        await hosts.start()
    config = {"settings": settings(0, 0)}
    (folder / "proxy.json").write_bytes(orjson.dumps(config))
    run = Run(folder, count)
    run.write(lists[0].port)
    figures: dict[str, Any] = {"instances": count}
    rss_alone, pss_alone = await alone(folder, config)

    async def timed(name: str, action: str) -> None:
        at = time.monotonic()
        await asyncio.to_thread(run.command, action)
        figures[name] = round(time.monotonic() - at, 2)
        await run.until(run.all_ready, f"all ready after {action}")

    at = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cometusher", "fleet", "start", "-c", str(run.file), env=run.environ
    )
    await run.until(run.all_ready, "all ready")
    figures["ready_s"] = round(time.monotonic() - at, 2)
    load = Load([("127.0.0.1", port) for port in run.ports], KINDS, ["univ-central"], RATE, seed=1)
    stop = asyncio.Event()
    running = asyncio.create_task(load.run(stop))
    await asyncio.sleep(3.0)  # load on every instance, so that its memory is that of one at work
    sizes = [memory(row["pid"]) for row in await asyncio.to_thread(run.rows)]
    run.write(lists[1].port)
    await timed("reload_s", "reload")
    await timed("restart_s", "restart")
    calm = Figures(**(vars(load.figures) | {"times": []}))
    killed = await kill_at_random(run, kills, Random(1)) if kills else 0
    stop.set()
    await running
    requests = load.figures
    at = time.monotonic()
    await asyncio.to_thread(run.command, "stop")
    await asyncio.wait_for(process.wait(), PATIENCE)
    figures["stop_s"] = round(time.monotonic() - at, 2)
    for peer in (*backends, *lists):
        await peer.stop()  # type: ignore[attr-defined]
    rss, pss = (sum(size[i] for size in sizes) / max(1, len(sizes)) for i in range(2))
    left = strays(run.pids, process.pid)
    figures |= {
        "rss_mb": round(rss, 1),
        "pss_mb": round(pss, 1),
        "rss_alone_mb": round(rss_alone, 1),
        "pss_ratio": round(pss / pss_alone, 2),
        "sent": requests.sent,
        "served": requests.served,
        "refused": requests.refused,
        "failed": requests.failed,
        "unreachable": calm.unreachable,
        "lost": calm.lost,
        "kills": kills,
        "restarts_right": killed,
        "lost_with_the_killed": requests.lost - calm.lost,
        "strays": len(left),
    }
    if left:
        run.faults.append(f"processes left: {left}")
    if calm.lost or calm.unreachable:
        run.faults.append("requests lost or connections refused where nothing was killed")
    if killed != kills:
        run.faults.append(f"{kills} kills, {killed} restarts counted right")
    if process.returncode != 0:
        run.faults.append(f"the supervisor ended with {process.returncode}")
    if not requests.served:
        run.faults.append("nothing was served")
    if figures["pss_ratio"] > 0.6:
        run.faults.append("an instance costs over 0.6 of a proxy on its own")
    return figures, run.faults


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="fewer kills, under 50 s")
    parser.add_argument("--instances", type=int, default=40)
    parser.add_argument("--kills", type=int, default=None)
    options = parser.parse_args()
    kills = options.kills if options.kills is not None else 20 if options.quick else 100
    with tempfile.TemporaryDirectory(prefix="fleet-bench-") as folder:
        figures, faults = asyncio.run(measure(Path(folder), options.instances, kills))
    for fault in faults:
        print(fault, file=sys.stderr)
    line = " ".join(f"{name}={value}" for name, value in figures.items())
    print(f"fleet: {line} {'short' if faults else 'ok'}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
