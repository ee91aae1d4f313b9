"""A supervisor's member of the fleet, with its links, duties and bans. Imported only if the file has `[mesh]`."""

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
from cometusher.fleet.spec import ClusterSpec, read_secret
from cometusher.runtime import open_listener
from weldroute import leases, replicated_map
from weldroute.links import LinkPolicy
from weldroute.members import Membership
from weldroute.replicated_map import TOMBSTONE, ReplicatedMap, ReplicationPolicy

log = logging.getLogger("cometusher.mesh.host")  # the `subsystem` of its log records

BAN_KEY_PREFIX = "ban:"  # of the keys of bans in the replicated map; a backend's name follows
MAP_TICK_INTERVAL = 0.1  # seconds between ticks of the replicated map
ROLLOUT_DUTY = "rollout"  # its holder may replace instances, a few at a time
LEAVE_GRACE = 0.2  # seconds for the announcement that this member leaves to be sent


class ClusterHost:
    """One member of the fleet and all that runs on its links."""

    def __init__(
        self,
        spec: ClusterSpec,
        fleet: str,
        loop: asyncio.AbstractEventLoop,
        management_addresses: ManagementAddresses = tuple,
    ) -> None:
        """`management_addresses`: of the processes that are ready.

        Raises OSError or ConfigError for an address that is in use or a secret that can't be used.
        """
        self._spec = spec
        key = read_secret(spec.secret)
        membership = Membership(
            spec.policy, fleet, spec.name, spec.address, spec.seeds, loop.time(), secrets.randbits(62), spec.zone
        )
        local = LocalMember(fleet, spec.name, membership.local.life, spec.address)
        self._listener = open_listener(spec.listen)
        self._loop = loop
        self.transport = ClusterTransport(loop, local, key, LinkPolicy(), secrets.randbits(62), self._on_message)
        self.runner = MembershipRunner(loop, membership, self.transport)
        # Includes the process's identifier: grantors must tell a paused process from its successor.
        name = f"{spec.name}#{membership.local.life:x}"
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
            changed, answers = self.replicated_map.on_message(self._loop.time(), time.time(), message)
            for entry in changed:
                value = "over" if entry.value == TOMBSTONE else entry.value
                text = f"{entry.key} is {value}, written by {entry.stamp[2]}"
                log.info("%s", text, extra={"event": "fact", "key": entry.key})
            for answer in answers:
                self.transport.send(address, answer)
        elif not isinstance(message, leases.Request | leases.Answer):
            self.runner.on_message(address, message)
        elif self.duties is not None:
            self.duties.on_message(address, message)

    def _tick_replicated_map(self) -> None:
        others = [record.address for record in self.runner.membership.alive]
        for address, message in self.replicated_map.tick(self._loop.time(), time.time(), others):
            self.transport.send(address, message)
        self._timer = self._loop.call_later(MAP_TICK_INTERVAL, self._tick_replicated_map)

    def set_banned(self, hosts: list[str], banned: bool) -> list[str]:
        """Ban backends or lift their bans in the whole fleet; return those for which the map had no room."""
        written = [
            host
            for host in hosts
            if self.replicated_map.write(
                self._loop.time(), time.time(), BAN_KEY_PREFIX + host, "banned" if banned else TOMBSTONE
            )
            is not None
        ]
        return [host for host in hosts if host not in written]

    def may_roll_out(self, now: float) -> bool:
        """Whether a rolling operation may begin a step at this instant: no other machine may, or no lease is used."""
        return self.duties is None or self.duties.current_epoch(ROLLOUT_DUTY) is not None

    def request_rollout(self, wanted: bool) -> None:
        """Acquire the roll-out duty while this machine has something to roll out; release it otherwise."""
        if self.duties is not None:
            self.duties.set_wanted(ROLLOUT_DUTY, wanted)

    async def start(self) -> None:
        """Join the fleet and start the periodic work."""
        await self.transport.start(self._listener)
        self.runner.start()
        self.ban_propagator.start()
        self._tick_replicated_map()

    async def close(self) -> None:
        """Leave the fleet: release all duties, announce the leave, and close the links after a short grace."""
        self.ban_propagator.close()
        if self._timer is not None:
            self._timer.cancel()
        if self.duties is not None:
            self.duties.close()
        self.runner.stop()
        await asyncio.sleep(LEAVE_GRACE)
        await self.transport.close()

    def view(self) -> dict[str, Any]:
        """Members, links and counters, for operators."""
        now, membership = self._loop.time(), self.runner.membership
        return {
            "members": membership.view(now),
            "links": self.transport.links.view(now),
            "doubt": membership.health_score,
            "conflicts": membership.conflicts,
            "foreign": membership.foreign_messages,
            "bad": self.transport.invalid_links,
            "refused": self.transport.links.refused,
            "ended": self.transport.links.closed,
        }

    def bans(self) -> dict[str, Any]:
        """The fleet's bans, and the number of orders that instances here have not confirmed."""
        return {
            "bans": self.replicated_map.view(self._loop.time()),
            "pending": self.ban_propagator.pending(),
            "refused": self.replicated_map.refused,
        }

    def leases(self) -> dict[str, Any]:
        """The grantors, and the duties that this member wants or holds."""
        return {
            "grantors": list(self._spec.grantors),
            "duties": self.duties.view() if self.duties is not None else [],
        }
