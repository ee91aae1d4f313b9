"""Clusters of real supervisor processes, one per machine, with a faulty relay before each address."""

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
from rig import PEER_TIMEOUT, Backend, serve_ok

from cometusher.fault_injection.environment import wait_until
from cometusher.fleet.control import ControlError, NoSupervisor, send_request
from standins.caller import Caller, request
from standins.discovery import HostList
from standins.faulty_link import FaultyLink, LinkFault
from standins.ports import free_ports

QUICK = {"period": 0.25, "patience": 0.1, "suspicion": 5.0, "alone": 2.0, "knock": 0.5, "gossip": 0.05, "sync": 2.0}
KEY = "5f" * 32


class Machines:
    """Supervisors of one fleet, each with one idle instance, and the relays before them."""

    def __init__(self, rigs: list[FleetRig], links: list[FaultyLink]) -> None:
        self.rigs = rigs
        self.links = links
        self.ports = free_ports(len(rigs))  # listened on, behind the relays

    def prepare(self, i: int, key: str = KEY, fleet: str = "t", **mesh: Any) -> FleetRig:
        rig = self.rigs[i]
        secret = rig.folder / "mesh.key"
        secret.write_text(key + "\n")
        secret.chmod(0o600)
        rig.fleet_table["name"] = fleet
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

    def launch(self, i: int, **options: Any) -> None:
        self.prepare(i, **options).launch()

    def view(self, i: int) -> dict[str, Any]:
        """A supervisor's view of the members; empty if it does not run."""
        try:
            return send_request(self.rigs[i].control, "members", PEER_TIMEOUT)
        except (NoSupervisor, ControlError):
            return {}

    def leases(self, i: int) -> list[dict[str, Any]]:
        return list(send_request(self.rigs[i].control, "leases", PEER_TIMEOUT)["duties"])

    def states(self, i: int) -> dict[str, str]:
        return {row["name"]: row["state"] for row in self.view(i).get("members", [])}

    def pid(self, i: int) -> int:
        return self.rigs[i].started[-1].pid

    async def wait_for(self, condition: Callable[[], bool], description: str) -> None:
        async def holds() -> bool:
            return await asyncio.to_thread(condition)

        assert await wait_until(holds, 2 * PEER_TIMEOUT), f"never: {description}\n" + "\n".join(
            f"{i}: {self.states(i)}\n{rig.log_text()[-1500:]}" for i, rig in enumerate(self.rigs)
        )

    async def agree(self, **states: str) -> None:
        """Wait until all running supervisors see these states, and `alive` for members that are not named."""
        expected = {f"m{i}": "alive" for i in range(len(self.rigs))} | states
        running = [i for i, rig in enumerate(self.rigs) if rig.started and rig.started[-1].poll() is None]
        await self.wait_for(lambda: all(self.states(i) == expected for i in running), f"{expected}")


@contextlib.asynccontextmanager
async def machines(count: int = 3, start: bool = True) -> AsyncIterator[Machines]:
    with contextlib.ExitStack() as stack:
        rigs = [
            stack.enter_context(fleet_rig(Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="mesh-")))))
            for _ in range(count)
        ]
        links = [FaultyLink(("127.0.0.1", 0), seed) for seed in range(count)]
        cluster = Machines(rigs, links)
        for link, port in zip(links, cluster.ports, strict=True):
            link.target = ("127.0.0.1", port)
            await link.start()
        try:
            if start:
                for i in range(count):
                    cluster.launch(i)
                await cluster.agree()
            yield cluster
        finally:
            for link in links:
                await link.stop()


def test_killed_supervisor_is_dead_for_all_and_rejoins_without_state() -> None:
    async def test() -> None:
        async with machines() as m:
            os.kill(m.pid(2), signal.SIGKILL)
            await m.wait_for(lambda: m.rigs[2].started[-1].poll() is not None, "its exit")
            await m.agree(m2="dead")
            shown = await asyncio.to_thread(m.rigs[0].fleet_command, "members")
            assert b"m2" in shown.stdout and b"dead" in shown.stdout, shown
            m.launch(2)
            await m.agree()
            rows = {row["name"]: row for row in m.view(0)["members"]}
            assert rows["m2"]["incarnation"] > 1 and rows["m2"]["zone"] == "kigali"

    run(test)


def test_supervisor_that_is_stopped_in_order_has_left() -> None:
    async def test() -> None:
        async with machines() as m:
            done = await asyncio.to_thread(m.rigs[1].fleet_command, "stop")
            assert done.returncode == 0, done
            await m.agree(m1="left")

    run(test)


def test_paused_supervisor_is_alive_again_and_declares_nobody_dead() -> None:
    async def test() -> None:
        async with machines() as m:
            before = m.rigs[1].log_text()
            os.kill(m.pid(1), signal.SIGSTOP)
            try:
                await m.wait_for(lambda: m.states(0).get("m1") == "dead", "m1 is dead for m0")
                await m.wait_for(lambda: m.states(2).get("m1") == "dead", "m1 is dead for m2")
            finally:
                os.kill(m.pid(1), signal.SIGCONT)
            await m.agree()
            assert "is dead" not in m.rigs[1].log_text()[len(before) :]

    run(test)


def test_member_that_can_only_dial_out_is_alive() -> None:
    """Its own address is unreachable, as behind a firewall: all messages use the links that it dialled."""

    async def test() -> None:
        async with machines() as m:
            os.kill(m.pid(1), signal.SIGKILL)
            await m.wait_for(lambda: m.rigs[1].started[-1].poll() is not None, "its exit")
            await m.agree(m1="dead")
            await m.links[1].set_fault(LinkFault("drop"))
            m.launch(1)
            await m.agree()
            await m.links[1].set_fault(LinkFault())
            await m.agree()

    run(test)


@pytest.mark.parametrize("fault", [LinkFault("drop"), LinkFault("mute", direction="down"), LinkFault("refuse")])
def test_isolated_members_rejoin_when_the_links_recover(fault: LinkFault) -> None:
    async def test() -> None:
        async with machines() as m:
            for link in m.links:
                await link.set_fault(fault)
                if fault.name == "refuse":
                    await link.set_fault(LinkFault("reset"))  # open connections as well
            for i in range(3):
                others = {f"m{j}" for j in range(3) if j != i}
                await m.wait_for(
                    lambda i=i, others=others: all(m.states(i).get(name) == "dead" for name in others),  # type: ignore[misc]
                    f"all others are dead for m{i}",
                )
            for link in m.links:
                await link.set_fault(LinkFault())
            await m.agree()

    run(test)


def test_members_agree_after_slow_and_narrow_links() -> None:
    async def test() -> None:
        async with machines() as m:
            await m.links[0].set_fault(LinkFault("slow", median_delay=0.3, spread=0.5))
            await m.links[1].set_fault(LinkFault("narrow", rate=20_000.0))
            await asyncio.sleep(1.0)
            for link in m.links:
                await link.set_fault(LinkFault())
            await m.agree()

    run(test)


def test_invalid_connections_are_counted_and_do_no_harm() -> None:
    async def test() -> None:
        async with machines() as m:
            for data in (b"\xff" * 4, (2**30).to_bytes(4, "big") + b"x" * 64, b"GET / HTTP/1.1\r\n\r\n" * 9, b""):
                with socket.create_connection(("127.0.0.1", m.links[0].port)) as stranger:
                    stranger.sendall(data)
            await m.wait_for(lambda: m.view(0)["bad"] >= 3, "invalid links are counted")
            await m.agree()

    run(test)


@pytest.mark.parametrize(("key", "fleet"), [("ab" * 32, "t"), (KEY, "another")])
def test_member_with_another_key_or_fleet_stays_alone(key: str, fleet: str) -> None:
    async def test() -> None:
        async with machines(3, start=False) as m:
            for i in range(2):
                m.launch(i)
            m.launch(2, key=key, fleet=fleet)
            await m.wait_for(lambda: m.view(0).get("bad", 0) + m.view(2).get("bad", 0) > 0, "a refused link")
            both = {"m0": "alive", "m1": "alive"}
            await m.wait_for(lambda: m.states(0) == both and m.states(1) == both, "the two members see each other")
            assert m.states(2) == {"m2": "alive"}
            assert KEY not in m.rigs[0].log_text() and key not in m.rigs[2].log_text()

    run(test)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"secret": "nowhere"}, b"nowhere: No such file"),
        ({"listen": "here:1"}, b"mesh.listen"),
        ({"seeds": ["x"]}, b"mesh.seeds"),
        ({"period": 0.01}, b"mesh.patience"),
        ({"periods": 1}, b"did you mean period"),
    ],
)
def test_invalid_table_is_refused_with_the_key_at_fault(change: dict[str, Any], reason: bytes) -> None:
    async def test() -> None:
        async with machines(1, start=False) as m:
            m.prepare(0, **change)
            done = await asyncio.to_thread(m.rigs[0].run_command, "check", str(m.rigs[0].file))
            assert done.returncode == 2 and reason in done.stderr, done.stderr
            m.prepare(0)
            (m.rigs[0].folder / "mesh.key").chmod(0o644)
            done = await asyncio.to_thread(m.rigs[0].run_command, "check", str(m.rigs[0].file))
            assert done.returncode == 2 and b"others may read it" in done.stderr

    run(test)


# ---- duties with one holder -----------------------------------------------------------------


def records(m: Machines) -> list[tuple[float, int, str, str]]:
    """Time, machine, event and text of all log records, in order of time: the processes share one clock."""
    found = []
    for i, rig in enumerate(m.rigs):
        for line in rig.log_text().splitlines():
            record = orjson.loads(line)
            found.append((record["ts"], i, record.get("event", ""), record["text"]))
    return sorted(found)


def holders(m: Machines) -> list[tuple[int, int]]:
    """(machine, epoch) of all holders of the duty, in order; checks that each step was begun by the holder."""
    history: list[tuple[int, int]] = []
    for _, i, event, text in records(m):
        if event == "lease" and text.startswith("has 'rollout', epoch"):
            history.append((i, int(text.split()[-1])))
        if event == "starting" and "generation 1" not in text:
            assert history and history[-1][0] == i, (i, text, history)
    return history


def restart_orders(m: Machines, machines: list[int]) -> list[asyncio.Task[Any]]:
    return [asyncio.create_task(asyncio.to_thread(m.rigs[i].fleet_command, "restart")) for i in machines]


async def launch_grantors(m: Machines, instances: int) -> None:
    """Start three machines, each a grantor, with `instances` instances each."""
    addresses = [f"127.0.0.1:{link.port}" for link in m.links]
    for i, rig in enumerate(m.rigs):
        rig.add(*(f"i{i}{j}" for j in range(instances)), mode="ok")
        rig.policy |= {"at_once": 1}
        rig.logging |= {"form": "json"}
        m.launch(i, grantors=addresses, lease=1.0, seeds=addresses)
    await m.agree()


def test_concurrent_rollouts_run_one_machine_at_a_time() -> None:
    async def test() -> None:
        async with machines(start=False) as m:
            await launch_grantors(m, 3)
            done = await asyncio.gather(*restart_orders(m, [0, 1, 2]))
            assert [process.returncode for process in done] == [0, 0, 0], done
            history = holders(m)
            # On a busy machine a holder may lose the duty in between and acquire it again.
            assert {i for i, _ in history} == {0, 1, 2} and [epoch for _, epoch in history] == sorted(
                epoch for _, epoch in history
            )
            shown = await asyncio.to_thread(m.rigs[0].fleet_command, "leases")
            assert b"rollout: not held here" in shown.stdout, shown

    run(test)


def test_paused_holder_loses_the_duty_and_begins_no_step_when_it_resumes() -> None:
    """It begins steps only once it holds the duty again; the roll-out of the other machine goes on meanwhile."""

    async def test() -> None:
        async with machines(start=False) as m:
            await launch_grantors(m, 6)
            first = restart_orders(m, [1])
            await m.wait_for(lambda: [i for i, _ in holders(m)] == [1], "the first machine holds the duty")
            os.kill(m.pid(1), signal.SIGSTOP)
            try:
                second = restart_orders(m, [2])
                await m.wait_for(lambda: [i for i, _ in holders(m)][-1:] == [2], "the second machine holds the duty")
            finally:
                os.kill(m.pid(1), signal.SIGCONT)
            done = await asyncio.gather(*first, *second)
            assert [process.returncode for process in done] == [0, 0], done
            history = holders(m)
            assert [i for i, _ in history][:2] == [1, 2] and history[-1][0] == 1
            assert [epoch for _, epoch in history] == sorted(epoch for _, epoch in history)

    run(test)


def test_rollout_waits_for_a_majority_of_grantors() -> None:
    async def test() -> None:
        async with machines(start=False) as m:
            await launch_grantors(m, 2)
            for i in (0, 2):
                os.kill(m.pid(i), signal.SIGKILL)
                await m.wait_for(lambda i=i: m.rigs[i].started[-1].poll() is not None, "its exit")  # type: ignore[misc]
            restart = restart_orders(m, [1])
            await m.wait_for(lambda: any(row["wishes"] for row in m.leases(1)), "the duty is wanted")
            await m.agree(m0="dead", m2="dead")
            assert holders(m) == []
            m.rigs[0].launch()
            (done,) = await asyncio.gather(*restart)
            assert done.returncode == 0 and [i for i, _ in holders(m)] == [1]

    run(test)


# ---- bans in the whole fleet ----------------------------------------------------------------


class Serving:
    """Three machines with a proxy each, and three backends that answer with their names."""

    def __init__(self, m: Machines) -> None:
        self.m = m
        self.backends = [Backend(number, serve_ok) for number in (1, 2, 3)]
        self.hosts = HostList([])
        self.count = 0

    async def start(self) -> None:
        for backend in self.backends:
            await backend.start()
        self.hosts.hosts = [backend.discovery_entry() for backend in self.backends]
        await self.hosts.start()
        for i, rig in enumerate(self.m.rigs):
            rig.common["discovery"] = f"127.0.0.1:{self.hosts.port}"
            rig.add(f"i{i}", management=f"127.0.0.1:{free_ports(1)[0]}")
            self.m.launch(i)
        await self.m.agree()
        for i in range(3):
            await self.m.wait_for(lambda i=i: self.m.rigs[i].states() == {"ready"}, "ready")  # type: ignore[misc]

    async def stop(self) -> None:
        await self.hosts.stop()
        for backend in self.backends:
            await backend.stop()

    async def served_by(self, i: int, times: int = 24) -> set[bytes]:
        """The names of the backends that answer `times` requests to a machine."""
        found = set()
        for _ in range(times):
            self.count += 1
            reader, writer = await asyncio.open_connection("127.0.0.1", self.m.rigs[i].port(f"i{i}"))
            caller = Caller(reader, writer)
            writer.write(request(kind="view", request_id=f"b{self.count}"))
            status, seen = await caller.answer()
            caller.abort()
            assert status == 200, status
            found.add(seen.body)
        return found

    async def order(self, i: int, command: str, host: str) -> None:
        done = await asyncio.to_thread(self.m.rigs[i].fleet_command, command, host)
        assert done.returncode == 0, done.stderr

    async def carried_out(self, *machines: int) -> None:
        """Wait until these machines have the same bans and all their instances have carried them out."""

        def same() -> bool:
            views = [send_request(self.m.rigs[i].control, "bans", PEER_TIMEOUT) for i in machines]
            bans = [[(row["key"], row["value"], row["by"]) for row in view["bans"]] for view in views]
            return all(entries == bans[0] for entries in bans) and not any(view["pending"] for view in views)

        await self.m.wait_for(same, "all machines have carried out the bans")


@contextlib.asynccontextmanager
async def serving() -> AsyncIterator[tuple[Machines, Serving]]:
    async with machines(start=False) as m:
        s = Serving(m)
        try:
            await s.start()
            yield m, s
        finally:
            await s.stop()


def test_ban_on_one_machine_holds_on_all_and_is_lifted_by_another() -> None:
    async def test() -> None:
        async with serving() as (_, s):
            await s.order(0, "ban", "s-2")
            await s.carried_out(0, 1, 2)
            for i in range(3):
                assert await s.served_by(i) <= {b"s-1", b"s-3"}
            await s.order(1, "unban", "s-2")
            await s.carried_out(0, 1, 2)
            for i in range(3):  # slow start after the ban sends it fewer requests
                while b"s-2" not in await s.served_by(i):
                    await asyncio.sleep(0.1)
            shown = await asyncio.to_thread(s.m.rigs[2].fleet_command, "bans")
            assert b"s-2" in shown.stdout and b"not banned" in shown.stdout and b"by m1" in shown.stdout, shown

    run(test)


def test_ban_reaches_a_paused_machine_and_restarted_processes() -> None:
    """One supervisor was paused when the bans were given, another restarts without state."""

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
            await m.wait_for(lambda: m.rigs[1].started[-1].poll() is not None, "its exit")
            m.rigs[1].launch()
            await m.wait_for(lambda: m.rigs[1].states() == {"ready"}, "ready")
            await s.carried_out(0, 1, 2)
            assert await s.served_by(1) == {b"s-1"}
            pid = m.rigs[2].pids()["i2"]
            os.kill(pid, signal.SIGKILL)
            await m.wait_for(lambda: m.rigs[2].pids().get("i2") not in (None, pid), "a new process")
            await m.wait_for(lambda: m.rigs[2].states() == {"ready"}, "ready")
            await s.carried_out(0, 1, 2)
            assert await s.served_by(2) == {b"s-1"}

    run(test)


def test_conflicting_bans_on_two_sides_of_a_partition_end_as_the_later_one() -> None:
    """Two sides are paused in turns, so that neither receives the other's messages."""

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
