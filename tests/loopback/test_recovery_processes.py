"""Several real processes come back after a blow, with faults between them; the accounts of both sides tell."""

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
from fleetrig import come, run, running

from cometusher.fault_injection.environment import Fleet, World
from cometusher.fleet.identity import read_stat
from cometusher.store.records import RecordFile
from standins.caller import Caller, request
from standins.faulty_link import Mood

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


async def phases(fleet: Fleet) -> list[str]:
    return [row.get("comeback", {}).get("phase", "") for row in (await fleet.rows()).values()]


async def all_full(fleet: Fleet) -> bool:
    return await phases(fleet) == ["full"] * fleet.count


async def all_told(fleet: Fleet) -> bool:
    rows = (await fleet.rows()).values()
    return len(rows) == fleet.count and all(row.get("comeback", {}).get("told") for row in rows)


def served(world: World) -> int:
    assert world.load is not None
    return sum(row.how == "served" for row in world.load.told)


async def serves(world: World, more: int = 30) -> None:
    """Requests that are asked from now on are served."""
    before = served(world)
    await come(lambda: served(world) >= before + more, "served again")


def nothing_wrong(world: World) -> None:
    assert world.load is not None
    assert (world.account.stale, world.load.wrong) == (0, 0)
    assert world.twice() == 0


async def lost_while_discovery_is_away(w: World, fleet: Fleet) -> None:
    await serves(w)
    await kept(fleet)
    await w.lists.leave()
    await fleet.lose()


async def kept(fleet: Fleet) -> None:
    """Every instance has kept its list."""
    store = fleet.state / "store"
    await come(lambda: len(list(store.glob("p*.records"))) == fleet.count, "records")
    await asyncio.sleep(0.6)  # more than the time between two writings


def test_a_lost_machine_serves_from_what_it_kept_while_discovery_is_away(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await lost_while_discovery_is_away(w, fleet)
            await fleet.start()
            await come(lambda: all_full(fleet), "full service without discovery")
            assert not [row for row in (await fleet.rows()).values() if row["comeback"]["told"]]
            await serves(w)
            assert (await fleet.status())["comeback"][-1]["cause"].startswith("the supervisor before")
            await w.lists.back()
            await come(lambda: all_told(fleet), "discovery is heard")
            await serves(w)
            nothing_wrong(w)

    run(test)


def test_with_nothing_kept_requests_wait_and_nobody_is_ready_or_killed(tmp_path: Path) -> None:
    """Discovery is away for longer than processes have to become ready."""

    async def test() -> None:
        async with world(tmp_path, rate=1.0) as (w, fleet):
            text = fleet.file.read_text().replace("[log]", "[policy]\nready_within = 1.5\n[log]")
            await w.lists.leave()
            await fleet.lose()
            fleet.lose_store([f"p{i}" for i in range(fleet.count)])
            fleet.file.write_text(text)
            await fleet.start()
            await come(lambda: _waiting(fleet), "all wait")
            pids = [row["pid"] for row in (await fleet.rows()).values()]
            caller = Caller(*await asyncio.open_connection("127.0.0.1", fleet.ports[0]))
            caller.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            status, seen = await caller.answer()
            assert (status, seen.headers[b"x-comeback"]) == (503, b"nothing")
            caller.writer.write(request("report-view", budget="4000m", rid="w1"))
            await asyncio.sleep(2.0)
            assert [row["pid"] for row in (await fleet.rows()).values()] == pids, "nobody was replaced"
            await w.lists.back()
            assert (await caller.answer())[0] == 200, "it waited and was served"
            caller.leave()
            await come(fleet.ready, "ready")
            nothing_wrong(w)

    run(test)


async def _waiting(fleet: Fleet) -> bool:
    rows = (await fleet.rows()).values()
    return await phases(fleet) == ["nothing"] * fleet.count and {row["state"] for row in rows} == {"starting"}


def test_a_ban_outlives_its_process_and_a_store_that_was_put_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await serves(w)
            await kept(fleet)
            fleet.copy_store()
            banned = w.backends[2]
            await fleet.operate("exclude", banned.host)
            await come(lambda: _orders_kept(fleet), "the fleet keeps the orders")
            await asyncio.sleep(0.3)
            banned.away = True
            await fleet.lose()
            fleet.put_back_store()
            await fleet.start()
            await come(lambda: all_full(fleet), "full")
            await serves(w, 100)
            assert w.account.stale == 0
            await fleet.operate("include", banned.host)
            nothing_wrong(w)

    run(test)


async def _orders_kept(fleet: Fleet) -> bool:
    records = RecordFile(fleet.state / "store" / ".fleet.records")
    found = records.read(["fleet"]).get("fleet")
    records.close()
    return found is not None and len(found.body["orders"]) == fleet.count


@pytest.mark.parametrize("seconds", [-3600.0, 3600.0], ids=["back", "forth"])
def test_a_clock_that_was_set_while_all_were_away_makes_no_order_old(tmp_path: Path, seconds: float) -> None:
    """Set back: the list is of unknown age and serves for a while. Set forth: too old to serve. A ban is neither."""

    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await serves(w)
            await kept(fleet)
            banned = w.backends[2]
            await fleet.operate("exclude", banned.host)
            await come(lambda: _orders_kept(fleet), "the fleet keeps the orders")
            await asyncio.sleep(0.3)
            banned.away = True
            await w.lists.leave()
            await fleet.lose()
            fleet.turn_clock([f"p{i}" for i in range(fleet.count)], seconds)
            await fleet.start()
            if seconds < 0.0:
                await come(lambda: all_full(fleet), "full service without discovery")
                assert fleet.log().count("a clock was set back") >= fleet.count
                await serves(w)
            else:
                await come(lambda: _waiting(fleet), "all wait")
                assert fleet.log().count("stored list: old") >= fleet.count
            await w.lists.back()
            await come(lambda: all_told(fleet), "told")
            await serves(w, 100)
            nothing_wrong(w)

    run(test)


def test_a_drain_that_ended_while_all_were_away_ends_when_discovery_says_so(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            drained, line = w.backends[0], w.lists.hosts[0]
            w.lists.change(line | {"health": "terminating"})
            await serves(w)
            await come(lambda: _kept_drain(fleet, drained.host), "the drain is kept")
            await w.lists.leave()
            await fleet.lose()
            w.lists.change(line)
            drained.away = True  # as far as anybody can know
            await fleet.start()
            await come(lambda: all_full(fleet), "full service without discovery")
            await serves(w, 60)
            assert w.account.stale == 0
            drained.away = False
            before = drained.connections
            await w.lists.back()
            await come(lambda: all_told(fleet), "told")
            await come(lambda: drained.connections > before, "it is used again")
            nothing_wrong(w)

    run(test)


def test_half_of_the_backends_replaced_meanwhile_are_dropped_and_nobody_gets_anothers_answer(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            await lost_while_discovery_is_away(w, fleet)
            await w.replace_backends(0.5, 3)
            await fleet.start()
            await come(lambda: all_full(fleet), "full")
            await serves(w, 60)
            dropped = [row["comeback"]["dropped"] for row in (await fleet.rows()).values()]
            assert sum(dropped) > 0
            await w.lists.back()
            await come(lambda: all_told(fleet), "told")
            await serves(w)
            nothing_wrong(w)

    run(test)


@pytest.mark.parametrize("lie", ["empty", "older"])
def test_discovery_that_lies_takes_nothing_from_those_who_remember(tmp_path: Path, lie: str) -> None:
    """It comes back with nothing, or with a list from before a drain."""

    async def test() -> None:
        async with world(tmp_path, extra="doubt_for = 600.0") as (w, fleet):
            before = list(w.lists.hosts)
            drained = w.backends[0]
            w.lists.change(before[0] | {"health": "terminating"})
            await serves(w)
            await come(lambda: _kept_drain(fleet, drained.host), "the drain is kept")
            await fleet.lose()
            drained.away = True
            await w.lists.leave()
            w.lists.hosts, w.lists.seq = ([], 9) if lie == "empty" else (before, 1)
            await w.lists.back()
            await fleet.start()
            await come(lambda: all_full(fleet), "full")
            await come(lambda: fleet.log().count("recovery: doubted") >= fleet.count, "doubts")
            await serves(w, 100)
            nothing_wrong(w)

    run(test)


def test_an_empty_list_that_stands_is_believed(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, extra="doubt_for = 0.5") as (w, fleet):
            await lost_while_discovery_is_away(w, fleet)
            w.lists.hosts, w.lists.seq = [], 9
            await w.lists.back()
            await fleet.start()
            await come(lambda: all_told(fleet), "the empty list is believed")
            assert fleet.log().count("recovery: doubted") >= fleet.count
            assert w.load is not None
            asked = len(w.load.told)
            await come(partial(_answered, w, asked + 20), "answers")
            assert {row.how for row in w.load.told[asked + 10 :]} == {"refused"}

    run(test)


def _answered(w: World, count: int) -> bool:
    return w.load is not None and len(w.load.told) > count


async def _kept_drain(fleet: Fleet, host: str) -> bool:
    for i in range(fleet.count):
        records = RecordFile(fleet.state / "store" / f"p{i}.records")
        found = records.read(["list"]).get("list")
        records.close()
        rows = found.body["hosts"] if found is not None else []
        if not any(row["host"] == host and row["health"] == "terminating" for row in rows):
            return False
    return True


def test_one_that_is_stopped_in_the_middle_of_its_return_holds_up_nobody(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, ("discovery",), count=6) as (w, fleet):
            await serves(w)
            await kept(fleet)
            await w.links["discovery"][0].set(Mood("drop"))
            await fleet.lose()
            await fleet.start()
            await come(w.all_there, "processes")
            rows = await fleet.rows()
            os.kill(rows["p0"]["pid"], signal.SIGSTOP)
            await come(lambda: _stopped(rows["p0"]["pid"]), "stopped")
            await come(lambda: _full_but(fleet, "p0"), "the others")
            os.kill(rows["p0"]["pid"], signal.SIGCONT)
            await w.links["discovery"][0].set(Mood())
            await come(lambda: all_full(fleet), "all")
            nothing_wrong(w)

    run(test)


def _stopped(pid: int) -> bool:
    stat = read_stat(pid)
    return stat is not None and stat.state == "T"


async def _full_but(fleet: Fleet, name: str) -> bool:
    rows = await fleet.rows()
    return all(row.get("comeback", {}).get("phase") == "full" for who, row in rows.items() if who != name)


def test_a_killed_supervisors_successor_takes_up_where_it_was(tmp_path: Path) -> None:
    """What was stopped on purpose stays stopped, generations go on, the epoch grows; a damaged store is no matter."""

    async def test() -> None:
        async with world(tmp_path, rate=5.0) as (w, fleet):
            await kept(fleet)
            process = await asyncio.create_subprocess_exec(
                *_command("stop", fleet, "p1"), stdout=asyncio.subprocess.DEVNULL
            )
            assert await process.wait() == 0
            await asyncio.sleep(0.5)
            await fleet.lose()
            fleet.damage_store(["p0", "p2"], 5)
            await fleet.start()
            await come(lambda: _as_before(fleet), "as before")
            rows = await fleet.rows()
            assert rows["p1"]["state"] == "stopped" and rows["p0"]["generation"] > 1
            assert "epoch 2" in fleet.log()
            nothing_wrong(w)

    run(test)


def _command(action: str, fleet: Fleet, *names: str) -> list[str]:
    return [sys.executable, "-m", "cometusher", "fleet", action, "-c", str(fleet.file), *names]


async def _as_before(fleet: Fleet) -> bool:
    rows = await fleet.rows()
    states = {name: row["state"] for name, row in rows.items()}
    return states == {"p0": "ready", "p1": "stopped", "p2": "ready", "p3": "ready"}


def test_most_killed_at_once_and_again_are_events_and_nobody_is_turned_away(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, count=6) as (w, fleet):
            await serves(w)
            killed: set[int] = set()
            for blow in range(3):
                names = [f"p{(blow + i) % 6}" for i in range(4)]
                await come(partial(w.all_there, killed), "processes")
                killed |= set(await fleet.signal(names, signal.SIGKILL))
                await come(partial(_events, fleet, blow + 1), "an event")
            await come(lambda: all_full(fleet), "full")
            await serves(w)
            assert w.load is not None
            assert not [row for row in w.load.told if row.how in ("refused", "unreachable")]
            nothing_wrong(w)

    run(test)


async def _events(fleet: Fleet, count: int) -> bool:
    blows = (await fleet.status()).get("comeback", [])
    return len([blow for blow in blows if blow["cause"] == "from outside"]) >= count
