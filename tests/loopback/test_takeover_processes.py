"""Work in hand survives the loss of its proxy: real processes, killed at every stage boundary, for every class."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from handrig import HandRig, hand_rig
from rig import PATIENCE

from cometusher.fleet.control import ask
from cometusher.fleet.identity import read_stat
from standins.caller import Caller
from standins.messages import Seen, Writer

CLASSES = ("view", "submit", "once")

#: Stage at which the owner dies: what the caller gets, and how often backends have had the request, by class.
OWNER = {
    "accepted": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "read": {"view": (503, 0), "submit": (503, 0), "once": (503, 0)},
    "taken": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "sent": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "running": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
    "ended": {"view": (200, 2), "submit": (200, 2), "once": (502, 1)},
    "answered": {"view": (200, 2), "submit": (200, 1), "once": (200, 1)},  # what is harmless to repeat is not kept
    "given": {"view": (200, 1), "submit": (200, 1), "once": (200, 1)},
}


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(test())


async def strike(
    rig: HandRig, caller: Caller, stage: str, owner: int, rid: bytes, data: bytes, pid: int = 0
) -> tuple[int, Seen]:
    """Send a request, have its owner die at a stage, and wait for the answer."""
    name = f"p{owner}"
    pid = pid or await rig.pid(owner)
    if stage not in ("accepted", "running", "given"):
        rig.at(stage, name)
    if stage == "running":
        rig.gate.clear()
    caller.writer.write(data)
    if stage == "running":
        await rig.arrived(rid)
        before = await rig.count("adopted")
        os.kill(pid, signal.SIGKILL)
        await rig.come(lambda: _more(rig, "adopted", before), "an heir")
        rig.gate.set()
    answer = await caller.answer()
    if stage == "given":
        os.kill(pid, signal.SIGKILL)
    await rig.come(lambda: rig.fleet.replaced(name, pid), f"{name} died at {stage}")
    return answer


async def _more(rig: HandRig, name: str, before: int) -> bool:
    return await rig.count(name) > before


async def renew(rig: HandRig, owner: int) -> None:
    """Have a fresh process for an instance, which knows no connection to a backend yet."""
    pid = await rig.pid(owner)
    os.kill(pid, signal.SIGKILL)
    await rig.come(lambda: rig.fleet.replaced(f"p{owner}", pid), f"a fresh p{owner}")
    await rig.come(rig.fleet.ready, "all back")


async def goes_on(rig: HandRig, caller: Caller) -> None:
    """The same connection serves the next request, wherever it is held now."""
    rid, data = rig.message("view")
    caller.writer.write(data)
    status, seen = await caller.answer()
    assert status == 200 and seen.body.startswith(rid)


@pytest.mark.parametrize(
    ("stage", "kinds"),
    [
        # What waits for nothing is noted as it is sent: only a first connection makes it wait.
        *((stage, CLASSES) for stage in sorted(OWNER) if stage != "taken"),
        *(("taken", (kind,)) for kind in CLASSES),
    ],
    ids=lambda value: value if isinstance(value, str) else "-".join(value),
)
def test_the_owner_is_killed_at_each_stage_for_each_class(stage: str, kinds: tuple[str, ...]) -> None:
    async def test() -> None:
        async with hand_rig(3) as rig:
            for owner, kind in enumerate(kinds):
                status, times = OWNER[stage][kind]
                pid = await rig.pid(owner)
                if stage == "accepted":
                    rig.at(stage, f"p{owner}")
                caller = await rig.caller(owner)
                rid, data = rig.message(kind, body=b"" if kind == "view" else b"draft")
                found, seen = await strike(rig, caller, stage, owner, rid, data, pid)
                assert (found, rig.times(rid)) == (status, times), (kind, rig.fleet.log()[-2000:])
                assert rig.effects.get(rid, 0) == min(times, 1) or kind == "view"
                if status == 200:
                    assert seen.body.startswith(rid)
                    await goes_on(rig, caller)
                assert not caller.reader._buffer, "nothing comes behind an answer"  # type: ignore[attr-defined]
            assert await rig.count("lost") == 0

    run(test)


@pytest.mark.parametrize("stage", ["offered", "noted", "adopted", "acts"])
def test_the_heir_is_killed_at_each_stage_and_the_next_one_does_it(stage: str) -> None:
    async def test() -> None:
        async with hand_rig(4) as rig:
            for owner, kind in enumerate(CLASSES):
                for at in ("taken", "running") if stage != "acts" or kind != "view" else ("taken",):
                    if at == "taken":
                        # It may have been an heir, and hold a connection that its request would not wait for.
                        await renew(rig, owner)
                    path = rig.at(stage)
                    caller = await rig.caller(owner)
                    rid, data = rig.message(kind, body=b"" if kind == "view" else b"draft")
                    status, seen = await strike(rig, caller, at, owner, rid, data)
                    assert (status, rig.times(rid)) == (200, 1), (kind, at, rig.fleet.log()[-3000:])
                    assert seen.body.startswith(rid) and not path.exists(), "an heir died there"
                    await rig.come(rig.fleet.ready, "all back")

    run(test)


def test_an_owner_that_is_stopped_is_killed_first_and_sends_not_one_byte_more() -> None:
    """Fenced: its supervisor finds it hung, makes sure of its end, and only then another goes on."""

    async def test() -> None:
        async with hand_rig(3) as rig:
            caller, rid = await rig.hold(0, "once")
            pid = await rig.pid(0)
            os.kill(pid, signal.SIGSTOP)
            await rig.come(lambda: _more(rig, "adopted", 0), "an heir")
            assert read_stat(pid) is None, "it was reaped before"
            rig.gate.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(rid) and rig.times(rid) == 1
            await goes_on(rig, caller)

    run(test)


def test_an_owner_that_is_continued_in_time_answers_itself() -> None:
    async def test() -> None:
        async with hand_rig(3) as rig:
            caller, rid = await rig.hold(0, "once")
            pid = await rig.pid(0)
            os.kill(pid, signal.SIGSTOP)
            await asyncio.sleep(0.1)
            os.kill(pid, signal.SIGCONT)
            rig.gate.set()
            assert (await caller.answer())[0] == 200
            assert (await rig.pid(0), rig.times(rid), await rig.count("left")) == (pid, 1, 0)

    run(test)


def test_an_heir_that_is_stopped_before_it_receives_loses_the_offer_to_another() -> None:
    async def test() -> None:
        async with hand_rig(3, extra="patience = 0.1\n") as rig:
            caller, rid = await rig.hold(0, "submit")
            owner, stopped = await rig.pid(0), await rig.pid(1)
            await asyncio.sleep(1.1)  # both heirs have told that they have nothing in hand: the first is chosen
            os.kill(stopped, signal.SIGSTOP)
            os.kill(owner, signal.SIGKILL)
            await rig.come(lambda: _more(rig, "adopted", 0), "an heir")
            assert await rig.count("taken_back") == 1
            os.kill(stopped, signal.SIGCONT)
            rig.gate.set()
            assert (await caller.answer())[0] == 200
            assert rig.times(rid) == 1

    run(test)


def test_an_heir_that_dies_as_it_receives_connections_without_work_leaves_them_to_the_next() -> None:
    """They are in no book at that moment, and came to another's address."""

    async def test() -> None:
        async with hand_rig(3) as rig:
            callers = [await rig.caller(0) for _ in range(4)]
            for caller in callers[1:]:
                await goes_on(rig, caller)
            path = rig.at("moved")
            os.kill(await rig.pid(0), signal.SIGKILL)
            await rig.come(lambda: not path.exists(), "an heir died")
            for caller in callers:
                await goes_on(rig, caller)
            assert (await rig.count("closed"), await rig.count("lost")) == (0, 0)

    run(test)


def test_connections_without_work_do_not_stay_with_an_heir_that_is_stopped() -> None:
    async def test() -> None:
        async with hand_rig(3, extra="patience = 0.1\n") as rig:
            caller = await rig.caller(0)
            await goes_on(rig, caller)
            owner, stopped = await rig.pid(0), await rig.pid(1)
            await asyncio.sleep(1.1)  # both have told that they have nothing in hand: the first is chosen
            os.kill(stopped, signal.SIGSTOP)
            os.kill(owner, signal.SIGKILL)
            await rig.come(lambda: _more(rig, "moved", 1), "moved twice")
            await goes_on(rig, caller)
            assert await rig.pid(1) == stopped, "and that was not for its end"
            os.kill(stopped, signal.SIGCONT)

    run(test)


def test_most_heirs_are_stopped_and_connections_without_work_find_the_one_that_is_not() -> None:
    async def test() -> None:
        async with hand_rig(6, extra="patience = 0.1\n") as rig:
            caller = await rig.caller(0)
            await goes_on(rig, caller)
            pids = await rig.fleet.pids()
            await asyncio.sleep(1.1)  # all have told that they have nothing in hand
            stopped = [pids[f"p{i}"] for i in range(1, 5)]
            for pid in stopped:
                os.kill(pid, signal.SIGSTOP)
            os.kill(pids["p0"], signal.SIGKILL)
            await goes_on(rig, caller)
            assert await rig.count("closed") == 0
            for pid in stopped:
                os.kill(pid, signal.SIGCONT)

    run(test)


def test_when_all_are_killed_work_and_connections_wait_for_the_next_processes() -> None:
    async def test() -> None:
        async with hand_rig(2) as rig:
            rig.gate.clear()
            idle, busy = await rig.caller(0), await rig.caller(1)
            rid, data = rig.message("once", body=b"draft")
            busy.writer.write(data)
            await rig.arrived(rid)
            await rig.fleet.signal(["p0", "p1"], signal.SIGKILL)
            rig.gate.set()
            await goes_on(rig, idle)
            status, seen = await busy.answer()
            assert status == 200 and seen.body.startswith(rid) and rig.times(rid) == 1

    run(test)


def test_supervisor_and_owner_killed_at_once_end_the_connection_where_all_can_see_it() -> None:
    async def test() -> None:
        async with hand_rig(3) as rig:
            caller, rid = await rig.hold(0, "once")
            pid = await rig.pid(0)
            assert rig.fleet.process is not None
            rig.fleet.process.kill()
            os.kill(pid, signal.SIGKILL)
            assert await caller.ended() == b""
            rig.gate.set()
            await rig.fleet.process.wait()
            assert rig.times(rid) == 1

    run(test)


def test_no_time_is_left_when_the_heir_comes() -> None:
    async def test() -> None:
        async with hand_rig(3) as rig:
            rig.gate.clear()
            for owner, (kind, status) in enumerate((("view", 503), ("submit", 504), ("once", 504))):
                caller = await rig.caller(owner)
                rid, data = rig.message(kind, body=b"" if kind == "view" else b"draft", budget="400m")
                caller.writer.write(data)
                await rig.arrived(rid)
                os.kill(await rig.pid(owner), signal.SIGSTOP)  # hung for longer than the caller gives
                found, seen = await caller.answer()
                assert (found, rig.times(rid)) == (status, 1), kind
                assert status != 503 or b"refused" in seen.body

    run(test)


def test_a_caller_that_has_gone_meanwhile_is_nobodys() -> None:
    async def test() -> None:
        async with hand_rig(3) as rig:
            rig.at("taken", "p0", signal.SIGSTOP)
            caller = await rig.caller(0)
            rid, data = rig.message("once", body=b"draft")
            caller.writer.write(data)
            pid = await rig.pid(0)
            await rig.come(lambda: (stat := read_stat(pid)) is not None and stat.state == "T", "stopped")
            caller.leave()
            os.kill(pid, signal.SIGKILL)
            await rig.come(lambda: _more(rig, "adopted", 0), "an heir")
            await rig.come(lambda: "the caller has disconnected" in rig.fleet.log(), "the verdict")
            await rig.come(lambda: _nothing_open(rig), "nothing in hand")
            assert rig.times(rid) == 0

    run(test)


async def _nothing_open(rig: HandRig) -> bool:
    return all(row["hand"].get("open") == 0 for row in (await rig.rows()).values())


def test_half_a_long_body_is_refused_and_its_rest_is_read() -> None:
    """32 MB announced, a part of it read: nobody can have it whole, so it has certainly not run."""

    async def test() -> None:
        async with hand_rig(3) as rig:
            caller = await rig.caller(0)
            head = rig.message("once")[1].replace(b"\r\n\r\n", b"\r\nContent-Length: 33554432\r\n\r\n")
            caller.writer.write(head + b"x" * 200_000)
            await rig.come(lambda: _open(rig, "p0"), "in hand")
            os.kill(await rig.pid(0), signal.SIGKILL)
            status, _ = await caller.answer()
            assert status == 503 and not rig.effects
            caller.writer.write(b"x" * 100_000)
            assert await caller.ended() == b""

    run(test)


async def _open(rig: HandRig, name: str) -> bool:
    return bool((await rig.rows())[name]["hand"].get("open"))


def test_a_long_answer_that_has_begun_is_cut_and_never_begun_again() -> None:
    async def test() -> None:
        async with hand_rig(3) as rig:
            begun = asyncio.Event()

            async def speak(seen: Seen, writer: Writer, body: bytes) -> None:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + b"y" * 150_000)
                await begun.wait()

            rig.speak = speak
            caller = await rig.caller(0)
            rid, data = rig.message("view")
            caller.writer.write(data)
            await asyncio.wait_for(caller.reader.readexactly(100_000), PATIENCE)
            os.kill(await rig.pid(0), signal.SIGKILL)
            rest = await caller.ended()
            assert b"HTTP/1.1" not in rest and len(rest) < 300_000
            begun.set()
            assert rig.times(rid) == 1

    run(test)


def test_a_backend_that_had_answered_before_anybody_read_it() -> None:
    """The answer lies in the socket of the dead owner, who was stopped before it could read."""

    async def test() -> None:
        async with hand_rig(3) as rig:
            caller, rid = await rig.hold(0, "once")
            pid = await rig.pid(0)
            os.kill(pid, signal.SIGSTOP)
            rig.gate.set()
            await asyncio.sleep(0.05)  # the answer is on its way, or there
            os.kill(pid, signal.SIGKILL)
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(rid) and rig.times(rid) == 1

    run(test)


@pytest.mark.parametrize(("kind", "status", "times"), [("view", 200, 2), ("submit", 200, 2), ("once", 502, 1)])
def test_a_reply_that_was_half_written_when_the_owner_died(kind: str, status: int, times: int) -> None:
    """Half of it was read and is lost; the other half is no answer to anybody."""

    async def test() -> None:
        async with hand_rig(3) as rig:
            rest = asyncio.Event()

            async def speak(seen: Seen, writer: Writer, body: bytes) -> None:
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                if rest.is_set():
                    writer.write(answer)
                    return
                writer.write(answer[:30])
                await rest.wait()
                writer.write(answer[30:])

            rig.speak = speak
            caller = await rig.caller(0)
            rid, data = rig.message(kind, body=b"" if kind == "view" else b"draft")
            caller.writer.write(data)
            await rig.arrived(rid)
            await asyncio.sleep(0.1)  # the owner has read what there is: less than the time after which it gives up
            os.kill(await rig.pid(0), signal.SIGKILL)
            rest.set()
            found, seen = await caller.answer()
            assert (found, rig.times(rid)) == (status, times), rig.fleet.log()[-2000:]
            assert status != 200 or seen.body.startswith(rid)

    run(test)


def test_seven_in_ten_killed_with_hundreds_in_hand() -> None:
    async def test() -> None:
        async with hand_rig(10, backends=12) as rig:
            rig.gate.clear()
            callers = [await rig.caller(i % 10) for i in range(300)]
            asked = []
            for i, caller in enumerate(callers):
                rid, data = rig.message(CLASSES[i % 3], body=b"" if i % 3 == 0 else b"draft", budget="8000m")
                caller.writer.write(data)
                asked.append(rid)
            await rig.come(lambda: len(rig.came) >= 300, "all at backends")
            await rig.fleet.signal([f"p{i}" for i in range(7)], signal.SIGKILL)
            await rig.come(lambda: _adopted(rig, 210), "all adopted")
            rig.gate.set()
            answers = await asyncio.gather(*(caller.answer() for caller in callers))
            assert {status for status, _ in answers} == {200}
            assert all(seen.body.startswith(rid + b" ") for (_, seen), rid in zip(answers, asked, strict=True))
            assert len(rig.came) == 300 and set(rig.effects.values()) == {1}

    run(test)


async def _adopted(rig: HandRig, count: int) -> bool:
    return await rig.count("adopted") >= count


def test_a_full_book_leaves_work_uncovered_and_says_so() -> None:
    async def test() -> None:
        async with hand_rig(3, extra="entries = 1\n") as rig:
            rig.gate.clear()
            first, second = await rig.caller(0), await rig.caller(0)
            rids = []
            for caller in (first, second):
                rid, data = rig.message("once", body=b"draft")
                caller.writer.write(data)
                await rig.arrived(rid)
                rids.append(rid)
            await rig.come(lambda: _uncovered(rig), "told")
            os.kill(await rig.pid(0), signal.SIGKILL)
            await rig.come(lambda: _adopted(rig, 1), "an heir")
            assert await second.ended() == b"", "what is not covered ends visibly"
            rig.gate.set()
            assert (await first.answer())[0] == 200
            assert [rig.times(rid) for rid in rids] == [1, 1]

    run(test)


async def _uncovered(rig: HandRig) -> bool:
    return bool((await rig.rows())["p0"]["hand"].get("uncovered"))


def test_a_process_that_drains_is_killed_and_its_work_goes_on() -> None:
    """In the middle of a rolling restart."""

    async def test() -> None:
        async with hand_rig(3) as rig:
            caller, rid = await rig.hold(0, "once")
            pid = await rig.pid(0)
            os.kill(pid, signal.SIGTERM)
            await asyncio.sleep(0.1)
            os.kill(pid, signal.SIGKILL)
            await rig.come(lambda: _adopted(rig, 1), "an heir")
            rig.gate.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(rid) and rig.times(rid) == 1

    run(test)


async def _listens(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


def test_an_upgrade_is_under_way_when_its_owner_is_killed_and_its_heir_is_replaced() -> None:
    """The old process is killed while it drains beside the fresh one; heirs are replaced with the work in hand."""

    async def test() -> None:
        async with hand_rig(3) as rig:
            caller, rid = await rig.hold(0, "once")
            old = await rig.fleet.pids()
            rolling = asyncio.create_task(asyncio.to_thread(ask, Path(rig.fleet.control), "restart", 3 * PATIENCE))
            await rig.come(lambda: rig.fleet.replaced("p0", old["p0"]), "a fresh process beside the old one")
            assert read_stat(old["p0"]) is not None, "it drains, with the request in hand"
            os.kill(old["p0"], signal.SIGKILL)
            await rig.come(lambda: _adopted(rig, 1), "an heir")
            for name in ("p1", "p2"):
                await rig.come(partial(rig.fleet.replaced, name, old[name]), f"a fresh {name}")
            rig.gate.set()
            status, seen = await caller.answer()
            assert status == 200 and seen.body.startswith(rid) and rig.times(rid) == 1
            assert "3 of 3 done" in (await rolling)["text"]
            for door in rig.fleet.doors:
                await rig.come(lambda door=door: _listens(door), "operators reach the fresh process")

    run(test)


# ---- the same work asked again -------------------------------------------------------------


def test_the_same_key_elsewhere_joins_what_is_in_hand_and_later_gets_what_is_kept() -> None:
    async def test() -> None:
        async with hand_rig(3) as rig:
            rig.gate.clear()
            first, second = await rig.caller(0), await rig.caller(1)
            rid, data = rig.message("submit", b"same", body=b"draft")
            first.writer.write(data)
            await rig.arrived(rid)
            _, again = rig.message("submit", b"same", body=b"draft")
            second.writer.write(again)
            await rig.come(lambda: _hand(rig, "p1", "joined"), "joined")
            rig.gate.set()
            for caller in (first, second):
                status, seen = await caller.answer()
                assert status == 200 and seen.body.startswith(rid)
            third = await rig.caller(2)
            third.writer.write(rig.message("submit", b"same", body=b"draft")[1])
            status, seen = await third.answer()
            assert status == 200 and seen.body.startswith(rid), "kept"
            assert len(rig.came) == 1

    run(test)


async def _hand(rig: HandRig, name: str, figure: str) -> bool:
    return bool((await rig.rows())[name]["hand"].get(figure))


@pytest.mark.parametrize(
    "change",
    [
        (b"draft", b"other"),
        (b"X-Call-Class", b"X-Caller: acme\r\nX-Call-Class"),
        (b"/api?x=1", b"/api?x=2"),
    ],
    ids=["body", "tenant", "target"],
)
def test_the_same_key_of_something_else_is_something_else(change: tuple[bytes, bytes]) -> None:
    async def test() -> None:
        async with hand_rig(2) as rig:
            first, second = await rig.caller(0), await rig.caller(1)
            rid, data = rig.message("submit", b"same", body=b"draft")
            first.writer.write(data)
            assert (await first.answer())[0] == 200
            other, again = rig.message("submit", b"same", body=b"draft")
            second.writer.write(again.replace(*change))
            status, seen = await second.answer()
            assert status == 200 and seen.body.startswith(other) and rig.times(other) == rig.times(rid) == 1

    run(test)


def test_the_same_key_at_two_instances_while_it_is_inherited() -> None:
    async def test() -> None:
        async with hand_rig(4) as rig:
            first, _ = await rig.hold(0, "submit", b"same")
            others = [await rig.caller(i) for i in (1, 2, 3)]
            for caller in others[:2]:
                caller.writer.write(rig.message("submit", b"same", body=b"draft")[1])
            await rig.come(partial(_hand, rig, "p1", "joined"), "joined")
            await rig.come(partial(_hand, rig, "p2", "joined"), "joined")
            os.kill(await rig.pid(0), signal.SIGKILL)
            others[2].writer.write(rig.message("submit", b"same", body=b"draft")[1])
            await rig.come(lambda: _adopted(rig, 1), "an heir")
            os.kill(await rig.pid(1), signal.SIGKILL)  # one of those that follow, and perhaps the heir
            await rig.come(lambda: _adopted(rig, 2), "its work too")
            rig.gate.set()
            for caller in (first, *others):
                assert (await caller.answer())[0] == 200
            assert sum(rig.effects.values()) == 1

    run(test)


def test_without_the_table_nothing_is_covered() -> None:
    async def test() -> None:
        async with hand_rig(2, takeover=False) as rig:
            caller, _ = await rig.hold(0, "once")
            os.kill(await rig.pid(0), signal.SIGKILL)
            assert await caller.ended() == b""

    run(test)
