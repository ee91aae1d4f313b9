"""One proxy, several processes: what this one takes over at its start, shares while it runs, and leaves behind.

Imported only where the listener is inherited and there is a folder to share. Decisions are `weldroute.handover`'s,
files are `cometusher.handover`'s.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cometusher.discovery import Unreadable
from cometusher.serialization import standing, take_list, take_standing, write_list
from weldroute.handover import Stage, Unusable, adopt_learned, read_standing, write_learned

if TYPE_CHECKING:
    from cometusher.handover import Handover
    from cometusher.proxy import Proxy

log = logging.getLogger("cometusher.succession")  # the `subsystem` of its log records

SAVE_EVERY = 1.0  # seconds between writings of what was learned
MOST_EVICTED = 16  # at one look


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
        proxy.descriptors.used_by_others, proxy.descriptors.report_usage = ledger.descriptors, ledger.tell_descriptors
        proxy.memory.used_by_others, proxy.memory.report_usage = ledger.bodies, ledger.tell_bodies

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
        take_list(self._proxy, learned.get("list"))

    def _take_orders(self, form: Any) -> None:
        if form is None:
            return
        try:
            orders = read_standing(form)
        except Unusable as fault:
            log.warning("standing orders are left aside: %s", fault)
            return
        if orders.version < self._version:
            return
        self._version = orders.version
        take_standing(self._proxy, orders)

    # ---- what this one tells -------------------------------------------------------------

    def on_operator_orders(self) -> None:
        """Operators have ordered something: it is to outlive this process, and to reach the others."""
        self._version += 1
        self._write("standing", standing(self._proxy, self._version).write())
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
            self._proxy.apply_listener_state()

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
            proxy.operations.on_newer_process(yields)
        if yields:
            self._make_room()
        elif proxy.operations.serving and proxy.loop.time() >= self._save_at:
            self._save_at = proxy.loop.time() + SAVE_EVERY
            self._write("learned", write_learned(proxy.balancer, proxy.clock.now()) | {"list": write_list(proxy)})

    def _make_room(self) -> None:
        """Guards against a newer process that finds no descriptors, while idle connections here hold them."""
        descriptors = self._proxy.descriptors
        for _ in range(MOST_EVICTED):
            if not descriptors.is_tight() or not (descriptors.evict_backend() or descriptors.evict_caller()):
                return

    def _write(self, name: str, form: dict[str, Any]) -> None:
        try:
            self._files.write(name, form)
        except OSError as fault:
            log.warning("%s: not written: %s", name, fault.strerror)
