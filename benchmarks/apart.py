"""Functions that benchmarks run in separate processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def run_coroutine(work: Callable[..., Coroutine[Any, Any, T]], *arguments: Any) -> T:
    """Run a coroutine to its end; process pools need a plain function."""
    return asyncio.run(work(*arguments))


def busy_loop(seconds: float) -> None:
    """Keep one core busy for this many seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sum(range(1000))
