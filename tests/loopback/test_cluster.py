"""Supervisors that stand for machines know of each other: real processes, a faulty relay before each address."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import tempfile
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
from fleetrig import FleetRig, fleet_rig, run
from rig import PATIENCE, Backend, serve_ok

from cometusher.fault_injection.environment import until
from cometusher.fleet.control import ControlError, NoSupervisor, ask
from standins.caller import Caller, request
from standins.discovery import HostList
from standins.faulty_link import Link, Mood
from standins.ports import free_ports

QUICK = {"period": 0.25, "patience": 0.1, "suspicion": 5.0, "alone": 2.0, "knock": 0.5, "gossip": 0.05, "sync": 2.0}
KEY = "5f" * 32


class Machines:
    """Some supervisors of one fleet, each with an instance that does nothing, and the relays."""

    def __init__(self, rigs: list[FleetRig], links: list[Link]) -> None:
        self.rigs = rigs
        self.links = links
        self.ports = free_ports(len(rigs))  # behind the relays

    def prepare(self, i: int, key: str = KEY, fleet: str = "t", **mesh: Any) -> FleetRig:
        rig = self.rigs[i]
        secret = rig.folder / "mesh.key"
        secret.write_text(key + "\n")
        secret.chmod(0o600)
        rig.head["name"] = fleet
        if not rig.instances:
            rig.add(f"i{i}", mode="ok")
        rig.mesh = (
            QUICK
            | {
                "listen": f"127.0.0.1:{self.ports[i]}",
                "address": f"127.0.0.1:{self.links[i].port}",
                "name": f"m{i}",
                "seeds": [f"127.0.0.1:{self.links[0].port}", "127.0.0.1:9"],
                "secret": "mesh.key",
                "zone": "kigali",
            }
            | mesh
        )
        rig.write()
        return rig

    def launch(self, i: int, **how: Any) -> None:
        self.prepare(i, **how).launch()

    def view(self, i: int) -> dict[str, Any]:
        """What a supervisor tells; empty where there is none."""
        try:
            return ask(self.rigs[i].control, "members", PATIENCE)
        except (NoSupervisor, ControlError):
            return {}

    def leases(self, i: int) -> list[dict[str, Any]]:
        return list(ask(self.rigs[i].control, "leases", PATIENCE)["duties"])

    def states(self, i: int) -> dict[str, str]:
        return {row["name"]: row["state"] for row in self.view(i).get("members", [])}

    def pid(self, i: int) -> int:
        return self.rigs[i].started[-1].pid

    async def come(self, condition: Callable[[], bool], what: str) -> None:
        async def found() -> bool:
            return await asyncio.to_thread(condition)

        assert await until(found, 2 * PATIENCE), f"never: {what}\n" + "\n".join(
            f"{i}: {self.states(i)}\n{rig.logged()[-1500:]}" for i, rig in enumerate(self.rigs)
        )

    async def agree(self, **states: str) -> None:
        """Wait until all that run see the same; those that are not named are alive."""
        want = {f"m{i}": "alive" for i in range(len(self.rigs))} | states
        running = [i for i, rig in enumerate(self.rigs) if rig.started and rig.started[-1].poll() is None]
        await self.come(lambda: all(self.states(i) == want for i in running), f"{want}")


@contextlib.asynccontextmanager
async def machines(count: int = 3, start: bool = True) -> AsyncIterator[Machines]:
    with contextlib.ExitStack() as stack:
        rigs = [
            stack.enter_context(fleet_rig(Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="mesh-")))))
            for _ in range(count)
        ]
        links = [Link(("127.0.0.1", 0), seed) for seed in range(count)]
        made = Machines(rigs, links)
        for link, port in zip(links, made.ports, strict=True):
            link.target = ("127.0.0.1", port)
            await link.start()
        try:
            if start:
                for i in range(count):
                    made.launch(i)
                await made.agree()
            yield made
        finally:
            for link in links:
                await link.stop()


def test_a_supervisor_that_is_killed_is_dead_for_all_and_comes_back_without_state() -> None:
    async def test() -> None:
        async with machines() as m:
            os.kill(m.pid(2), signal.SIGKILL)
            await m.come(lambda: m.rigs[2].started[-1].poll() is not None, "its end")
            await m.agree(m2="dead")
            shown = await asyncio.to_thread(m.rigs[0].fleet, "members")
            assert b"m2" in shown.stdout and b"dead" in shown.stdout, shown
            m.launch(2)
            await m.agree()
            rows = {row["name"]: row for row in m.view(0)["members"]}
            assert rows["m2"]["incarnation"] > 1 and rows["m2"]["zone"] == "kigali"

    run(test)


def test_one_that_leaves_in_order_has_left() -> None:
    async def test() -> None:
        async with machines() as m:
            done = await asyncio.to_thread(m.rigs[1].fleet, "stop")
            assert done.returncode == 0, done
            await m.agree(m1="left")

    run(test)


def test_one_that_was_stopped_and_goes_on_is_alive_again_and_calls_nobody_dead() -> None:
    async def test() -> None:
        async with machines() as m:
            before = m.rigs[1].logged()
            os.kill(m.pid(1), signal.SIGSTOP)
            try:
                await m.come(lambda: m.states(0).get("m1") == "dead", "dead for m0")
                await m.come(lambda: m.states(2).get("m1") == "dead", "dead for m2")
            finally:
                os.kill(m.pid(1), signal.SIGCONT)
            await m.agree()
            assert "is dead" not in m.rigs[1].logged()[len(before) :]

    run(test)


def test_whoever_can_dial_others_is_alive_though_nobody_reaches_it() -> None:
    """Its own address is cut, as behind a wall that lets out and not in: all go by the links that it dialled."""

    async def test() -> None:
        async with machines() as m:
            os.kill(m.pid(1), signal.SIGKILL)
            await m.come(lambda: m.rigs[1].started[-1].poll() is not None, "its end")
            await m.agree(m1="dead")
            await m.links[1].set(Mood("drop"))
            m.launch(1)
            await m.agree()
            await m.links[1].set(Mood())
            await m.agree()

    run(test)


@pytest.mark.parametrize("mood", [Mood("drop"), Mood("mute", way="down"), Mood("refuse")])
def test_all_that_were_cut_off_find_each_other_again(mood: Mood) -> None:
    async def test() -> None:
        async with machines() as m:
            for link in m.links:
                await link.set(mood)
                if mood.name == "refuse":
                    await link.set(Mood("reset"))  # those that are open, too
            for i in range(3):
                others = {f"m{j}" for j in range(3) if j != i}
                await m.come(
                    lambda i=i, others=others: all(m.states(i).get(one) == "dead" for one in others),  # type: ignore[misc]
                    f"nobody there for m{i}",
                )
            for link in m.links:
                await link.set(Mood())
            await m.agree()

    run(test)


def test_slow_links_and_narrow_ones_make_nobody_dead_for_good() -> None:
    async def test() -> None:
        async with machines() as m:
            await m.links[0].set(Mood("slow", seconds=0.3, spread=0.5))
            await m.links[1].set(Mood("narrow", rate=20_000.0))
            await asyncio.sleep(1.0)
            for link in m.links:
                await link.set(Mood())
            await m.agree()

    run(test)


def test_strangers_garbage_and_huge_frames_are_counted_and_harm_nobody() -> None:
    async def test() -> None:
        async with machines() as m:
            for data in (b"\xff" * 4, (2**30).to_bytes(4, "big") + b"x" * 64, b"GET / HTTP/1.1\r\n\r\n" * 9, b""):
                with socket.create_connection(("127.0.0.1", m.links[0].port)) as stranger:
                    stranger.sendall(data)
            await m.come(lambda: m.view(0)["bad"] >= 3, "strangers are told")
            await m.agree()

    run(test)


@pytest.mark.parametrize(("key", "fleet"), [("ab" * 32, "t"), (KEY, "another")])
def test_one_with_another_key_or_of_another_fleet_stays_alone(key: str, fleet: str) -> None:
    async def test() -> None:
        async with machines(3, start=False) as m:
            for i in range(2):
                m.launch(i)
            m.launch(2, key=key, fleet=fleet)
            await m.come(lambda: m.view(0).get("bad", 0) + m.view(2).get("bad", 0) > 0, "a link that is refused")
            both = {"m0": "alive", "m1": "alive"}
            await m.come(lambda: m.states(0) == both and m.states(1) == both, "the two")
            assert m.states(2) == {"m2": "alive"}
            assert KEY not in m.rigs[0].logged() and key not in m.rigs[2].logged()

    run(test)


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"secret": "nowhere"}, b"nowhere: No such file"),
        ({"listen": "here:1"}, b"mesh.listen"),
        ({"seeds": ["x"]}, b"mesh.seeds"),
        ({"period": 0.01}, b"mesh.patience"),
        ({"periods": 1}, b"did you mean period"),
    ],
)
def test_a_table_that_can_not_be_used_names_the_place(change: dict[str, Any], why: bytes) -> None:
    async def test() -> None:
        async with machines(1, start=False) as m:
            m.prepare(0, **change)
            done = await asyncio.to_thread(m.rigs[0].run, "check", str(m.rigs[0].file))
            assert done.returncode == 2 and why in done.stderr, done.stderr
            m.prepare(0)
            (m.rigs[0].folder / "mesh.key").chmod(0o644)
            done = await asyncio.to_thread(m.rigs[0].run, "check", str(m.rigs[0].file))
            assert done.returncode == 2 and b"others may read it" in done.stderr

    run(test)


# ---- one duty, one holder -------------------------------------------------------------------


def records(m: Machines) -> list[tuple[float, int, str, str]]:
    """When, which machine, event and text: of all machines in order (one clock, for it is one machine)."""
    found = []
    for i, rig in enumerate(m.rigs):
        for line in rig.logged().splitlines():
            row = orjson.loads(line)
            found.append((row["ts"], i, row.get("event", ""), row["text"]))
    return sorted(found)


def holders(m: Machines) -> list[tuple[int, int]]:
    """Who began to hold the duty, one after another, with its epoch; and each step was begun by who held it then."""
    held: list[tuple[int, int]] = []
    for _, i, event, text in records(m):
        if event == "lease" and text.startswith("has 'rollout', epoch"):
            held.append((i, int(text.split()[-1])))
        if event == "starting" and "generation 1" not in text:
            assert held and held[-1][0] == i, (i, text, held)
    return held


def orders(m: Machines, which: list[int]) -> list[asyncio.Task[Any]]:
    return [asyncio.create_task(asyncio.to_thread(m.rigs[i].fleet, "restart")) for i in which]


async def rolling(m: Machines, instances: int) -> None:
    """Three machines, each a grantor, with some instances each."""
    addresses = [f"127.0.0.1:{link.port}" for link in m.links]
    for i, rig in enumerate(m.rigs):
        rig.add(*(f"i{i}{j}" for j in range(instances)), mode="ok")
        rig.policy |= {"at_once": 1}
        rig.logging |= {"form": "json"}
        m.launch(i, grantors=addresses, lease=1.0, seeds=addresses)
    await m.agree()


def test_three_machines_that_roll_out_at_once_do_so_one_after_another() -> None:
    async def test() -> None:
        async with machines(start=False) as m:
            await rolling(m, 3)
            done = await asyncio.gather(*orders(m, [0, 1, 2]))
            assert [one.returncode for one in done] == [0, 0, 0], done
            held = holders(m)
            # On a busy machine one may lose it in between, and have it again.
            assert {i for i, _ in held} == {0, 1, 2} and [e for _, e in held] == sorted(e for _, e in held)
            shown = await asyncio.to_thread(m.rigs[0].fleet, "leases")
            assert b"rollout: not held here" in shown.stdout, shown

    run(test)


def test_a_holder_that_is_stopped_loses_the_duty_and_begins_nothing_when_it_goes_on() -> None:
    """Until it has it again: the other's roll-out is under way by then, and goes on undisturbed."""

    async def test() -> None:
        async with machines(start=False) as m:
            await rolling(m, 6)
            first = orders(m, [1])
            await m.come(lambda: [i for i, _ in holders(m)] == [1], "the first holds it")
            os.kill(m.pid(1), signal.SIGSTOP)
            try:
                second = orders(m, [2])
                await m.come(lambda: [i for i, _ in holders(m)][-1:] == [2], "the second holds it")
            finally:
                os.kill(m.pid(1), signal.SIGCONT)
            done = await asyncio.gather(*first, *second)
            assert [one.returncode for one in done] == [0, 0], done
            held = holders(m)
            assert [i for i, _ in held][:2] == [1, 2] and held[-1][0] == 1
            assert [epoch for _, epoch in held] == sorted(epoch for _, epoch in held)

    run(test)


def test_without_a_majority_nobody_rolls_out_and_with_it_again_it_goes_on() -> None:
    async def test() -> None:
        async with machines(start=False) as m:
            await rolling(m, 2)
            for i in (0, 2):
                os.kill(m.pid(i), signal.SIGKILL)
                await m.come(lambda i=i: m.rigs[i].started[-1].poll() is not None, "its end")  # type: ignore[misc]
            restart = orders(m, [1])
            await m.come(lambda: any(row["wishes"] for row in m.leases(1)), "it is asked for")
            await m.agree(m0="dead", m2="dead")
            assert holders(m) == []
            m.rigs[0].launch()
            (done,) = await asyncio.gather(*restart)
            assert done.returncode == 0 and [i for i, _ in holders(m)] == [1]

    run(test)


# ---- bans that hold at all ------------------------------------------------------------------


class Serving:
    """Three machines with a proxy each, and three backends that say who they are."""

    def __init__(self, m: Machines) -> None:
        self.m = m
        self.backends = [Backend(number, serve_ok) for number in (1, 2, 3)]
        self.hosts = HostList([])
        self.count = 0

    async def start(self) -> None:
        for backend in self.backends:
            await backend.start()
        self.hosts.hosts = [backend.entry() for backend in self.backends]
        await self.hosts.start()
        for i, rig in enumerate(self.m.rigs):
            rig.common["discovery"] = f"127.0.0.1:{self.hosts.port}"
            rig.add(f"i{i}", management=f"127.0.0.1:{free_ports(1)[0]}")
            self.m.launch(i)
        await self.m.agree()
        for i in range(3):
            await self.m.come(lambda i=i: self.m.rigs[i].states() == {"ready"}, "ready")  # type: ignore[misc]

    async def stop(self) -> None:
        await self.hosts.stop()
        for backend in self.backends:
            await backend.stop()

    async def served_by(self, i: int, times: int = 24) -> set[bytes]:
        """Who answers so many requests at a machine."""
        found = set()
        for _ in range(times):
            self.count += 1
            reader, writer = await asyncio.open_connection("127.0.0.1", self.m.rigs[i].port(f"i{i}"))
            caller = Caller(reader, writer)
            writer.write(request(kind="view", rid=f"b{self.count}"))
            status, seen = await caller.answer()
            caller.leave()
            assert status == 200, status
            found.add(seen.body)
        return found

    async def order(self, i: int, what: str, host: str) -> None:
        done = await asyncio.to_thread(self.m.rigs[i].fleet, what, host)
        assert done.returncode == 0, done.stderr

    async def carried_out(self, *machines: int) -> None:
        """Wait until all instances of these have carried out all that holds there, which is the same for all."""

        def same() -> bool:
            told = [ask(self.m.rigs[i].control, "bans", PATIENCE) for i in machines]
            held = [[(row["key"], row["value"], row["by"]) for row in one["bans"]] for one in told]
            return all(one == held[0] for one in held) and not any(one["pending"] for one in told)

        await self.m.come(same, "all have carried it out")


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[tuple[Machines, Serving]]:
    async with machines(start=False) as m:
        s = Serving(m)
        try:
            await s.start()
            yield m, s
        finally:
            await s.stop()


def test_a_ban_that_is_given_to_one_machine_holds_at_all_and_is_lifted_by_another() -> None:
    async def test() -> None:
        async with serving() as (_, s):
            await s.order(0, "ban", "s-2")
            await s.carried_out(0, 1, 2)
            for i in range(3):
                assert await s.served_by(i) <= {b"s-1", b"s-3"}
            await s.order(1, "unban", "s-2")
            await s.carried_out(0, 1, 2)
            for i in range(3):  # with what a server that comes back is spared
                while b"s-2" not in await s.served_by(i):
                    await asyncio.sleep(0.1)
            shown = await asyncio.to_thread(s.m.rigs[2].fleet, "bans")
            assert b"s-2" in shown.stdout and b"no more" in shown.stdout and b"by m1" in shown.stdout, shown

    run(test)


def test_a_ban_reaches_a_machine_that_was_away_and_processes_that_start_anew() -> None:
    """One supervisor was stopped while it was given, another lost all that it knew."""

    async def test() -> None:
        async with serving() as (m, s):
            os.kill(m.pid(2), signal.SIGSTOP)
            try:
                await s.order(0, "ban", "s-2")
                await s.carried_out(0, 1)
                await s.order(1, "ban", "s-3")
                await s.carried_out(0, 1)
            finally:
                os.kill(m.pid(2), signal.SIGCONT)
            await s.carried_out(0, 1, 2)
            assert await s.served_by(2) == {b"s-1"}
            os.kill(m.pid(1), signal.SIGKILL)
            await m.come(lambda: m.rigs[1].started[-1].poll() is not None, "its end")
            m.rigs[1].launch()
            await m.come(lambda: m.rigs[1].states() == {"ready"}, "ready")
            await s.carried_out(0, 1, 2)
            assert await s.served_by(1) == {b"s-1"}
            pid = m.rigs[2].pids()["i2"]
            os.kill(pid, signal.SIGKILL)
            await m.come(lambda: m.rigs[2].pids().get("i2") not in (None, pid), "another process")
            await m.come(lambda: m.rigs[2].states() == {"ready"}, "ready")
            await s.carried_out(0, 1, 2)
            assert await s.served_by(2) == {b"s-1"}

    run(test)


def test_on_and_off_on_two_sides_of_a_cut_end_as_what_was_said_last() -> None:
    """Two supervisors are stopped by turns, so that neither hears the other."""

    async def test() -> None:
        async with serving() as (m, s):
            await s.order(0, "ban", "s-2")
            await s.carried_out(0, 1, 2)
            os.kill(m.pid(1), signal.SIGSTOP)
            await s.order(0, "unban", "s-2")
            os.kill(m.pid(0), signal.SIGSTOP)
            os.kill(m.pid(2), signal.SIGSTOP)
            os.kill(m.pid(1), signal.SIGCONT)
            await s.order(1, "ban", "s-2")
            for i in (0, 2):
                os.kill(m.pid(i), signal.SIGCONT)
            await s.carried_out(0, 1, 2)
            for i in range(3):
                assert await s.served_by(i) <= {b"s-1", b"s-3"}

    run(test)
