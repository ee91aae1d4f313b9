"""Events that cross: each test forces one to fall between two steps of the proxy, by a hook or within one step.

The proxy runs on the test's own event loop. What a test does without awaiting happens while the proxy is busy: its
peers' bytes and ends are in the kernel, and the loop has not told of them.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from rig import Backend, Rig, Seen, Writer, reply, request, rig, serve_ok, until
from test_proxy import end, reset, run

from cometusher import backends as backends_module
from cometusher.callers import MAX_ACCEPTS_PER_WAKEUP, CallerConnection
from standins.messages import take_message
from weldroute import ListKind
from weldroute.operations import ListenerState

NO_CANCEL = {"Bounds": {"Cancel": False}}
SLOW_DIAL = {"Bounds": {"DialTimeout": 8.0}}


class HeldDials:
    """The loop of a pool of backends, whose connections come up when the test says so."""

    def __init__(self, r: Rig) -> None:
        self._loop: Any = r.proxy.backends.loop
        self.waiting: list[asyncio.Event] = []
        self.holds = True
        self.on_up: Callable[[], None] = lambda: None  # called in the step in which a connection has come up
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
        self.on_up()
        return made

    async def dialled(self, count: int = 1) -> None:
        await until(lambda: len(self.waiting) >= count)

    def let_up(self, holds: bool = True) -> None:
        """Let those come up that wait; whether later ones are held."""
        self.holds = holds
        waiting, self.waiting = self.waiting, []
        for up in waiting:
            up.set()


def pass_time(r: Rig, seconds: float) -> None:
    """So much time passes between two steps, by the clock of all decisions."""
    r.proxy.clock._offset += seconds


def connect(r: Rig) -> socket.socket:
    """A client whose every step is done when the call returns."""
    client = socket.create_connection(("127.0.0.1", r.proxy.callers.port))
    client.settimeout(10.0)
    return client


async def read_all(client: socket.socket) -> bytes:
    """All that comes until the end; raises ConnectionResetError where that is a reset."""

    def read() -> bytes:
        data = b""
        while piece := client.recv(65536):
            data += piece
        return data

    return await asyncio.to_thread(read)


async def read_answer(client: socket.socket) -> bytes:
    """The first line of an answer that comes whole."""

    def read() -> bytes:
        data = bytearray()
        while (message := take_message(data)) is None:
            piece = client.recv(65536)
            assert piece, f"ended after {bytes(data)!r}"
            data += piece
        return message.line

    return await asyncio.to_thread(read)


# ---- while a connection to a backend comes up ----------------------------------------------


def test_the_time_told_is_what_is_left_when_the_request_is_written() -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=SLOW_DIAL) as r:
            dials = HeldDials(r)
            call = asyncio.ensure_future(r.call(budget="5000m"))
            await dials.dialled()
            pass_time(r, 1.5)
            dials.let_up()
            assert (await call)[0] == 200
            told = r.seen[0].headers[b"x-budget"]
            assert told.endswith(b"u") and int(told[:-1]) <= 3_500_000

    run(test)


@pytest.mark.parametrize("health", ["terminating", "terminated"])
def test_a_server_that_drains_while_its_connection_comes_up_gets_no_request(health: str) -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=SLOW_DIAL) as r:
            dials = HeldDials(r)
            watch = await r.discovery.watch()
            call = asyncio.ensure_future(r.call())
            await dials.dialled()
            watch.tell(42, r.backends[0].entry(health=health))
            await until(lambda: r.proxy.discovery.seq == 42)
            dials.let_up()
            assert (await call)[0] == 503  # a refusal: nothing ran
            assert not r.seen

    run(test)


def test_a_whole_list_that_leaves_a_server_out_ends_what_still_connects_to_it() -> None:
    async def test() -> None:
        async with rig(serve_ok, serve_ok, settings=SLOW_DIAL) as r:
            dials = HeldDials(r)
            watch = await r.discovery.watch()
            calls = [asyncio.ensure_future(r.call(rid=f"r{i}")) for i in range(8)]
            await dials.dialled(8)
            watch.tell(42, r.backends[1].entry(), whole=True)
            await until(lambda: r.proxy.discovery.seq == 42)

            dials.let_up(holds=False)
            assert {(await call)[0] for call in calls} == {200}
            assert not r.backends[0].seen

    run(test)


async def repeat_that_connects_for(r: Rig, seconds: float) -> int:
    """The status of a keyed request whose first attempt may have run, and whose repeat's connection takes so long."""
    dials = HeldDials(r)
    call = asyncio.ensure_future(r.call(kind="submit", budget="8000m"))
    await dials.dialled()
    dials.let_up()
    await until(lambda: len(r.seen) == 1)
    await dials.dialled()  # the repeat's
    pass_time(r, seconds)
    dials.let_up(holds=False)
    return (await call)[0]


def test_a_repeat_whose_connection_outlasts_the_window_is_not_sent() -> None:
    """The first may have run; by the time the second could be written nobody would know it for the same."""

    async def test() -> None:
        async with rig(end, end, settings=SLOW_DIAL) as r:
            assert await repeat_that_connects_for(r, 4.0) == 502
            assert len(r.seen) == 1

    run(test)


def test_a_repeat_within_the_window_is_sent() -> None:
    async def test() -> None:
        async with rig(end, end, settings=SLOW_DIAL) as r:
            assert await repeat_that_connects_for(r, 3.0) == 502
            assert len(r.seen) > 1

    run(test)


# ---- a caller that leaves ------------------------------------------------------------------


@pytest.mark.parametrize("settings", [SLOW_DIAL, SLOW_DIAL | {"Bounds": {"DialTimeout": 8.0, "Cancel": False}}])
def test_a_caller_that_leaves_as_the_connection_comes_up_has_nothing_sent(settings: dict[str, Any]) -> None:
    async def test() -> None:
        async with rig(serve_ok, settings=settings) as r:
            dials = HeldDials(r)
            client = connect(r)
            client.sendall(request(rid="gone"))
            await dials.dialled()
            dials.on_up = client.close  # before the loop can tell of it
            dials.let_up(holds=False)
            await until(lambda: r.proxy.open_requests == 0)
            assert (await r.call(rid="after"))[0] == 200
            assert [seen.headers[b"x-call-id"] for seen in r.seen] == [b"after"]

    run(test)


@pytest.mark.parametrize("settings", [{}, NO_CANCEL])
def test_requests_that_are_read_after_their_callers_have_left_are_not_sent(settings: dict[str, Any]) -> None:
    """A hundred leave while the loop is busy: each request and its end are read together.

    There is an idle connection to the backend, so that nothing else keeps a request back.
    """

    async def test() -> None:
        async with rig(serve_ok, settings=settings) as r:
            assert (await r.call(rid="before"))[0] == 200
            for i in range(100):
                client = connect(r)
                client.sendall(request(rid=f"gone-{i}"))
                client.close()
            assert (await r.call(rid="stays"))[0] == 200
            await until(lambda: r.proxy.callers.count() == 2 and r.proxy.open_requests == 0)
            assert [seen.headers[b"x-call-id"] for seen in r.seen] == [b"before", b"stays"]
            assert r.proxy.counters.get("left", 0) == 100

    run(test)


def test_a_further_attempt_is_not_begun_for_a_caller_that_has_left() -> None:
    """The first fails in the same step in which its caller's end arrives."""
    leaves: list[socket.socket] = []

    async def fails_as_the_caller_leaves(backend: Backend, seen: Seen, writer: Writer) -> None:
        writer.write(reply(500, b"broken"))

    async def test() -> None:
        async with rig(fails_as_the_caller_leaves, fails_as_the_caller_leaves) as r:
            for i in range(4):
                assert (await r.call(rid=f"before-{i}"))[0] == 503
            assert set(r.proxy.backends.idle_servers()) == {1, 2}  # nothing else keeps an attempt back
            before = len(r.seen)
            client = connect(r)
            leaves.append(client)
            told = r.proxy.balancer.outcome

            def leave_first(*args: Any, **options: Any) -> Any:
                if leaves:
                    leaves.pop().close()
                return told(*args, **options)

            r.proxy.balancer.outcome = leave_first  # type: ignore[method-assign]
            client.sendall(request(rid="gone"))
            await until(lambda: r.proxy.counters.get("left", 0) == 1 and r.proxy.open_requests == 0)
            assert len(r.seen) == before + 1

    run(test)


# ---- closes ----------------------------------------------------------------------------------


def test_a_request_that_arrives_as_idle_connections_are_closed_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            client = connect(r)
            client.sendall(request(rid="1"))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            before = r.proxy.callers.listener_state
            client.sendall(request(rid="2"))
            r.proxy.callers.apply_listener_state(replace(before, keeps_idle=False))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            client.close()

    run(test)


def test_a_request_that_arrives_as_its_connection_has_been_idle_for_long_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            client = connect(r)
            client.sendall(request(rid="1"))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            (connection,) = r.proxy.callers._connections
            connection.state_since -= 60.0
            client.sendall(request(rid="2"))
            r.proxy.callers.sweep()
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            client.close()

    run(test)


def test_a_request_that_arrives_as_its_connection_is_evicted_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            client = connect(r)
            client.sendall(request(rid="1"))
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            client.sendall(request(rid="2"))
            assert not r.proxy.descriptors.evict_caller()
            assert await read_answer(client) == b"HTTP/1.1 200 OK"
            assert r.proxy.descriptors.evict_caller()
            assert await read_all(client) == b""

    run(test)


def test_what_arrives_as_the_last_answer_is_written_does_not_destroy_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """Closing over it would reset the connection."""
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


def test_a_cut_answer_of_unknown_length_is_no_end_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """An old client has nothing else to tell a part from the whole."""
    monkeypatch.setattr(backends_module, "STREAM_DELAY_UNKNOWN_LENGTH", 0.0)

    async def part_and_reset(backend: Backend, seen: Seen, writer: Writer) -> None:
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


# ---- the end of the listener ---------------------------------------------------------------------


def deaf(posture: ListenerState) -> ListenerState:
    return replace(posture, up=False, listens=False)


def test_all_that_wait_to_be_accepted_when_the_listener_closes_are_served() -> None:
    """More than one wake-up accepts."""

    async def test() -> None:
        async with rig(serve_ok, sockets=1024) as r:
            clients = [connect(r) for _ in range(MAX_ACCEPTS_PER_WAKEUP + 20)]
            for i, client in enumerate(clients):
                client.sendall(request(rid=f"r{i}"))
            r.proxy.callers.apply_listener_state(deaf(r.proxy.callers.listener_state))
            r.proxy.callers.close_listener()
            assert {await read_answer(client) for client in clients} == {b"HTTP/1.1 200 OK"}
            for client in clients:
                client.close()

    run(test)


def test_one_that_connects_between_the_last_accept_and_the_listeners_end_is_served() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            r.proxy.callers.apply_listener_state(deaf(r.proxy.callers.listener_state))
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
def test_a_message_that_is_indented_over_several_lines_is_read(size: int) -> None:
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


def test_a_message_that_is_cut_off_is_asked_for_again() -> None:
    async def test() -> None:
        async with rig(serve_ok) as r:
            watch = await r.discovery.watch()
            watch.send(b'{"seq": 42, "hosts": [\n')
            watch.send(b"\n")
            again = await r.discovery.watch()
            assert again.line.endswith(b"from=41 HTTP/1.1")

    run(test)


def test_a_move_of_discovery_leaves_no_word_of_the_old_one() -> None:
    """The old watch's words are in the kernel when the new address is told."""

    async def test() -> None:
        async with rig(serve_ok) as r:
            kinds: list[ListKind] = []
            members = r.proxy.balancer.members

            def note(now: float, list_kind: ListKind, rows: Any) -> Any:
                kinds.append(list_kind)
                return members(now, list_kind, rows)

            r.proxy.balancer.members = note  # type: ignore[method-assign]
            watch = await r.discovery.watch()
            watch.tell(42, r.backends[0].entry(health="terminated"))
            await watch.writer.drain()
            r.proxy.discovery.move(("127.0.0.1", 1))
            for _ in range(20):
                await asyncio.sleep(0)
            assert not kinds and r.proxy.balancer.ready
            r.proxy.discovery.move(("127.0.0.1", r.discovery.port))
            assert (await r.discovery.watch()).line.endswith(b"from=0 HTTP/1.1")

    run(test)
