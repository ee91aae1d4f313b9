"""A supervisor's part in the talk among machines: its member, on its links. Imported only where `[mesh]` is there."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from typing import Any

from cometusher.cluster.ban_propagation import BanPropagator, ManagementAddresses
from cometusher.cluster.duties import DutyManager
from cometusher.cluster.frames import Message
from cometusher.cluster.node import MembershipRunner
from cometusher.cluster.transport import ClusterTransport, LocalMember
from cometusher.fleet.spec import MeshSpec, read_secret
from cometusher.runtime import open_listener
from weldroute import leases, replicated_map
from weldroute.links import LinkPolicy
from weldroute.members import Membership
from weldroute.replicated_map import TOMBSTONE, ReplicatedMap, ReplicationPolicy

log = logging.getLogger("cometusher.mesh.host")  # the `subsystem` of its log records

BAN_KEY_PREFIX = "ban:"  # before a backend's name, the key of the fact that it is banned
MAP_TICK_INTERVAL = 0.1  # seconds between looks at facts
ROLLOUT_DUTY = "rollout"  # the duty of who replaces instances a few at a time
LEAVE_GRACE = 0.2  # seconds in which the word that it leaves may go out


class ClusterHost:
    """One member and its links."""

    def __init__(
        self,
        spec: MeshSpec,
        fleet: str,
        loop: asyncio.AbstractEventLoop,
        management_addresses: ManagementAddresses = tuple,
    ) -> None:
        """`doors`: processes that are ready, and their operators' addresses.

        Raises OSError or ConfigError, for an address that is taken or a secret that can't be used.
        """
        self._spec = spec
        key = read_secret(spec.secret)
        view = Membership(
            spec.policy, fleet, spec.name, spec.address, spec.seeds, loop.time(), secrets.randbits(62), spec.zone
        )
        me = LocalMember(fleet, spec.name, view.local.life, spec.address)
        self._listener = open_listener(spec.listen)
        self._loop = loop
        self.transport = ClusterTransport(loop, me, key, LinkPolicy(), secrets.randbits(62), self._on_message)
        self.runner = MembershipRunner(loop, view, self.transport)
        # Its life too: a process that is stopped and one that has followed it are two.
        name = f"{spec.name}#{view.local.life:x}"
        self.duties = (
            DutyManager(
                loop, spec.lease, name, spec.address, spec.grantors, self.transport.send, secrets.randbits(62)
            )
            if spec.grantors
            else None
        )
        self.replicated_map = ReplicatedMap(ReplicationPolicy(), fleet, spec.name, secrets.randbits(62))
        self.ban_propagator = BanPropagator(
            loop, management_addresses, lambda: self.replicated_map.presence(BAN_KEY_PREFIX)
        )
        self._timer: asyncio.TimerHandle | None = None

    def _on_message(self, address: str, message: Message) -> None:
        if isinstance(message, replicated_map.News | replicated_map.Digest):
            new, answers = self.replicated_map.on_message(self._loop.time(), time.time(), message)
            for fact in new:
                how = "over" if fact.value == TOMBSTONE else fact.value
                text = f"{fact.key} is {how}, says {fact.stamp[2]}"
                log.info("%s", text, extra={"event": "fact", "key": fact.key})
            for answer in answers:
                self.transport.send(address, answer)
        elif not isinstance(message, leases.Request | leases.Answer):
            self.runner.on_message(address, message)
        elif self.duties is not None:
            self.duties.on_message(address, message)

    def _tick_replicated_map(self) -> None:
        others = [row.address for row in self.runner.membership.alive]
        for address, message in self.replicated_map.tick(self._loop.time(), time.time(), others):
            self.transport.send(address, message)
        self._timer = self._loop.call_later(MAP_TICK_INTERVAL, self._tick_replicated_map)

    def set_banned(self, hosts: list[str], banned: bool) -> list[str]:
        """Say that backends are banned, or no more; those of which it could not be said, for want of room."""
        said = [
            host
            for host in hosts
            if self.replicated_map.write(
                self._loop.time(), time.time(), BAN_KEY_PREFIX + host, "banned" if banned else TOMBSTONE
            )
            is not None
        ]
        return [host for host in hosts if host not in said]

    def may_roll_out(self, now: float) -> bool:
        """Whether a rolling operation may begin a step at this moment: no other machine may, or nobody decides."""
        return self.duties is None or self.duties.current_epoch(ROLLOUT_DUTY) is not None

    def request_rollout(self, wanted: bool) -> None:
        """Whether this machine has something to roll out."""
        if self.duties is not None:
            self.duties.set_wanted(ROLLOUT_DUTY, wanted)

    async def start(self) -> None:
        """Be a member from here on."""
        await self.transport.start(self._listener)
        self.runner.start()
        self.ban_propagator.start()
        self._tick_replicated_map()

    async def close(self) -> None:
        """Leave in order: some are told, and there is a moment for that."""
        self.ban_propagator.close()
        if self._timer is not None:
            self._timer.cancel()
        if self.duties is not None:
            self.duties.close()
        self.runner.stop()
        await asyncio.sleep(LEAVE_GRACE)
        await self.transport.close()

    def view(self) -> dict[str, Any]:
        """What operators want to know."""
        now, members = self._loop.time(), self.runner.membership
        return {
            "members": members.view(now),
            "links": self.transport.links.view(now),
            "doubt": members.health_score,
            "conflicts": members.conflicts,
            "foreign": members.foreign_messages,
            "bad": self.transport.invalid_links,
            "refused": self.transport.links.refused,
            "ended": self.transport.links.closed,
        }

    def bans(self) -> dict[str, Any]:
        """What the fleet has said of backends, and how many orders instances here have not said yes to."""
        return {
            "bans": self.replicated_map.view(self._loop.time()),
            "pending": self.ban_propagator.pending(),
            "refused": self.replicated_map.refused,
        }

    def leases(self) -> dict[str, Any]:
        """Who decides, and what this member has."""
        return {
            "grantors": list(self._spec.grantors),
            "duties": self.duties.view() if self.duties is not None else [],
        }
