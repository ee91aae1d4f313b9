"""Instances that stand still cost their callers nothing: real processes, stopped, spinning, and let go on."""

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
from rig import PATIENCE
from takeover_rig import HOOKS, environment, takeover_rig

from cometusher.fault_injection.environment import ALL_CLASSES, Fleet, World
from cometusher.fleet.control import send_request
from cometusher.fleet.identity import read_schedstat, read_stat
from standins.caller import Caller, request

RATE = 80.0


@contextlib.asynccontextmanager
async def world(
    folder: Path, count: int = 6, rate: float = RATE, lines: tuple[str, ...] = (), **policy: float
) -> AsyncIterator[tuple[World, Fleet]]:
    made = World(folder, 8, 0.03)
    made.request_classes = ALL_CLASSES
    fleet = made.add_fleet("f", count, 0, False, True, True)
    fleet.failure_detector_lines, fleet.policy = list(lines), dict(policy)
    hooks(folder).mkdir()
    with environment(STALL_HOOKS="1", STAGE_HOOKS=str(hooks(folder)), PYTHONPATH=str(HOOKS)):
        async with running(made, rate):
            yield made, fleet


def hooks(folder: Path) -> Path:
    """Where a test says at which stage a process is to be stopped."""
    return folder / "hooks"


async def judged(fleet: Fleet, name: str, judgement: str) -> bool:
    return bool((await fleet.instance_status())[name]["vigil"].get("judgement") == judgement)


async def counted(fleet: Fleet, name: str) -> int:
    return int((await fleet.status())["vigil"][name])


def test_stopped_instances_are_replaced_and_their_callers_are_served(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path) as (w, fleet):
            assert w.load is not None
            await next_requests(w, 60)
            before = await fleet.pids()
            begin = len(w.load.results)
            for name in ("p1", "p4"):
                os.kill(before[name], signal.SIGSTOP)
            for name in ("p1", "p4"):
                await wait_for(partial(fleet.is_replaced, name, before[name]), f"a fresh {name}")
                assert read_stat(before[name]) is None, "it was reaped"
            await next_requests(w, 80)
            after = await fleet.pids()
            assert all(after[name] == before[name] for name in ("p0", "p2", "p3", "p5")), "and nobody else"
            lost = [one for one in w.load.results[begin:] if one.outcome == "lost"]
            assert not lost, lost
            assert await counted(fleet, "replaced") == 2
            assert_consistent(w)
            notes = await asyncio.to_thread(send_request, Path(fleet.control), "explain", PATIENCE, names=["p1"])
            told = [text for _, text in notes["notes"]["p1"]]
            assert "suspect, stopped" in told[0] and "it is replaced" in told[-1], told

    run(test)


def test_new_connections_to_one_that_is_stopped_for_a_moment_are_accepted_by_others(tmp_path: Path) -> None:
    """It goes on before it would be killed, and nobody was replaced."""

    async def test() -> None:
        async with world(tmp_path, 4, rate=5.0) as (w, fleet):
            text = fleet.file.read_text().replace("[vigil]", "[vigil]\nstopped_for = 120.0\n")
            fleet.file.write_text(text)
            await asyncio.to_thread(send_request, Path(fleet.control), "reload", PATIENCE)
            pid = (await fleet.pids())["p2"]
            os.kill(pid, signal.SIGSTOP)
            try:
                await wait_for(lambda: judged(fleet, "p2", "suspect"), "suspect")
                reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[2])
                writer.write(request("report-view", budget="3000m", rid="s1"))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE)
                assert head.startswith(b"HTTP/1.1 200"), head
                assert read_stat(pid) is not None and await counted(fleet, "accepted_for_others") >= 1
                writer.close()
            finally:
                os.kill(pid, signal.SIGCONT)
            await wait_for(lambda: judged(fleet, "p2", "well"), "well again")
            assert (await fleet.pids())["p2"] == pid and await counted(fleet, "replaced") == 0
            assert await counted(fleet, "relieved") == 0
            assert_consistent(w)

    run(test)


def test_all_but_one_are_stopped_and_all_come_back(tmp_path: Path) -> None:
    """No more at once than the budget has, and in the end all."""

    async def test() -> None:
        async with world(tmp_path, 6, rate=40.0) as (w, fleet):
            await next_requests(w, 40)
            before = await fleet.pids()
            for name in before:
                if name != "p0":
                    os.kill(before[name], signal.SIGSTOP)
            for name in before:
                if name != "p0":
                    await wait_for(partial(fleet.is_replaced, name, before[name]), f"a fresh {name}")
            assert (await fleet.pids())["p0"] == before["p0"]
            assert await counted(fleet, "replaced") == 5 and await counted(fleet, "held_back") >= 1
            await next_requests(w, 40)
            assert_consistent(w)

    run(test)


def test_a_supervisor_that_was_stopped_itself_acts_on_no_old_news(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, 4) as (w, fleet):
            assert fleet.process is not None and w.load is not None
            before = await fleet.pids()
            begin = len(w.load.results)
            os.kill(fleet.process.pid, signal.SIGSTOP)
            await next_requests(w, 200)
            os.kill(fleet.process.pid, signal.SIGCONT)
            await next_requests(w, 80)
            assert await fleet.pids() == before and await counted(fleet, "replaced") == 0
            assert not [one for one in w.load.results[begin:] if one.outcome == "lost"]

    run(test)


def test_one_that_is_stopped_again_and_again_is_replaced_each_time(tmp_path: Path) -> None:
    """Its next process too, in the middle of its first moments."""

    async def test() -> None:
        async with world(tmp_path, 4, rate=40.0) as (w, fleet):
            assert w.load is not None
            await next_requests(w, 30)
            begin = len(w.load.results)
            for _ in range(3):
                pid = (await fleet.pids())["p1"]
                os.kill(pid, signal.SIGSTOP)
                await wait_for(partial(fleet.is_replaced, "p1", pid), "a fresh p1")
            await next_requests(w, 30)
            assert await counted(fleet, "replaced") == 3
            assert not [one for one in w.load.results[begin:] if one.outcome == "lost"]
            assert_consistent(w)

    run(test)


def test_a_stall_in_the_middle_of_a_rolling_restart_ends_in_new_processes_for_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, 4, rate=40.0) as (w, fleet):
            await next_requests(w, 30)
            before = await fleet.pids()
            rolling = asyncio.create_task(
                asyncio.to_thread(send_request, Path(fleet.control), "restart", 3 * PATIENCE)
            )
            os.kill(before["p3"], signal.SIGSTOP)
            for name in before:
                await wait_for(partial(fleet.is_replaced, name, before[name]), f"a fresh {name}")
            assert "4 of 4 done" in (await rolling)["text"]
            await next_requests(w, 30)
            assert_consistent(w)

    run(test)


@pytest.mark.parametrize(("number", "cause"), [(signal.SIGUSR2, "hung"), (signal.SIGUSR1, "spinning")])
def test_one_that_sleeps_or_spins_for_good_is_replaced_and_its_work_goes_on(
    tmp_path: Path, number: int, cause: str
) -> None:
    async def test() -> None:
        async with world(tmp_path, 4, lines=("spinning_for = 0.8",)) as (w, fleet):
            assert w.load is not None
            await next_requests(w, 60)
            begin, pids = len(w.load.results), await fleet.pids()
            os.kill(pids["p2"], number)
            await wait_for(partial(fleet.is_replaced, "p2", pids["p2"]), "a fresh p2")
            await next_requests(w, 60)
            after = await fleet.pids()
            assert {name for name in pids if after[name] != pids[name]} == {"p2"}
            assert not [one for one in w.load.results[begin:] if one.outcome == "lost"]
            assert_consistent(w)
            notes = await asyncio.to_thread(send_request, Path(fleet.control), "explain", PATIENCE, names=["p2"])
            assert any(f"it is replaced: {cause}" in text for _, text in notes["notes"]["p2"]), notes

    run(test)


def test_one_that_serves_and_does_not_beat_is_left_alone(tmp_path: Path) -> None:
    """And a fresh process of the same name beats again."""

    async def test() -> None:
        async with world(tmp_path, 4, rate=160.0) as (w, fleet):
            await next_requests(w, 60)
            pids = await fleet.pids()
            os.kill(pids["p2"], signal.SIGURG)
            await next_requests(w, 600)
            assert await fleet.pids() == pids and await counted(fleet, "replaced") == 0
            assert_consistent(w)

    run(test)


def test_one_that_flaps_stays_and_one_that_wakes_goes_on_unharmed(tmp_path: Path) -> None:
    """Stopped for 50 ms and for 0.2 s again and again, as by a neighbour that takes the machine."""

    async def test() -> None:
        async with world(tmp_path, 4, lines=("stopped_for = 30.0", "hung_for = 30.0")) as (w, fleet):
            assert w.load is not None
            await next_requests(w, 40)
            begin, pids = len(w.load.results), await fleet.pids()
            for pause in (0.05, 0.2, 0.05, 0.2, 0.4, 0.2):
                os.kill(pids["p3"], signal.SIGSTOP)
                await asyncio.sleep(pause)
                os.kill(pids["p3"], signal.SIGCONT)
                await next_requests(w, 20)
            await wait_for(lambda: judged(fleet, "p3", "well"), "well")
            assert await fleet.pids() == pids and await counted(fleet, "relieved") == 0
            assert not [one for one in w.load.results[begin:] if one.outcome == "lost"]
            assert_consistent(w)

    run(test)


def test_a_stall_in_the_middle_of_a_reload_is_ended_and_the_reload_with_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, 4, rate=40.0) as (w, fleet):
            await next_requests(w, 30)
            pids = await fleet.pids()
            os.kill(pids["p1"], signal.SIGSTOP)
            fleet.file.write_text(fleet.file.read_text().replace("sockets = 256", "sockets = 300"))
            answer = await asyncio.to_thread(send_request, Path(fleet.control), "reload", 3 * PATIENCE)
            assert "text" in answer
            for name in pids:
                await wait_for(partial(fleet.is_replaced, name, pids[name]) if name == "p1" else fleet.is_ready, name)
            await next_requests(w, 30)
            assert_consistent(w)

    run(test)


def test_a_supervisor_that_was_stopped_while_instances_died_has_all_back_and_kills_nobody(tmp_path: Path) -> None:
    """One dies and one is stopped for a while, and goes on before its supervisor does."""

    async def test() -> None:
        async with world(tmp_path, 5, rate=40.0) as (w, fleet):
            assert fleet.process is not None and w.load is not None
            await next_requests(w, 30)
            before = await fleet.pids()
            os.kill(fleet.process.pid, signal.SIGSTOP)
            os.kill(before["p1"], signal.SIGKILL)
            os.kill(before["p2"], signal.SIGSTOP)
            await next_requests(w, 100)
            os.kill(before["p2"], signal.SIGCONT)
            await next_requests(w, 20)
            os.kill(fleet.process.pid, signal.SIGCONT)
            await wait_for(partial(fleet.is_replaced, "p1", before["p1"]), "a fresh p1")
            await next_requests(w, 60)
            after = await fleet.pids()
            assert {name for name in before if after[name] != before[name]} == {"p1"}
            assert await counted(fleet, "replaced") == 0, fleet.log()[-3000:]
            assert_consistent(w)

    run(test)


def test_connections_that_fill_the_queue_of_a_stopped_one_are_all_served(tmp_path: Path) -> None:
    """Nobody accepts there until the watch does; then its siblings have all that waits."""

    async def test() -> None:
        async with world(tmp_path, 4, rate=5.0, lines=("stopped_for = 120.0",)) as (w, fleet):
            pid = (await fleet.pids())["p2"]
            os.kill(pid, signal.SIGSTOP)
            callers: list[Caller] = []
            try:
                for i in range(300):
                    callers.append(Caller(*await asyncio.open_connection("127.0.0.1", fleet.ports[2])))
                    message = request("report-view", budget="4000m", rid=f"q{i}", extra=(b"Connection: close",))
                    callers[-1].writer.write(message)
                answers = [(await caller.answer())[0] for caller in callers]
            finally:
                for caller in callers:
                    caller.leave()
                os.kill(pid, signal.SIGCONT)
            assert set(answers) <= {200, 503} and answers.count(200) > 200, "each has an answer"
            assert await counted(fleet, "accepted_for_others") >= 250
            await wait_for(lambda: judged(fleet, "p2", "well"), "well")
            assert_consistent(w)

    run(test)


def test_a_stall_in_the_middle_of_an_upgrade_leaves_its_work_to_an_heir() -> None:
    """The old process drains beside the fresh one, with a request in hand, and is stopped for good. Its time to end
    would be two minutes."""

    async def test() -> None:
        async with takeover_rig(3, vigil=True, stop_within=120.0) as rig:
            caller, rid = await rig.hold_request(0, "once")
            old = (await rig.fleet.pids())["p0"]
            rolling = asyncio.create_task(
                asyncio.to_thread(send_request, Path(rig.fleet.control), "restart", 3 * PATIENCE, names=["p0"])
            )
            await rig.wait_until(partial(rig.fleet.is_replaced, "p0", old), "a fresh process beside the old one")
            assert read_stat(old) is not None, "it drains, with the request in hand"
            os.kill(old, signal.SIGSTOP)

            async def adopted() -> bool:
                return await rig.takeover_count("adopted") == 1

            await rig.wait_until(adopted, "an heir")
            assert read_stat(old) is None, "it was reaped before"
            rig.backends_may_answer.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(rid) and rig.request_count(rid) == 1
            assert "1 of 1 done" in (await rolling)["text"]
            assert (await rig.fleet.status())["vigil"]["replaced"] == 1

    run(test)


def test_a_process_that_is_stopped_as_it_starts_is_followed_by_another(tmp_path: Path) -> None:
    """Its time to get ready would be two minutes, in which the kernel takes its callers and nobody answers."""

    async def test() -> None:
        async with world(tmp_path, 4, rate=40.0, ready_within=120.0) as (w, fleet):
            assert w.load is not None
            await next_requests(w, 30)
            begin, before = len(w.load.results), await fleet.pids()
            (hooks(tmp_path) / "p1.starting").write_text(str(int(signal.SIGSTOP)))
            os.kill(before["p1"], signal.SIGKILL)
            await wait_for(partial(fleet.is_replaced, "p1", before["p1"]), "a fresh p1")
            assert not (hooks(tmp_path) / "p1.starting").exists(), "one was stopped before it"
            assert await counted(fleet, "replaced") == 1
            await next_requests(w, 40)
            assert not [one for one in w.load.results[begin:] if one.outcome == "lost"]
            assert_consistent(w)

    run(test)


def test_others_accept_for_a_process_that_does_not_get_ready(tmp_path: Path) -> None:
    async def test() -> None:
        lines = ("stopped_for = 120.0",)
        async with world(tmp_path, 4, rate=5.0, lines=lines, ready_within=120.0) as (w, fleet):
            before = (await fleet.pids())["p2"]
            (hooks(tmp_path) / "p2.starting").write_text(str(int(signal.SIGSTOP)))
            os.kill(before, signal.SIGKILL)
            await wait_for(lambda: not (hooks(tmp_path) / "p2.starting").exists(), "one that starts")
            pid = (await fleet.pids())["p2"]
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[2])
                writer.write(request("report-view", budget="3000m", rid="s1"))
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), PATIENCE)
                assert head.startswith(b"HTTP/1.1 200"), head
                assert await counted(fleet, "accepted_for_others") >= 1
                writer.close()
            finally:
                os.kill(pid, signal.SIGCONT)
            await wait_for(partial(fleet.is_replaced, "p2", before), "ready")
            await wait_for(lambda: judged(fleet, "p2", "well"), "well")
            assert (await fleet.pids())["p2"] == pid and await counted(fleet, "replaced") == 0
            assert await counted(fleet, "relieved") == 0
            assert_consistent(w)

    run(test)


@pytest.mark.parametrize("judge", [True, False])
def test_those_that_are_starved_are_not_ended_whether_or_not_their_judge_is_starved_too(
    tmp_path: Path, judge: bool
) -> None:
    """All instances get what is left (SCHED_IDLE of sched(7)) of one core that loops take, for three seconds each."""

    async def test() -> None:
        async with world(tmp_path, 4, rate=40.0) as (w, fleet):
            assert fleet.process is not None
            await next_requests(w, 30)
            before = await fleet.pids()
            pids = [*before.values(), *([fleet.process.pid] if judge else [])]
            core = max(os.sched_getaffinity(0))
            for pid in pids:
                os.sched_setaffinity(pid, {core})
                os.sched_setscheduler(pid, os.SCHED_IDLE, os.sched_param(0))
            with starving(core):
                waited = {pid: read_schedstat(pid)[1] for pid in pids}
                await wait_for(
                    lambda: all(read_schedstat(pid)[1] - waited[pid] > 3.0 for pid in pids), "short of time"
                )
            await wait_for(lambda: all_well(fleet), "well again")
            assert await fleet.pids() == before and await counted(fleet, "replaced") == 0, fleet.log()[-3000:]
            assert_consistent(w)

    run(test)


@contextlib.contextmanager
def starving(core: int) -> Iterator[None]:
    """Two loops that keep a core."""
    loops = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(2)]
    try:
        for loop in loops:
            os.sched_setaffinity(loop.pid, {core})
        yield
    finally:
        for loop in loops:
            loop.kill()
            loop.wait()


async def all_well(fleet: Fleet) -> bool:
    rows = (await fleet.instance_status()).values()
    return bool(rows) and all(row["vigil"].get("judgement") == "well" for row in rows)
