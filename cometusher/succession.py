"""One proxy, several processes: what this one takes over at its start, shares while it runs, and leaves behind.

Imported only where the listener is inherited and there is a folder to share. Decisions are `weldroute.handover`'s,
files are `cometusher.handover`'s.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cometusher.discovery import Unreadable, read_listing
from weldroute import ListKind, State
from weldroute.handover import (
    Stage,
    Standing,
    Unusable,
    adopt_learned,
    apply_standing,
    read_standing,
    write_learned,
)

if TYPE_CHECKING:
    from cometusher.handover import Handover
    from cometusher.proxy import Proxy

log = logging.getLogger(__name__)

SAVE_EVERY = 1.0  # seconds between writings of what was learned
MOST_EVICTED = 16  # at one look
HEALTH = {State.UP: "in_service", State.DRAINING: "terminating"}


class Succession:
    """This process among those of its proxy."""

    def __init__(self, proxy: Proxy, files: Handover) -> None:
        self._proxy = proxy
        self._files = files
        self._version = 0  # of the standing orders
        self._save_at = 0.0
        self._yields = False
        self._heeded = 0  # orders
        ledger = self._files.ledger
        self.ids = ledger.ids
        ledger.bury()
        proxy.descriptors.others, proxy.descriptors.tell = ledger.descriptors, ledger.tell_descriptors
        proxy.memory.others, proxy.memory.tell = ledger.bodies, ledger.tell_bodies

    # ---- what others have left -----------------------------------------------------------

    def take_over(self) -> None:
        """Begin with what another process knew, as far as there is something to believe."""
        proxy = self._proxy
        learned = self._files.read("learned")
        if learned is not None:
            try:
                self._take_list(learned)
                known = adopt_learned(proxy.balancer, proxy.clock.now(), learned)
                log.info("took over what was learned of %d backends", known)
            except (Unusable, Unreadable) as fault:
                log.warning("what was learned is left aside: %s", fault)
        self._take_orders(self._files.read("standing"))

    def _take_list(self, learned: Any) -> None:
        if not isinstance(learned, dict):
            raise Unusable("form: not an object")
        proxy = self._proxy
        listing = read_listing(learned.get("list"), proxy.config.zones)
        # A list of the configuration that is newer than ours stays.
        if listing.entries and listing.seq >= proxy.discovery.seq:
            proxy.discovery.resume(listing.seq)
            proxy.listed(ListKind.STALE, listing.entries)

    def _take_orders(self, form: Any) -> None:
        if form is None:
            return
        proxy = self._proxy
        try:
            standing = read_standing(form)
        except Unusable as fault:
            log.warning("standing orders are left aside: %s", fault)
            return
        if standing.version < self._version:
            return
        self._version = standing.version
        proxy.names.update((host, server) for host, server, _ in standing.bans)
        for server in apply_standing(proxy.balancer, proxy.clock.now(), standing):
            log.info("backend %x: %s", server, "banned" if server in proxy.balancer.bans else "no longer banned")
            proxy.backends.drop_idle(server)
        if standing.evacuated is not proxy.operations.evacuated:
            log.info("the proxy is %s", "evacuated" if standing.evacuated else "back")
            if standing.evacuated:
                proxy.operations.evacuate(proxy.loop.time())
            else:
                proxy.operations.rejoin()

    # ---- what this one tells -------------------------------------------------------------

    def ordered(self) -> None:
        """Operators have ordered something: it is to outlive this process, and to reach the others."""
        proxy = self._proxy
        names = {server: host for host, server in proxy.names.items()}
        balancer = proxy.balancer
        self._version += 1
        standing = Standing(
            self._version, proxy.operations.evacuated,
            tuple((names[server], server, since) for server, since in balancer.bans.items() if server in names),
            tuple((server, since, back) for server, (since, back) in balancer.returned.items()),
        )
        self._write("standing", standing.write())
        self._files.ledger.ordered()

    def serves(self) -> None:
        """This process serves from here on."""
        self.heed()
        self._files.ledger.stage(Stage.SERVING)

    def heed(self) -> None:
        """Follow what operators have ordered of another process; called before every event.

        Guards the yes that they had: it holds for all processes from that moment, not from their next look.
        """
        orders = self._files.ledger.orders()
        if orders != self._heeded:
            self._heeded = orders
            self._hear()

    def _hear(self) -> None:
        news = self._files.news()
        if news is not None:
            self._take_orders(news)
            self._proxy.take_posture()

    def stops(self) -> None:
        """It has been told to end."""
        self.look()
        self._files.ledger.stage(Stage.STOPPING)

    def look(self) -> None:
        """See what the others do; called often."""
        self._hear()  # a version before the count of orders does not count its own
        proxy = self._proxy
        yields = self._files.ledger.yields()
        if yields is not self._yields:
            self._yields = yields
            log.info("a newer process serves: leaving new connections to it" if yields else "serving alone again")
            proxy.operations.yielded(yields)
        if yields:
            self._make_room()
        elif proxy.operations.serving and proxy.loop.time() >= self._save_at:
            self._save_at = proxy.loop.time() + SAVE_EVERY
            self._write("learned", write_learned(proxy.balancer, proxy.clock.now()) | {"list": self._list()})

    def _make_room(self) -> None:
        """Guards against a newer process that finds no descriptors, while idle connections here hold them."""
        descriptors = self._proxy.descriptors
        for _ in range(MOST_EVICTED):
            if not descriptors.tight() or not (descriptors.evict_backend() or descriptors.evict_caller()):
                return

    def _list(self) -> dict[str, Any]:
        proxy = self._proxy
        hosts = []
        for host, server in proxy.names.items():
            known, dial = proxy.balancer.servers.get(server), proxy.backends.dial(server)
            if known is None or dial is None or known.row.state not in HEALTH:
                continue
            row, zones = known.row, proxy.config.zones
            hosts.append({
                "host": host, "dial": "{}:{}".format(*dial), "site": zones[row.zone] if row.zone < len(zones) else "",
                "block": row.cell, "share": row.size, "health": HEALTH[row.state],
                "born_ms": round(row.started * 1000.0, 3),
            })
        return {"seq": proxy.discovery.seq, "whole": True, "hosts": hosts}

    def _write(self, name: str, form: dict[str, Any]) -> None:
        try:
            self._files.write(name, form)
        except OSError as fault:
            log.warning("%s: not written: %s", name, fault.strerror)
