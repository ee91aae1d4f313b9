"""Answers that come late on kept connections must not become the answers to later requests (report e7826f)."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from rig import PEER_TIMEOUT, Backend, Message, Script, Writer, reply, rig, serve_ok, until
from test_process import connect, proxy_process
from test_proxy import ONE_COPY, RESTED, run

from cometusher.backends import Attempt, Backends
from cometusher.discovery import parse_list
from standins.faulty_link import FaultyLink, LinkFault
from weldroute import ListKind, Outcome, Repeat
from weldroute.connection_reuse import MIN_REST


def test_log_names_request_and_connection_of_each_close_and_retry(caplog: pytest.LogCaptureFixture) -> None:
    """Without these lines a wrong answer can't be followed from a caller to a backend's connection."""

    async def fail_then_add_noise(backend: Backend, seen: Message, writer: Writer) -> None:
        if not any(other.requests for other in backends if other is not backend):
            writer.write(reply(500, b"no"))
            return
        writer.write(reply())
        await writer.drain()
        writer.write(b"HTTP/1.1 200 X\r\n")

    backends: list[Backend] = []

    async def test() -> None:
        async with rig(fail_then_add_noise, fail_then_add_noise, settings=ONE_COPY) as r:
            backends.extend(r.backends)
            status, _ = await r.call(request_id="id" + "\xff" * 100)
            assert status == 200
            await until(lambda: sum(r.proxy.backends.counts()) == 1)

    with caplog.at_level(logging.INFO):
        run(test)
    text = caplog.text
    assert r"request id\xc3\xbf" in text and ": attempt 2 goes to backend " in text and ": status 500 " in text
    assert " ms after the request on connection 1 to backend " in text
    assert "unsolicited bytes on connection 2" in text or "more than the answer on connection 2" in text
    assert "(1 requests, last id" in text
    assert "ended: unsolicited input" in text or "ended: more than the answer" in text
    assert "a caller's connection ended: " in text
    assert "\\xc3" * 20 not in text and "\xff" not in text


def is_second(seen: Message) -> bool:
    return seen.headers[b"x-call-id"] == b"second"


async def reject_second(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(503, b"", b"X-Rejected: 1") if is_second(seen) else reply())


def answer_with_id(repeated: dict[Writer, bytes], work: float) -> Script:
    """A backend that answers with the id; it rejects `full` ones, and repeats that answer during the next request."""

    async def script(backend: Backend, seen: Message, writer: Writer) -> None:
        call_id = seen.headers[b"x-call-id"]
        if call_id.startswith(b"full"):
            repeated[writer] = reply(503, b"", b"X-Rejected: 1")
            writer.write(repeated[writer])
            return
        writer.write(repeated.pop(writer, b""))
        await asyncio.sleep(work)
        writer.write(reply(body=call_id))

    return script


def test_late_second_rejection_does_not_repeat_an_unsafe_request(tmp_path: Path) -> None:
    """Guards against a second run of an unsafe request: the repeated rejection belongs to the request before."""

    async def test() -> None:
        repeated: dict[Writer, bytes] = {}
        backends = [Backend(number, answer_with_id(repeated, 0.05)) for number in (1, 2)]
        for backend in backends:
            await backend.start()
        async with proxy_process(tmp_path, [backend.discovery_entry() for backend in backends]) as (_, port):
            caller = await connect(port)
            assert (await caller.call(kind="once", request_id="full"))[0] == 503
            status, seen = await caller.call(kind="once", request_id="x")
            runs = [seen.headers[b"x-call-id"] for backend in backends for seen in backend.requests]
            assert runs.count(b"x") == 1
            assert (status, seen.body) == (200, b"x")
        for backend in backends:
            await backend.stop()

    run(test)


def test_late_second_answers_reach_no_other_request(tmp_path: Path) -> None:
    """Guards against answers that no backend made for the request: each is sent once more, some milliseconds late.

    A real process between links that repeat every answer on the same connection, 1 to 40 ms after it.
    """

    async def test() -> None:
        backends = [Backend(number, answer_with_id({}, 0.02)) for number in (1, 2, 3)]
        links = []
        entries = []
        for backend in backends:
            await backend.start()
            link = FaultyLink(("127.0.0.1", backend.port), seed=backend.number)
            await link.start()
            await link.set_fault(LinkFault("repeat", median_delay=0.006, spread=0.6))
            links.append(link)
            entries.append(backend.discovery_entry(dial=f"127.0.0.1:{link.port}"))
        wrong: list[tuple[str, int, bytes]] = []

        async def calls(port: int, number: int) -> None:
            caller = await connect(port)
            for i in range(60):
                kind = ("view", "submit", "once")[(number + i) % 3]
                call_id = f"{'full' if i % 7 == 0 else kind}-{number}-{i}"
                status, seen = await caller.call(kind=kind, request_id=call_id)
                if status == 200 and seen.body != call_id.encode():
                    wrong.append((call_id, status, seen.body))

        async with proxy_process(tmp_path, entries) as (_, port):
            await asyncio.gather(*(calls(port, number) for number in range(6)))
        for link in links:
            await link.stop()
        for backend in backends:
            await backend.stop()
        sent = Counter(seen.headers[b"x-call-id"] for backend in backends for seen in backend.requests)
        assert not wrong
        assert not [call_id for call_id, count in sent.items() if call_id.startswith(b"once") and count > 1]

    run(test)


def test_connection_that_speaks_before_its_first_request_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an answer that was there before the request, on a new connection; nothing was sent on it."""

    async def test() -> None:
        async with rig(serve_ok, settings=ONE_COPY) as r:
            accepted: list[socket.socket] = []
            speaker = socket.create_server(("127.0.0.1", 0))
            loop: Any = r.proxy.backends.loop

            class Loop:
                """Writes an answer to each new connection before the proxy writes its request."""

                def __getattr__(self, name: str) -> Any:
                    return getattr(loop, name)

                async def create_connection(self, factory: Any, *address: Any) -> Any:
                    made = await loop.create_connection(factory, *speaker.getsockname())
                    accepted.append(speaker.accept()[0])
                    accepted[-1].sendall(reply(body=b"of nobody"))
                    return made

            monkeypatch.setattr(r.proxy.backends, "loop", Loop())
            status, seen = await r.call(kind="once")
            assert (status, seen.body) == (503, b"refused\n")
            for connection in accepted:
                connection.settimeout(PEER_TIMEOUT)
                with contextlib.suppress(ConnectionResetError):
                    assert connection.recv(1000) == b""
                connection.close()
            speaker.close()

    run(test)


def test_requests_that_need_new_connections_leave_few_behind() -> None:
    """A backend holds only so many connections: an unsafe class must not leave one idle for each request."""

    async def test() -> None:
        async with rig(serve_ok, settings=ONE_COPY) as r:
            for i in range(20):
                assert (await r.call(kind="once", request_id=str(i)))[0] == 200
            assert r.backends[0].connections == 20
            await until(lambda: r.proxy.backends.counts() == (0, 1))

    run(test)


def test_keyed_request_stays_in_its_group_after_a_doubtful_rejection() -> None:
    """Guards against an effect in two groups: a rejection comes on a kept connection while late input is seen."""

    async def test() -> None:
        async with rig(reject_second, reject_second, settings=ONE_COPY) as r:
            for backend, zone in zip(r.backends, ("a", "b"), strict=True):
                entry = backend.discovery_entry(site=zone)
                r.proxy.on_list(ListKind.PATCH, parse_list({"hosts": [entry]}, r.proxy.config.zones).entries)
            for i in range(10):
                assert (await r.call(request_id=f"first-{i}"))[0] == 200
            await asyncio.sleep(RESTED)
            r.proxy.backends.reuse.on_late_input(r.proxy.loop.time(), 2.0 * MIN_REST)
            await asyncio.sleep(5.0 * MIN_REST)
            for listed in r.proxy.backends._backends.values():
                listed.last_input_at = r.proxy.loop.time()  # its link delivers, so kept connections may be used
            assert (await r.call(kind="submit", request_id="second"))[0] == 502
            reached = [backend for backend in r.backends if any(is_second(seen) for seen in backend.requests)]
            assert len(reached) == 1

    run(test)


def test_rejection_on_a_connection_of_another_process_proves_nothing_while_late_input_is_seen() -> None:
    """Guards against a late rejection on a connection that had carried requests before it was taken over."""

    class Sink:
        """Notes the outcomes of attempts."""

        def __init__(self) -> None:
            self.outcomes: list[Outcome] = []

        def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, *rest: Any) -> None:
            self.outcomes.append(outcome)

        def on_backend_connection_closed(self, reason: Any) -> None:
            pass

    async def test() -> None:
        async with rig(serve_ok) as r:
            sink: Any = Sink()
            pool = Backends(r.proxy.loop, r.proxy.network, sink, r.proxy.descriptors, 1.0, 5.0, r.proxy.memory)
            pool.reuse.on_late_input(r.proxy.loop.time(), 2.0 * MIN_REST)
            with socket.create_server(("127.0.0.1", 0)) as listener:
                own = socket.create_connection(listener.getsockname())
                peer, _ = listener.accept()
            own.setblocking(False)
            r.proxy.descriptors.adopt(caller=False)
            pool.take_over(Attempt(None, 0, 1, 0.0, Repeat.KEYED), own, 100, 0)
            peer.sendall(reply(503, b"", b"X-Rejected: 1"))
            await until(lambda: bool(sink.outcomes))
            assert sink.outcomes == [Outcome.ERROR]
            peer.close()

    run(test)


def test_resting_connections_leave_descriptors_for_callers() -> None:
    """Guards against a proxy whose descriptors are all held by connections that rest, at a high rate of requests."""

    async def test() -> None:
        async with rig(serve_ok, settings=ONE_COPY, sockets=60) as r:
            limit = r.proxy.descriptors.limit
            caller = await r.caller()
            for i in range(3 * limit):
                assert (await caller.call(request_id=str(i)))[0] == 200
                assert not r.proxy.callers.out_of_descriptors
            assert r.proxy.descriptors.peak < limit

    run(test)


def test_second_answer_that_the_network_held_back_reaches_no_other_request() -> None:
    """Guards against a copy that a cut held back past any rest, and that meets the next request (review/3)."""
    held_back: dict[Writer, bytes] = {}

    async def answer_and_hold_a_copy_back(backend: Backend, seen: Message, writer: Writer) -> None:
        answer = reply(body=seen.headers[b"x-call-id"])
        writer.write(held_back.pop(writer, b"") + answer)
        if seen.headers[b"x-call-id"] == b"doubled":
            await asyncio.sleep(0.02)
            writer.write(answer)
        else:
            held_back[writer] = answer

    async def test() -> None:
        async with rig(answer_and_hold_a_copy_back, settings=ONE_COPY) as r:
            assert (await r.call(request_id="doubled"))[1].body == b"doubled"
            await until(lambda: sum(r.proxy.backends.counts()) == 0)
            for call_id in ("first", "second"):
                await asyncio.sleep(RESTED)
                assert (await r.call(request_id=call_id))[1].body == call_id.encode()
            assert r.backends[0].connections == 3
            held_back.clear()
            await asyncio.sleep(RESTED)
            assert (await r.call(request_id="third"))[1].body == b"third"
            assert r.backends[0].connections == 3  # input of the second request has shown that the link delivers

    run(test)
