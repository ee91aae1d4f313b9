"""Discovery over loopback sockets: pushed lists, polled lists, and malformed or missing messages."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Sequence
from itertools import pairwise
from typing import Any

import pytest
from rig import PEER_TIMEOUT, Rig, rig, serve_ok, until
from test_proxy import run, silent

from cometusher import discovery as discovery_module
from cometusher.discovery import parse_entry, server_id
from weldroute import Action, ListKind, ServerRow, State

POLLED = {"RegistryMode": "on_request"}


def state(r: Rig, number: int) -> State:
    """The state of a backend in weldroute; a backend that is gone is no longer listed there."""
    server = r.proxy.balancer.servers.get(number)
    return server.row.state if server is not None else State.GONE


def test_watch_starts_at_the_known_version_and_applies_changes() -> None:
    async def test() -> None:
        async with rig(serve_ok, serve_ok) as r:
            watch = await r.discovery.watch()
            assert watch.request_line == b"GET /discovery/hosts?watch=1&from=41 HTTP/1.1"
            watch.send_list(43, r.backends[0].discovery_entry(health="terminating"))
            await until(lambda: state(r, 1) is State.DRAINING)
            for i in range(10):
                assert (await r.call(request_id=str(i)))[1].body == b"s-2"
            watch.send_list(44, r.backends[0].discovery_entry(health="terminated"))
            await until(lambda: state(r, 1) is State.GONE)

    run(test)


def test_whole_list_replaces_the_old_one() -> None:
    async def test() -> None:
        async with rig(serve_ok, serve_ok) as r:
            watch = await r.discovery.watch()
            watch.send_list(90, r.backends[1].discovery_entry(), whole=True)
            await until(lambda: state(r, 1) is State.GONE)
            assert state(r, 2) is State.UP

    run(test)


def test_new_address_of_a_backend_is_used() -> None:
    async def test() -> None:
        async with rig(serve_ok, serve_ok) as r:
            watch = await r.discovery.watch()
            watch.send_list(42, r.backends[1].discovery_entry(health="terminated"))
            watch.send_list(43, r.backends[0].discovery_entry(dial=f"127.0.0.1:{r.backends[1].port}"))
            await until(lambda: r.proxy.discovery._seq == 43)
            assert (await r.call())[1].body == b"s-2"

    run(test)


def test_backend_whose_address_another_has_taken_over_is_gone() -> None:
    """The backend with the later start time keeps the address, whichever entry discovery sends last."""

    async def test() -> None:
        async with rig(serve_ok, serve_ok) as r:
            watch = await r.discovery.watch()
            old = r.backends[0].discovery_entry()
            new = old | {"host": "s-9", "born_ms": 5000}
            watch.send_list(42, new)
            await until(lambda: state(r, 9) is State.UP)
            assert state(r, 1) is State.GONE
            watch.send_list(43, old)
            watch.send_list(44, r.backends[1].discovery_entry(health="terminated"))
            await until(lambda: state(r, 2) is State.GONE)
            assert state(r, 1) is State.GONE and state(r, 9) is State.UP
            assert (await r.call())[0] == 200
            watch.send_list(45, new | {"health": "terminated"})
            await until(lambda: state(r, 9) is State.GONE)
            watch.send_list(46, old)  # the address is free again
            await until(lambda: state(r, 1) is State.UP)
            assert not r.proxy.backends._owners.keys() - {("127.0.0.1", r.backends[0].port)}

    run(test)


@pytest.mark.parametrize(
    "line", [b"{]\n", b'{"seq":"x","hosts":[]}\n', b'{"seq":42}\n', b"[1]\n", b'{"seq":3,"whole":false,"hosts":[]}\n']
)
def test_malformed_message_keeps_the_list_and_renews_the_watch(line: bytes) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            (await r.discovery.watch()).send(line)
            watch = await r.discovery.watch()
            assert b"&from=" in watch.request_line
            assert state(r, 1) is State.UP
            watch.send_list(50, r.backends[0].discovery_entry(health="terminating"))
            await until(lambda: state(r, 1) is State.DRAINING)

    run(test)


@pytest.mark.parametrize("malformed", [{"host": 7}, {"dial": "nowhere"}, {"block": "x"}, {"born_ms": []}])
def test_malformed_entry_does_not_hide_the_others(malformed: dict[str, Any]) -> None:
    async def test() -> None:
        async with rig(serve_ok, serve_ok) as r:
            watch = await r.discovery.watch()
            watch.send_list(
                42, r.backends[1].discovery_entry(**malformed), r.backends[0].discovery_entry(health="terminating")
            )
            await until(lambda: state(r, 1) is State.DRAINING)
            assert state(r, 2) is State.UP

    run(test)


@pytest.mark.parametrize("answer", [b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", b"what\r\n\r\n"])
def test_failed_watch_is_opened_again(answer: bytes) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            r.discovery.answer, valid_answer = answer, r.discovery.answer
            (await r.discovery.watch()).writer.close()
            await r.discovery.watch()
            r.discovery.answer = valid_answer
            assert (await r.call())[0] == 200
            await until(lambda: r.discovery.watches.empty())

    run(test)


def test_missing_heartbeats_end_a_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """A machine that disappears leaves the connection open without data."""
    monkeypatch.setattr(discovery_module, "HEARTBEAT_TIMEOUT", 0.2)

    async def test() -> None:
        async with rig(serve_ok) as r:
            await r.discovery.watch()
            await r.discovery.watch()

    run(test)


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_list_that_takes_longer_than_the_first_byte_timeout_arrives(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a slow discovery of which nothing is ever learned: each call is given up for one as slow."""
    monkeypatch.setattr(discovery_module, "FIRST_BYTE_TIMEOUT", 0.2)

    async def test() -> None:
        async with rig(serve_ok, serve_ok, settings={"RegistryMode": mode}) as r:
            r.discovery.first_byte_delay = 0.5
            entry = r.backends[0].discovery_entry(health="terminating")
            async with asyncio.timeout(PEER_TIMEOUT):
                while state(r, 1) is not State.DRAINING:
                    with contextlib.suppress(TimeoutError, RuntimeError):  # no call, or one that is given up
                        (await asyncio.wait_for(r.discovery.watches.get(), 0.05)).send_list(43, entry)
            assert r.proxy.discovery.has_current_list
            await asyncio.sleep(0.5)
            assert len(r.proxy.discovery._late_calls) == 0

    run(test)


def test_heartbeats_keep_a_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_module, "HEARTBEAT_TIMEOUT", 5.0)

    async def test() -> None:
        async with rig(serve_ok) as r:
            watch = await r.discovery.watch()
            for _ in range(20):
                watch.send(b"\n")
                await asyncio.sleep(0.02)
            assert r.discovery.watches.empty()

    run(test)


def test_polls_are_requested_by_weldroute(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each poll is a Subscribe action of weldroute, and the end of a watch is reported as BROKEN."""
    received: list[ListKind] = []

    async def test() -> None:
        async with rig(serve_ok, settings=POLLED) as r:
            members = r.proxy.balancer.members

            def collect(now: float, kind: ListKind, rows: Sequence[ServerRow]) -> list[Action]:
                received.append(kind)
                return members(now, kind, rows)

            monkeypatch.setattr(r.proxy.balancer, "members", collect)
            watch = await r.discovery.watch()
            watch.send_list(42, r.backends[0].discovery_entry(), whole=True)
            await until(lambda: received == [ListKind.WHOLE])
            watch.writer.close()
            await until(lambda: received == [ListKind.WHOLE, ListKind.BROKEN])
            second_watch = await r.discovery.watch()
            assert second_watch.request_line.endswith(b"from=42 HTTP/1.1")

    run(test)


def test_drain_does_not_affect_inflight_requests() -> None:
    async def test() -> None:
        async with rig(silent) as r:
            caller = await r.caller()
            caller.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            await caller.answer()
            watch = await r.discovery.watch()
            pending = asyncio.ensure_future(r.call(kind="once", budget="400m"))
            await asyncio.wait_for(r.backends[0].arrived.wait(), 5.0)
            watch.send_list(42, r.backends[0].discovery_entry(health="terminating"))
            await until(lambda: state(r, 1) is State.DRAINING)
            assert (await pending)[0] == 504  # the proxy waited for the response until the deadline

    run(test)


def test_parsing_of_ids_and_entries() -> None:
    assert server_id("s-5be2a07c") == 0x5BE2A07C
    assert server_id("s-1") == 1
    assert server_id("anything else") == server_id("anything else") < 2**32
    item = {"host": "s-1", "dial": "127.0.0.1:1", "site": "b", "health": "on_fire", "born_ms": 1500, "block": 3}
    row = parse_entry(item, ("a", "b")).row
    assert (row.zone, row.cell, row.started, row.state) == (1, 3, 1.5, State.DRAINING)


def test_requests_are_served_between_the_messages_of_one_read() -> None:
    """Guards against a burst of changes that keeps the event loop from requests, deadlines and sockets."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            watch = await r.discovery.watch()
            messages = 20 * discovery_module.ENTRIES_PER_TURN
            turns: list[int] = []  # the version of the list that each turn of the event loop has seen

            def count_turn() -> None:
                turns.append(r.proxy.discovery.seq)
                asyncio.get_running_loop().call_soon(count_turn)

            count_turn()
            lines = (json.dumps({"seq": 42 + n, "hosts": []}) for n in range(messages))
            watch.send("\n".join(lines).encode() + b"\n")
            await until(lambda: r.proxy.discovery.seq == 41 + messages)
            applied = [after - before for before, after in pairwise(turns)]
            assert max(applied) <= discovery_module.ENTRIES_PER_TURN

    run(test)
