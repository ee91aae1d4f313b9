"""Fixtures for the tests over loopback sockets."""

from __future__ import annotations

import pytest

from cometusher import callers


@pytest.fixture(autouse=True)
def _quick_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    """The proxy of a test ends at once; the waits of a real one are tested on a process."""
    monkeypatch.setattr(callers, "DRAIN_ACCEPT", 0.0)
