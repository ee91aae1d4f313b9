"""Start, signals and exit of the proxy."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time

import uvloop

from cometusher import config
from cometusher.proxy import Proxy


class RateLimit(logging.Filter):
    """At most so many lines a second of each kind.

    Guards against a log that grows with the load, and against stopping on a log that nobody reads.
    """

    def __init__(self, per_second: float = 2.0, burst: float = 10.0) -> None:
        super().__init__()
        self._per_second = per_second
        self._burst = burst
        self._kinds: dict[str, tuple[float, float, int]] = {}  # left, at, held back; keyed by source line

    def filter(self, record: logging.LogRecord) -> bool:
        kind = f"{record.pathname}:{record.lineno}"
        now = time.monotonic()
        left, at, held = self._kinds.get(kind, (self._burst, now, 0))
        left = min(self._burst, left + (now - at) * self._per_second)
        if left < 1.0:
            self._kinds[kind] = (left, now, held + 1)
            return False
        self._kinds[kind] = (left - 1.0, now, 0)
        if held:
            record.msg = f"{record.msg} [{held} more like it were left out]"
        return True


def read_again(proxy: Proxy) -> None:
    """Follow the file of the configuration; one that can't be used changes nothing."""
    try:
        fresh = config.load(os.environ, again=True)
    except config.ConfigError as fault:
        logging.error("the configuration stays as it was: %s", fault)
    else:
        proxy.reconfigure(fresh)


async def serve(settings: config.Config) -> None:
    """Run until SIGTERM or SIGINT, then end in order; SIGHUP rereads the configuration."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    proxy = Proxy(settings)
    loop.add_signal_handler(signal.SIGHUP, read_again, proxy)
    proxy.start()
    # What is alive now lives on: full collections need not walk it.
    gc.collect()
    gc.freeze()
    logging.info("%s listens on %s:%d", settings.name, settings.listen[0], proxy.callers.port)
    await stop.wait()
    logging.info("stopping")
    await proxy.drain()
    logging.info("stopped")


def main() -> int:
    """Returns the exit code."""
    # Guards against ending on a reload that comes before there is anything to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s"))
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])
    try:
        settings = config.load(os.environ)
    except config.ConfigError as fault:
        print(f"cometusher: {fault}".replace("\n", " "), file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(settings))
    except OSError as fault:
        print(f"cometusher: listen: {fault}".replace("\n", " "), file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
