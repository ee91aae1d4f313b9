"""A supervisor's part in the talk among machines: its member, on its links. Imported only where `[mesh]` is there."""

from __future__ import annotations

import asyncio
import secrets
import socket
from typing import Any

from cometusher.fleet.spec import MeshSpec, read_secret
from cometusher.mesh.duties import Duties
from cometusher.mesh.frames import Message
from cometusher.mesh.node import Node
from cometusher.mesh.wires import Me, Reach, Wires, reach
from weldroute import leases
from weldroute.links import LinkPolicy
from weldroute.members import Members

ROLLOUT = "rollout"  # the duty of who replaces instances a few at a time
FAREWELL = 0.2  # seconds in which the word that it leaves may go out
WAITING = 128  # connections that wait to be accepted


class Mesh:
    """One member and its links."""

    def __init__(self, spec: MeshSpec, fleet: str, loop: asyncio.AbstractEventLoop, reach: Reach = reach) -> None:
        """Raises OSError or ConfigError, for an address that is taken or a secret that can't be used."""
        self._spec = spec
        key = read_secret(spec.secret)
        view = Members(
            spec.policy, fleet, spec.name, spec.address, spec.seeds, loop.time(), secrets.randbits(62), spec.zone
        )
        me = Me(fleet, spec.name, view.me.life, spec.address)
        self._listener = socket.socket(socket.AF_INET6 if ":" in spec.listen[0] else socket.AF_INET)
        try:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._listener.bind(spec.listen)
            self._listener.listen(WAITING)
        except OSError:
            self._listener.close()
            raise
        self._listener.setblocking(False)
        self._loop = loop
        self.wires = Wires(loop, me, key, LinkPolicy(), secrets.randbits(62), self._hear, reach)
        self.node = Node(loop, view, self.wires)
        # Its life too: a process that is stopped and one that has followed it are two.
        name = f"{spec.name}#{view.me.life:x}"
        self.duties = Duties(
            loop, spec.lease, name, spec.address, spec.grantors, self.wires.send, secrets.randbits(62)
        ) if spec.grantors else None

    def _hear(self, address: str, message: Message) -> None:
        if not isinstance(message, leases.Request | leases.Answer):
            self.node.hear(address, message)
        elif self.duties is not None:
            self.duties.hear(address, message)

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

    async def close(self) -> None:
        """Leave in order: some are told, and there is a moment for that."""
        if self.duties is not None:
            self.duties.close()
        self.node.stop()
        await asyncio.sleep(FAREWELL)
        await self.wires.close()

    def view(self) -> dict[str, Any]:
        """What operators want to know."""
        now, members = self._loop.time(), self.node.view
        return {
            "members": members.view(now), "links": self.wires.links.view(now), "doubt": members.doubt,
            "conflicts": members.conflicts, "foreign": members.foreign, "bad": self.wires.bad,
            "refused": self.wires.links.refused, "ended": self.wires.links.ended,
        }

    def leases(self) -> dict[str, Any]:
        """Who decides, and what this member has."""
        return {
            "grantors": list(self._spec.grantors), "duties": self.duties.view() if self.duties is not None else [],
        }
