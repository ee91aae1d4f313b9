"""An instance that performs worse than its peers is ejected; with real processes and faulty links."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

from fleetrig import assert_consistent, next_requests, run, running, wait_for
from rig import PEER_TIMEOUT

from cometusher.fault_injection.environment import ALL_CLASSES, Fleet, RequestResult, World
from cometusher.fleet.control import send_request
from standins.caller import Caller, request
from standins.faulty_link import LinkFault

RATE = 150.0
SHORT_INTERVALS = ["steady = 0.4", "retry = 2.0"]  # of the failure detector and the outlier detection


@contextlib.asynccontextmanager
async def running_world(
    folder: Path, isolated_count: int, count: int = 5, zones: int = 1, rate: float = RATE, p0: str = ""
) -> AsyncIterator[tuple[World, Fleet]]:
    world = World(folder, 8, 0.02)
    world.request_classes, world.zone_count = ALL_CLASSES, zones
    fleet = world.add_fleet("f", count, 0, False, True, True)
    fleet.isolated = [f"p{i}" for i in range(isolated_count)]
    fleet.instance_lines = {"p0": [p0]}
    fleet.failure_detector_lines = [*SHORT_INTERVALS, "share = 0.5"]
    async with running(world, rate):
        yield world, fleet


async def detector_view(fleet: Fleet, name: str) -> dict[str, Any]:
    return dict((await fleet.instance_status())[name]["vigil"])


async def has_outlier_reason(fleet: Fleet, name: str, reason: str) -> bool:
    return bool((await detector_view(fleet, name)).get("unlike") == reason)


def assert_none_lost(world: World, results: list[RequestResult]) -> None:
    assert_consistent(world)
    assert not [result for result in results if result.outcome == "lost"]


def outcome_share(results: list[RequestResult], fleet: Fleet, name: str, outcome: str) -> float:
    own_results = [result for result in results if result.address[1] == fleet.ports[int(name[1:])]]
    return sum(result.outcome == outcome for result in own_results) / max(1, len(own_results))


def test_instance_that_reaches_no_backend_of_a_zone_is_ejected_and_readmitted(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 1, zones=2) as (world, fleet):
            await next_requests(world, 200)
            pids = await fleet.pids()
            assert (await detector_view(fleet, "p0"))["unlike"] == ""
            await fleet.instance_links["p0"].set_fault(LinkFault("reset"), world.hosts_in_zone(1))
            await wait_for(lambda: has_outlier_reason(fleet, "p0", "path"), "ejected")
            row = await detector_view(fleet, "p0")
            assert row["because"].startswith("zone 1: ") and row["portion"] < 1.0 and row["judgement"] == "well"
            accepted_before = (await fleet.status())["vigil"]["accepted_for_others"]
            results = await next_requests(world, 300)
            assert (await fleet.status())["vigil"]["accepted_for_others"] > accepted_before
            assert outcome_share(results, fleet, "p0", "served") > 0.9, "others serve its callers"
            await fleet.instance_links["p0"].set_fault(LinkFault())
            await wait_for(lambda: has_outlier_reason(fleet, "p0", ""), "readmitted")
            results += await next_requests(world, 200)
            status = await fleet.status()
            assert status["vigil"]["aside"] == 0 and await fleet.pids() == pids, "no process was killed"
            assert all(not result["vigil"]["unlike"] for result in status["instances"])
            reply = await asyncio.to_thread(send_request, Path(fleet.control), "explain", PEER_TIMEOUT, names=["p0"])
            texts = [text for _, text in reply["notes"]["p0"]]
            assert "most of its new connections go to others: path: zone 1" in texts[0]
            assert "are its own again" in texts[-1]
            assert_none_lost(world, results)

    run(test)


def test_instance_with_slow_replies_is_ejected(tmp_path: Path) -> None:
    """Each reply to one instance alone is delayed by 0.2 s."""

    async def test() -> None:
        async with running_world(tmp_path, 1) as (world, fleet):
            await next_requests(world, 200)
            await fleet.instance_links["p0"].set_fault(LinkFault("slow", median_delay=0.2, spread=0.2))
            await wait_for(lambda: has_outlier_reason(fleet, "p0", "slow"), "ejected")
            results = await next_requests(world, 400)
            late_results = [
                result
                for result in results
                if result.address[1] == fleet.ports[0] and result.ended_at - result.sent_at > 0.2
            ]
            own_results = [result for result in results if result.address[1] == fleet.ports[0]]
            assert len(late_results) < 0.5 * len(own_results), "others serve most of its callers, in time"
            assert (await fleet.status())["vigil"]["replaced"] == 0
            assert_none_lost(world, results)

    run(test)


def test_instances_cut_off_from_discovery_are_ejected_during_a_drain(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 2, count=4) as (world, fleet):
            await next_requests(world, 200)
            for name in ("p0", "p1"):
                await fleet.instance_links[name].discovery_link.set_fault(LinkFault("drop"))
            entry = world.discovery.hosts[0]
            world.publish(entry | {"health": "draining"})
            for name in ("p0", "p1"):
                await wait_for(lambda name=name: has_outlier_reason(fleet, name, "behind"), f"{name} ejected")  # type: ignore[misc]
            results = await next_requests(world, 200)
            for name in ("p0", "p1"):
                await fleet.instance_links[name].discovery_link.set_fault(LinkFault())
            for name in ("p0", "p1"):
                await wait_for(lambda name=name: has_outlier_reason(fleet, name, ""), f"{name} readmitted")  # type: ignore[misc]
            results += await next_requests(world, 100)
            assert_none_lost(world, results)

    run(test)


def test_instance_out_of_descriptors_leaves_connections_to_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 0, p0="sockets = 128") as (world, fleet):
            await next_requests(world, 40)
            for backend in world.backends:
                backend.work = 2.0
            callers = []
            try:
                for i in range(160):
                    callers.append(Caller(*await asyncio.open_connection("127.0.0.1", fleet.ports[0])))
                    callers[-1].writer.write(request("report-view", budget="4000m", request_id=f"full-{i}"))
                await wait_for(lambda: has_outlier_reason(fleet, "p0", "full"), "ejected")
                for backend in world.backends:
                    backend.work = world.work
                for caller in callers:
                    status, _ = await caller.answer()
                    assert status in (200, 503), "each has an answer, also those that waited at the listener"
            finally:
                for caller in callers:
                    caller.abort()
            await wait_for(lambda: has_outlier_reason(fleet, "p0", ""), "readmitted")
            assert_none_lost(world, await next_requests(world, 40))

    run(test)


def test_failures_common_to_all_instances_eject_none(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 5, zones=2) as (world, fleet):
            await next_requests(world, 200)
            for ways in fleet.instance_links.values():
                await ways.discovery_link.set_fault(LinkFault("drop"))
                await ways.set_fault(LinkFault("reset"), world.hosts_in_zone(1))
            world.publish(world.discovery.hosts[0] | {"health": "draining"})
            await next_requests(world, 600)
            counts = (await fleet.status())["vigil"]
            assert (counts["unlike"], counts["aside"], counts["replaced"]) == (0, 0, 0)

    run(test)
