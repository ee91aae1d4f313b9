"""Hot restart: what this process takes over at its start, shares with the proxy's other processes, and leaves behind.

Imported only if the listener was passed to the process and a shared folder is configured. The decisions are in
`weldroute.handover`, the storage is in `cometusher.handover`.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cometusher.discovery import MalformedAnswer
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

SAVE_INTERVAL = 1.0  # seconds between writes of the learned state
MAX_EVICTED_PER_TICK = 16  # connections


class HotRestart:
    """Coordinates this process with the other processes of its proxy."""

    def __init__(self, proxy: Proxy, handover: Handover) -> None:
        self._proxy = proxy
        self._handover = handover
        self._orders_version = 0  # of the operator orders that are in effect
        self._next_save_at = 0.0
        self._is_yielding = False
        self._seen_order_count = 0
        ledger = self._handover.ledger
        self.open_ids = ledger.open_ids
        ledger.clear_dead()
        proxy.descriptors.used_by_others, proxy.descriptors.report_usage = (
            ledger.descriptors_of_others,
            ledger.report_descriptors,
        )
        proxy.memory.used_by_others, proxy.memory.report_usage = ledger.body_bytes_of_others, ledger.report_body_bytes

    # ---- state from other processes ------------------------------------------------------

    def take_over(self) -> None:
        """Start with the state that another process has stored, if it is usable."""
        proxy = self._proxy
        learned = self._handover.read("learned")
        if learned is not None:
            try:
                self._restore_list(learned)
                restored = adopt_learned_state(proxy.balancer, proxy.clock.now(), learned)
                log.info("took over the learned state of %d backends", restored)
            except (UnusableState, MalformedAnswer) as error:
                log.warning("learned state ignored: %s", error)
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
            log.warning("operator orders ignored: %s", error)
            return
        if orders.version < self._orders_version:
            return
        self._orders_version = orders.version
        restore_operator_orders(self._proxy, orders)

    # ---- state of this process -----------------------------------------------------------

    def on_operator_orders(self) -> None:
        """Store the orders that operators have given, so that they outlive this process and reach the others."""
        self._orders_version += 1
        self._write("standing", collect_operator_orders(self._proxy, self._orders_version).serialize())
        self._handover.ledger.count_order()

    def on_serving(self) -> None:
        """This process begins to serve."""
        self.apply_new_orders()
        self._handover.ledger.set_stage(ProcessStage.SERVING)

    def apply_new_orders(self) -> None:
        """Apply orders that another process has received; called before every event.

        An order that was acknowledged to operators must hold for all processes at once, not from their next `tick`.
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
        """This process has been told to terminate."""
        self.tick()
        self._handover.ledger.set_stage(ProcessStage.STOPPING)

    def tick(self) -> None:
        """Follow the state of the other processes and save this one's; called several times a second."""
        self._read_new_orders()  # versions of the program without the order count store orders without counting them
        proxy = self._proxy
        proxy.descriptors.check_waiting()
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
        """Evict idle connections, so that they don't hold the descriptors that the newer process needs."""
        descriptors = self._proxy.descriptors
        for _ in range(MAX_EVICTED_PER_TICK):
            if not descriptors.is_tight() or not (descriptors.evict_backend() or descriptors.evict_caller()):
                return

    def _write(self, name: str, state: dict[str, Any]) -> None:
        try:
            self._handover.write(name, state)
        except OSError as error:
            log.warning("%s: not written: %s", name, error.strerror)
