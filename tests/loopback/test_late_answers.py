"""Answers that come late on kept connections must not become the answers to later requests (report e7826f)."""

from __future__ import annotations

import logging

import pytest
from rig import Backend, Message, Writer, reply, rig, until
from test_proxy import ONE_COPY, run


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
