"""`cometusher demo`: a complete installation on loopback, made of stand-ins, without any configuration.

It has two zones and three tiers, one proxy for each tier in each zone, all six under one supervisor, backends of
different speeds, a discovery service for each tier, and a client that requests reports and submits drafts.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import orjson

from cometusher.fleet.control import ControlError, NoSupervisor, send_request
from standins.discovery import HostList
from standins.load import Load, LoadClass, LoadCounters
from standins.ports import free_ports
from standins.service_backend import KeyWindow, ServiceBackend

ZONES = ("kigali", "huye")
TIERS = ("intake", "matching", "archive")
BACKEND_SPEEDS = (1.9, 1.2, 0.8)  # of the backends of one tier in one zone
TENANTS = ("univ-central", "poly-east", "school-net")
REQUEST_CLASSES = (LoadClass("report-view", 0.63, 2.0, False), LoadClass("submit", 0.37, 1.25, True))
WORK_SECONDS = {"report-view": 0.08, "submit": 0.05}  # seconds on a core of speed 1 in each tier, by class
COLD_FROM, COLD_FOR = 0.14, 20.0  # initial part of a new backend's speed; seconds until it is warm
DEDUP_WINDOW = 4.0  # seconds in which the backends of a zone recognize a key
REQUEST_RATE = 25.0  # requests a second
REPORT_INTERVAL = 2.0  # seconds between progress lines
READY_TIMEOUT = 30.0  # seconds until all proxies must be ready
STOP_TIMEOUT = 20.0  # seconds until the supervisor must have ended
ROOT = Path(__file__).resolve().parent.parent


def proxy_settings(tier: int, zone: int) -> dict[str, Any]:
    """The platform's settings for one proxy of the installation."""
    return {
        "Services": [
            {"Name": "report-view", "Aim": 1.5, "HardLimit": 4.0, "Repeat": "retryable", "Credit": 1.0},
            {
                "Name": "submit",
                "Aim": 1.0,
                "HardLimit": 2.5,
                "Repeat": "dedup",
                "Group": "zone",
                "Window": DEDUP_WINDOW,
                "Credit": 8.0,
            },
        ],
        "Orgs": [{"Name": name, "Share": 1.0 / len(TENANTS), "AllowancePerS": 1000.0} for name in TENANTS],
        "Zones": list(ZONES),
        "Zone": zone,
        "Tiers": list(TIERS),
        "Tier": tier,
        "Instances": len(ZONES),
        "Ordinal": zone,
        "Bounds": {
            "Cancel": True,
            "SecondCopies": True,
            "MaxAttempts": 3,
            "DialTimeout": 0.5,
            "ConnIdle": 5.0,
            "RetryAfter": True,
            "MaxRetryAfter": 2.0,
        },
        "Rules": {"Cold": COLD_FOR, "ColdFrom": COLD_FROM, "AskEvery": 10.0},
    }


@dataclass
class Installation:
    """All parts of the demo except the proxies."""

    ports: dict[tuple[int, int], int]  # ports of the proxies by tier and zone
    lists: list[HostList]
    backends: list[ServiceBackend]

    @staticmethod
    async def start(seed: int) -> Installation:
        """Start the stand-ins."""
        rng = Random(seed)
        keys = [(tier, zone) for tier in range(len(TIERS)) for zone in range(len(ZONES))]
        ports = dict(zip(keys, free_ports(len(keys)), strict=True))
        lists: list[HostList] = []
        backends: list[ServiceBackend] = []
        key_windows = {key: KeyWindow(DEDUP_WINDOW) for key in keys}
        for tier in range(len(TIERS)):
            hosts = []
            for zone, site in enumerate(ZONES):
                for speed in BACKEND_SPEEDS:
                    next_tier = ("127.0.0.1", ports[tier + 1, zone]) if tier + 1 < len(TIERS) else None
                    backend = ServiceBackend(
                        f"s-{len(backends) + 1:x}",
                        site,
                        speed,
                        WORK_SECONDS,
                        key_windows[tier, zone],
                        Random(rng.random()),
                        next_tier=next_tier,
                        abandons_late_calls=True,
                    )
                    await backend.start("127.0.0.1")
                    backends.append(backend)
                    hosts.append(backend.discovery_entry())
            host_list = HostList(hosts)
            await host_list.start()
            lists.append(host_list)
        return Installation(ports, lists, backends)

    async def stop(self) -> None:
        """Stop the stand-ins."""
        for hosts in self.lists:
            await hosts.stop()
        for backend in self.backends:
            backend.stop()

    def write(self, folder: Path) -> Path:
        """Write the fleet's file and the files that it names; returns the path of the first."""
        lines = ["[fleet]", 'name = "demo"', 'state = "state"', "[log]", 'target = "demo.log"']
        for (tier, zone), port in self.ports.items():
            name = f"{TIERS[tier]}-{ZONES[zone]}"
            values = {"settings": proxy_settings(tier, zone), "discovery": f"127.0.0.1:{self.lists[tier].port}"}
            (folder / f"{name}.json").write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2))
            lines += [
                "[[instance]]",
                f'name = "{name}"',
                f'listen = "127.0.0.1:{port}"',
                f'config = "{name}.json"',
                "sockets = 256",
            ]
        path = folder / "fleet.toml"
        path.write_text("\n".join(lines) + "\n")
        return path


def curl_lines(port: int) -> list[str]:
    """Shell commands for the user to try."""
    command = f"curl -sS -i -H \"X-Call-Id: try-$$-$RANDOM\" -H 'X-Caller: {TENANTS[0]}'"
    return [
        f"{command} -H 'X-Call-Class: report-view' -H 'X-Budget: 2000m' http://127.0.0.1:{port}/api",
        f"{command} -H 'X-Call-Class: submit' -H 'X-Budget: 1250m' -H \"Idempotency-Key: key-$$-$RANDOM\" "
        f"-d draft http://127.0.0.1:{port}/api",
        f"curl -sS -i http://127.0.0.1:{port}/up",
    ]


def _format_counters(elapsed: float, counters: LoadCounters) -> str:
    return (
        f"{elapsed:6.1f} s  sent {counters.sent}, served {counters.served}, refused {counters.refused}, "
        f"failed {counters.failed}, lost {counters.lost}, "
        f"median {counters.quantile(0.5) * 1000:.0f} ms, p95 {counters.quantile(0.95) * 1000:.0f} ms"
    )


async def _wait_until_ready(process: asyncio.subprocess.Process, control: Path) -> bool:
    """Wait until every proxy is ready; returns whether all are."""
    deadline = time.monotonic() + READY_TIMEOUT
    while time.monotonic() < deadline and process.returncode is None:
        with contextlib.suppress(NoSupervisor, ControlError):
            rows = send_request(control, "status", 5.0)["instances"]
            if all(row["state"] == "ready" for row in rows):
                return True
        await asyncio.sleep(0.1)
    return False


async def _print_counters(load: Load, started_at: float) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(REPORT_INTERVAL)
        print(_format_counters(loop.time() - started_at, load.take_recent()), flush=True)


def _print_introduction(installation: Installation, path: Path) -> None:
    print("fenneldeal demo: two zones, three tiers, six proxies under one supervisor")
    for (tier, zone), port in installation.ports.items():
        print(f"  {TIERS[tier] + '-' + ZONES[zone]:<18} 127.0.0.1:{port}")
    print("try:")
    for line in curl_lines(installation.ports[0, 0]):
        print(f"  {line}")
    print(f"  {sys.executable} -m cometusher fleet status -c {path}")
    print(f"the proxies' log: {path.parent / 'demo.log'}; Ctrl-C ends the demo", flush=True)


async def _run(seconds: float, folder: Path) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    installation = await Installation.start(seed=1)
    path = installation.write(folder)
    # In its own session, so that Ctrl-C reaches only this process, which shuts down the proxies gracefully.
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cometusher",
        "fleet",
        "start",
        "-c",
        str(path),
        start_new_session=True,
        env=os.environ | {"PYTHONPATH": os.pathsep.join([str(ROOT), os.environ.get("PYTHONPATH", "")])},
    )
    served = 0
    try:
        if not await _wait_until_ready(process, folder / "state" / "control.sock"):
            print("cometusher: demo: the proxies did not become ready; see the log", file=sys.stderr)
            return 1
        _print_introduction(installation, path)
        entry_addresses = [("127.0.0.1", installation.ports[0, zone]) for zone in range(len(ZONES))]
        load = Load(entry_addresses, REQUEST_CLASSES, TENANTS, REQUEST_RATE, seed=1)
        started_at = loop.time()
        if seconds > 0.0:
            loop.call_later(seconds, stop.set)
        printer = loop.create_task(_print_counters(load, started_at))
        await load.run(stop)
        printer.cancel()
        totals = load.counters
        served = totals.served
        print(
            f"demo: sent={totals.sent} served={totals.served} refused={totals.refused} failed={totals.failed} "
            f"lost={totals.lost} {'ok' if served and not totals.lost else 'short'}",
            flush=True,
        )
    finally:
        await _stop_supervisor(process)
        await installation.stop()
    return 0 if served and not totals.lost else 1


async def _stop_supervisor(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT)
        except TimeoutError:
            process.kill()
            await process.wait()


def main(seconds: float) -> int:
    """Run the demo for `seconds`, or until Ctrl-C if that is 0; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="cometusher-demo-") as folder:
        return asyncio.run(_run(seconds, Path(folder)))
