"""Recovery of several real processes after a correlated failure, with faults; checked by both sides' records."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import pytest
from fleetrig import run, running, wait_for

from cometusher.fault_injection.environment import Fleet, World
from cometusher.fleet.identity import read_stat
from cometusher.store.records import RecordFile
from standins.caller import Caller, request
from standins.faulty_link import LinkFault

COUNT = 4
RATE = 60.0


@contextlib.asynccontextmanager
async def world(
    folder: Path, links: tuple[str, ...] = (), extra: str = "", rate: float = RATE, count: int = COUNT
) -> AsyncIterator[tuple[World, Fleet]]:
    made = World(folder, 8, 0.02, links)
    fleet = made.add_fleet("f", count, 0, True)
    async with running(made, rate, extra):
        yield made, fleet


async def recovery_phases(fleet: Fleet) -> list[str]:
    return [row.get("comeback", {}).get("phase", "") for row in (await fleet.instance_status()).values()]


async def all_full(fleet: Fleet) -> bool:
    return await recovery_phases(fleet) == ["full"] * fleet.count


async def discovery_reported_to_all(fleet: Fleet) -> bool:
    rows = (await fleet.instance_status()).values()
    return len(rows) == fleet.count and all(row.get("comeback", {}).get("told") for row in rows)


def served_count(world: World) -> int:
    assert world.load is not None
    return sum(row.outcome == "served" for row in world.load.results)


async def wait_for_service(world: World, more: int = 30) -> None:
    """Wait until `more` further requests have been served."""
    before = served_count(world)
    await wait_for(lambda: served_count(world) >= before + more, "served again")


def assert_consistent(world: World) -> None:
    assert world.load is not None
    assert (world.backend_stats.stale_requests, world.load.wrong_answers) == (0, 0)
    assert world.duplicate_effects() == 0


async def has_dropped_backends(fleet: Fleet) -> bool:
    return any(row["comeback"]["dropped"] for row in (await fleet.instance_status()).values())


async def lose_fleet_and_discovery(w: World, fleet: Fleet) -> None:
    await wait_for_service(w)
    await wait_for_stored_lists(fleet)
    await w.discovery.disconnect()
    await fleet.kill_machine()


async def wait_for_stored_lists(fleet: Fleet) -> None:
    """Wait until every instance has stored its list."""
    store = fleet.state / "store"
    await wait_for(lambda: len(list(store.glob("p*.records"))) == fleet.count, "records")
    await asyncio.sleep(0.6)  # more than the interval between writes


def test_lost_fleet_serves_from_stored_lists_without_discovery(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await lose_fleet_and_discovery(w, fleet)
            await fleet.start()
            await wait_for(lambda: all_full(fleet), "full service without discovery")
            assert not [row for row in (await fleet.instance_status()).values() if row["comeback"]["told"]]
            await wait_for_service(w)
            assert (await fleet.status())["comeback"][-1]["cause"].startswith("the previous supervisor")
            await w.discovery.reconnect()
            await wait_for(lambda: discovery_reported_to_all(fleet), "discovery has reported")
            await wait_for_service(w)
            assert_consistent(w)

    run(test)


def test_without_stored_lists_requests_are_queued_and_no_process_is_killed(tmp_path: Path) -> None:
    """Discovery is unreachable for longer than processes may take to become ready."""

    async def test() -> None:
        async with world(tmp_path, rate=1.0) as (w, fleet):
            text = fleet.file.read_text().replace("[log]", "[policy]\nready_within = 1.5\n[log]")
            await w.discovery.disconnect()
            await fleet.kill_machine()
            fleet.delete_store([f"p{i}" for i in range(fleet.count)])
            fleet.file.write_text(text)
            await fleet.start()
            await wait_for(lambda: _all_waiting(fleet), "all wait")
            pids = [row["pid"] for row in (await fleet.instance_status()).values()]
            caller = Caller(*await asyncio.open_connection("127.0.0.1", fleet.ports[0]))
            caller.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            status, seen = await caller.answer()
            assert (status, seen.headers[b"x-comeback"]) == (503, b"nothing")
            caller.writer.write(request("report-view", budget="4000m", request_id="w1"))
            await asyncio.sleep(2.0)
            assert [row["pid"] for row in (await fleet.instance_status()).values()] == pids, "no process was replaced"
            await w.discovery.reconnect()
            assert (await caller.answer())[0] == 200, "the request was queued and then served"
            caller.abort()
            await wait_for(fleet.is_ready, "ready")
            assert_consistent(w)

    run(test)


async def _all_waiting(fleet: Fleet) -> bool:
    rows = (await fleet.instance_status()).values()
    return await recovery_phases(fleet) == ["nothing"] * fleet.count and {row["state"] for row in rows} == {
        "starting"
    }


def test_ban_survives_a_restart_with_an_older_store(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await wait_for_service(w)
            await wait_for_stored_lists(fleet)
            fleet.copy_store()
            banned = w.backends[2]
            await fleet.operate("exclude", banned.host)
            await wait_for(lambda: _orders_stored(fleet), "the fleet stores the orders")
            await asyncio.sleep(0.3)
            banned.removed = True
            await fleet.kill_machine()
            fleet.restore_store()
            await fleet.start()
            await wait_for(lambda: all_full(fleet), "full")
            await wait_for_service(w, 100)
            assert w.backend_stats.stale_requests == 0
            await fleet.operate("include", banned.host)
            assert_consistent(w)

    run(test)


async def _orders_stored(fleet: Fleet) -> bool:
    records = RecordFile(fleet.state / "store" / ".fleet.records")
    found = records.read(["fleet"]).get("fleet")
    records.close()
    return found is not None and len(found.body["orders"]) == fleet.count


@pytest.mark.parametrize("seconds", [-3600.0, 3600.0], ids=["back", "forth"])
def test_orders_survive_a_clock_change_during_an_outage(tmp_path: Path, seconds: float) -> None:
    """Set back: the list has an unknown age and is used for a while. Set forward: it is too old. The ban stays."""

    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await wait_for_service(w)
            await wait_for_stored_lists(fleet)
            banned = w.backends[2]
            await fleet.operate("exclude", banned.host)
            await wait_for(lambda: _orders_stored(fleet), "the fleet stores the orders")
            await asyncio.sleep(0.3)
            banned.removed = True
            await w.discovery.disconnect()
            await fleet.kill_machine()
            fleet.shift_clock([f"p{i}" for i in range(fleet.count)], seconds)
            await fleet.start()
            if seconds < 0.0:
                await wait_for(lambda: all_full(fleet), "full service without discovery")
                assert fleet.log().count("a clock was set back") >= fleet.count
                await wait_for_service(w)
            else:
                await wait_for(lambda: _all_waiting(fleet), "all wait")
                assert fleet.log().count("stored list: old") >= fleet.count
            await w.discovery.reconnect()
            await wait_for(lambda: discovery_reported_to_all(fleet), "discovery has reported")
            await wait_for_service(w, 100)
            assert_consistent(w)

    run(test)


def test_drain_that_ended_during_an_outage_ends_with_discoverys_report(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            drained, line = w.backends[0], w.discovery.hosts[0]
            w.discovery.change(line | {"health": "terminating"})
            await wait_for_service(w)
            await wait_for(lambda: _drain_stored(fleet, drained.host), "the drain is stored")
            await w.discovery.disconnect()
            await fleet.kill_machine()
            w.discovery.change(line)
            drained.removed = True  # no instance can know otherwise
            await fleet.start()
            await wait_for(lambda: all_full(fleet), "full service without discovery")
            await wait_for_service(w, 60)
            assert w.backend_stats.stale_requests == 0
            drained.removed = False
            before = drained.connections
            await w.discovery.reconnect()
            await wait_for(lambda: discovery_reported_to_all(fleet), "discovery has reported")
            await wait_for(lambda: drained.connections > before, "it is used again")
            assert_consistent(w)

    run(test)


def test_replaced_backends_are_dropped_and_no_wrong_answers_are_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await lose_fleet_and_discovery(w, fleet)
            await w.replace_backends(0.5, 3)
            await fleet.start()
            await wait_for(lambda: all_full(fleet), "full")
            await wait_for_service(w, 60)
            await wait_for(lambda: has_dropped_backends(fleet), "replaced backends are dropped")
            await w.discovery.reconnect()
            await wait_for(lambda: discovery_reported_to_all(fleet), "discovery has reported")
            await wait_for_service(w)
            assert_consistent(w)

    run(test)


@pytest.mark.parametrize("lie", ["empty", "older"])
def test_wrong_list_from_discovery_does_not_replace_the_stored_one(tmp_path: Path, lie: str) -> None:
    """Discovery restarts with an empty list, or with a list from before a drain."""

    async def test() -> None:
        async with world(tmp_path, extra="doubt_for = 600.0") as (w, fleet):
            before = list(w.discovery.hosts)
            drained = w.backends[0]
            w.discovery.change(before[0] | {"health": "terminating"})
            await wait_for_service(w)
            await wait_for(lambda: _drain_stored(fleet, drained.host), "the drain is stored")
            await fleet.kill_machine()
            drained.removed = True
            await w.discovery.disconnect()
            w.discovery.hosts, w.discovery.seq = ([], 9) if lie == "empty" else (before, 1)
            await w.discovery.reconnect()
            await fleet.start()
            await wait_for(lambda: all_full(fleet), "full")
            await wait_for(lambda: fleet.log().count("recovery: doubted") >= fleet.count, "doubts")
            await wait_for_service(w, 100)
            assert_consistent(w)

    run(test)


def test_persistent_empty_list_is_accepted(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, extra="doubt_for = 0.5") as (w, fleet):
            await lose_fleet_and_discovery(w, fleet)
            w.discovery.hosts, w.discovery.seq = [], 9
            await w.discovery.reconnect()
            await fleet.start()
            await wait_for(lambda: discovery_reported_to_all(fleet), "the empty list is accepted")
            assert fleet.log().count("recovery: doubted") >= fleet.count
            assert w.load is not None
            asked = len(w.load.results)
            await wait_for(partial(_has_answers, w, asked + 20), "answers")
            assert {row.outcome for row in w.load.results[asked + 10 :]} == {"refused"}

    run(test)


def _has_answers(w: World, count: int) -> bool:
    return w.load is not None and len(w.load.results) > count


async def _drain_stored(fleet: Fleet, host: str) -> bool:
    for i in range(fleet.count):
        records = RecordFile(fleet.state / "store" / f"p{i}.records")
        found = records.read(["list"]).get("list")
        records.close()
        rows = found.body["hosts"] if found is not None else []
        if not any(row["host"] == host and row["health"] == "terminating" for row in rows):
            return False
    return True


def test_instance_stopped_during_recovery_does_not_delay_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, ("discovery",), count=6) as (w, fleet):
            await wait_for_service(w)
            await wait_for_stored_lists(fleet)
            await w.links["discovery"][0].set_fault(LinkFault("drop"))
            await fleet.kill_machine()
            await fleet.start()
            await wait_for(w.all_running, "processes")
            rows = await fleet.instance_status()
            os.kill(rows["p0"]["pid"], signal.SIGSTOP)
            await wait_for(lambda: _stopped(rows["p0"]["pid"]), "stopped")
            await wait_for(lambda: _others_full(fleet, "p0"), "the others")
            os.kill(rows["p0"]["pid"], signal.SIGCONT)
            await w.links["discovery"][0].set_fault(LinkFault())
            await wait_for(lambda: all_full(fleet), "all")
            assert_consistent(w)

    run(test)


def _stopped(pid: int) -> bool:
    stat = read_stat(pid)
    return stat is not None and stat.state == "T"


async def _others_full(fleet: Fleet, name: str) -> bool:
    rows = await fleet.instance_status()
    return all(row.get("comeback", {}).get("phase") == "full" for who, row in rows.items() if who != name)


def test_new_supervisor_restores_the_state_of_a_killed_one(tmp_path: Path) -> None:
    """Stopped instances stay stopped, generations continue and the epoch grows, also with damaged stores."""

    async def test() -> None:
        async with world(tmp_path, rate=5.0) as (w, fleet):
            await wait_for_stored_lists(fleet)
            process = await asyncio.create_subprocess_exec(
                *_command("stop", fleet, "p1"), stdout=asyncio.subprocess.DEVNULL
            )
            assert await process.wait() == 0
            await asyncio.sleep(0.5)
            await fleet.kill_machine()
            fleet.corrupt_store(["p0", "p2"], 5)
            await fleet.start()
            await wait_for(lambda: _states_restored(fleet), "the earlier states")
            rows = await fleet.instance_status()
            assert rows["p1"]["state"] == "stopped" and rows["p0"]["generation"] > 1
            assert "epoch 2" in fleet.log()
            assert_consistent(w)

    run(test)


def _command(action: str, fleet: Fleet, *names: str) -> list[str]:
    return [sys.executable, "-m", "cometusher", "fleet", action, "-c", str(fleet.file), *names]


async def _states_restored(fleet: Fleet) -> bool:
    rows = await fleet.instance_status()
    states = {name: row["state"] for name, row in rows.items()}
    return states == {"p0": "ready", "p1": "stopped", "p2": "ready", "p3": "ready"}


def test_repeated_correlated_failures_refuse_no_request(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, count=6) as (w, fleet):
            await wait_for_service(w)
            killed: set[int] = set()
            for failure in range(3):
                names = [f"p{(failure + i) % 6}" for i in range(4)]
                await wait_for(partial(w.all_running, killed), "processes")
                killed |= set(await fleet.signal(names, signal.SIGKILL))
                await wait_for(partial(_event_count_reached, fleet, failure + 1), "an event")
            await wait_for(lambda: all_full(fleet), "full")
            await wait_for_service(w)
            assert w.load is not None
            assert not [row for row in w.load.results if row.outcome in ("refused", "unreachable")]
            assert_consistent(w)

    run(test)


async def _event_count_reached(fleet: Fleet, count: int) -> bool:
    failures = (await fleet.status()).get("comeback", [])
    return len([failure for failure in failures if failure["cause"] == "from outside"]) >= count
