"""One member on its links: time and messages into `weldroute.members`, what it says out over the wires."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cometusher.cluster.transport import Wires
from weldroute import members
from weldroute.members import Action, Changed, Members, Send

log = logging.getLogger("cometusher.mesh.node")  # the `subsystem` of its log records

LEAST = 0.005  # seconds between two looks
MOST = 0.2  # ...and at most: a stop of the whole process shows as a look that came late


class Node:
    """A member that runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop, view: Members, wires: Wires) -> None:
        self.view = view
        self.wires = wires
        self.changed: Callable[[Changed], None] = lambda change: None
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Look from here on."""
        self._look()

    def stop(self) -> None:
        """Leave in order."""
        if self._timer is not None:
            self._timer.cancel()
        self._do(self.view.leave(self._loop.time()))

    def hear(self, address: str, message: members.Message) -> None:
        """A message of members has come."""
        self._do(self.view.hear(self._loop.time(), address, message))

    def _look(self) -> None:
        now = self._loop.time()
        self._do(self.view.look(now))
        wait = min(MOST, max(LEAST, self.view.due() - now))
        self._timer = self._loop.call_later(wait, self._look)

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.wires.send(action.address, action.message)
                continue
            row = action.row
            text = f"{row.name} is {row.state.name.lower()}: {action.why}"
            log.info("%s", text, extra={"event": "member", "member": row.name})
            self.changed(action)
