"""Management calls over sockets: bans and drains after their confirmation, and clients that hold connections."""

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


async def send_raw_call(r: Rig, data: bytes) -> bytes:
    """Send bytes to the management address; returns all that is received until it closes."""
    assert r.proxy.management is not None
    reader, writer = await asyncio.open_connection("127.0.0.1", r.proxy.management.port)
    writer.write(data)
    received = await asyncio.wait_for(reader.read(), PEER_TIMEOUT)
    writer.close()
    return received


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
def test_each_call_gets_its_status(data: bytes, status: int) -> None:
    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            received = await send_raw_call(r, data)
            assert received.startswith(b"HTTP/1.1 %d " % status) and received.count(b"HTTP/1.1") == 1
            assert b"connection: close" in received.lower() and b"Traceback" not in received
            assert (await r.call())[0] == 200

    run(test)


async def echo_name(backend: Backend, message: Message, writer: Writer) -> None:
    writer.write(reply(body=backend.host.encode()))


async def served_by(r: Rig, count: int, prefix: str) -> set[bytes]:
    names = set()
    for i in range(count):
        status, response = await r.call(request_id=f"{prefix}{i}")
        assert status == 200
        names.add(response.body)
    return names


def test_ban_holds_from_its_confirmation_until_an_include() -> None:
    async def test() -> None:
        async with rig(echo_name, echo_name, managed=True) as r:
            assert await served_by(r, 40, "a") == {b"s-1", b"s-2"}
            assert await r.management_call("exclude", b'{"who":"s-1"}') == 200
            assert await served_by(r, 40, "b") == {b"s-2"}
            assert await r.management_call("exclude", b'{"who":"s-1"}') == 200  # repeating a ban changes nothing
            entries = [backend.discovery_entry(health="in_service") for backend in r.backends]
            (await r.discovery.watch()).send_list(43, *entries, whole=True)  # discovery does not end a ban
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


def test_attempt_that_is_connecting_when_banned_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The ban comes just after the connection is established."""
    original = Proxy.may_start

    def banned_meanwhile(self: Proxy, attempt: Attempt) -> bool:
        self.balancer.ban(self.clock.now(), attempt.server)
        return original(self, attempt)

    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            monkeypatch.setattr(Proxy, "may_start", banned_meanwhile)
            assert (await r.call())[0] == 503 and not r.seen

    run(test)


def test_ban_of_the_last_backend_rejects_requests_without_delay() -> None:
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


async def check_up(r: Rig) -> int:
    caller = await r.caller()
    caller.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    status, _ = await caller.answer()
    caller.abort()
    return status


def test_drain_empties_the_proxy_and_rejoin_restores_it() -> None:
    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            busy, idle = await r.caller(), await r.caller()
            for i, caller in enumerate((busy, idle)):
                assert (await caller.call(request_id=f"k{i}"))[0] == 200
            assert await check_up(r) == 200
            assert await r.management_call("evacuate") == 200
            assert await check_up(r) == 503
            # An open connection may carry one more request, whose response closes it; new ones are served, too.
            assert (await busy.call(request_id="last"))[0] == 200
            assert await busy.read_to_end() == b""
            new = await r.caller()
            assert (await new.call(request_id="new"))[0] == 200 and await new.read_to_end() == b""
            assert await idle.read_to_end() == b""
            await until(lambda: r.proxy.callers.count() == 0)
            assert await r.management_call("ready", method="GET") == 200
            assert await r.management_call("rejoin") == 200 and await check_up(r) == 200
            rejoined = await r.caller()
            for i in range(3):
                assert (await rejoined.call(request_id=f"again{i}"))[0] == 200

    run(test)


def test_rejoin_during_a_drain_keeps_connections() -> None:
    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            busy = await r.caller()
            assert (await busy.call(request_id="1"))[0] == 200
            assert await r.management_call("evacuate") == 200 and await r.management_call("rejoin") == 200
            for i in range(3):
                assert (await busy.call(request_id=f"x{i}"))[0] == 200

    run(test)


def test_clients_that_hold_connections_do_not_block_calls() -> None:
    """Calls are answered while ten times the connection limit is opened, idle or with half a call."""

    async def test() -> None:
        async with rig(echo_name, managed=True) as r:
            assert r.proxy.management is not None
            open_connections = []
            for i in range(10 * management.MAX_CONNECTIONS):
                reader, writer = await asyncio.open_connection("127.0.0.1", r.proxy.management.port)
                writer.write(b"POST /api/excl" if i % 2 else b"")
                open_connections.append((reader, writer))
                if i % 10 == 0:
                    assert await r.management_call("ready", method="GET") == 200
            assert await r.management_call("exclude", b'{"who":"s-1"}') == 200
            assert len(r.proxy.management._connections) <= management.MAX_CONNECTIONS
            for _, writer in open_connections:
                writer.transport.abort()

    run(test)


def test_no_management_listener_without_an_address() -> None:
    async def test() -> None:
        async with rig(echo_name) as r:
            assert r.proxy.management is None

    run(test)


def test_inherited_listener_is_checked() -> None:
    listener = open_listener(("127.0.0.1", 0))
    port = listener.getsockname()[1]
    with pytest.raises(OSError, match=r"listens on 127.0.0.1:\d+, not on 127.0.0.1:1"):
        inherited_listener(listener.fileno(), ("127.0.0.1", 1))
    unbound = socket.socket()
    with unbound, pytest.raises(OSError, match="does not listen"):
        inherited_listener(unbound.fileno(), ("127.0.0.1", port))
    with Path(__file__).open() as file, pytest.raises(OSError, match="descriptor"):
        inherited_listener(file.fileno(), ("127.0.0.1", port))
    with pytest.raises(OSError, match="descriptor 999"):
        inherited_listener(999, ("127.0.0.1", port))
    inherited = inherited_listener(listener.detach(), ("127.0.0.1", port))
    assert not inherited.get_inheritable()
    inherited.close()
