"""An instance that lives and fares worse than its siblings costs its callers little: real processes, faulty links."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from fleetrig import assert_consistent, next_requests, run, running, wait_for
from rig import PATIENCE

from cometusher.fault_injection.environment import ALL_CLASSES, Fleet, RequestResult, World
from cometusher.fleet.control import send_request
from standins.caller import Caller, request
from standins.faulty_link import Mood

RATE = 150.0
STEADY = ["steady = 0.4", "retry = 2.0"]  # of the watch and of the comparison


@contextlib.asynccontextmanager
async def world(
    folder: Path, apart: int, count: int = 5, zones: int = 1, rate: float = RATE, p0: str = ""
) -> AsyncIterator[tuple[World, Fleet]]:
    made = World(folder, 8, 0.02)
    made.request_classes, made.zone_count = ALL_CLASSES, zones
    fleet = made.add_fleet("f", count, 0, False, True, True)
    fleet.isolated = [f"p{i}" for i in range(apart)]
    fleet.instance_lines = {"p0": [p0]}
    fleet.failure_detector_lines = [*STEADY, "share = 0.5"]
    async with running(made, rate):
        yield made, fleet


async def vigil(fleet: Fleet, name: str) -> dict[str, Any]:
    return dict((await fleet.instance_status())[name]["vigil"])


async def unlike(fleet: Fleet, name: str, why: str) -> bool:
    return bool((await vigil(fleet, name)).get("unlike") == why)


def all_right(w: World, rows: list[RequestResult]) -> None:
    assert_consistent(w)
    assert not [one for one in rows if one.outcome == "lost"]


def share_of(rows: list[RequestResult], fleet: Fleet, name: str, how: str) -> float:
    mine = [one for one in rows if one.address[1] == fleet.ports[int(name[1:])]]
    return sum(one.outcome == how for one in mine) / max(1, len(mine))


def test_one_that_reaches_no_backend_of_a_zone_is_set_aside_and_comes_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, 1, zones=2) as (w, fleet):
            await next_requests(w, 200)
            pids = await fleet.pids()
            assert (await vigil(fleet, "p0"))["unlike"] == ""
            await fleet.instance_links["p0"].set_fault(Mood("reset"), w.hosts_in_zone(1))
            await wait_for(lambda: unlike(fleet, "p0", "path"), "set aside")
            row = await vigil(fleet, "p0")
            assert row["because"].startswith("zone 1: ") and row["portion"] < 1.0 and row["judgement"] == "well"
            begin = (await fleet.status())["vigil"]["accepted_for_others"]
            rows = await next_requests(w, 300)
            assert (await fleet.status())["vigil"]["accepted_for_others"] > begin
            assert share_of(rows, fleet, "p0", "served") > 0.9, "others serve its callers"
            await fleet.instance_links["p0"].set_fault(Mood())
            await wait_for(lambda: unlike(fleet, "p0", ""), "back")
            rows += await next_requests(w, 200)
            status = await fleet.status()
            assert status["vigil"]["aside"] == 0 and await fleet.pids() == pids, "nobody was killed"
            assert all(not one["vigil"]["unlike"] for one in status["instances"])
            notes = await asyncio.to_thread(send_request, Path(fleet.control), "explain", PATIENCE, names=["p0"])
            said = [text for _, text in notes["notes"]["p0"]]
            assert "most of its new connections go to others: path: zone 1" in said[0]
            assert "are its own again" in said[-1]
            all_right(w, rows)

    run(test)


def test_one_whose_replies_crawl_is_set_aside(tmp_path: Path) -> None:
    """A link of 0.2 s on each reply for one instance alone."""

    async def test() -> None:
        async with world(tmp_path, 1) as (w, fleet):
            await next_requests(w, 200)
            await fleet.instance_links["p0"].set_fault(Mood("slow", seconds=0.2, spread=0.2))
            await wait_for(lambda: unlike(fleet, "p0", "slow"), "set aside")
            rows = await next_requests(w, 400)
            late = [one for one in rows if one.address[1] == fleet.ports[0] and one.ended_at - one.sent_at > 0.2]
            mine = [one for one in rows if one.address[1] == fleet.ports[0]]
            assert len(late) < 0.5 * len(mine), "others serve most of its callers, in time"
            assert (await fleet.status())["vigil"]["replaced"] == 0
            all_right(w, rows)

    run(test)


def test_those_that_discovery_does_not_reach_are_set_aside_while_it_tells_a_drain(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, 2, count=4) as (w, fleet):
            await next_requests(w, 200)
            for name in ("p0", "p1"):
                await fleet.instance_links[name].discovery_link.set(Mood("drop"))
            entry = w.discovery.hosts[0]
            w.publish(entry | {"health": "draining"})
            for name in ("p0", "p1"):
                await wait_for(lambda name=name: unlike(fleet, name, "behind"), f"{name} set aside")  # type: ignore[misc]
            rows = await next_requests(w, 200)
            for name in ("p0", "p1"):
                await fleet.instance_links[name].discovery_link.set(Mood())
            for name in ("p0", "p1"):
                await wait_for(lambda name=name: unlike(fleet, name, ""), f"{name} back")  # type: ignore[misc]
            rows += await next_requests(w, 100)
            all_right(w, rows)

    run(test)


def test_one_without_a_descriptor_leaves_new_connections_to_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, 0, p0="sockets = 128") as (w, fleet):
            await next_requests(w, 40)
            for backend in w.backends:
                backend.work = 2.0
            callers = []
            try:
                for i in range(160):
                    callers.append(Caller(*await asyncio.open_connection("127.0.0.1", fleet.ports[0])))
                    callers[-1].writer.write(request("report-view", budget="4000m", rid=f"full-{i}"))
                await wait_for(lambda: unlike(fleet, "p0", "full"), "set aside")
                for backend in w.backends:
                    backend.work = w.work
                for caller in callers:
                    status, _ = await caller.answer()
                    assert status in (200, 503), "each has an answer, also those that waited at the listener"
            finally:
                for caller in callers:
                    caller.leave()
            await wait_for(lambda: unlike(fleet, "p0", ""), "back")
            all_right(w, await next_requests(w, 40))

    run(test)


def test_a_zone_that_nobody_reaches_and_discovery_that_tells_nobody_set_nobody_aside(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, 5, zones=2) as (w, fleet):
            await next_requests(w, 200)
            for ways in fleet.instance_links.values():
                await ways.discovery_link.set(Mood("drop"))
                await ways.set_fault(Mood("reset"), w.hosts_in_zone(1))
            w.publish(w.discovery.hosts[0] | {"health": "draining"})
            await next_requests(w, 600)
            counts = (await fleet.status())["vigil"]
            assert (counts["unlike"], counts["aside"], counts["replaced"]) == (0, 0, 0)

    run(test)
