"""Runs a member: feeds time and messages into `weldroute.members` and sends what it returns."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from cometusher.cluster.transport import ClusterTransport
from weldroute import members
from weldroute.members import Action, Membership, Send, StateChange

log = logging.getLogger("cometusher.mesh.node")  # the `subsystem` of its log records

MIN_TICK_INTERVAL = 0.005  # seconds
MAX_TICK_INTERVAL = 0.2  # seconds; a pause of the whole process shows as a tick that came late


class MembershipRunner:
    """Drives a `Membership` on the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, membership: Membership, transport: ClusterTransport) -> None:
        self.membership = membership
        self.transport = transport
        self.on_change: Callable[[StateChange], None] = lambda change: None
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the periodic work."""
        self._tick()

    def stop(self) -> None:
        """Stop, and announce that this member leaves."""
        if self._timer is not None:
            self._timer.cancel()
        self._execute(self.membership.leave(self._loop.time()))

    def on_message(self, address: str, message: members.Message) -> None:
        """Handle a membership message from an address."""
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
            record = action.record
            text = f"{record.name} is {record.state.name.lower()}: {action.reason}"
            log.info("%s", text, extra={"event": "member", "member": record.name})
            self.on_change(action)
