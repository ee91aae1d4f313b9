"""Race conditions: each test forces an event between two steps of the proxy, by a hook or within one step.

The proxy runs on the test's own event loop. Whatever a test does without awaiting happens while the proxy is busy:
its peers' bytes and disconnects are in the kernel, and the loop has not reported them.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from rig import Backend, Message, Rig, Writer, reply, request, rig, serve_ok, until
from test_proxy import RESTED, close_connection, reset, run

from cometusher import backends as backends_module
from cometusher.callers import MAX_ACCEPTS_PER_WAKEUP, CallerConnection
from standins.messages import take_message
from weldroute import ListKind
from weldroute.operations import ListenerState

NO_CANCEL = {"Bounds": {"Cancel": False}}
SLOW_CONNECT = {"Bounds": {"DialTimeout": 8.0}}


class HeldConnects:
    """Wraps the event loop of a `Backends`, so that connections complete when the test releases them."""

    def __init__(self, r: Rig) -> None:
        self._loop: Any = r.proxy.backends.loop
        self.waiting: list[asyncio.Event] = []
        self.holds = True
        self.on_connected: Callable[[], None] = lambda: None  # called in the step in which a connection completes
        r.proxy.backends.loop = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any) -> Any:
        up = asyncio.Event()
        if self.holds:
            self.waiting.append(up)
        else:
            up.set()
        made = await self._loop.create_connection(*args)
        await up.wait()
        self.on_connected()
        return made

    async def wait_started(self, count: int = 1) -> None:
        await until(lambda: len(self.waiting) >= count)

    def release(self, holds: bool = True) -> None:
        """Completes the waiting connections; `holds` says whether later ones are held too."""
        self.holds = holds
        waiting, self.waiting = self.waiting, []
        for up in waiting:
            up.set()


def advance_clock(r: Rig, seconds: float) -> None:
    """Advances the clock of all decisions between two steps."""
    r.proxy.clock._offset += seconds


def connect(r: Rig) -> socket.socket:
    """A blocking client: each step is done when its call returns."""
    client = socket.create_connection(("127.0.0.1", r.proxy.callers.port))
    client.settimeout(10.0)
    return client


async def read_all(client: socket.socket) -> bytes:
    """Reads until the end of the connection; raises ConnectionResetError after a reset."""

    def read() -> bytes:
        data = b""
        while piece := client.recv(65536):
            data += piece
        return data

    return await asyncio.to_thread(read)


async def read_answer(client: socket.socket) -> bytes:
    """Reads a complete answer and returns its first line."""

    def read() -> bytes:
        data = bytearray()
        while (message := take_message(data)) is None:
            piece = client.recv(65536)
            assert piece, f"ended after {bytes(data)!r}"
            data += piece
        return message.line

    return await asyncio.to_thread(read)


# ---- during a connect to a backend ----------------------------------------------


def test_budget_is_what_is_left_when_the_request_is_written() -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=SLOW_CONNECT) as r:
            connects = HeldConnects(r)
            call = asyncio.ensure_future(r.call(budget="5000m"))
            await connects.wait_started()
            advance_clock(r, 1.5)
            connects.release()
            assert (await call)[0] == 200
            budget = r.seen[0].headers[b"x-budget"]
            assert budget.endswith(b"u") and int(budget[:-1]) <= 3_500_000

    run(test)


def test_budget_of_a_streamed_request_counts_while_its_reading_is_paused() -> None:
    """Guards against a budget that begins anew when a body is read that had come long before."""

    async def test() -> None:
        async with rig(serve_ok, settings=SLOW_CONNECT) as r:
            connects = HeldConnects(r)
            body = b"x" * 200_000
            call = asyncio.ensure_future(r.call(kind="submit", body=body, budget="5000m"))
            await connects.wait_started()
            exchange = next(iter(r.proxy._exchanges.values()))
            delay = exchange.caller.body_delay
            await until(lambda: delay._held_since is not None)
            assert delay._held_since is not None
            delay._held_since -= 1.5  # as if the reading had been paused for so long
            connects.release()
            assert (await call)[0] == 200
            assert int(r.seen[0].headers[b"x-budget"][:-1]) <= 3_500_000

    run(test)


@pytest.mark.parametrize("health", ["terminating", "terminated"])
def test_backend_that_drains_during_the_connect_gets_no_request(health: str) -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=SLOW_CONNECT) as r:
            connects = HeldConnects(r)
            watch = await r.discovery.watch()
            call = asyncio.ensure_future(r.call())
            await connects.wait_started()
            watch.send_list(42, r.backends[0].discovery_entry(health=health))
            await until(lambda: r.proxy.discovery.seq == 42)
            connects.release()
            assert (await call)[0] == 503  # a refusal, as nothing ran
            assert not r.seen

    run(test)


def test_full_list_without_a_backend_ends_its_connecting_attempts() -> None:
    async def test() -> None:
        async with rig(serve_ok, serve_ok, settings=SLOW_CONNECT) as r:
            connects = HeldConnects(r)
            watch = await r.discovery.watch()
            calls = [asyncio.ensure_future(r.call(request_id=f"r{i}")) for i in range(8)]
            await connects.wait_started(8)
            watch.send_list(42, r.backends[1].discovery_entry(), whole=True)
            await until(lambda: r.proxy.discovery.seq == 42)

            connects.release(holds=False)
            assert {(await call)[0] for call in calls} == {200}
            assert not r.backends[0].requests

    run(test)


async def status_with_slow_repeat(r: Rig, seconds: float) -> int:
    """The status of a keyed request whose first attempt may have run and whose repeat takes `seconds` to connect."""
    connects = HeldConnects(r)
    call = asyncio.ensure_future(r.call(kind="submit", budget="8000m"))
    await connects.wait_started()
    connects.release()
    await until(lambda: len(r.seen) == 1)
    await connects.wait_started()  # the connection of the repeat
    advance_clock(r, seconds)
    connects.release(holds=False)
    return (await call)[0]


def test_repeat_that_connects_after_the_window_is_not_sent() -> None:
    """The first attempt may have run, and after the window the backend no longer recognises a repeat."""

    async def test() -> None:
        async with rig(close_connection, close_connection, settings=SLOW_CONNECT) as r:
            assert await status_with_slow_repeat(r, 4.0) == 502
            assert len(r.seen) == 1

    run(test)


def test_repeat_that_connects_within_the_window_is_sent() -> None:
    async def test() -> None:
        async with rig(close_connection, close_connection, settings=SLOW_CONNECT) as r:
            assert await status_with_slow_repeat(r, 3.0) == 502
            assert len(r.seen) > 1

    run(test)


# ---- disconnects of callers ------------------------------------------------------------------


@pytest.mark.parametrize("settings", [SLOW_CONNECT, SLOW_CONNECT | {"Bounds": {"DialTimeout": 8.0, "Cancel": False}}])
def test_disconnect_during_the_connect_sends_nothing(settings: dict[str, Any]) -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=settings) as r:
            connects = HeldConnects(r)
            client = connect(r)
            client.sendall(request(request_id="gone"))
            await connects.wait_started()
            connects.on_connected = client.close  # before the loop can report it
            connects.release(holds=False)
            await until(lambda: r.proxy.open_requests == 0)
            assert (await r.call(request_id="after"))[0] == 200
            assert [seen.headers[b"x-call-id"] for seen in r.seen] == [b"after"]

    run(test)


@pytest.mark.parametrize("cancel", [True, False])
def test_requests_read_after_their_callers_left_are_not_sent(cancel: bool) -> None:
    """A hundred callers leave while the loop is busy: each request is read together with its disconnect.

    A rested connection to the backend exists, so that nothing else delays a request. No second copies: the request
    that stays waits for the loop and would get one.
    """

    async def test() -> None:
        async with rig(serve_ok, settings={"Bounds": {"Cancel": cancel, "SecondCopies": False}}) as r:
            assert (await r.call(request_id="before"))[0] == 200
            await asyncio.sleep(RESTED)
            assert r.proxy.backends.counts() == (0, 1)
            for i in range(100):
                client = connect(r)
                client.sendall(request(request_id=f"gone-{i}"))
                client.close()
            assert (await r.call(request_id="stays"))[0] == 200
            await until(lambda: r.proxy.callers.count() == 2 and r.proxy.open_requests == 0)
            assert [seen.headers[b"x-call-id"] for seen in r.seen] == [b"before", b"stays"]
            assert r.proxy.counters.get("left", 0) == 100

    run(test)


def test_no_further_attempt_for_a_caller_that_left() -> None:
    """The first attempt fails in the step in which the caller's disconnect arrives."""
    leaves: list[socket.socket] = []

    async def fails_as_the_caller_leaves(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(reply(500, b"broken"))

    async def test() -> None:
        async with rig(fails_as_the_caller_leaves, fails_as_the_caller_leaves) as r:
            for i in range(4):
                assert (await r.call(request_id=f"before-{i}"))[0] == 503
            await asyncio.sleep(RESTED)
            assert set(r.proxy.backends.idle_servers()) == {1, 2}  # so that nothing else delays an attempt
            before = len(r.seen)
            client = connect(r)
            leaves.append(client)
            original = r.proxy.balancer.outcome

            def leave_first(*args: Any, **options: Any) -> Any:
                if leaves:
                    leaves.pop().close()
                return original(*args, **options)

            r.proxy.balancer.outcome = leave_first  # type: ignore[method-assign]
            client.sendall(request(request_id="gone"))
            await until(lambda: r.proxy.counters.get("left", 0) == 1 and r.proxy.open_requests == 0)
            assert len(r.seen) == before + 1

    run(test)


# ---- closing connections ----------------------------------------------------------------------------------


def test_request_arriving_as_idle_connections_are_closed_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            client = connect(r)
            client.sendall(request(request_id="1"))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            before = r.proxy.callers.listener_state
            client.sendall(request(request_id="2"))
            r.proxy.callers.apply_listener_state(replace(before, keeps_idle=False))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            client.close()

    run(test)


def test_request_arriving_at_the_idle_timeout_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            client = connect(r)
            client.sendall(request(request_id="1"))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            (connection,) = r.proxy.callers._connections
            connection.state_since -= 60.0
            client.sendall(request(request_id="2"))
            r.proxy.callers.sweep()
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            client.close()

    run(test)


def test_request_arriving_at_an_eviction_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            client = connect(r)
            client.sendall(request(request_id="1"))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            client.sendall(request(request_id="2"))
            assert not r.proxy.descriptors.evict_caller()
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            assert r.proxy.descriptors.evict_caller()
            assert await read_all(client) == b""

    run(test)


def test_input_arriving_with_the_last_answer_does_not_destroy_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """A close with unread input would reset the connection."""
    answer = CallerConnection.answer

    async def test() -> None:
        async with rig(serve_ok) as r:
            client = connect(r)

            def more_first(self: CallerConnection, *args: Any, **options: Any) -> None:
                client.sendall(b"GET /more HTTP/1.1\r\n")
                answer(self, *args, **options)

            monkeypatch.setattr(CallerConnection, "answer", more_first)
            client.sendall(request(extra=(b"Connection: close",)))
            whole = await read_all(client)
            assert whole.startswith(b"HTTP/1.1 200 OK") and whole.endswith(b"\r\n\r\ns-1")
            assert len(r.seen) == 1

    run(test)


def test_aborted_answer_of_unknown_length_resets_the_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """An HTTP/1.0 client has no other way to tell a truncated answer from a complete one."""
    monkeypatch.setattr(backends_module, "STREAM_DELAY_UNKNOWN_LENGTH", 0.0)

    async def part_and_reset(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(3):
            writer.write(b"a part")
            await asyncio.sleep(0.02)
        await reset(backend, seen, writer)

    async def test() -> None:
        async with rig(part_and_reset) as r:
            client = connect(r)
            client.sendall(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
            with pytest.raises(ConnectionResetError):
                await read_all(client)

    run(test)


# ---- closing the listener ---------------------------------------------------------------------


def not_accepting(state: ListenerState) -> ListenerState:
    return replace(state, up=False, listens=False)


def test_backlog_of_a_closing_listener_is_served() -> None:
    """More connections than one wake-up accepts."""

    async def test() -> None:
        async with rig(serve_ok, sockets=1024) as r:
            clients = [connect(r) for _ in range(MAX_ACCEPTS_PER_WAKEUP + 20)]
            for i, client in enumerate(clients):
                client.sendall(request(request_id=f"r{i}"))
            r.proxy.callers.apply_listener_state(not_accepting(r.proxy.callers.listener_state))
            r.proxy.callers.close_listener()
            assert {await read_answer(client) for client in clients} == {b"HTTP/1.1 200 OK"}
            for client in clients:
                client.close()

    run(test)


def test_connection_between_the_last_accept_and_the_close_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            r.proxy.callers.apply_listener_state(not_accepting(r.proxy.callers.listener_state))
            client = connect(r)
            client.sendall(request())
            r.proxy.callers.close_listener()
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            client.close()

    run(test)


# ---- discovery -----------------------------------------------------------------------------------


def chunked(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


INDENTED = b"""{
  "seq": 42,
  "whole": false,
  "hosts": [
    {"host": "s-1", "dial": "%s", "site": "a {[",
     "health": "terminating"}
  ]
}
"""


@pytest.mark.parametrize("size", [1, 7, 4096])
def test_message_indented_over_several_lines_is_read(size: int) -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            watch = await r.discovery.watch()
            data = INDENTED % f"127.0.0.1:{r.backends[0].port}".encode()
            watch.send(b"\n")
            for start in range(0, len(data), size):
                watch.writer.write(chunked(data[start : start + size]))
                await watch.writer.drain()
            await until(lambda: r.proxy.discovery.seq == 42)
            assert not r.proxy.balancer.ready

    run(test)


def test_a_message_at_the_end_of_an_answer_needs_no_line_end() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            watch = await r.discovery.watch()
            data = INDENTED % f"127.0.0.1:{r.backends[0].port}".encode()
            watch.writer.write(chunked(data.rstrip()) + b"0\r\n\r\n")
            await until(lambda: r.proxy.discovery.seq == 42)

    run(test)


def test_truncated_message_is_requested_again() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            watch = await r.discovery.watch()
            watch.send(b'{"seq": 42, "hosts": [\n')
            watch.send(b"\n")
            again = await r.discovery.watch()
            assert again.request_line.endswith(b"from=41 HTTP/1.1")

    run(test)


def test_move_of_discovery_drops_messages_of_the_old_address() -> None:
    """Messages of the old watch are in the kernel when the address changes."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            reported: list[ListKind] = []
            members = r.proxy.balancer.members

            def note(now: float, list_kind: ListKind, rows: Any) -> Any:
                reported.append(list_kind)
                return members(now, list_kind, rows)

            r.proxy.balancer.members = note  # type: ignore[method-assign]
            watch = await r.discovery.watch()
            watch.send_list(42, r.backends[0].discovery_entry(health="terminated"))
            await watch.writer.drain()
            r.proxy.discovery.change_address(("127.0.0.1", 1))
            for _ in range(20):
                await asyncio.sleep(0)
            assert not reported and r.proxy.balancer.ready
            r.proxy.discovery.change_address(("127.0.0.1", r.discovery.port))
            assert (await r.discovery.watch()).request_line.endswith(b"from=0 HTTP/1.1")

    run(test)
