"""A request that comes again under its id."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from rig import Backend, Message, Rig, Writer, reply, rig, serve_ok, until
from test_proxy import run

from cometusher import proxy as proxy_module
from weldroute.handover import OpenRequestIds
from weldroute.recent_ids import MAX_IDS, RETENTION, RecentIds


async def hold(backend: Backend, seen: Message, writer: Writer) -> None:
    await asyncio.sleep(10.0)


async def fail(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(500))


async def send_and_leave(r: Rig, **options: Any) -> None:
    """Sends a request to a backend that holds it, and leaves once it is there."""
    caller = await r.caller()
    call = asyncio.ensure_future(caller.call(**options))
    await until(lambda: len(r.seen) == 1)
    call.cancel()
    caller.abort()
    await until(lambda: r.proxy.open_requests == 0)


@pytest.mark.parametrize("kind", ["once", "submit"])
@pytest.mark.parametrize("script", [hold, fail, serve_ok], ids=["its-caller-left", "failed", "served"])
def test_request_that_may_have_run_does_not_run_again_under_its_id(kind: str, script: Any) -> None:
    """Guards against a second run of a request that a client sends again with its old id."""

    async def test() -> None:
        async with rig(script, settings={"Bounds": {"MaxAttempts": 1, "SecondCopies": False}}) as r:
            if script is hold:
                await send_and_leave(r, kind=kind)
            else:
                await r.call(kind=kind)
            r.backends[0].script = serve_ok
            status, seen = await r.call(kind=kind)
            assert (status, seen.body) == (409, b"X-Call-Id of an earlier request\n")
            assert len(r.seen) == 1 and r.proxy.open_requests == 0
            assert (await r.call(kind=kind, request_id="2"))[0] == 200

    run(test)


def test_request_that_never_ran_or_is_safe_may_come_again() -> None:
    async def reject(backend: Backend, seen: Message, writer: Writer) -> None:
        writer.write(reply(503, b"", b"X-Rejected: 1"))

    async def test() -> None:
        async with rig(reject, settings={"Bounds": {"MaxAttempts": 1, "SecondCopies": False}}) as r:
            assert (await r.call(kind="once"))[0] == 503
            r.backends[0].script = serve_ok
            assert (await r.call(kind="once"))[0] == 200
            assert [(await r.call(request_id="safe"))[0] for _ in range(2)] == [200, 200]

    run(test)


def test_other_process_of_an_upgrade_sees_the_id_of_a_caller_that_left(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the same at the process that serves beside the one that the caller has left."""
    monkeypatch.setattr(proxy_module, "SHARED_ID_RETENTION", 0.5)
    table = [0] * (2 * OpenRequestIds.ROW_WIDTH)
    here, there = (OpenRequestIds(table, row, lambda row: True) for row in (0, 1))

    async def test() -> None:
        async with rig(hold) as r:
            r.proxy._hot_restart = SimpleNamespace(  # type: ignore[assignment]
                open_ids=here, apply_new_orders=lambda: None, tick=lambda: None, on_stopping=lambda: None
            )
            await send_and_leave(r, kind="once")
            assert there.is_open_elsewhere(b"1")
            await until(lambda: not there.is_open_elsewhere(b"1"))

    run(test)


def test_ids_are_kept_for_a_bounded_time_and_number() -> None:
    recent = RecentIds()
    for number in range(MAX_IDS + 1):
        recent.add(10.0, b"%d" % number)
    assert not recent.contains(10.0, b"0") and recent.contains(10.0, b"1")
    assert recent.contains(10.0 + RETENTION - 0.1, b"1") and not recent.contains(10.0 + RETENTION, b"1")
