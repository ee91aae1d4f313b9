"""What benchmarks do in processes of their own."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


def alone(work: Callable[..., Coroutine[Any, Any, T]], *arguments: Any) -> T:
    """Run a coroutine to its end; for pools of processes, which want a plain function."""
    return asyncio.run(work(*arguments))


def burn(seconds: float) -> None:
    """Use a core for so long."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sum(range(1000))
