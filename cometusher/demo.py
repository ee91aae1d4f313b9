"""`cometusher demo`: a whole installation on loopback, made of stand-ins; nothing has to be configured.

Two zones, three tiers, one proxy before each tier in each zone, all six under one supervisor; backends of unlike
speeds; a discovery service for each tier; and a client that asks for reports and submits drafts.
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
SPEEDS = (1.9, 1.2, 0.8)  # of the backends of a tier in a zone
TENANTS = ("univ-central", "poly-east", "school-net")
KINDS = (LoadClass("report-view", 0.63, 2.0, False), LoadClass("submit", 0.37, 1.25, True))
WORK = {"report-view": 0.08, "submit": 0.05}  # seconds of a yardstick core in each tier
COLD_FROM, COLD_FOR = 0.14, 20.0  # part of what it can do that a fresh backend begins with; seconds until it is warm
DEDUP_WINDOW = 4.0  # seconds in which the backends of a zone recognise a key
RATE = 25.0  # requests a second
EVERY = 2.0  # seconds between lines of figures
READY = 30.0  # seconds for the proxies to be ready
ENDED = 20.0  # seconds for them to end
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
    """All of it but the proxies."""

    ports: dict[tuple[int, int], int]  # of the proxies, by tier and zone
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
        keys_of_zones = {key: KeyWindow(DEDUP_WINDOW) for key in keys}
        for tier in range(len(TIERS)):
            hosts = []
            for zone, site in enumerate(ZONES):
                for speed in SPEEDS:
                    behind = ("127.0.0.1", ports[tier + 1, zone]) if tier + 1 < len(TIERS) else None
                    backend = ServiceBackend(
                        f"s-{len(backends) + 1:x}",
                        site,
                        speed,
                        WORK,
                        keys_of_zones[tier, zone],
                        Random(rng.random()),
                        next_tier=behind,
                        abandons_late_calls=True,
                    )
                    await backend.start("127.0.0.1")
                    backends.append(backend)
                    hosts.append(backend.discovery_entry())
            hosts_of_tier = HostList(hosts)
            await hosts_of_tier.start()
            lists.append(hosts_of_tier)
        return Installation(ports, lists, backends)

    async def stop(self) -> None:
        """Stop the stand-ins."""
        for hosts in self.lists:
            await hosts.stop()
        for backend in self.backends:
            backend.stop()

    def write(self, folder: Path) -> Path:
        """The fleet's file, and those that it names; returns the fleet's."""
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
    """Commands to try, as they are."""
    head = f"curl -sS -i -H \"X-Call-Id: try-$$-$RANDOM\" -H 'X-Caller: {TENANTS[0]}'"
    return [
        f"{head} -H 'X-Call-Class: report-view' -H 'X-Budget: 2000m' http://127.0.0.1:{port}/api",
        f"{head} -H 'X-Call-Class: submit' -H 'X-Budget: 1250m' -H \"Idempotency-Key: key-$$-$RANDOM\" "
        f"-d draft http://127.0.0.1:{port}/api",
        f"curl -sS -i http://127.0.0.1:{port}/up",
    ]


def _line(at: float, figures: LoadCounters) -> str:
    return (
        f"{at:6.1f} s  sent {figures.sent}, served {figures.served}, refused {figures.refused}, "
        f"failed {figures.failed}, lost {figures.lost}, "
        f"median {figures.quantile(0.5) * 1000:.0f} ms, p95 {figures.quantile(0.95) * 1000:.0f} ms"
    )


async def _ready(process: asyncio.subprocess.Process, control: Path) -> bool:
    """Wait until every proxy is ready."""
    until = time.monotonic() + READY
    while time.monotonic() < until and process.returncode is None:
        with contextlib.suppress(NoSupervisor, ControlError):
            rows = send_request(control, "status", 5.0)["instances"]
            if all(row["state"] == "ready" for row in rows):
                return True
        await asyncio.sleep(0.1)
    return False


async def _figures(load: Load, began: float) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(EVERY)
        print(_line(loop.time() - began, load.take_recent()), flush=True)


def _introduce(place: Installation, path: Path) -> None:
    print("fenneldeal demo: two zones, three tiers, six proxies under one supervisor")
    for (tier, zone), port in place.ports.items():
        print(f"  {TIERS[tier] + '-' + ZONES[zone]:<18} 127.0.0.1:{port}")
    print("try:")
    for line in curl_lines(place.ports[0, 0]):
        print(f"  {line}")
    print(f"  {sys.executable} -m cometusher fleet status -c {path}")
    print(f"the proxies' log: {path.parent / 'demo.log'}; Ctrl-C ends all of it", flush=True)


async def _run(seconds: float, folder: Path) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    place = await Installation.start(seed=1)
    path = place.write(folder)
    # In a session of its own: Ctrl-C is for this process, which ends the proxies in order.
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
        if not await _ready(process, folder / "state" / "control.sock"):
            print("cometusher: demo: the proxies did not get ready; see the log", file=sys.stderr)
            return 1
        _introduce(place, path)
        fronts = [("127.0.0.1", place.ports[0, zone]) for zone in range(len(ZONES))]
        load = Load(fronts, KINDS, TENANTS, RATE, seed=1)
        began = loop.time()
        if seconds > 0.0:
            loop.call_later(seconds, stop.set)
        printing = loop.create_task(_figures(load, began))
        await load.run(stop)
        printing.cancel()
        whole = load.counters
        served = whole.served
        print(
            f"demo: sent={whole.sent} served={whole.served} refused={whole.refused} failed={whole.failed} "
            f"lost={whole.lost} {'ok' if served and not whole.lost else 'short'}",
            flush=True,
        )
    finally:
        await _end(process)
        await place.stop()
    return 0 if served and not whole.lost else 1


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), ENDED)
        except TimeoutError:
            process.kill()
            await process.wait()


def main(seconds: float) -> int:
    """Run it for so long, or until Ctrl-C; returns the exit code."""
    with tempfile.TemporaryDirectory(prefix="cometusher-demo-") as folder:
        return asyncio.run(_run(seconds, Path(folder)))
