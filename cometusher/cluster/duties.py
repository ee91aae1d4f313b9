"""Duties with one holder at a time: the grantor and the proposers of `weldroute.leases`, on the links."""

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

TICK_INTERVAL = 0.05  # seconds, while any duty is wanted


class DutyManager:
    """One member's proposers, and its grantor if its address is one of the grantors'."""

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
        """`name` must be unique to this process: grantors can't tell two processes of one name apart."""
        self._loop = loop
        self._policy = policy
        self._name = name
        self._address = address
        self._grantors = tuple(grantors)
        self._send = send
        self._rng = Random(seed)
        self._grantor = Grantor(policy, loop.time()) if address in grantors else None
        self._proposers: dict[str, Proposer] = {}
        self._logged: dict[str, Ballot | None] = {}  # epochs, by duty
        self._timer: asyncio.TimerHandle | None = None

    def set_wanted(self, duty: str, wanted: bool) -> None:
        """Acquire a duty and keep it from here on, or release it at once."""
        proposer = self._proposers.get(duty)
        if proposer is None:
            if not wanted:
                return
            proposer = self._proposers[duty] = Proposer(
                self._policy, duty, self._name, self._grantors, self._rng.random()
            )
        elif wanted is proposer.wanted:
            return
        proposer.wanted = wanted
        if not wanted:
            self._broadcast(proposer.release(self._loop.time()))
            self._log_change(proposer)
        if self._timer is None:
            self._tick()

    def current_epoch(self, duty: str) -> Ballot | None:
        """The epoch to act with at this instant; None if this member does not hold the duty and must not act."""
        proposer = self._proposers.get(duty)
        return proposer.current_epoch(self._loop.time()) if proposer is not None else None

    def on_message(self, address: str, message: leases.Request | leases.Answer) -> None:
        """Handle a message from an address, which may be this member's own."""
        now = self._loop.time()
        if isinstance(message, leases.Prepare | leases.Propose | leases.Released):
            answer = self._grantor.on_request(now, message) if self._grantor is not None else None
            if answer is not None:
                self._send_to(address, answer)
            return
        proposer = self._proposers.get(message.duty)
        if proposer is not None:
            self._broadcast(proposer.on_answer(now, address, message))
            self._log_change(proposer)

    def close(self) -> None:
        """Release all duties and stop."""
        for duty in list(self._proposers):
            self.set_wanted(duty, False)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def view(self) -> list[dict[str, Any]]:
        """The duties that this member wants or holds, for operators; `until` in seconds of the machine's clock."""
        now = self._loop.time()
        duties = []
        for duty, proposer in sorted(self._proposers.items()):
            epoch = proposer.current_epoch(now)
            duties.append(
                {
                    "duty": duty,
                    "wishes": proposer.wanted,
                    "holds": epoch is not None,
                    "epoch": epoch and epoch[0],
                    "for": round(proposer.expires_at(now) - now, 2),
                    "until": proposer.expires_at(now) if epoch is not None else None,
                }
            )
        return duties

    # ---- time and messages ---------------------------------------------------------------

    def _tick(self) -> None:
        now = self._loop.time()
        for proposer in self._proposers.values():
            self._broadcast(proposer.tick(now))
            self._log_change(proposer)
        any_wanted = any(proposer.wanted for proposer in self._proposers.values())
        self._timer = self._loop.call_later(TICK_INTERVAL, self._tick) if any_wanted else None

    def _broadcast(self, requests: list[leases.Request]) -> None:
        for request in requests:
            for grantor in self._grantors:
                self._send_to(grantor, request)

    def _send_to(self, address: str, message: leases.Request | leases.Answer) -> None:
        if address == self._address:
            self._loop.call_soon(self.on_message, address, message)
        else:
            self._send(address, message)

    def _log_change(self, proposer: Proposer) -> None:
        now = self._loop.time()
        epoch = proposer.current_epoch(now)
        previous = self._logged.get(proposer.duty)
        self._logged[proposer.duty] = epoch
        if epoch != previous:
            text = (
                f"has {proposer.duty!r}, epoch {epoch[0]}"
                if epoch is not None
                else f"no longer has {proposer.duty!r}"
            )
            log.info("%s", text, extra={"event": "lease", "duty": proposer.duty})
