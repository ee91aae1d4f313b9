"""A supervisor's part in the talk among machines: its member, on its links. Imported only where `[mesh]` is there."""

from __future__ import annotations

import asyncio
import secrets
import socket
from typing import Any

from cometusher.fleet.spec import MeshSpec, read_secret
from cometusher.mesh.frames import Message
from cometusher.mesh.node import Node
from cometusher.mesh.wires import Me, Reach, Wires, reach
from weldroute.links import LinkPolicy
from weldroute.members import Members

FAREWELL = 0.2  # seconds in which the word that it leaves may go out
WAITING = 128  # connections that wait to be accepted


class Mesh:
    """One member and its links."""

    def __init__(self, spec: MeshSpec, fleet: str, loop: asyncio.AbstractEventLoop, reach: Reach = reach) -> None:
        """Raises OSError or ConfigError, for an address that is taken or a secret that can't be used."""
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

    def _hear(self, address: str, message: Message) -> None:
        self.node.hear(address, message)

    async def start(self) -> None:
        """Be a member from here on."""
        await self.wires.start(self._listener)
        self.node.start()

    async def close(self) -> None:
        """Leave in order: some are told, and there is a moment for that."""
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
