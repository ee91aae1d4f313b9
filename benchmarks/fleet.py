"""Operation of forty instances on one machine under load: start, reload, rolling restart, random kills and stop.

    python benchmarks/fleet.py [--quick] [--instances N] [--kills N]

Prints one line of figures and exits 1 if a process remains, a request is lost other than by the kills, an instance is
not ready, or a restart is not counted. The memory of an instance is compared with that of an unsupervised proxy in
the same run. Requests that a killed process held are for clients to retry, and are counted separately.
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

from cometusher.demo import proxy_settings  # noqa: E402
from cometusher.fleet.control import ControlError, NoSupervisor, send_request  # noqa: E402
from cometusher.fleet.identity import Identity, read_stat  # noqa: E402
from standins.backend import Backend, serve_ok  # noqa: E402
from standins.discovery import HostList  # noqa: E402
from standins.load import Load, LoadClass, LoadCounters  # noqa: E402
from standins.ports import free_ports  # noqa: E402

REQUEST_CLASSES = [LoadClass("report-view", 0.63, 3.0, False), LoadClass("submit", 0.37, 2.5, True)]
STEP_TIMEOUT = 120.0  # seconds for each step
RATE = 200.0  # requests a second over all instances


def memory_mb(pid: int) -> tuple[float, float]:
    """Resident and proportional megabytes (smaps_rollup of proc(5))."""
    values = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, _, rest = line.partition(":")
        values[name] = int(rest.split()[0]) / 1024.0
    return values["Rss"], values["Pss"]


def remaining_processes(pids: set[int], supervisor: int) -> list[int]:
    """Remaining processes of a fleet: by parent, by process group, and those that its status has named."""
    remaining = []
    for entry in os.listdir("/proc"):
        stat = read_stat(int(entry)) if entry.isdigit() else None
        if stat is None or stat.state == "Z":
            continue
        if stat.parent == supervisor or stat.group in pids or int(entry) in pids:
            remaining.append(int(entry))
    return remaining


class BenchmarkFleet:
    """One fleet, driven by commands, and the failures found."""

    def __init__(self, folder: Path, count: int) -> None:
        self.folder = folder
        self.count = count
        self.file = folder / "fleet.toml"
        self.control = folder / "s" / "control.sock"
        self.ports = free_ports(count)
        self.pids: set[int] = set()
        self.failures: list[str] = []
        self.environ = os.environ | {"PYTHONPATH": str(ROOT)}

    def write(self, discovery: int) -> None:
        """Write the fleet's file; `discovery` (a port) is the setting that a reload changes."""
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
        for index, port in enumerate(self.ports):
            lines += ["[[instance]]", f'name = "p{index}"', f'listen = "127.0.0.1:{port}"']
        self.file.write_text("\n".join(lines) + "\n")

    def command(self, action: str) -> None:
        """Run a fleet command to its end."""
        command = [sys.executable, "-m", "cometusher", "fleet", action, "-c", str(self.file)]
        completed = subprocess.run(command, env=self.environ, capture_output=True, timeout=STEP_TIMEOUT, check=False)
        if completed.returncode:
            self.failures.append(f"{action}: {completed.stderr.decode().strip()}")

    def instance_status(self) -> list[dict[str, Any]]:
        """The status of all instances; empty while no supervisor answers."""
        try:
            instances: list[dict[str, Any]] = send_request(self.control, "status", 20.0)["instances"]
        except (NoSupervisor, ControlError):
            return []
        self.pids |= {row["pid"] for row in instances if row["pid"]}
        return instances

    async def wait_until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait until a condition holds; records a failure if it does not within STEP_TIMEOUT."""
        deadline = time.monotonic() + STEP_TIMEOUT
        while not await asyncio.to_thread(condition):
            if time.monotonic() > deadline:
                self.failures.append(f"never: {what}")
                return
            await asyncio.sleep(0.02)

    def all_ready(self) -> bool:
        """Whether every instance is ready."""
        instances = self.instance_status()
        return len(instances) == self.count and all(row["state"] == "ready" for row in instances)


async def unsupervised_memory(folder: Path, config: dict[str, Any]) -> tuple[float, float]:
    """Memory (MB, resident and proportional) of an unsupervised proxy, for comparison."""
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
        return memory_mb(process.pid)
    finally:
        process.terminate()
        await process.wait()


async def kill_at_random(fleet: BenchmarkFleet, kills: int, rng: Random) -> int:
    """Kill ready instances in batches while others restart; returns how many restarts are counted correctly."""
    expected: dict[str, int] = {}
    remaining = kills
    while remaining:
        ready = [row for row in await asyncio.to_thread(fleet.instance_status) if row["state"] == "ready"]
        for row in rng.sample(ready, min(remaining, len(ready), rng.randint(1, 5))):
            # Signalled by identity: a process that has replaced the observed one is not killed.
            identity = Identity.of(row["pid"])
            if identity is not None and identity.signal(signal.SIGKILL):
                expected[row["name"]] = expected.get(row["name"], 0) + 1
                remaining -= 1
        await asyncio.sleep(0.1)
        # A status from before the kill would name the killed process again.
        await fleet.wait_until(
            lambda: all(row["restarts"] >= expected.get(row["name"], 0) for row in fleet.instance_status()),
            "restarts after kills",
        )
    await fleet.wait_until(fleet.all_ready, "all ready after the kills")
    rows = await asyncio.to_thread(fleet.instance_status)
    return sum(row["restarts"] for row in rows if row["restarts"] == expected.get(row["name"], 0))


async def measure(folder: Path, count: int, kills: int) -> tuple[dict[str, Any], list[str]]:
    """Run the whole benchmark; returns the figures and the failures."""
    backends = [Backend(index + 1, serve_ok) for index in range(4)]
    for backend in backends:
        await backend.start()
    discoveries = [HostList([b.discovery_entry(site="kigali") for b in backends]) for _ in range(2)]
    for discovery in discoveries:
        await discovery.start()
    config = {"settings": proxy_settings(0, 0)}
    (folder / "proxy.json").write_bytes(orjson.dumps(config))
    fleet = BenchmarkFleet(folder, count)
    fleet.write(discoveries[0].port)
    figures: dict[str, Any] = {"instances": count}
    rss_alone, pss_alone = await unsupervised_memory(folder, config)

    async def timed(name: str, action: str) -> None:
        begin = time.monotonic()
        await asyncio.to_thread(fleet.command, action)
        figures[name] = round(time.monotonic() - begin, 2)
        await fleet.wait_until(fleet.all_ready, f"all ready after {action}")

    begin = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cometusher", "fleet", "start", "-c", str(fleet.file), env=fleet.environ
    )
    await fleet.wait_until(fleet.all_ready, "all ready")
    figures["ready_s"] = round(time.monotonic() - begin, 2)
    load = Load([("127.0.0.1", port) for port in fleet.ports], REQUEST_CLASSES, ["univ-central"], RATE, seed=1)
    stop = asyncio.Event()
    running = asyncio.create_task(load.run(stop))
    await asyncio.sleep(3.0)  # every instance receives load, so that its memory is that of a working one
    sizes = [memory_mb(row["pid"]) for row in await asyncio.to_thread(fleet.instance_status)]
    fleet.write(discoveries[1].port)
    await timed("reload_s", "reload")
    await timed("restart_s", "restart")
    calm = LoadCounters(**(vars(load.counters) | {"times": []}))
    restarts_right = await kill_at_random(fleet, kills, Random(1)) if kills else 0
    stop.set()
    await running
    requests = load.counters
    begin = time.monotonic()
    await asyncio.to_thread(fleet.command, "stop")
    await asyncio.wait_for(process.wait(), STEP_TIMEOUT)
    figures["stop_s"] = round(time.monotonic() - begin, 2)
    for peer in (*backends, *discoveries):
        await peer.stop()  # type: ignore[attr-defined]
    rss, pss = (sum(size[index] for size in sizes) / max(1, len(sizes)) for index in range(2))
    remaining = remaining_processes(fleet.pids, process.pid)
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
        "restarts_right": restarts_right,
        "lost_with_the_killed": requests.lost - calm.lost,
        "strays": len(remaining),
    }
    if remaining:
        fleet.failures.append(f"processes left: {remaining}")
    if calm.lost or calm.unreachable:
        fleet.failures.append("requests lost or connections refused where nothing was killed")
    if restarts_right != kills:
        fleet.failures.append(f"{kills} kills, {restarts_right} restarts counted right")
    if process.returncode != 0:
        fleet.failures.append(f"the supervisor ended with {process.returncode}")
    if not requests.served:
        fleet.failures.append("nothing was served")
    if figures["pss_ratio"] > 0.6:
        fleet.failures.append("an instance costs over 0.6 of a proxy on its own")
    return figures, fleet.failures


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="fewer kills, under 50 s")
    parser.add_argument("--instances", type=int, default=40)
    parser.add_argument("--kills", type=int, default=None)
    options = parser.parse_args()
    kills = options.kills if options.kills is not None else 20 if options.quick else 100
    with tempfile.TemporaryDirectory(prefix="fleet-bench-") as folder:
        figures, failures = asyncio.run(measure(Path(folder), options.instances, kills))
    for failure in failures:
        print(failure, file=sys.stderr)
    line = " ".join(f"{name}={value}" for name, value in figures.items())
    print(f"fleet: {line} {'short' if failures else 'ok'}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
