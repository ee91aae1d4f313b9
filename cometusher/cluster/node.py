"""One member on its links: time and messages into `weldroute.members`, what it says out over the wires."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cometusher.cluster.transport import ClusterTransport
from weldroute import members
from weldroute.members import Action, Membership, Send, StateChange

log = logging.getLogger("cometusher.mesh.node")  # the `subsystem` of its log records

MIN_TICK_INTERVAL = 0.005  # seconds between two looks
MAX_TICK_INTERVAL = 0.2  # ...and at most: a stop of the whole process shows as a look that came late


class MembershipRunner:
    """A member that runs."""

    def __init__(self, loop: asyncio.AbstractEventLoop, membership: Membership, transport: ClusterTransport) -> None:
        self.membership = membership
        self.transport = transport
        self.on_change: Callable[[StateChange], None] = lambda change: None
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Look from here on."""
        self._tick()

    def stop(self) -> None:
        """Leave in order."""
        if self._timer is not None:
            self._timer.cancel()
        self._execute(self.membership.leave(self._loop.time()))

    def on_message(self, address: str, message: members.Message) -> None:
        """A message of members has come."""
        self._execute(self.membership.on_message(self._loop.time(), address, message))

    def _tick(self) -> None:
        now = self._loop.time()
        self._execute(self.membership.tick(now))
        wait = min(MAX_TICK_INTERVAL, max(MIN_TICK_INTERVAL, self.membership.next_due() - now))
        self._timer = self._loop.call_later(wait, self._tick)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.transport.send(action.address, action.message)
                continue
            row = action.record
            text = f"{row.name} is {row.state.name.lower()}: {action.reason}"
            log.info("%s", text, extra={"event": "member", "member": row.name})
            self.on_change(action)
