"""A supervisor's part in the talk among machines: its member, on its links. Imported only where `[mesh]` is there."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from typing import Any

from cometusher.cluster.ban_propagation import Doors, Orders
from cometusher.cluster.duties import Duties
from cometusher.cluster.frames import Message
from cometusher.cluster.node import Node
from cometusher.cluster.transport import Me, Wires
from cometusher.fleet.spec import MeshSpec, read_secret
from cometusher.runtime import open_listener
from weldroute import leases, replicated_map
from weldroute.links import LinkPolicy
from weldroute.members import Members
from weldroute.replicated_map import OVER, FactPolicy, Facts

log = logging.getLogger("cometusher.mesh.host")  # the `subsystem` of its log records

BAN = "ban:"  # before a backend's name, the key of the fact that it is banned
SPREAD = 0.1  # seconds between looks at facts
ROLLOUT = "rollout"  # the duty of who replaces instances a few at a time
FAREWELL = 0.2  # seconds in which the word that it leaves may go out


class Mesh:
    """One member and its links."""

    def __init__(self, spec: MeshSpec, fleet: str, loop: asyncio.AbstractEventLoop, doors: Doors = tuple) -> None:
        """`doors`: processes that are ready, and their operators' addresses.

        Raises OSError or ConfigError, for an address that is taken or a secret that can't be used.
        """
        self._spec = spec
        key = read_secret(spec.secret)
        view = Members(
            spec.policy, fleet, spec.name, spec.address, spec.seeds, loop.time(), secrets.randbits(62), spec.zone
        )
        me = Me(fleet, spec.name, view.me.life, spec.address)
        self._listener = open_listener(spec.listen)
        self._loop = loop
        self.wires = Wires(loop, me, key, LinkPolicy(), secrets.randbits(62), self._hear)
        self.node = Node(loop, view, self.wires)
        # Its life too: a process that is stopped and one that has followed it are two.
        name = f"{spec.name}#{view.me.life:x}"
        self.duties = (
            Duties(loop, spec.lease, name, spec.address, spec.grantors, self.wires.send, secrets.randbits(62))
            if spec.grantors
            else None
        )
        self.facts = Facts(FactPolicy(), fleet, spec.name, secrets.randbits(62))
        self.orders = Orders(loop, doors, lambda: self.facts.said(BAN))
        self._timer: asyncio.TimerHandle | None = None

    def _hear(self, address: str, message: Message) -> None:
        if isinstance(message, replicated_map.News | replicated_map.Digest):
            new, answers = self.facts.hear(self._loop.time(), time.time(), message)
            for fact in new:
                how = "over" if fact.value == OVER else fact.value
                text = f"{fact.key} is {how}, says {fact.stamp[2]}"
                log.info("%s", text, extra={"event": "fact", "key": fact.key})
            for answer in answers:
                self.wires.send(address, answer)
        elif not isinstance(message, leases.Request | leases.Answer):
            self.node.hear(address, message)
        elif self.duties is not None:
            self.duties.hear(address, message)

    def _spread(self) -> None:
        others = [row.address for row in self.node.view.alive]
        for address, message in self.facts.look(self._loop.time(), time.time(), others):
            self.wires.send(address, message)
        self._timer = self._loop.call_later(SPREAD, self._spread)

    def ban(self, hosts: list[str], out: bool) -> list[str]:
        """Say that backends are banned, or no more; those of which it could not be said, for want of room."""
        said = [
            host
            for host in hosts
            if self.facts.write(self._loop.time(), time.time(), BAN + host, "banned" if out else OVER) is not None
        ]
        return [host for host in hosts if host not in said]

    def turn(self, now: float) -> bool:
        """Whether a rolling operation may begin a step at this moment: no other machine may, or nobody decides."""
        return self.duties is None or self.duties.may(ROLLOUT) is not None

    def rolls(self, wishes: bool) -> None:
        """Whether this machine has something to roll out."""
        if self.duties is not None:
            self.duties.wish(ROLLOUT, wishes)

    async def start(self) -> None:
        """Be a member from here on."""
        await self.wires.start(self._listener)
        self.node.start()
        self.orders.start()
        self._spread()

    async def close(self) -> None:
        """Leave in order: some are told, and there is a moment for that."""
        self.orders.close()
        if self._timer is not None:
            self._timer.cancel()
        if self.duties is not None:
            self.duties.close()
        self.node.stop()
        await asyncio.sleep(FAREWELL)
        await self.wires.close()

    def view(self) -> dict[str, Any]:
        """What operators want to know."""
        now, members = self._loop.time(), self.node.view
        return {
            "members": members.view(now),
            "links": self.wires.links.view(now),
            "doubt": members.doubt,
            "conflicts": members.conflicts,
            "foreign": members.foreign,
            "bad": self.wires.bad,
            "refused": self.wires.links.refused,
            "ended": self.wires.links.ended,
        }

    def bans(self) -> dict[str, Any]:
        """What the fleet has said of backends, and how many orders instances here have not said yes to."""
        return {
            "bans": self.facts.view(self._loop.time()),
            "pending": self.orders.pending(),
            "refused": self.facts.refused,
        }

    def leases(self) -> dict[str, Any]:
        """Who decides, and what this member has."""
        return {
            "grantors": list(self._spec.grantors),
            "duties": self.duties.view() if self.duties is not None else [],
        }
