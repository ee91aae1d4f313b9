"""Operators' calls, bans and drains on sockets: what a yes promises, and callers that hold connections."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest
from rig import PEER_TIMEOUT, Backend, Message, Rig, Writer, reply, rig, until
from test_proxy import run

from cometusher import management
from cometusher.backends import Attempt
from cometusher.proxy import Proxy
from cometusher.runtime import inherited_listener, open_listener


async def answer_of(r: Rig, data: bytes) -> bytes:
    """What comes of bytes at the second address, until it closes."""
    assert r.proxy.management is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", r.proxy.management.port)
    writer.write(data)
    got = await asyncio.wait_for(reader.read(), PEER_TIMEOUT)
    writer.close()
    return got


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        (b"GET /api/nothing HTTP/1.1\r\n\r\n", 404),
        (b"GET /api/exclude HTTP/1.1\r\n\r\n", 405),
        (b"POST /api/exclude HTTP/1.1\r\nContent-Length: 3\r\n\r\n{x}", 400),
        (b"POST /api/exclude HTTP/1.1\r\n\r\n", 400),
        (b'POST /api/exclude HTTP/1.1\r\nContent-Length: 14\r\n\r\n{"who":"s-99"}', 404),
        (b'POST /api/include HTTP/1.1\r\nContent-Length: 19\r\n\r\n{"who":"zz-s-0001"}', 404),
        (b"POST /api/exclude HTTP/1.1\r\nContent-Length: 9999\r\n\r\n" + b"x" * 9999, 413),
        (b"GET /api/ready HTTP/1.1\r\nX: " + b"x" * 40000, 413),
        (b"\x00\x01nonsense\r\n\r\n", 400),
        (
            b"POST /api/include HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b'b\r\n{"who":"s-1\r\n2\r\n"}\r\n0\r\n\r\n',
            200,
        ),
    ],
)
def test_each_call_has_one_stated_answer(data: bytes, status: int) -> None:
    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            got = await answer_of(r, data)
            assert got.startswith(b"HTTP/1.1 %d " % status) and got.count(b"HTTP/1.1") == 1
            assert b"connection: close" in got.lower() and b"Traceback" not in got
            assert (await r.call())[0] == 200

    run(test)


async def echo_name(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=backend.host.encode()))


async def served_by(r: Rig, count: int, prefix: str) -> set[bytes]:
    names = set()
    for i in range(count):
        status, seen = await r.call(request_id=f"{prefix}{i}")
        assert status == 200
        names.add(seen.body)
    return names


def test_a_ban_holds_from_its_yes_until_one_call_back() -> None:
    async def test() -> None:
        async with rig(echo_name, echo_name, managed=True) as r:
            assert await served_by(r, 40, "a") == {b"s-1", b"s-2"}
            assert await r.management_call("exclude", b'{"who":"s-1"}') == 200
            assert await served_by(r, 40, "b") == {b"s-2"}
            assert await r.management_call("exclude", b'{"who":"s-1"}') == 200  # twice is once
            entries = [backend.discovery_entry(health="in_service") for backend in r.backends]
            (await r.discovery.watch()).send_list(43, *entries, whole=True)  # whatever discovery says
            await until(lambda: r.proxy.discovery.seq == 43)
            assert await served_by(r, 40, "c") == {b"s-2"}
            assert await r.management_call("include", b'{"who":"s-1"}') == 200
            await until_served(r, b"s-1")

    run(test)


async def until_served(r: Rig, name: bytes) -> None:
    async with asyncio.timeout(PEER_TIMEOUT):
        i = 0
        while (await r.call(request_id=f"until{i}"))[1].body != name:
            i += 1
            await asyncio.sleep(0.01)


def test_an_attempt_that_still_connects_when_a_ban_comes_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The ban comes just as the connection is up."""
    honest = Proxy.may_start

    def banned_meanwhile(self: Proxy, attempt: Attempt) -> bool:
        self.balancer.ban(self.clock.now(), attempt.server)
        return honest(self, attempt)

    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            monkeypatch.setattr(Proxy, "may_start", banned_meanwhile)
            assert (await r.call())[0] == 503 and not r.seen

    run(test)


def test_the_last_backend_banned_is_a_refusal_and_no_wait() -> None:
    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            assert await r.management_call("exclude", b'{"who":"s-1"}') == 200
            assert (await r.call())[0] == 503 and not r.seen
            assert await r.management_call("include", b'{"who":"s-1"}') == 200
            await until_ok(r)

    run(test)


async def until_ok(r: Rig) -> None:
    async with asyncio.timeout(PEER_TIMEOUT):
        i = 0
        while (await r.call(request_id=f"ok{i}"))[0] != 200:
            i += 1
            await asyncio.sleep(0.02)


async def up(r: Rig) -> int:
    caller = await r.caller()
    caller.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    status, _ = await caller.answer()
    caller.abort()
    return status


def test_a_drain_empties_the_proxy_and_a_rejoin_gives_all_back() -> None:
    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            kept, quiet = await r.caller(), await r.caller()
            for i, caller in enumerate((kept, quiet)):
                assert (await caller.call(request_id=f"k{i}"))[0] == 200
            assert await up(r) == 200
            assert await r.management_call("evacuate") == 200
            assert await up(r) == 503
            # A kept connection may bring one more request, whose answer ends it; new ones are served, too.
            assert (await kept.call(request_id="last"))[0] == 200
            assert await kept.read_to_end() == b""
            fresh = await r.caller()
            assert (await fresh.call(request_id="new"))[0] == 200 and await fresh.read_to_end() == b""
            assert await quiet.read_to_end() == b""
            await until(lambda: r.proxy.callers.count() == 0)
            assert await r.management_call("ready", method="GET") == 200
            assert await r.management_call("rejoin") == 200 and await up(r) == 200
            again = await r.caller()
            for i in range(3):
                assert (await again.call(request_id=f"again{i}"))[0] == 200

    run(test)


def test_a_rejoin_before_the_drain_is_done_keeps_what_is_kept() -> None:
    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            kept = await r.caller()
            assert (await kept.call(request_id="1"))[0] == 200
            assert await r.management_call("evacuate") == 200 and await r.management_call("rejoin") == 200
            for i in range(3):
                assert (await kept.call(request_id=f"x{i}"))[0] == 200

    run(test)


def test_callers_that_hold_connections_cost_nobody_else_an_answer() -> None:
    """Ten times as many as there are places, silent or with half a call, and calls go on being answered."""

    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            assert r.proxy.management is not None
            holders = []
            for i in range(10 * management.MAX_CONNECTIONS):
                reader, writer = await asyncio.open_connection("127.0.0.1", r.proxy.management.port)
                writer.write(b"POST /api/excl" if i % 2 else b"")
                holders.append((reader, writer))
                if i % 10 == 0:
                    assert await r.management_call("ready", method="GET") == 200
            assert await r.management_call("exclude", b'{"who":"s-1"}') == 200
            assert len(r.proxy.management._connections) <= management.MAX_CONNECTIONS
            for _, writer in holders:
                writer.transport.abort()

    run(test)


def test_without_an_address_nothing_listens_for_calls() -> None:
    async def test() -> None:
        async with rig(echo_name) as r:
            assert r.proxy.management is None

    run(test)


def test_an_inherited_listener_is_checked() -> None:
    listener = open_listener(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    with pytest.raises(OSError, match=r"listens on 127.0.0.1:\d+, not on 127.0.0.1:1"):
        inherited_listener(listener.fileno(), ("127.0.0.1", 1))
    plain = socket.socket()
    with plain, pytest.raises(OSError, match="does not listen"):
        inherited_listener(plain.fileno(), ("127.0.0.1", port))
    with Path(__file__).open() as file, pytest.raises(OSError, match="descriptor"):
        inherited_listener(file.fileno(), ("127.0.0.1", port))
    with pytest.raises(OSError, match="descriptor 999"):
        inherited_listener(999, ("127.0.0.1", port))
    again = inherited_listener(listener.detach(), ("127.0.0.1", port))
    assert not again.get_inheritable()
    again.close()
