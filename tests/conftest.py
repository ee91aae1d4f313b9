"""Fixtures for the tests over loopback sockets."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path

import pytest
from fleetrig import FleetRig, fleet_rig

from cometusher import backends, callers
from weldroute import operations

pytest_plugins = ["known_red"]


def _uses_real_limits(request: pytest.FixtureRequest) -> bool:
    """Whether a test uses virtual time or none, so that the production limits apply."""
    return request.path.parent.name in ("virtual", "unit")


@pytest.fixture(autouse=True)
def _no_drain_wait(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """The proxy of a test drains at once; the waits of a real drain are tested on a process."""
    if _uses_real_limits(request):
        return
    monkeypatch.setattr(operations, "STOP_ACCEPT_PERIOD", 0.0)


@pytest.fixture(autouse=True)
def _generous_timeouts(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Raises timeouts that a slow machine could exceed by chance; tests of a timeout set their own."""
    if _uses_real_limits(request):
        return
    monkeypatch.setattr(callers, "REQUEST_HEAD_TIMEOUT", 60.0)
    monkeypatch.setattr(callers, "CROWDED_IDLE_TIMEOUT", 60.0)
    monkeypatch.setattr(backends, "ANSWER_READ_TIMEOUT", 60.0)


@pytest.fixture
def fleet() -> Iterator[FleetRig]:
    """A fleet in its own directory, with a short path, because it holds a Unix socket."""
    with tempfile.TemporaryDirectory(prefix="fleet-") as folder, fleet_rig(Path(folder)) as rig:
        yield rig
