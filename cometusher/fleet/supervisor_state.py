"""The supervisor's stored state: its epoch, which instances should run, which have failed, and operator orders.

The whole state is written after each change, at a bounded rate. The supervisor's only thread writes it: a second
thread would not survive its forks, and no request waits for the write. Neither reading nor writing can make a start
fail; `weldroute.snapshots` decides whether a stored record is trusted.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import Any

from cometusher.fleet.spec import FleetSpec
from cometusher.runtime import clock_reading
from cometusher.store.records import RecordFile
from weldroute.fleet import Fleet
from weldroute.handover import UnusableState, parse_operator_orders
from weldroute.snapshots import AgeLimits, KnownVersions, Owner, Record, Trust, assess

log = logging.getLogger("cometusher.fleet.memory")  # operators' tools know the log records by this name

RECORD_KIND = "fleet"


@dataclass(slots=True)
class PriorState:
    """The state of the previous supervisor; empty if it shut down cleanly or stored nothing."""

    unclean: bool = False
    wanted: dict[str, bool] = field(default_factory=dict)
    failed: dict[str, str] = field(default_factory=dict)  # with the reason
    restarts: dict[str, int] = field(default_factory=dict)
    generations: dict[str, int] = field(default_factory=dict)


def _counts(value: Any) -> dict[str, int]:
    items = value.items() if isinstance(value, dict) else ()
    return {str(k): v for k, v in items if isinstance(v, int) and not isinstance(v, bool) and v >= 0}


class SupervisorState:
    """Reads the fleet's stored record and writes it again on changes."""

    def __init__(self, spec: FleetSpec) -> None:
        self._name = spec.location.name
        self._records = RecordFile(spec.location.fleet_records_file)
        self.epoch = 1
        self.list_seq = 0
        self.orders: dict[str, dict[str, Any]] = {}  # serialized operator orders by instance
        self.prior = PriorState()
        self._logged_problem = ""
        try:
            spec.location.store.mkdir(mode=0o700, exist_ok=True)
        except OSError as error:
            log.warning("the folder for stored records cannot be created: %s", error.strerror)
        self._read()

    def _read(self) -> None:
        record = self._records.read([RECORD_KIND]).get(RECORD_KIND)
        self._log_problem()
        if record is None:
            return
        # At any age: which instances should run and which backends are banned does not expire.
        owner = Owner(self._name, "", record.owner.epoch)
        verdict, reason = assess(record, owner, clock_reading(), AgeLimits(), KnownVersions())
        if verdict in (Trust.NEWER, Trust.FOREIGN) or not isinstance(record.body, dict):
            log.warning("the fleet's stored state is ignored: %s", reason)
            return
        self.epoch = record.owner.epoch + 1
        body = record.body
        self.list_seq = body["list_seq"] if isinstance(body.get("list_seq"), int) else 0
        orders = body.get("orders")
        for name, values in orders.items() if isinstance(orders, dict) else ():
            try:
                parse_operator_orders(values)
            except UnusableState as error:
                log.warning("%s: its stored orders are ignored: %s", name, error)
            else:
                self.orders[str(name)] = values
        if body.get("running") is True:
            wanted = body.get("wanted")
            failed = body.get("failed")
            self.prior = PriorState(
                True,
                {str(k): bool(v) for k, v in wanted.items()} if isinstance(wanted, dict) else {},
                {str(k): str(v) for k, v in failed.items()} if isinstance(failed, dict) else {},
                _counts(body.get("restarts")),
                _counts(body.get("generations")),
            )

    def write(self, fleet: Fleet, running: bool = True) -> None:
        """Write the current state of the fleet."""
        instances = fleet.instances.values()
        body = {
            "running": running,
            "list_seq": self.list_seq,
            "orders": self.orders,
            "wanted": {i.name: i.should_run for i in instances},
            "failed": {i.name: i.reason for i in instances if i.failed},
            "restarts": {i.name: i.restarts for i in instances},
            "generations": {i.name: i.generation for i in instances},
        }
        owner = Owner(self._name, "", self.epoch)
        self._records.write(
            [Record(RECORD_KIND, self._records.next_serial(RECORD_KIND), owner, clock_reading(), body)]
        )
        self._log_problem()

    def _log_problem(self) -> None:
        if self._records.problem != self._logged_problem:
            self._logged_problem = self._records.problem
            if self._logged_problem:
                log.warning("the fleet's record file: %s", self._logged_problem)

    def on_recovery_status(self, name: str, values: dict[str, Any]) -> bool:
        """Take the list version and the orders that an instance reports; return whether anything changed."""
        list_seq, orders = values.get("seq"), values.get("standing")
        changed = False
        if isinstance(list_seq, int) and list_seq > self.list_seq:
            self.list_seq = list_seq
            changed = True
        if isinstance(orders, dict):
            self.orders[name] = orders
            changed = True
        return changed

    def known_versions(self, name: str) -> KnownVersions:
        """The newest versions of an instance's records that the fleet knows of."""
        version = self.orders.get(name, {}).get("version", 0)
        return KnownVersions(self.list_seq, version if isinstance(version, int) else 0)

    def remove(self, name: str) -> None:
        """Delete the orders of an instance that is no longer in the fleet's file."""
        self.orders.pop(name, None)

    def close(self, fleet: Fleet) -> None:
        """Write the state of a clean shutdown and close the record file."""
        self.write(fleet, running=False)
        self._records.close()
