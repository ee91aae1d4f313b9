"""Recovery of one proxy after a restart: restores stored state, stores new state, and applies rate limits.

The decisions are made by `weldroute.recovery` and `weldroute.snapshots`, files are handled by `cometusher.store`;
design: `docs/design/recovery.md`. Imported only by an instance whose fleet has recovery enabled.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import orjson

from cometusher.config import ConfigError
from cometusher.discovery import BackendEntry, MalformedAnswer, parse_list, server_id
from cometusher.runtime import clock_reading
from cometusher.serialization import collect_operator_orders, restore_list, restore_operator_orders, serialize_list
from cometusher.store.records import RecordFile
from cometusher.store.writer import RecordWriter
from weldroute import ListKind, Outcome, Refuse, ServerRow, State
from weldroute.handover import (
    OperatorOrders,
    UnusableState,
    adopt_learned_state,
    parse_operator_orders,
    serialize_learned_state,
)
from weldroute.recovery import INITIAL_RETRY_TOKENS, AdmissionVerdict, ListDecision, Recovery, RecoveryPlan
from weldroute.snapshots import USABLE_PARTS, AgeLimits, KnownVersions, Owner, Record, Trust, age, assess

if TYPE_CHECKING:
    from cometusher.backends import Attempt
    from cometusher.http1 import Response
    from cometusher.proxy import Exchange, Proxy

log = logging.getLogger("cometusher.comeback")  # the `subsystem` of its log records

RECORD_KINDS = ("standing", "list", "learned")
LEARNED_INTERVAL = 1.0  # seconds between writes of learned state
LIST_INTERVAL = 5.0  # seconds between writes of an unchanged list, which renew its age
LIST_ROWS_PER_SECOND = 200.0  # limit of the rate at which an unchanged list is written
BACKEND_NAME_HEADER = b"x-backend"  # a backend may name itself in its answers

ReportCallback = Callable[[dict[str, Any]], None]


class RecordSink(Protocol):
    """Where records are stored while the process runs."""

    def put(self, kind: str, body: object) -> None:
        """Schedule a serialized state to be written soon."""

    async def close(self) -> None:
        """Write what is pending and release the store."""


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """What the supervisor gives one instance for its recovery."""

    plan: RecoveryPlan
    limits: AgeLimits
    owner: Owner
    store: Path
    known: KnownVersions = field(default_factory=KnownVersions)
    standing: dict[str, Any] | None = None  # the fleet's copy of the operator orders, where it is newer


def read_recovery_config(path: Path) -> RecoveryConfig | None:
    """Read the recovery part that a supervisor wrote into an instance's file, if any; raises ConfigError."""
    try:
        values = orjson.loads(path.read_bytes()).get("comeback")
        if values is None:
            return None
        plan, limits = RecoveryPlan(**values["plan"]), AgeLimits(**values["limits"])
        plan.check()
        limits.check()
        owner, known = Owner(**values["owner"]), KnownVersions(**values["known"])
        return RecoveryConfig(plan, limits, owner, Path(values["store"]), known, values["standing"])
    except (OSError, orjson.JSONDecodeError, AttributeError, KeyError, TypeError, ValueError) as error:
        raise ConfigError(f"{path}: comeback: {error}") from None


def write_recovery_config(config: RecoveryConfig) -> dict[str, Any]:
    """The recovery part of an instance's file as plain values, for `read_recovery_config`."""
    return asdict(config) | {"store": str(config.store)}


def open_store(config: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
    """The records on disk, and where to store new ones."""
    records = RecordFile(config.store)
    found = records.read(RECORD_KINDS)
    if records.problem:
        log.warning("the store %s: %s", config.store.name, records.problem)
    return found, RecordWriter(records, config.owner, clock_reading)


class RecoveryController:
    """Runs the recovery of one proxy, from its start to its end."""

    def __init__(self, proxy: Proxy, config: RecoveryConfig) -> None:
        self._proxy = proxy
        self._config = config
        self._read_clock = proxy.network.clock_reading
        found, self._sink = proxy.network.open_records(config)
        learned = found.get("learned")
        rate = learned.body.get("calm") if learned is not None and isinstance(learned.body, dict) else None
        rate = float(rate) if isinstance(rate, (int, float)) and not isinstance(rate, bool) else None
        self.state = Recovery(proxy.loop.time(), config.plan, proxy.config.seed, rate)
        self.report: ReportCallback = lambda values: None
        self._orders_version = 0
        self._learned_due_at = self._list_due_at = 0.0
        self._list_changed = False
        self._queued: dict[str, Callable[[], None]] = {}  # what forwards each queued request
        self._timer: asyncio.TimerHandle | None = None
        self._distrusted_list: dict[str, BackendEntry] | None = (
            None  # discovery's list while distrusted; may be empty
        )
        self._stopping = False
        # Guards a tier that is recovering itself against a burst of the retries that many instances have saved up.
        proxy.balancer.retry_tokens = INITIAL_RETRY_TOKENS
        proxy.balancer.copy_tokens = 0.0
        proxy.discovery.max_backoff = config.plan.discovery_interval
        self._restore(found)

    # ---- stored state --------------------------------------------------------------------

    def _trust(self, kind: str, record: Record | None) -> Trust:
        config = self._config
        verdict, reason = assess(record, config.owner, self._read_clock(), config.limits, config.known)
        level = logging.INFO if verdict in (Trust.FRESH, Trust.AGED, Trust.NOTHING) else logging.WARNING
        log.log(level, "stored %s: %s: %s", kind, verdict.value, reason, extra={"event": "remembered"})
        return verdict

    def _restore(self, found: dict[str, Record]) -> None:
        proxy = self._proxy
        trust = {kind: self._trust(kind, found.get(kind)) for kind in RECORD_KINDS}
        if "list" in USABLE_PARTS[trust["list"]]:
            self._restore_list(found["list"])
        if not self.state.ready and proxy.backends.server_ids():
            self.state.on_stored_list(proxy.loop.time(), len(proxy.backends.server_ids()), None, proxy.discovery.seq)
        if "learned" in USABLE_PARTS[trust["learned"]]:
            try:
                restored = adopt_learned_state(proxy.balancer, proxy.clock.now(), found["learned"].body)
                log.info("restored the learned state of %d backends", restored)
            except UnusableState as error:
                log.warning("the stored learned state is ignored: %s", error)
        self._restore_orders(found.get("standing") if "standing" in USABLE_PARTS[trust["standing"]] else None)

    def _restore_list(self, record: Record) -> None:
        proxy = self._proxy
        try:
            listing = restore_list(proxy, record.body)
        except MalformedAnswer as error:
            log.warning("the stored list is ignored: %s", error)
            return
        seconds = age(record, self._read_clock())
        self.state.on_stored_list(proxy.loop.time(), len(listing.entries), seconds, listing.seq)

    def _restore_orders(self, record: Record | None) -> None:
        """Apply the instance's or the fleet's copy of the operator orders, whichever has the higher version.

        So no order is lost without a log entry.
        """
        orders: OperatorOrders | None = None
        own = record.body if record is not None else None
        for source, body in (("stored", own), ("fleet's", self._config.standing)):
            if body is None:
                continue
            try:
                read = parse_operator_orders(body)
            except UnusableState as error:
                log.warning("the %s orders are ignored: %s", source, error)
                continue
            if orders is None or read.version > orders.version:
                orders = read
        if orders is not None:
            self._orders_version = orders.version
            restore_operator_orders(self._proxy, orders)

    # ---- discovery -----------------------------------------------------------------------

    def on_list(self, kind: ListKind, entries: Sequence[BackendEntry]) -> Sequence[BackendEntry] | None:
        """Discovery reported a list or a change to it; return the entries to apply, or None to apply nothing now."""
        if kind in (ListKind.BROKEN, ListKind.STALE):
            return entries
        proxy, now = self._proxy, self._proxy.loop.time()
        whole = kind is ListKind.WHOLE
        decision = self.state.on_list(now, whole, len(entries), proxy.discovery.seq)
        self._list_changed = True
        if whole:
            self._distrusted_list = (
                None if decision is ListDecision.ACCEPT else {entry.host: entry for entry in entries}
            )
        elif self._distrusted_list is not None:
            self._distrusted_list.update((entry.host, entry) for entry in entries)
        if decision is ListDecision.ACCEPT:
            proxy.loop.call_soon(self.release_queued)
            return entries
        return None if decision is ListDecision.WAIT else self._merge(entries)

    def _merge(self, entries: Sequence[BackendEntry]) -> list[BackendEntry]:
        """The stored list with the newer entries of a list that has a lower version."""
        proxy = self._proxy
        servers = proxy.balancer.servers
        reported = {entry.row.server: entry for entry in entries}
        merged = []
        for stored in parse_list(serialize_list(proxy), proxy.config.zones).entries:
            newer = reported.get(stored.row.server)
            row = servers[stored.row.server].row
            merged.append(stored if newer is None or self.state.prefers_stored(row, newer.row) else newer)
        return merged

    # ---- admission -----------------------------------------------------------------------

    def admit(self, exchange: Exchange, class_index: int, forward: Callable[[], None]) -> None:
        """Forward a request now, queue it, or refuse it; `forward` is called when it may go on."""
        proxy, state = self._proxy, self.state
        now = proxy.loop.time()
        state.on_connections_opened(now, proxy.backends.connections_opened)
        left = exchange.deadline - proxy.clock.now()
        aim = proxy.config.settings.classes[class_index].aim
        verdict = state.admit(now, exchange.request_id, now + left, aim, self._idle_connections())
        if verdict is AdmissionVerdict.PASS or self._stopping:
            state.withdraw(exchange.request_id)
            forward()
        elif verdict is AdmissionVerdict.REFUSE:
            self._refuse(exchange)
        else:
            self._queued[exchange.request_id] = forward
            self._schedule_release()

    def preferred_servers(self) -> list[int] | None:
        """Servers to prefer for first attempts: those with an idle connection, while no new one may be opened."""
        state = self.state
        if not state.rate_limited or state.rate_limiter.available(self._proxy.loop.time()) >= 1.0:
            return None
        return list(self._proxy.backends.idle_servers())

    def _idle_connections(self) -> int:
        if not self.state.rate_limited:
            return 0
        balancer, count = self._proxy.balancer, 0
        for server, idle in self._proxy.backends.idle_servers().items():
            known = balancer.servers.get(server)
            if known is not None and known.row.state is State.UP and server not in balancer.bans:
                count += idle
        return count

    def _refuse(self, exchange: Exchange) -> None:
        limits = self._proxy.config.settings.limits
        retry_after = min(self.state.retry_after(), limits.max_retry_after) if limits.retry_after else 0.0
        exchange.last_failure = "recovering after a restart"
        self._proxy.reject(Refuse(exchange.request_id, retry_after))

    def release_queued(self) -> None:
        """Refuse overdue requests and forward those whose turn has come."""
        proxy, state = self._proxy, self.state
        now = proxy.loop.time()
        for request_id in state.pop_overdue(now):
            self._queued.pop(str(request_id), None)
            exchange = proxy.exchange(str(request_id))
            if exchange is not None:
                self._refuse(exchange)
        while state.queue_length:
            state.on_connections_opened(now, proxy.backends.connections_opened)
            released = state.release_next(now, self._idle_connections())
            if released is None:
                break
            forward = self._queued.pop(str(released), None)
            if forward is not None:
                forward()
        self._schedule_release()

    def _schedule_release(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._proxy.loop.time()
        wakeup = self.state.next_wakeup(now)
        if wakeup < float("inf"):
            self._timer = self._proxy.loop.call_later(max(0.001, wakeup - now), self.release_queued)

    def on_caller_gone(self, exchange: Exchange) -> None:
        """A caller has closed its connection."""
        if self._queued.pop(exchange.request_id, None) is not None:
            self.state.withdraw(exchange.request_id)

    def on_deadline(self, exchange: Exchange) -> bool:
        """A request's deadline has passed; return whether it was queued here and is refused now.

        Guards against timers that fire late or in another order: a caller's budget may be a millisecond.
        """
        if self._queued.pop(exchange.request_id, None) is None:
            return False
        self.state.withdraw(exchange.request_id)
        self.state.on_refused(self._proxy.loop.time())
        self._refuse(exchange)
        return True

    # ---- attempts ------------------------------------------------------------------------

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None) -> Outcome:
        """An attempt has ended; return the outcome that it counts as.

        Guards against answers from another server: a stored address may have been given to another one by now.
        """
        proxy, state = self._proxy, self.state
        state.on_connections_opened(proxy.loop.time(), proxy.backends.connections_opened)
        if not state.discovery_reported:
            if outcome is Outcome.OK and response is not None and self._is_other_server(attempt.server, response):
                self._drop_server(attempt.server, "answers under another name")
                outcome = Outcome.BROKEN
            elif outcome is Outcome.UNREACHABLE:
                self._drop_server(attempt.server, "refuses connections")
            elif outcome is Outcome.REJECTED:
                self._drop_server(attempt.server, "doesn't serve such requests")
        if outcome is Outcome.OK:
            state.on_answer(proxy.loop.time())
        if state.queue_length:
            proxy.loop.call_soon(self.release_queued)
        return outcome

    @staticmethod
    def _is_other_server(server: int, response: Response) -> bool:
        host = next((value for name, value in response.headers if name == BACKEND_NAME_HEADER), None)
        return host is not None and server_id(host.decode("latin-1")) != server

    def _drop_server(self, server: int, reason: str) -> None:
        known = self._proxy.balancer.servers.get(server)
        if known is None or known.row.state is State.GONE or not self.state.on_contradiction(server, reason):
            return
        host = next((host for host, number in self._proxy.servers_by_host.items() if number == server), "")
        row = ServerRow(server, State.GONE, known.row.zone, known.row.cell, started=known.row.started)
        address = self._proxy.backends.address_of(server)
        if address is not None:
            # Deferred: the balancer is still processing the event that led here.
            self._proxy.loop.call_soon(self._proxy.apply_list, ListKind.PATCH, [BackendEntry(row, address, host)])

    # ---- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        """Periodic work: change phases, release queued requests, store state."""
        proxy, state = self._proxy, self.state
        now = proxy.loop.time()
        state.on_connections_opened(now, proxy.backends.connections_opened)
        if state.tick(now):
            log.warning("the stored list has expired, and discovery is silent")
            proxy.apply_list(ListKind.STALE, [])
        if self._distrusted_list is not None and state.confirm_distrusted(now, len(self._distrusted_list)):
            entries, self._distrusted_list = list(self._distrusted_list.values()), None
            proxy.apply_list(ListKind.WHOLE, entries)
        self._report_events()
        if state.queue_length:
            self.release_queued()
        if state.discovery_reported and not self._stopping:
            self._store(now)

    def _report_events(self) -> None:
        events = self.state.take_events()
        for event in events:
            log.info("recovery: %s: %s", event.name, event.description, extra={"event": "comeback"})
        if events:
            self.report(self.status())

    def _store(self, now: float) -> None:
        proxy = self._proxy
        if now >= self._learned_due_at:
            self._learned_due_at = now + LEARNED_INTERVAL
            learned = serialize_learned_state(proxy.balancer, proxy.clock.now())
            self._sink.put("learned", learned | {"calm": self.state.normal_rate})
        # Guards against a list that looks younger than it is: it is written again only while discovery answers.
        if self._list_changed or (now >= self._list_due_at and proxy.discovery.has_current_list):
            self._list_changed = False
            serialized = serialize_list(proxy)
            self._list_due_at = now + max(LIST_INTERVAL, len(serialized["hosts"]) / LIST_ROWS_PER_SECOND)
            self._sink.put("list", serialized)

    def on_operator_orders(self) -> None:
        """Operator orders have changed: store them here and with the fleet, so that they outlive this process."""
        self._orders_version += 1
        orders = collect_operator_orders(self._proxy, self._orders_version).serialize()
        self._sink.put("standing", orders)
        self.report(self.status() | {"standing": orders})

    def status(self) -> dict[str, Any]:
        """The recovery as plain values, for the supervisor."""
        return {**self.state.status(), "seq": self._proxy.discovery.seq if self.state.discovery_reported else 0}

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self.state.ready

    def stop(self) -> None:
        """Forward all queued requests: the process is about to exit."""
        self._stopping = True
        queued, self._queued = list(self._queued.items()), {}
        for request_id, forward in queued:
            self.state.withdraw(request_id)
            forward()

    async def close(self) -> None:
        """Write pending state and release the store."""
        if self._timer is not None:
            self._timer.cancel()
        await self._sink.close()
