"""A backend's address that another process has by now."""

from __future__ import annotations

from typing import Any

import pytest
from rig import rig, serve_ok
from test_proxy import run

from cometusher.backends import BackendConnection
from cometusher.discovery import parse_list
from weldroute import ListKind


@pytest.mark.parametrize("change", ["moved", "restarted"])
def test_request_is_not_sent_to_the_process_that_has_its_backends_old_address(
    change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against work for one backend at another: discovery reports the change while the connection is made."""
    connection_made = BackendConnection.connection_made

    async def test() -> None:
        async with rig(serve_ok, serve_ok) as r:
            first, second = r.backends
            entry = first.discovery_entry()
            new = entry | ({"dial": f"127.0.0.1:{second.port}"} if change == "moved" else {"born_ms": 5000})
            listed = r.proxy.on_list
            listed(ListKind.WHOLE, parse_list({"hosts": [entry]}, r.proxy.config.zones).entries)

            changed: list[BackendConnection] = []

            def change_list(connection: BackendConnection, transport: Any) -> None:
                connection_made(connection, transport)
                if connection.number == 1:
                    changed.append(connection)
                    listed(ListKind.PATCH, parse_list({"hosts": [new]}, r.proxy.config.zones).entries)

            monkeypatch.setattr(BackendConnection, "connection_made", change_list)
            status, _ = await r.call(kind="once")
            assert status in (200, 503)
            assert len(r.seen) == (status == 200)
            assert change == "restarted" or not first.requests
            assert changed[0].use_count == 0

    run(test)
