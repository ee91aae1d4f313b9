"""Runs one proxy as a process: start-up, signal handling and shutdown."""

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
    """Records a SIGHUP that arrives before the event loop handles signals.

    By default SIGHUP would end the process. It must not be lost either: the configuration read before may be old.
    """

    def __init__(self) -> None:
        self.received = False
        signal.signal(signal.SIGHUP, self._on_signal)

    def _on_signal(self, number: int, frame: object) -> None:
        self.received = True


class Parent(Protocol):
    """Receives the lifecycle events of a proxy from the process that started it; a standalone proxy has none."""

    def on_started(self, proxy: Proxy, stop: asyncio.Event) -> None:
        """The proxy listens. Setting `stop` shuts it down gracefully."""

    def on_reloaded(self, error_text: str | None) -> None:
        """The configuration was reloaded: None if it is in use, else the reason why it was rejected."""

    def on_stopping(self) -> None:
        """The proxy has begun its shutdown."""


def reload_config(proxy: Proxy, parent: Parent | None = None) -> None:
    """Reload the configuration file; an invalid one changes nothing."""
    error_text: str | None = None
    try:
        new_config = config.load(os.environ, reload=True)
    except config.ConfigError as error:
        error_text = str(error)
        logging.error("the configuration stays unchanged: %s", error)
    else:
        proxy.reconfigure(new_config)
    if parent is not None:
        parent.on_reloaded(error_text)


async def serve(
    settings: config.Config,
    listener: socket.socket | None = None,
    parent: Parent | None = None,
    early_reload: EarlyReload | None = None,
) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the configuration.

    `listener` is a socket that already listens. Without one, the proxy opens the address of the settings, and raises
    OSError if it can't.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    proxy = Proxy(settings)
    loop.add_signal_handler(signal.SIGHUP, reload_config, proxy, parent)
    if early_reload is not None and early_reload.received:
        reload_config(proxy, parent)
    if listener is None:
        proxy.start()
    else:
        await proxy.start_on(listener, address_may_be_taken=parent is not None)
    # Objects that exist now live as long as the process, so full collections can skip them.
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
    """Run the proxy as the platform starts it; returns the exit code."""
    early_reload = EarlyReload()
    logs.log_to_stderr()
    try:
        settings = config.load(os.environ)
    except config.ConfigError as error:
        print(f"cometusher: {error}".replace("\n", " "), file=sys.stderr)
        return 2
    try:
        listener = None
        if settings.accept_fd is not None:
            listener = inherited_listener(settings.accept_fd, settings.listen)
        uvloop.run(serve(settings, listener, early_reload=early_reload))
    except OSError as error:
        print(f"cometusher: listen: {error}".replace("\n", " "), file=sys.stderr)
        return 1
    return 0
