"""In-flight requests survive the death of their proxy: real processes, killed at every stage boundary, per class."""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from rig import PEER_TIMEOUT
from takeover_rig import TakeoverRig, takeover_rig

from cometusher.fleet.control import send_request
from cometusher.fleet.identity import read_stat
from standins.caller import Caller
from standins.messages import Message, Writer, reply

CLASSES = ("view", "submit", "once")

#: By the stage at which the owner dies, and by class: the caller's status, and how often backends get the request.
EXPECTED = {
    "accepted": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "read": {"view": (503, 0), "submit": (503, 0), "once": (503, 0)},
    "taken": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "sent": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "running": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "ended": {"view": (200, 2), "submit": (200, 2), "once": (502, 1)},
    "answered": {
        "view": (200, 2),
        "submit": (200, 1),
        "once": (200, 1),
    },  # answers that are safe to repeat are not stored
    "given": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
}


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(test())


async def kill_owner_at(
    rig: TakeoverRig, caller: Caller, stage: str, owner: int, request_id: bytes, data: bytes, pid: int = 0
) -> tuple[int, Message]:
    """Send a request, kill its owner at a stage, and wait for the answer."""
    name = f"p{owner}"
    pid = pid or await rig.pid_of(owner)
    if stage not in ("accepted", "running", "given"):
        rig.signal_at(stage, name)
    if stage == "running":
        rig.backends_may_answer.clear()
    caller.writer.write(data)
    if stage == "running":
        await rig.wait_for_request(request_id)
        before = await rig.takeover_count("adopted")
        os.kill(pid, signal.SIGKILL)
        await rig.wait_until(lambda: _count_exceeds(rig, "adopted", before), "a successor")
        rig.backends_may_answer.set()
    answer = await caller.answer()
    if stage == "given":
        os.kill(pid, signal.SIGKILL)
    await rig.wait_until(lambda: rig.fleet.is_replaced(name, pid), f"{name} died at {stage}")
    return answer


async def _count_exceeds(rig: TakeoverRig, name: str, before: int) -> bool:
    return await rig.takeover_count(name) > before


async def replace_process(rig: TakeoverRig, owner: int) -> None:
    """Replace an instance's process by a new one, which has no connection to a backend yet."""
    pid = await rig.pid_of(owner)
    os.kill(pid, signal.SIGKILL)
    await rig.wait_until(lambda: rig.fleet.is_replaced(f"p{owner}", pid), f"a fresh p{owner}")
    await rig.wait_until(rig.fleet.is_ready, "all ready")


async def assert_connection_serves(rig: TakeoverRig, caller: Caller) -> None:
    """The same connection serves the next request, whichever process holds it now."""
    request_id, data = rig.message("view")
    caller.writer.write(data)
    status, seen = await caller.answer()
    assert status == 200 and seen.body.startswith(request_id)


@pytest.mark.parametrize(
    ("stage", "classes"),
    [
        # A request that need not wait is recorded as it is sent; only a first connection to a backend makes it wait.
        *((stage, CLASSES) for stage in sorted(EXPECTED) if stage != "taken"),
        *(("taken", (kind,)) for kind in CLASSES),
    ],
    ids=lambda value: value if isinstance(value, str) else "-".join(value),
)
def test_owner_is_killed_at_each_stage_for_each_class(stage: str, classes: tuple[str, ...]) -> None:
    async def test() -> None:
        async with takeover_rig(3) as rig:
            for owner, kind in enumerate(classes):
                status, times = EXPECTED[stage][kind]
                pid = await rig.pid_of(owner)
                if stage == "accepted":
                    rig.signal_at(stage, f"p{owner}")
                caller = await rig.connect(owner)
                request_id, data = rig.message(kind, body=b"" if kind == "view" else b"draft")
                found, seen = await kill_owner_at(rig, caller, stage, owner, request_id, data, pid)
                assert (found, rig.request_count(request_id)) == (status, times), (kind, rig.fleet.log()[-2000:])
                assert rig.effects.get(request_id, 0) == min(times, 1) or kind == "view"
                if status == 200:
                    assert seen.body.startswith(request_id)
                    await assert_connection_serves(rig, caller)
                assert not caller.reader._buffer, "nothing follows an answer"  # type: ignore[attr-defined]
            assert await rig.takeover_count("lost") == 0

    run(test)


@pytest.mark.parametrize("stage", ["offered", "noted", "adopted", "acts"])
def test_successor_is_killed_at_each_stage_and_the_next_one_takes_over(stage: str) -> None:
    async def test() -> None:
        async with takeover_rig(4) as rig:
            for owner, kind in enumerate(CLASSES):
                for stage_of_owner in ("taken", "running") if stage != "acts" or kind != "view" else ("taken",):
                    if stage_of_owner == "taken":
                        # As an earlier successor it may hold a backend connection; its request would not wait then.
                        await replace_process(rig, owner)
                    path = rig.signal_at(stage)
                    caller = await rig.connect(owner)
                    request_id, data = rig.message(kind, body=b"" if kind == "view" else b"draft")
                    status, seen = await kill_owner_at(rig, caller, stage_of_owner, owner, request_id, data)
                    assert (status, rig.request_count(request_id)) == (200, 1), (
                        kind,
                        stage_of_owner,
                        rig.fleet.log()[-3000:],
                    )
                    assert seen.body.startswith(request_id) and not path.exists(), "a successor died there"
                    await rig.wait_until(rig.fleet.is_ready, "all ready")

    run(test)


def test_stopped_owner_is_killed_first_and_sends_nothing_more() -> None:
    """Fencing: the supervisor detects the hang, makes sure the process has ended, and only then names a successor."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            caller, request_id = await rig.hold_request(0, "once")
            pid = await rig.pid_of(0)
            os.kill(pid, signal.SIGSTOP)
            await rig.wait_until(lambda: _count_exceeds(rig, "adopted", 0), "a successor")
            assert read_stat(pid) is None, "it was reaped first"
            rig.backends_may_answer.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(request_id) and rig.request_count(request_id) == 1
            await assert_connection_serves(rig, caller)

    run(test)


def test_owner_that_continues_in_time_answers_itself() -> None:
    async def test() -> None:
        async with takeover_rig(3) as rig:
            caller, request_id = await rig.hold_request(0, "once")
            pid = await rig.pid_of(0)
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(0.1)
            os.kill(pid, signal.SIGCONT)
            rig.backends_may_answer.set()
            assert (await caller.answer())[0] == 200
            assert (await rig.pid_of(0), rig.request_count(request_id), await rig.takeover_count("left")) == (
                pid,
                1,
                0,
            )

    run(test)


def test_successor_stopped_before_it_receives_loses_the_offer_to_another() -> None:
    async def test() -> None:
        async with takeover_rig(3, extra="patience = 0.1\n") as rig:
            caller, request_id = await rig.hold_request(0, "submit")
            owner, stopped = await rig.pid_of(0), await rig.pid_of(1)
            await asyncio.sleep(1.1)  # both successors have reported no open requests: the first is chosen
            os.kill(stopped, signal.SIGSTOP)
            os.kill(owner, signal.SIGKILL)
            await rig.wait_until(lambda: _count_exceeds(rig, "adopted", 0), "a successor")
            assert await rig.takeover_count("taken_back") == 1
            os.kill(stopped, signal.SIGCONT)
            rig.backends_may_answer.set()
            assert (await caller.answer())[0] == 200
            assert rig.request_count(request_id) == 1

    run(test)


def test_idle_connections_survive_a_successor_that_dies_while_it_receives_them() -> None:
    """At that moment the connections are in no journal, and they were accepted at another instance's address."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            callers = [await rig.connect(0) for _ in range(4)]
            for caller in callers[1:]:
                await assert_connection_serves(rig, caller)
            path = rig.signal_at("moved")
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            await rig.wait_until(lambda: not path.exists(), "a successor died")
            for caller in callers:
                await assert_connection_serves(rig, caller)
            assert (await rig.takeover_count("closed"), await rig.takeover_count("lost")) == (0, 0)

    run(test)


def test_idle_connections_do_not_stay_with_a_stopped_successor() -> None:
    async def test() -> None:
        async with takeover_rig(3, extra="patience = 0.1\n") as rig:
            caller = await rig.connect(0)
            await assert_connection_serves(rig, caller)
            owner, stopped = await rig.pid_of(0), await rig.pid_of(1)
            await asyncio.sleep(1.1)  # both have reported no open requests: the first is chosen
            os.kill(stopped, signal.SIGSTOP)
            os.kill(owner, signal.SIGKILL)
            await rig.wait_until(lambda: _count_exceeds(rig, "moved", 1), "moved twice")
            await assert_connection_serves(rig, caller)
            assert await rig.pid_of(1) == stopped, "the connection moved although this process is alive"
            os.kill(stopped, signal.SIGCONT)

    run(test)


def test_idle_connections_find_the_only_successor_that_is_not_stopped() -> None:
    async def test() -> None:
        async with takeover_rig(6, extra="patience = 0.1\n") as rig:
            caller = await rig.connect(0)
            await assert_connection_serves(rig, caller)
            pids = await rig.fleet.pids()
            await asyncio.sleep(1.1)  # all have reported no open requests
            stopped = [pids[f"p{i}"] for i in range(1, 5)]
            for pid in stopped:
                os.kill(pid, signal.SIGSTOP)
            os.kill(pids["p0"], signal.SIGKILL)
            await assert_connection_serves(rig, caller)
            assert await rig.takeover_count("closed") == 0
            for pid in stopped:
                os.kill(pid, signal.SIGCONT)

    run(test)


def test_requests_and_connections_wait_for_new_processes_when_all_are_killed() -> None:
    async def test() -> None:
        async with takeover_rig(2) as rig:
            rig.backends_may_answer.clear()
            idle, busy = await rig.connect(0), await rig.connect(1)
            request_id, data = rig.message("once", body=b"draft")
            busy.writer.write(data)
            await rig.wait_for_request(request_id)
            await rig.fleet.signal(["p0", "p1"], signal.SIGKILL)
            rig.backends_may_answer.set()
            await assert_connection_serves(rig, idle)
            status, seen = await busy.answer()
            assert status == 200 and seen.body.startswith(request_id) and rig.request_count(request_id) == 1

    run(test)


def test_callers_connection_is_closed_when_supervisor_and_owner_are_killed_at_once() -> None:
    async def test() -> None:
        async with takeover_rig(3) as rig:
            caller, request_id = await rig.hold_request(0, "once")
            pid = await rig.pid_of(0)
            assert rig.fleet.process is not None
            rig.fleet.process.kill()
            os.kill(pid, signal.SIGKILL)
            assert await caller.read_to_end() == b""
            rig.backends_may_answer.set()
            await rig.fleet.process.wait()
            assert rig.request_count(request_id) == 1

    run(test)


def test_no_time_is_left_when_the_successor_takes_over() -> None:
    async def test() -> None:
        async with takeover_rig(3) as rig:
            rig.backends_may_answer.clear()
            for owner, (kind, status) in enumerate((("view", 503), ("submit", 504), ("once", 504))):
                caller = await rig.connect(owner)
                request_id, data = rig.message(kind, body=b"" if kind == "view" else b"draft", budget="400m")
                caller.writer.write(data)
                await rig.wait_for_request(request_id)
                os.kill(await rig.pid_of(owner), signal.SIGSTOP)  # hangs for longer than the caller's deadline
                found, seen = await caller.answer()
                assert (found, rig.request_count(request_id)) == (status, 1), kind
                assert status != 503 or b"refused" in seen.body

    run(test)


def test_request_of_a_disconnected_caller_is_dropped() -> None:
    async def test() -> None:
        async with takeover_rig(3) as rig:
            rig.signal_at("taken", "p0", signal.SIGSTOP)
            caller = await rig.connect(0)
            request_id, data = rig.message("once", body=b"draft")
            caller.writer.write(data)
            pid = await rig.pid_of(0)
            await rig.wait_until(lambda: (stat := read_stat(pid)) is not None and stat.state == "T", "stopped")
            caller.abort()
            os.kill(pid, signal.SIGKILL)
            await rig.wait_until(lambda: _count_exceeds(rig, "adopted", 0), "a successor")
            await rig.wait_until(lambda: "the caller has disconnected" in rig.fleet.log(), "the decision")
            await rig.wait_until(lambda: _nothing_open(rig), "no open requests")
            assert rig.request_count(request_id) == 0

    run(test)


async def _nothing_open(rig: TakeoverRig) -> bool:
    return all(row["hand"].get("open") == 0 for row in (await rig.instance_status()).values())


def test_incomplete_long_body_is_refused_and_its_rest_is_read() -> None:
    """32 MB announced, a part of it read: no backend can have it complete, so it has certainly not run."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            caller = await rig.connect(0)
            head = rig.message("once")[1].replace(b"\r\n\r\n", b"\r\nContent-Length: 33554432\r\n\r\n")
            caller.writer.write(head + b"x" * 200_000)
            await rig.wait_until(lambda: _has_open_requests(rig, "p0"), "an open request")
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            status, _ = await caller.answer()
            assert status == 503 and not rig.effects
            caller.writer.write(b"x" * 100_000)
            assert await caller.read_to_end() == b""

    run(test)


async def _has_open_requests(rig: TakeoverRig, name: str) -> bool:
    return bool((await rig.instance_status())[name]["hand"].get("open"))


def test_long_answer_that_has_begun_is_aborted_and_never_restarted() -> None:
    async def test() -> None:
        async with takeover_rig(3) as rig:
            begun = asyncio.Event()

            async def speak(seen: Message, writer: Writer, body: bytes) -> None:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + b"y" * 150_000)
                await begun.wait()

            rig.respond = speak
            caller = await rig.connect(0)
            request_id, data = rig.message("view")
            caller.writer.write(data)
            await asyncio.wait_for(caller.reader.readexactly(100_000), PEER_TIMEOUT)
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            rest = await caller.read_to_end()
            assert b"HTTP/1.1" not in rest and len(rest) < 300_000
            begun.set()
            assert rig.request_count(request_id) == 1

    run(test)


def test_unread_answer_of_a_backend_is_delivered_by_the_successor() -> None:
    """The answer is in the socket of the dead owner, which was stopped before it could read it."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            caller, request_id = await rig.hold_request(0, "once")
            pid = await rig.pid_of(0)
            os.kill(pid, signal.SIGSTOP)
            rig.backends_may_answer.set()
            await asyncio.sleep(0.05)  # the answer is on its way, or has arrived
            os.kill(pid, signal.SIGKILL)
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(request_id) and rig.request_count(request_id) == 1

    run(test)


@pytest.mark.parametrize(("kind", "status", "times"), [("view", 200, 2), ("submit", 200, 2), ("once", 502, 1)])
def test_answer_that_was_half_written_when_the_owner_died(kind: str, status: int, times: int) -> None:
    """Half of the answer was read and is lost; the other half is no complete answer."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            rest = asyncio.Event()

            async def speak(seen: Message, writer: Writer, body: bytes) -> None:
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                if rest.is_set():
                    writer.write(answer)
                    return
                writer.write(answer[:30])
                await rest.wait()
                writer.write(answer[30:])

            rig.respond = speak
            caller = await rig.connect(0)
            request_id, data = rig.message(kind, body=b"" if kind == "view" else b"draft")
            caller.writer.write(data)
            await rig.wait_for_request(request_id)
            await asyncio.sleep(
                0.1
            )  # until the owner has read the first half; less than the time after which it gives the attempt up
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            rest.set()
            found, seen = await caller.answer()
            assert (found, rig.request_count(request_id)) == (status, times), rig.fleet.log()[-2000:]
            assert status != 200 or seen.body.startswith(request_id)

    run(test)


def test_seven_of_ten_instances_killed_with_hundreds_of_requests_in_flight() -> None:
    async def test() -> None:
        async with takeover_rig(10, backends=12) as rig:
            rig.backends_may_answer.clear()
            callers = [await rig.connect(i % 10) for i in range(300)]
            request_ids = []
            for i, caller in enumerate(callers):
                request_id, data = rig.message(CLASSES[i % 3], body=b"" if i % 3 == 0 else b"draft", budget="8000m")
                caller.writer.write(data)
                request_ids.append(request_id)
            await rig.wait_until(lambda: len(rig.received) >= 300, "all at backends")
            await rig.fleet.signal([f"p{i}" for i in range(7)], signal.SIGKILL)
            await rig.wait_until(lambda: _has_adopted(rig, 210), "all adopted")
            rig.backends_may_answer.set()
            answers = await asyncio.gather(*(caller.answer() for caller in callers))
            assert {status for status, _ in answers} == {200}
            assert all(
                seen.body.startswith(request_id + b" ")
                for (_, seen), request_id in zip(answers, request_ids, strict=True)
            )
            assert len(rig.received) == 300 and set(rig.effects.values()) == {1}

    run(test)


async def _has_adopted(rig: TakeoverRig, count: int) -> bool:
    return await rig.takeover_count("adopted") >= count


def test_full_journal_leaves_requests_uncovered_and_reports_it() -> None:
    async def test() -> None:
        async with takeover_rig(3, extra="entries = 1\n") as rig:
            rig.backends_may_answer.clear()
            first, second = await rig.connect(0), await rig.connect(0)
            rids = []
            for caller in (first, second):
                request_id, data = rig.message("once", body=b"draft")
                caller.writer.write(data)
                await rig.wait_for_request(request_id)
                rids.append(request_id)
            await rig.wait_until(lambda: _has_uncovered(rig), "reported")
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            await rig.wait_until(lambda: _has_adopted(rig, 1), "a successor")
            assert await second.read_to_end() == b"", "the connection of an uncovered request is closed"
            rig.backends_may_answer.set()
            assert (await first.answer())[0] == 200
            assert [rig.request_count(request_id) for request_id in rids] == [1, 1]

    run(test)


async def _has_uncovered(rig: TakeoverRig) -> bool:
    return bool((await rig.instance_status())["p0"]["hand"].get("uncovered"))


def test_draining_process_is_killed_and_its_request_continues() -> None:
    """As in a rolling restart."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            caller, request_id = await rig.hold_request(0, "once")
            pid = await rig.pid_of(0)
            os.kill(pid, signal.SIGTERM)
            await asyncio.sleep(0.1)
            os.kill(pid, signal.SIGKILL)
            await rig.wait_until(lambda: _has_adopted(rig, 1), "a successor")
            rig.backends_may_answer.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(request_id) and rig.request_count(request_id) == 1

    run(test)


async def _listens(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


def test_owner_is_killed_and_successor_replaced_during_a_rolling_restart() -> None:
    """The old process is killed while it drains beside the new one; successors are replaced meanwhile."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            caller, request_id = await rig.hold_request(0, "once")
            old = await rig.fleet.pids()
            rolling = asyncio.create_task(
                asyncio.to_thread(send_request, Path(rig.fleet.control), "restart", 3 * PEER_TIMEOUT)
            )
            await rig.wait_until(lambda: rig.fleet.is_replaced("p0", old["p0"]), "a new process beside the old one")
            assert read_stat(old["p0"]) is not None, "it drains, with the request in flight"
            os.kill(old["p0"], signal.SIGKILL)
            await rig.wait_until(lambda: _has_adopted(rig, 1), "a successor")
            for name in ("p1", "p2"):
                await rig.wait_until(partial(rig.fleet.is_replaced, name, old[name]), f"a fresh {name}")
            rig.backends_may_answer.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(request_id) and rig.request_count(request_id) == 1
            assert "3 of 3 done" in (await rolling)["text"]
            for door in rig.fleet.management_ports:
                await rig.wait_until(lambda door=door: _listens(door), "operators reach the fresh process")

    run(test)


# ---- repeats of a key ----------------------------------------------------------------------


def test_same_key_elsewhere_follows_the_request_in_flight_and_later_gets_the_stored_answer() -> None:
    async def test() -> None:
        async with takeover_rig(3) as rig:
            rig.backends_may_answer.clear()
            first, second = await rig.connect(0), await rig.connect(1)
            request_id, data = rig.message("submit", b"same", body=b"draft")
            first.writer.write(data)
            await rig.wait_for_request(request_id)
            _, repeat_data = rig.message("submit", b"same", body=b"draft")
            second.writer.write(repeat_data)
            await rig.wait_until(lambda: _has_counter(rig, "p1", "joined"), "joined")
            rig.backends_may_answer.set()
            for caller in (first, second):
                status, seen = await caller.answer()
                assert status == 200 and seen.body.startswith(request_id)
            third = await rig.connect(2)
            third.writer.write(rig.message("submit", b"same", body=b"draft")[1])
            status, seen = await third.answer()
            assert status == 200 and seen.body.startswith(request_id), "the stored answer"
            assert len(rig.received) == 1

    run(test)


async def _has_counter(rig: TakeoverRig, name: str, figure: str) -> bool:
    return bool((await rig.instance_status())[name]["hand"].get(figure))


@pytest.mark.parametrize(
    "change",
    [
        (b"draft", b"other"),
        (b"X-Call-Class", b"X-Caller: acme\r\nX-Call-Class"),
        (b"/api?x=1", b"/api?x=2"),
    ],
    ids=["body", "tenant", "target"],
)
def test_same_key_with_a_different_request_is_a_different_request(change: tuple[bytes, bytes]) -> None:
    async def test() -> None:
        async with takeover_rig(2) as rig:
            first, second = await rig.connect(0), await rig.connect(1)
            request_id, data = rig.message("submit", b"same", body=b"draft")
            first.writer.write(data)
            assert (await first.answer())[0] == 200
            other, repeat_data = rig.message("submit", b"same", body=b"draft")
            second.writer.write(repeat_data.replace(*change))
            status, seen = await second.answer()
            assert (
                status == 200
                and seen.body.startswith(other)
                and rig.request_count(other) == rig.request_count(request_id) == 1
            )

    run(test)


def test_same_key_at_several_instances_during_a_takeover() -> None:
    async def test() -> None:
        async with takeover_rig(4) as rig:
            first, _ = await rig.hold_request(0, "submit", b"same")
            others = [await rig.connect(i) for i in (1, 2, 3)]
            for caller in others[:2]:
                caller.writer.write(rig.message("submit", b"same", body=b"draft")[1])
            await rig.wait_until(partial(_has_counter, rig, "p1", "joined"), "joined")
            await rig.wait_until(partial(_has_counter, rig, "p2", "joined"), "joined")
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            others[2].writer.write(rig.message("submit", b"same", body=b"draft")[1])
            await rig.wait_until(lambda: _has_adopted(rig, 1), "a successor")
            os.kill(await rig.pid_of(1), signal.SIGKILL)  # one of the followers, and perhaps the successor
            await rig.wait_until(lambda: _has_adopted(rig, 2), "its requests are adopted as well")
            rig.backends_may_answer.set()
            for caller in (first, *others):
                assert (await caller.answer())[0] == 200
            assert sum(rig.effects.values()) == 1

    run(test)


@pytest.mark.parametrize(
    ("kind", "rejections", "max_attempts", "successor_dies"),
    [
        ("once", 4, 6, False),
        ("once", 5, 6, True),
        ("submit", 5, 6, False),
        ("once", 8, 12, True),
    ],
)
def test_request_that_runs_in_a_late_attempt_runs_once(
    kind: str, rejections: int, max_attempts: int, successor_dies: bool
) -> None:
    """Guards against a second run: the attempt that ran had no record, so the request looked unsent (review/1)."""
    turned_away: Counter[bytes] = Counter()
    runs: list[bytes] = []

    async def test() -> None:
        settings = {"Bounds": {"MaxAttempts": max_attempts, "SecondCopies": False}}
        async with takeover_rig(4, backends=rejections + 4, settings=settings) as rig:

            async def respond(seen: Message, writer: Writer, body: bytes) -> None:
                request_id = seen.headers[b"x-call-id"]
                if seen.headers[b"x-call-class"] == b"view":
                    writer.write(reply(200, body))
                elif turned_away[request_id] < rejections:
                    turned_away[request_id] += 1
                    writer.write(reply(503, b"", b"X-Rejected: 1"))
                else:
                    runs.append(body)
                    await rig.backends_may_answer.wait()
                    writer.write(reply(200, body))

            rig.respond = respond
            caller = await rig.connect(0)
            request_id, answer = await run_in_late_attempt(rig, caller, kind, runs)
            path = rig.signal_at("acts") if successor_dies else None
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            await rig.wait_until(lambda: _has_adopted(rig, 2 if successor_dies else 1), "a successor")
            assert path is None or not path.exists()
            rig.backends_may_answer.set()
            status, seen = await answer
            assert (status, seen.body) == (200, runs[0])
            assert (turned_away[request_id], len(runs)) == (rejections, 1)

    run(test)


@pytest.mark.parametrize(
    ("rejection", "status"),
    [((503, b"X-Rejected: 1"), 503), ((500, b""), 502)],
    ids=["turned-away", "failed"],
)
def test_long_request_whose_body_is_lost_is_not_sent_on(rejection: tuple[int, bytes], status: int) -> None:
    """Guards against a request that runs without its body and is answered with 200 (review/6)."""
    bodies: list[int] = []

    async def test() -> None:
        async with takeover_rig(3, settings={"Bounds": {"SecondCopies": False}}) as rig:

            async def respond(seen: Message, writer: Writer, body: bytes) -> None:
                bodies.append(len(seen.body))
                if len(bodies) == 1:
                    writer.write(reply(503, b"", b"X-Rejected: 1"))
                    return
                await rig.backends_may_answer.wait()
                writer.write(reply(rejection[0], b"", rejection[1]) if len(bodies) == 2 else reply(200, body))

            rig.respond = respond
            rig.backends_may_answer.clear()
            caller = await rig.connect(0)
            request_id, data = rig.message("submit", body=b"x" * 150_000)
            caller.writer.write(data)
            await rig.wait_for_request(request_id, 2)  # the second attempt is sent with the whole body at once
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            await rig.wait_until(lambda: _has_adopted(rig, 1), "a successor")
            rig.backends_may_answer.set()
            answer = await caller.answer()
            assert (bodies, answer[0]) == ([150_000, 150_000], status)

    run(test)


@pytest.mark.parametrize("length", [66_000, 150_000, 1_000_000])
@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_long_unsafe_request_that_runs_is_never_refused(length: int, chunked: bool) -> None:
    """Guards against a second run after a refusal: the body had come before the request was recorded (review/7)."""

    async def test() -> None:
        async with takeover_rig(3) as rig:
            rig.backends_may_answer.clear()
            caller = await rig.connect(0)
            request_id, data = rig.message("once", body=b"x" * length)
            if chunked:
                data = data.replace(b"Content-Length: %d" % length, b"Transfer-Encoding: chunked")
                head, _, body = data.partition(b"\r\n\r\n")
                data = b"%b\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (head, length, body)
            caller.writer.write(data)
            await rig.wait_for_request(request_id)
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            await rig.wait_until(lambda: _has_adopted(rig, 1), "a successor")
            rig.backends_may_answer.set()
            status = (await caller.answer())[0]
            assert (status, rig.effects) in ((200, {request_id: 1}), (502, {request_id: 1}))
            assert status == 200 or chunked, "the attempt of a request with a stated length is joined"

    run(test)


async def run_in_late_attempt(
    rig: TakeoverRig, caller: Caller, kind: str, runs: list[bytes]
) -> tuple[bytes, asyncio.Task[tuple[int, Message]]]:
    """Send requests until one runs, after all its rejections; returns its id and its answer to come.

    The proxy may give one up before: breakers and the budget of retries allow a further attempt or not.
    """
    for _ in range(5):
        for _ in range(50):  # they earn the further attempts
            caller.writer.write(rig.message("view")[1])
            assert (await caller.answer())[0] == 200
        rig.backends_may_answer.clear()
        request_id, data = rig.message(kind, body=b"draft")
        caller.writer.write(data)
        answer = asyncio.ensure_future(caller.answer())
        await rig.wait_until(lambda answer=answer: bool(runs) or answer.done(), "it runs or is refused")
        if runs:
            return request_id, answer
        assert (await answer)[0] == 503
        caller = await rig.connect(0)
    raise AssertionError("no request got to its last attempt")


def test_nothing_is_covered_without_a_takeover_table() -> None:
    async def test() -> None:
        async with takeover_rig(2, takeover=False) as rig:
            caller, _ = await rig.hold_request(0, "once")
            os.kill(await rig.pid_of(0), signal.SIGKILL)
            assert await caller.read_to_end() == b""

    run(test)
