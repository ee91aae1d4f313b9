"""Instances that hang, spin or are stopped are replaced, and their callers are served; with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from functools import partial
from pathlib import Path

import pytest
from fleetrig import assert_consistent, next_requests, run, running, wait_for
from rig import PEER_TIMEOUT
from takeover_rig import HOOKS, environment, takeover_rig

from cometusher.fault_injection.environment import ALL_CLASSES, Fleet, World
from cometusher.fleet.control import send_request
from cometusher.fleet.identity import read_schedstat, read_stat
from standins.caller import Caller, request

RATE = 80.0


@contextlib.asynccontextmanager
async def running_world(
    folder: Path, count: int = 6, rate: float = RATE, lines: tuple[str, ...] = (), **policy: float
) -> AsyncIterator[tuple[World, Fleet]]:
    world = World(folder, 8, 0.03)
    world.request_classes = ALL_CLASSES
    fleet = world.add_fleet("f", count, 0, False, True, True)
    fleet.failure_detector_lines, fleet.policy = list(lines), dict(policy)
    hooks_folder(folder).mkdir()
    with environment(STALL_HOOKS="1", STAGE_HOOKS=str(hooks_folder(folder)), PYTHONPATH=str(HOOKS)):
        async with running(world, rate):
            yield world, fleet


def hooks_folder(folder: Path) -> Path:
    """Files in it tell the test hooks at which stage to stop a process."""
    return folder / "hooks"


async def has_verdict(fleet: Fleet, name: str, judgement: str) -> bool:
    return bool((await fleet.instance_status())[name]["vigil"].get("judgement") == judgement)


async def detector_count(fleet: Fleet, name: str) -> int:
    return int((await fleet.status())["vigil"][name])


def test_stopped_instances_are_replaced_and_their_callers_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path) as (world, fleet):
            assert world.load is not None
            await next_requests(world, 60)
            old_pids = await fleet.pids()
            first_result = len(world.load.results)
            for name in ("p1", "p4"):
                os.kill(old_pids[name], signal.SIGSTOP)
            for name in ("p1", "p4"):
                await wait_for(partial(fleet.is_replaced, name, old_pids[name]), f"a new {name}")
                assert read_stat(old_pids[name]) is None, "it was reaped"
            await next_requests(world, 80)
            new_pids = await fleet.pids()
            assert all(new_pids[name] == old_pids[name] for name in ("p0", "p2", "p3", "p5")), "no other instance"
            lost = [result for result in world.load.results[first_result:] if result.outcome == "lost"]
            assert not lost, lost
            assert await detector_count(fleet, "replaced") == 2
            assert_consistent(world)
            notes = await asyncio.to_thread(send_request, Path(fleet.control), "explain", PEER_TIMEOUT, names=["p1"])
            texts = [text for _, text in notes["notes"]["p1"]]
            assert "suspect, stopped" in texts[0] and "it is replaced" in texts[-1], texts

    run(test)


def test_others_accept_for_an_instance_that_is_stopped_briefly(tmp_path: Path) -> None:
    """It continues before it would be killed, and no instance is replaced."""

    async def test() -> None:
        async with running_world(tmp_path, 4, rate=5.0) as (world, fleet):
            text = fleet.file.read_text().replace("[vigil]", "[vigil]\nstopped_for = 120.0\n")
            fleet.file.write_text(text)
            await asyncio.to_thread(send_request, Path(fleet.control), "reload", PEER_TIMEOUT)
            pid = (await fleet.pids())["p2"]
            os.kill(pid, signal.SIGSTOP)
            try:
                await wait_for(lambda: has_verdict(fleet, "p2", "suspect"), "suspect")
                reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[2])
                writer.write(request("report-view", budget="3000m", request_id="s1"))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PEER_TIMEOUT)
                assert head.startswith(b"HTTP/1.1 200"), head
                assert read_stat(pid) is not None and await detector_count(fleet, "accepted_for_others") >= 1
                writer.close()
            finally:
                os.kill(pid, signal.SIGCONT)
            await wait_for(lambda: has_verdict(fleet, "p2", "well"), "well again")
            assert (await fleet.pids())["p2"] == pid and await detector_count(fleet, "replaced") == 0
            assert await detector_count(fleet, "relieved") == 0
            assert_consistent(world)

    run(test)


def test_all_but_one_stopped_instances_are_replaced(tmp_path: Path) -> None:
    """No more at once than the budget allows, and all in the end."""

    async def test() -> None:
        async with running_world(tmp_path, 6, rate=40.0) as (world, fleet):
            await next_requests(world, 40)
            old_pids = await fleet.pids()
            for name in old_pids:
                if name != "p0":
                    os.kill(old_pids[name], signal.SIGSTOP)
            for name in old_pids:
                if name != "p0":
                    await wait_for(partial(fleet.is_replaced, name, old_pids[name]), f"a new {name}")
            assert (await fleet.pids())["p0"] == old_pids["p0"]
            assert await detector_count(fleet, "replaced") == 5 and await detector_count(fleet, "held_back") >= 1
            await next_requests(world, 40)
            assert_consistent(world)

    run(test)


def test_supervisor_that_was_stopped_ignores_stale_observations(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 4) as (world, fleet):
            assert fleet.process is not None and world.load is not None
            old_pids = await fleet.pids()
            first_result = len(world.load.results)
            os.kill(fleet.process.pid, signal.SIGSTOP)
            await next_requests(world, 200)
            os.kill(fleet.process.pid, signal.SIGCONT)
            await next_requests(world, 80)
            assert await fleet.pids() == old_pids and await detector_count(fleet, "replaced") == 0
            assert not [result for result in world.load.results[first_result:] if result.outcome == "lost"]

    run(test)


def test_instance_stopped_repeatedly_is_replaced_each_time(tmp_path: Path) -> None:
    """Its replacement is stopped too, shortly after its start."""

    async def test() -> None:
        async with running_world(tmp_path, 4, rate=40.0) as (world, fleet):
            assert world.load is not None
            await next_requests(world, 30)
            first_result = len(world.load.results)
            for _ in range(3):
                pid = (await fleet.pids())["p1"]
                os.kill(pid, signal.SIGSTOP)
                await wait_for(partial(fleet.is_replaced, "p1", pid), "a new p1")
            await next_requests(world, 30)
            assert await detector_count(fleet, "replaced") == 3
            assert not [result for result in world.load.results[first_result:] if result.outcome == "lost"]
            assert_consistent(world)

    run(test)


def test_rolling_restart_completes_although_an_instance_stalls(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 4, rate=40.0) as (world, fleet):
            await next_requests(world, 30)
            old_pids = await fleet.pids()
            rolling = asyncio.create_task(
                asyncio.to_thread(send_request, Path(fleet.control), "restart", 3 * PEER_TIMEOUT)
            )
            os.kill(old_pids["p3"], signal.SIGSTOP)
            for name in old_pids:
                await wait_for(partial(fleet.is_replaced, name, old_pids[name]), f"a new {name}")
            assert "4 of 4 done" in (await rolling)["text"]
            await next_requests(world, 30)
            assert_consistent(world)

    run(test)


@pytest.mark.parametrize(("signal_number", "cause"), [(signal.SIGUSR2, "hung"), (signal.SIGUSR1, "spinning")])
def test_hung_or_spinning_instance_is_replaced_and_its_requests_continue(
    tmp_path: Path, signal_number: int, cause: str
) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 4, lines=("spinning_for = 0.8",)) as (world, fleet):
            assert world.load is not None
            await next_requests(world, 60)
            first_result, pids = len(world.load.results), await fleet.pids()
            os.kill(pids["p2"], signal_number)
            await wait_for(partial(fleet.is_replaced, "p2", pids["p2"]), "a new p2")
            await next_requests(world, 60)
            new_pids = await fleet.pids()
            assert {name for name in pids if new_pids[name] != pids[name]} == {"p2"}
            assert not [result for result in world.load.results[first_result:] if result.outcome == "lost"]
            assert_consistent(world)
            notes = await asyncio.to_thread(send_request, Path(fleet.control), "explain", PEER_TIMEOUT, names=["p2"])
            assert any(f"it is replaced: {cause}" in text for _, text in notes["notes"]["p2"]), notes

    run(test)


def test_serving_instance_without_heartbeats_is_not_replaced(tmp_path: Path) -> None:
    """Its clock stands still, so its heartbeats do not advance, but it answers requests."""

    async def test() -> None:
        async with running_world(tmp_path, 4, rate=160.0) as (world, fleet):
            await next_requests(world, 60)
            pids = await fleet.pids()
            os.kill(pids["p2"], signal.SIGURG)
            await next_requests(world, 600)
            assert await fleet.pids() == pids and await detector_count(fleet, "replaced") == 0
            assert_consistent(world)

    run(test)


def test_instance_with_short_pauses_is_not_replaced(tmp_path: Path) -> None:
    """Stopped for 50 ms, 0.2 s and 0.4 s repeatedly, as on a machine whose processors others use."""

    async def test() -> None:
        async with running_world(tmp_path, 4, lines=("stopped_for = 30.0", "hung_for = 30.0")) as (world, fleet):
            assert world.load is not None
            await next_requests(world, 40)
            first_result, pids = len(world.load.results), await fleet.pids()
            for pause in (0.05, 0.2, 0.05, 0.2, 0.4, 0.2):
                os.kill(pids["p3"], signal.SIGSTOP)
                await asyncio.sleep(pause)
                os.kill(pids["p3"], signal.SIGCONT)
                await next_requests(world, 20)
            await wait_for(lambda: has_verdict(fleet, "p3", "well"), "well")
            assert await fleet.pids() == pids and await detector_count(fleet, "relieved") == 0
            assert not [result for result in world.load.results[first_result:] if result.outcome == "lost"]
            assert_consistent(world)

    run(test)


def test_reload_completes_although_an_instance_is_stopped(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_world(tmp_path, 4, rate=40.0) as (world, fleet):
            await next_requests(world, 30)
            pids = await fleet.pids()
            os.kill(pids["p1"], signal.SIGSTOP)
            fleet.file.write_text(fleet.file.read_text().replace("sockets = 256", "sockets = 300"))
            answer = await asyncio.to_thread(send_request, Path(fleet.control), "reload", 3 * PEER_TIMEOUT)
            assert "text" in answer
            for name in pids:
                await wait_for(partial(fleet.is_replaced, name, pids[name]) if name == "p1" else fleet.is_ready, name)
            await next_requests(world, 30)
            assert_consistent(world)

    run(test)


def test_supervisor_stopped_while_instances_died_kills_no_live_instance(tmp_path: Path) -> None:
    """One instance dies; another is stopped for a while and continues before the supervisor does."""

    async def test() -> None:
        async with running_world(tmp_path, 5, rate=40.0) as (world, fleet):
            assert fleet.process is not None and world.load is not None
            await next_requests(world, 30)
            old_pids = await fleet.pids()
            os.kill(fleet.process.pid, signal.SIGSTOP)
            os.kill(old_pids["p1"], signal.SIGKILL)
            os.kill(old_pids["p2"], signal.SIGSTOP)
            await next_requests(world, 100)
            os.kill(old_pids["p2"], signal.SIGCONT)
            await next_requests(world, 20)
            os.kill(fleet.process.pid, signal.SIGCONT)
            await wait_for(partial(fleet.is_replaced, "p1", old_pids["p1"]), "a new p1")
            await next_requests(world, 60)
            new_pids = await fleet.pids()
            assert {name for name in old_pids if new_pids[name] != old_pids[name]} == {"p1"}
            assert await detector_count(fleet, "replaced") == 0, fleet.log()[-3000:]
            assert_consistent(world)

    run(test)


def test_connections_in_the_queue_of_a_stopped_instance_are_served(tmp_path: Path) -> None:
    """No process accepts until the watchdog does; then the other instances get all waiting connections."""

    async def test() -> None:
        async with running_world(tmp_path, 4, rate=5.0, lines=("stopped_for = 120.0",)) as (world, fleet):
            pid = (await fleet.pids())["p2"]
            os.kill(pid, signal.SIGSTOP)
            callers: list[Caller] = []
            try:
                for i in range(300):
                    callers.append(Caller(*await asyncio.open_connection("127.0.0.1", fleet.ports[2])))
                    message = request(
                        "report-view", budget="4000m", request_id=f"q{i}", extra=(b"Connection: close",)
                    )
                    callers[-1].writer.write(message)
                answers = [(await caller.answer())[0] for caller in callers]
            finally:
                for caller in callers:
                    caller.abort()
                os.kill(pid, signal.SIGCONT)
            assert set(answers) <= {200, 503} and answers.count(200) > 200, "each has an answer"
            assert await detector_count(fleet, "accepted_for_others") >= 250
            await wait_for(lambda: has_verdict(fleet, "p2", "well"), "well")
            assert_consistent(world)

    run(test)


def test_requests_of_a_process_that_stalls_while_draining_are_taken_over() -> None:
    """The old process drains beside its replacement, with an in-flight request, and is stopped for good. It would
    have two minutes to exit."""

    async def test() -> None:
        async with takeover_rig(3, vigil=True, stop_within=120.0) as rig:
            caller, rid = await rig.hold_request(0, "once")
            old = (await rig.fleet.pids())["p0"]
            rolling = asyncio.create_task(
                asyncio.to_thread(send_request, Path(rig.fleet.control), "restart", 3 * PEER_TIMEOUT, names=["p0"])
            )
            await rig.wait_until(partial(rig.fleet.is_replaced, "p0", old), "a replacement beside the old process")
            assert read_stat(old) is not None, "it drains, with the request in flight"
            os.kill(old, signal.SIGSTOP)

            async def adopted() -> bool:
                return await rig.takeover_count("adopted") == 1

            await rig.wait_until(adopted, "a successor")
            assert read_stat(old) is None, "it was reaped before"
            rig.backends_may_answer.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(rid) and rig.request_count(rid) == 1
            assert "1 of 1 done" in (await rolling)["text"]
            assert (await rig.fleet.status())["vigil"]["replaced"] == 1

    run(test)


def test_process_stopped_while_starting_is_replaced(tmp_path: Path) -> None:
    """It would have two minutes to get ready, in which the kernel accepts its callers and no process answers."""

    async def test() -> None:
        async with running_world(tmp_path, 4, rate=40.0, ready_within=120.0) as (world, fleet):
            assert world.load is not None
            await next_requests(world, 30)
            first_result, old_pids = len(world.load.results), await fleet.pids()
            (hooks_folder(tmp_path) / "p1.starting").write_text(str(int(signal.SIGSTOP)))
            os.kill(old_pids["p1"], signal.SIGKILL)
            await wait_for(partial(fleet.is_replaced, "p1", old_pids["p1"]), "a new p1")
            assert not (hooks_folder(tmp_path) / "p1.starting").exists(), "another process was stopped before it"
            assert await detector_count(fleet, "replaced") == 1
            await next_requests(world, 40)
            assert not [result for result in world.load.results[first_result:] if result.outcome == "lost"]
            assert_consistent(world)

    run(test)


def test_others_accept_for_a_process_that_is_not_ready(tmp_path: Path) -> None:
    async def test() -> None:
        lines = ("stopped_for = 120.0",)
        async with running_world(tmp_path, 4, rate=5.0, lines=lines, ready_within=120.0) as (world, fleet):
            old_pids = (await fleet.pids())["p2"]
            (hooks_folder(tmp_path) / "p2.starting").write_text(str(int(signal.SIGSTOP)))
            os.kill(old_pids, signal.SIGKILL)
            await wait_for(lambda: not (hooks_folder(tmp_path) / "p2.starting").exists(), "one that starts")
            pid = (await fleet.pids())["p2"]
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[2])
                writer.write(request("report-view", budget="3000m", request_id="s1"))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PEER_TIMEOUT)
                assert head.startswith(b"HTTP/1.1 200"), head
                assert await detector_count(fleet, "accepted_for_others") >= 1
                writer.close()
            finally:
                os.kill(pid, signal.SIGCONT)
            await wait_for(partial(fleet.is_replaced, "p2", old_pids), "ready")
            await wait_for(lambda: has_verdict(fleet, "p2", "well"), "well")
            assert (await fleet.pids())["p2"] == pid and await detector_count(fleet, "replaced") == 0
            assert await detector_count(fleet, "relieved") == 0
            assert_consistent(world)

    run(test)


@pytest.mark.parametrize("supervisor_too", [True, False])
def test_starved_instances_are_not_replaced(tmp_path: Path, supervisor_too: bool) -> None:
    """All instances, with or without the supervisor, wait three seconds each for a CPU that busy loops occupy.

    They have the policy SCHED_IDLE (sched(7)), and get only the time that the loops leave.
    """

    async def test() -> None:
        async with running_world(tmp_path, 4, rate=40.0) as (world, fleet):
            assert fleet.process is not None
            await next_requests(world, 30)
            old_pids = await fleet.pids()
            pids = [*old_pids.values(), *([fleet.process.pid] if supervisor_too else [])]
            cpu = max(os.sched_getaffinity(0))
            for pid in pids:
                os.sched_setaffinity(pid, {cpu})
                os.sched_setscheduler(pid, os.SCHED_IDLE, os.sched_param(0))
            with starving(cpu):
                wait_before = {pid: read_schedstat(pid)[1] for pid in pids}
                await wait_for(
                    lambda: all(read_schedstat(pid)[1] - wait_before[pid] > 3.0 for pid in pids), "starved"
                )
            await wait_for(lambda: all_well(fleet), "well again")
            assert await fleet.pids() == old_pids and await detector_count(fleet, "replaced") == 0, fleet.log()[
                -3000:
            ]
            assert_consistent(world)

    run(test)


@contextlib.contextmanager
def starving(cpu: int) -> Iterator[None]:
    """Two busy loops on one CPU."""
    busy_loops = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(2)]
    try:
        for loop in busy_loops:
            os.sched_setaffinity(loop.pid, {cpu})
        yield
    finally:
        for loop in busy_loops:
            loop.kill()
            loop.wait()


async def all_well(fleet: Fleet) -> bool:
    rows = (await fleet.instance_status()).values()
    return bool(rows) and all(row["vigil"].get("judgement") == "well" for row in rows)
