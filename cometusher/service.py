"""One proxy as a process: its start, its signals, its end."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import socket
import sys
from typing import Protocol

import uvloop

from cometusher import config, logs
from cometusher.proxy import Proxy
from cometusher.runtime import inherited_listener


class EarlyReload:
    """Notes a SIGHUP that comes before the event loop listens for it.

    Guards against ending on it, and against missing it: the configuration that was read before may be the old one.
    """

    def __init__(self) -> None:
        self.seen = False
        signal.signal(signal.SIGHUP, self._note)

    def _note(self, number: int, frame: object) -> None:
        self.seen = True


class Parent(Protocol):
    """Who started this proxy and wants to hear of it; a proxy on its own has none."""

    def on_started(self, proxy: Proxy, stop: asyncio.Event) -> None:
        """It listens. Setting `stop` ends it in order."""

    def on_reloaded(self, why: str | None) -> None:
        """The configuration was read again: used (None), or refused and why."""

    def on_stopping(self) -> None:
        """It takes nothing new from here on."""


def reload_config(proxy: Proxy, parent: Parent | None = None) -> None:
    """Follow the file of the configuration; one that can't be used changes nothing."""
    why: str | None = None
    try:
        fresh = config.load(os.environ, reload=True)
    except config.ConfigError as fault:
        why = str(fault)
        logging.error("the configuration stays as it was: %s", fault)
    else:
        proxy.reconfigure(fresh)
    if parent is not None:
        parent.on_reloaded(why)


async def serve(
    settings: config.Config,
    listener: socket.socket | None = None,
    parent: Parent | None = None,
    early: EarlyReload | None = None,
) -> None:
    """Run until SIGTERM or SIGINT, then end in order; SIGHUP rereads the configuration.

    `listener` is a socket that listens already; without one, the address of the settings is listened on, and
    OSError is raised where that can't be had.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    proxy = Proxy(settings)
    loop.add_signal_handler(signal.SIGHUP, reload_config, proxy, parent)
    if early is not None and early.seen:
        reload_config(proxy, parent)
    if listener is None:
        proxy.start()
    else:
        await proxy.start_on(listener, address_may_be_taken=parent is not None)
    # What is alive now lives on: full collections need not walk it.
    gc.collect()
    gc.freeze()
    logging.info("%s listens on %s:%d", settings.name, settings.listen[0], proxy.callers.port)
    if parent is not None:
        parent.on_started(proxy, stop)
    await stop.wait()
    logging.info("stopping")
    if parent is not None:
        parent.on_stopping()
    await proxy.drain()
    logging.info("stopped")


def main() -> int:
    """The platform's proxy; returns the exit code."""
    early = EarlyReload()
    logs.log_to_stderr()
    try:
        settings = config.load(os.environ)
    except config.ConfigError as fault:
        print(f"cometusher: {fault}".replace("\n", " "), file=sys.stderr)
        return 2
    try:
        listener = None
        if settings.accept_fd is not None:
            listener = inherited_listener(settings.accept_fd, settings.listen)
        uvloop.run(serve(settings, listener, early=early))
    except OSError as fault:
        print(f"cometusher: listen: {fault}".replace("\n", " "), file=sys.stderr)
        return 1
    return 0
