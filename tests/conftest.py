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


def _virtual(request: pytest.FixtureRequest) -> bool:
    """Where time is virtual, or there is none, every limit is the real one."""
    return request.path.parent.name in ("virtual", "unit")


@pytest.fixture(autouse=True)
def _quick_drain(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """The proxy of a test ends at once; the waits of a real one are tested on a process."""
    if _virtual(request):
        return
    monkeypatch.setattr(operations, "STOP_ACCEPT_PERIOD", 0.0)


@pytest.fixture(autouse=True)
def _patience(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Time limits that a slow machine could meet by chance; a test of one sets it."""
    if _virtual(request):
        return
    monkeypatch.setattr(callers, "REQUEST_HEAD_TIMEOUT", 60.0)
    monkeypatch.setattr(callers, "CROWDED_IDLE_TIMEOUT", 60.0)
    monkeypatch.setattr(backends, "ANSWER_READ_TIMEOUT", 60.0)


@pytest.fixture
def fleet() -> Iterator[FleetRig]:
    """A fleet in a folder of its own; its paths are short, for a socket lies there."""
    with tempfile.TemporaryDirectory(prefix="fleet-") as folder, fleet_rig(Path(folder)) as rig:
        yield rig
