"""Duties that one member at a time has: grantors and askers of `weldroute.leases` on the links."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from cometusher.cluster.frames import Message
from weldroute import leases
from weldroute.leases import Asker, Ballot, Grantor, LeasePolicy

log = logging.getLogger("cometusher.mesh.duties")  # the `subsystem` of its log records

TICK = 0.05  # seconds between looks, while anything is wished for


class Duties:
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
        self._askers: dict[str, Asker] = {}
        self._told: dict[str, Ballot | None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def wish(self, duty: str, wishes: bool) -> None:
        """Ask for a duty from here on, and keep it; or let it go at once."""
        asker = self._askers.get(duty)
        if asker is None:
            if not wishes:
                return
            asker = self._askers[duty] = Asker(self._policy, duty, self._name, self._grantors, self._rng.random())
        elif wishes is asker.wishes:
            return
        asker.wishes = wishes
        if not wishes:
            self._ask(asker.release(self._loop.time()))
            self._tell(asker)
        if self._timer is None:
            self._look()

    def may(self, duty: str) -> Ballot | None:
        """The epoch with which to act at this very moment; None: it must not."""
        asker = self._askers.get(duty)
        return asker.may(self._loop.time()) if asker is not None else None

    def hear(self, address: str, message: leases.Request | leases.Answer) -> None:
        """A message has come from an address, or from this member itself."""
        now = self._loop.time()
        if isinstance(message, leases.Prepare | leases.Propose | leases.Released):
            answer = self._grantor.hear(now, message) if self._grantor is not None else None
            if answer is not None:
                self._to(address, answer)
            return
        asker = self._askers.get(message.duty)
        if asker is not None:
            self._ask(asker.hear(now, address, message))
            self._tell(asker)

    def close(self) -> None:
        """Let go of all."""
        for duty in list(self._askers):
            self.wish(duty, False)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def view(self) -> list[dict[str, Any]]:
        """What it wishes for or has, for operators; `until` in seconds of the machine's clock."""
        now = self._loop.time()
        rows = []
        for duty, asker in sorted(self._askers.items()):
            epoch = asker.may(now)
            rows.append(
                {
                    "duty": duty,
                    "wishes": asker.wishes,
                    "holds": epoch is not None,
                    "epoch": epoch and epoch[0],
                    "for": round(asker.until(now) - now, 2),
                    "until": asker.until(now) if epoch is not None else None,
                }
            )
        return rows

    # ---- time and messages ---------------------------------------------------------------

    def _look(self) -> None:
        now = self._loop.time()
        for asker in self._askers.values():
            self._ask(asker.look(now))
            self._tell(asker)
        busy = any(asker.wishes for asker in self._askers.values())
        self._timer = self._loop.call_later(TICK, self._look) if busy else None

    def _ask(self, requests: list[leases.Request]) -> None:
        for request in requests:
            for grantor in self._grantors:
                self._to(grantor, request)

    def _to(self, address: str, message: leases.Request | leases.Answer) -> None:
        if address == self._address:
            self._loop.call_soon(self.hear, address, message)
        else:
            self._send(address, message)

    def _tell(self, asker: Asker) -> None:
        now = self._loop.time()
        epoch = asker.may(now)
        before = self._told.get(asker.duty)
        self._told[asker.duty] = epoch
        if epoch != before:
            text = f"has {asker.duty!r}, epoch {epoch[0]}" if epoch is not None else f"has {asker.duty!r} no more"
            log.info("%s", text, extra={"event": "lease", "duty": asker.duty})
