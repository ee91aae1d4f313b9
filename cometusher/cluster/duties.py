"""Duties that one member at a time has: grantors and askers of `weldroute.leases` on the links."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from cometusher.cluster.frames import Message
from weldroute import leases
from weldroute.leases import Ballot, Grantor, LeasePolicy, Proposer

log = logging.getLogger("cometusher.mesh.duties")  # the `subsystem` of its log records

TICK_INTERVAL = 0.05  # seconds between looks, while anything is wished for


class DutyManager:
    """One member's part: what it asks for, and, if its address is among the grantors', what it gives."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: LeasePolicy,
        name: str,
        address: str,
        grantors: Sequence[str],
        send: Callable[[str, Message], None],
        seed: int,
    ) -> None:
        """`name` is this process's alone: two of one name would be one to grantors."""
        self._loop = loop
        self._policy = policy
        self._name = name
        self._address = address
        self._grantors = tuple(grantors)
        self._send = send
        self._rng = Random(seed)
        self._grantor = Grantor(policy, loop.time()) if address in grantors else None
        self._proposers: dict[str, Proposer] = {}
        self._reported: dict[str, Ballot | None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def set_wanted(self, duty: str, wanted: bool) -> None:
        """Ask for a duty from here on, and keep it; or let it go at once."""
        asker = self._proposers.get(duty)
        if asker is None:
            if not wanted:
                return
            asker = self._proposers[duty] = Proposer(
                self._policy, duty, self._name, self._grantors, self._rng.random()
            )
        elif wanted is asker.wanted:
            return
        asker.wanted = wanted
        if not wanted:
            self._broadcast(asker.release(self._loop.time()))
            self._log_change(asker)
        if self._timer is None:
            self._tick()

    def current_epoch(self, duty: str) -> Ballot | None:
        """The epoch with which to act at this very moment; None: it must not."""
        asker = self._proposers.get(duty)
        return asker.current_epoch(self._loop.time()) if asker is not None else None

    def on_message(self, address: str, message: leases.Request | leases.Answer) -> None:
        """A message has come from an address, or from this member itself."""
        now = self._loop.time()
        if isinstance(message, leases.Prepare | leases.Propose | leases.Released):
            answer = self._grantor.on_request(now, message) if self._grantor is not None else None
            if answer is not None:
                self._send_to(address, answer)
            return
        asker = self._proposers.get(message.duty)
        if asker is not None:
            self._broadcast(asker.on_answer(now, address, message))
            self._log_change(asker)

    def close(self) -> None:
        """Let go of all."""
        for duty in list(self._proposers):
            self.set_wanted(duty, False)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def view(self) -> list[dict[str, Any]]:
        """What it wishes for or has, for operators; `until` in seconds of the machine's clock."""
        now = self._loop.time()
        rows = []
        for duty, asker in sorted(self._proposers.items()):
            epoch = asker.current_epoch(now)
            rows.append(
                {
                    "duty": duty,
                    "wishes": asker.wanted,
                    "holds": epoch is not None,
                    "epoch": epoch and epoch[0],
                    "for": round(asker.expires_at(now) - now, 2),
                    "until": asker.expires_at(now) if epoch is not None else None,
                }
            )
        return rows

    # ---- time and messages ---------------------------------------------------------------

    def _tick(self) -> None:
        now = self._loop.time()
        for asker in self._proposers.values():
            self._broadcast(asker.tick(now))
            self._log_change(asker)
        busy = any(asker.wanted for asker in self._proposers.values())
        self._timer = self._loop.call_later(TICK_INTERVAL, self._tick) if busy else None

    def _broadcast(self, requests: list[leases.Request]) -> None:
        for request in requests:
            for grantor in self._grantors:
                self._send_to(grantor, request)

    def _send_to(self, address: str, message: leases.Request | leases.Answer) -> None:
        if address == self._address:
            self._loop.call_soon(self.on_message, address, message)
        else:
            self._send(address, message)

    def _log_change(self, asker: Proposer) -> None:
        now = self._loop.time()
        epoch = asker.current_epoch(now)
        before = self._reported.get(asker.duty)
        self._reported[asker.duty] = epoch
        if epoch != before:
            text = f"has {asker.duty!r}, epoch {epoch[0]}" if epoch is not None else f"has {asker.duty!r} no more"
            log.info("%s", text, extra={"event": "lease", "duty": asker.duty})
