"""One proxy, several processes: what this one takes over at its start, shares while it runs, and leaves behind.

Imported only where the listener is inherited and there is a folder to share. Decisions are `weldroute.handover`'s,
files are `cometusher.handover`'s.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cometusher.discovery import Unreadable
from cometusher.serialization import collect_operator_orders, restore_list, restore_operator_orders, serialize_list
from weldroute.handover import (
    ProcessStage,
    UnusableState,
    adopt_learned_state,
    parse_operator_orders,
    serialize_learned_state,
)

if TYPE_CHECKING:
    from cometusher.handover import Handover
    from cometusher.proxy import Proxy

log = logging.getLogger("cometusher.succession")  # the `subsystem` of its log records

SAVE_INTERVAL = 1.0  # seconds between writings of what was learned
MAX_EVICTED_PER_TICK = 16  # at one look


class HotRestart:
    """This process among those of its proxy."""

    def __init__(self, proxy: Proxy, handover: Handover) -> None:
        self._proxy = proxy
        self._handover = handover
        self._orders_version = 0  # of the standing orders
        self._next_save_at = 0.0
        self._is_yielding = False
        self._seen_order_count = 0  # orders
        ledger = self._handover.ledger
        self.open_ids = ledger.open_ids
        ledger.clear_dead()
        proxy.descriptors.used_by_others, proxy.descriptors.report_usage = (
            ledger.descriptors_of_others,
            ledger.report_descriptors,
        )
        proxy.memory.used_by_others, proxy.memory.report_usage = ledger.body_bytes_of_others, ledger.report_body_bytes

    # ---- what others have left -----------------------------------------------------------

    def take_over(self) -> None:
        """Begin with what another process knew, as far as there is something to believe."""
        proxy = self._proxy
        learned = self._handover.read("learned")
        if learned is not None:
            try:
                self._restore_list(learned)
                restored = adopt_learned_state(proxy.balancer, proxy.clock.now(), learned)
                log.info("took over what was learned of %d backends", restored)
            except (UnusableState, Unreadable) as error:
                log.warning("what was learned is left aside: %s", error)
        self._apply_orders(self._handover.read("standing"))

    def _restore_list(self, learned: Any) -> None:
        if not isinstance(learned, dict):
            raise UnusableState("form: not an object")
        restore_list(self._proxy, learned.get("list"))

    def _apply_orders(self, state: Any) -> None:
        if state is None:
            return
        try:
            orders = parse_operator_orders(state)
        except UnusableState as error:
            log.warning("standing orders are left aside: %s", error)
            return
        if orders.version < self._orders_version:
            return
        self._orders_version = orders.version
        restore_operator_orders(self._proxy, orders)

    # ---- what this one tells -------------------------------------------------------------

    def on_operator_orders(self) -> None:
        """Operators have ordered something: it is to outlive this process, and to reach the others."""
        self._orders_version += 1
        self._write("standing", collect_operator_orders(self._proxy, self._orders_version).serialize())
        self._handover.ledger.count_order()

    def on_serving(self) -> None:
        """This process serves from here on."""
        self.apply_new_orders()
        self._handover.ledger.set_stage(ProcessStage.SERVING)

    def apply_new_orders(self) -> None:
        """Follow what operators have ordered of another process; called before every event.

        Guards the yes that they had: it holds for all processes from that moment, not from their next look.
        """
        order_count = self._handover.ledger.order_count()
        if order_count != self._seen_order_count:
            self._seen_order_count = order_count
            self._read_new_orders()

    def _read_new_orders(self) -> None:
        new_orders = self._handover.new_orders()
        if new_orders is not None:
            self._apply_orders(new_orders)
            self._proxy.apply_listener_state()

    def on_stopping(self) -> None:
        """It has been told to end."""
        self.tick()
        self._handover.ledger.set_stage(ProcessStage.STOPPING)

    def tick(self) -> None:
        """See what the others do; called often."""
        self._read_new_orders()  # a version before the count of orders does not count its own
        proxy = self._proxy
        is_yielding = self._handover.ledger.should_yield()
        if is_yielding is not self._is_yielding:
            self._is_yielding = is_yielding
            log.info(
                "a newer process serves: leaving new connections to it" if is_yielding else "serving alone again"
            )
            proxy.operations.on_newer_process(is_yielding)
        if is_yielding:
            self._free_descriptors()
        elif proxy.operations.serving and proxy.loop.time() >= self._next_save_at:
            self._next_save_at = proxy.loop.time() + SAVE_INTERVAL
            self._write(
                "learned",
                serialize_learned_state(proxy.balancer, proxy.clock.now()) | {"list": serialize_list(proxy)},
            )

    def _free_descriptors(self) -> None:
        """Guards against a newer process that finds no descriptors, while idle connections here hold them."""
        descriptors = self._proxy.descriptors
        for _ in range(MAX_EVICTED_PER_TICK):
            if not descriptors.is_tight() or not (descriptors.evict_backend() or descriptors.evict_caller()):
                return

    def _write(self, name: str, state: dict[str, Any]) -> None:
        try:
            self._handover.write(name, state)
        except OSError as error:
            log.warning("%s: not written: %s", name, error.strerror)
