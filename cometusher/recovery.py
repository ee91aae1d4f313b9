"""One proxy's return to service: what it kept goes in, what it learns is kept, and its door and paces obey.

Decisions are `weldroute.recovery`'s and `weldroute.snapshots`'s; files are `cometusher.store`'s; why:
`docs/design/comeback.md`. Imported only by an instance whose fleet has it switched on.
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
from cometusher.discovery import Entry, Unreadable, read_listing, server_id
from cometusher.runtime import moment
from cometusher.serialization import standing, take_list, take_standing, write_list
from cometusher.store.records import RecordFile
from cometusher.store.writer import RecordWriter
from weldroute import ListKind, Outcome, Refuse, ServerRow, State
from weldroute.handover import Standing, Unusable, adopt_learned, read_standing, write_learned
from weldroute.recovery import INITIAL_RETRY_TOKENS, AdmissionVerdict, ListDecision, Recovery, RecoveryPlan
from weldroute.snapshots import USABLE_PARTS, AgeLimits, KnownVersions, Owner, Record, Trust, age, assess

if TYPE_CHECKING:
    from cometusher.backends import Attempt
    from cometusher.http1 import Response
    from cometusher.proxy import Exchange, Proxy

log = logging.getLogger("cometusher.comeback")  # the `subsystem` of its log records

RECORD_KINDS = ("standing", "list", "learned")
SAVE_EVERY = 1.0  # seconds between writings of what was learned
LIST_EVERY = 5.0  # seconds between writings of a list that has not changed, for its age to be that of its truth...
LIST_ROWS = 200.0  # ...and so many rows a second of it
NAMES_ITSELF = b"x-backend"  # a backend may name itself in its answers

Report = Callable[[dict[str, Any]], None]


class RecordSink(Protocol):
    """Where records are kept while the process runs."""

    def put(self, kind: str, body: object) -> None:
        """Have a form written soon."""

    async def close(self) -> None:
        """Write what is due, and let go."""


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """All that one instance is told of its return."""

    plan: RecoveryPlan
    limits: AgeLimits
    owner: Owner
    store: Path
    known: KnownVersions = field(default_factory=KnownVersions)
    standing: dict[str, Any] | None = None  # the orders that the fleet knows of, where they are newer


def read_recovery_config(path: Path) -> RecoveryConfig | None:
    """The part of an instance's file that its supervisor wrote for it, if any; raises ConfigError."""
    try:
        values = orjson.loads(path.read_bytes()).get("comeback")
        if values is None:
            return None
        plan, limits = RecoveryPlan(**values["plan"]), AgeLimits(**values["limits"])
        plan.check()
        limits.check()
        owner, known = Owner(**values["owner"]), KnownVersions(**values["known"])
        return RecoveryConfig(plan, limits, owner, Path(values["store"]), known, values["standing"])
    except (OSError, orjson.JSONDecodeError, AttributeError, KeyError, TypeError, ValueError) as fault:
        raise ConfigError(f"{path}: comeback: {fault}") from None


def write_recovery_config(returning: RecoveryConfig) -> dict[str, Any]:
    """That part, for `read_returning`."""
    return asdict(returning) | {"store": str(returning.store)}


def open_store(returning: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
    """What is kept on disk, and where to keep more."""
    records = RecordFile(returning.store)
    found = records.read(RECORD_KINDS)
    if records.problem:
        log.warning("the store %s: %s", returning.store.name, records.problem)
    return found, RecordWriter(records, returning.owner, moment)


class RecoveryController:
    """The return of one proxy, from its start to its end."""

    def __init__(self, proxy: Proxy, returning: RecoveryConfig) -> None:
        self._proxy = proxy
        self._returning = returning
        self._moment = proxy.network.moment
        found, self._kept = proxy.network.keep(returning)
        learned = found.get("learned")
        calm = learned.body.get("calm") if learned is not None and isinstance(learned.body, dict) else None
        calm = float(calm) if isinstance(calm, (int, float)) and not isinstance(calm, bool) else None
        self.state = Recovery(proxy.loop.time(), returning.plan, proxy.config.seed, calm)
        self.report: Report = lambda values: None
        self._version = 0  # of the orders
        self._save_at = self._list_at = 0.0
        self._list_changed = False
        self._waiting: dict[str, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._pending: dict[str, Entry] | None = None  # a list of discovery's that is doubted; it may be empty
        self._over = False
        # Guards a tier that is coming back itself against what many saved up at once.
        proxy.balancer.retry_tokens = INITIAL_RETRY_TOKENS
        proxy.balancer.copy_tokens = 0.0
        proxy.discovery.patience = returning.plan.discovery_interval
        self._take_over(found)

    # ---- what was kept -------------------------------------------------------------------

    def _trust(self, kind: str, record: Record | None) -> Trust:
        returning = self._returning
        verdict, why = assess(record, returning.owner, self._moment(), returning.limits, returning.known)
        level = logging.INFO if verdict in (Trust.FRESH, Trust.AGED, Trust.NOTHING) else logging.WARNING
        log.log(level, "kept %s: %s: %s", kind, verdict.value, why, extra={"event": "remembered"})
        return verdict

    def _take_over(self, found: dict[str, Record]) -> None:
        proxy = self._proxy
        trust = {kind: self._trust(kind, found.get(kind)) for kind in RECORD_KINDS}
        if "list" in USABLE_PARTS[trust["list"]]:
            self._take_list(found["list"])
        if not self.state.ready and proxy.backends.server_ids():
            self.state.on_stored_list(proxy.loop.time(), len(proxy.backends.server_ids()), None, proxy.discovery.seq)
        if "learned" in USABLE_PARTS[trust["learned"]]:
            try:
                known = adopt_learned(proxy.balancer, proxy.clock.now(), found["learned"].body)
                log.info("took over what was learned of %d backends", known)
            except Unusable as fault:
                log.warning("what was learned is left aside: %s", fault)
        self._restore_orders(found.get("standing") if "standing" in USABLE_PARTS[trust["standing"]] else None)

    def _take_list(self, record: Record) -> None:
        proxy = self._proxy
        try:
            listing = take_list(proxy, record.body)
        except Unreadable as fault:
            log.warning("the kept list is left aside: %s", fault)
            return
        passed = age(record, self._moment())
        self.state.on_stored_list(proxy.loop.time(), len(listing.entries), passed, listing.seq)

    def _restore_orders(self, record: Record | None) -> None:
        """Of the instance's own and the fleet's copy, the higher version: an order is never forgotten silently."""
        orders: Standing | None = None
        mine = record.body if record is not None else None
        for where, body in (("kept", mine), ("fleet's", self._returning.standing)):
            if body is None:
                continue
            try:
                read = read_standing(body)
            except Unusable as fault:
                log.warning("the %s orders are left aside: %s", where, fault)
                continue
            if orders is None or read.version > orders.version:
                orders = read
        if orders is not None:
            self._version = orders.version
            take_standing(self._proxy, orders)

    # ---- what discovery tells ------------------------------------------------------------

    def on_list(self, kind: ListKind, entries: Sequence[Entry]) -> Sequence[Entry] | None:
        """What to apply of what discovery tells; None for nothing of it now."""
        if kind in (ListKind.BROKEN, ListKind.STALE):
            return entries
        proxy, now = self._proxy, self._proxy.loop.time()
        whole = kind is ListKind.WHOLE
        hearing = self.state.on_list(now, whole, len(entries), proxy.discovery.seq)
        self._list_changed = True
        if whole:
            self._pending = None if hearing is ListDecision.ACCEPT else {entry.host: entry for entry in entries}
        elif self._pending is not None:
            self._pending.update((entry.host, entry) for entry in entries)
        if hearing is ListDecision.ACCEPT:
            proxy.loop.call_soon(self.release_queued)
            return entries
        return None if hearing is ListDecision.WAIT else self._merge(entries)

    def _merge(self, entries: Sequence[Entry]) -> list[Entry]:
        """The remembered list with what is newer in a list of a lower version."""
        proxy = self._proxy
        servers = proxy.balancer.servers
        told = {entry.row.server: entry for entry in entries}
        merged = []
        for item in read_listing(write_list(proxy), proxy.config.zones).entries:
            other = told.get(item.row.server)
            known = servers[item.row.server].row
            merged.append(item if other is None or self.state.prefers_stored(known, other.row) else other)
        return merged

    # ---- the door ------------------------------------------------------------------------

    def admit(self, exchange: Exchange, kind: int, ask: Callable[[], None]) -> None:
        """Let a request go on now (`ask`), later, or not at all."""
        proxy, state = self._proxy, self.state
        now = proxy.loop.time()
        state.on_connections_opened(now, proxy.backends.connections_opened)
        left = exchange.deadline - proxy.clock.now()
        aim = proxy.config.settings.classes[kind].aim
        verdict = state.admit(now, exchange.request_id, now + left, aim, self._free())
        if verdict is AdmissionVerdict.PASS or self._over:
            state.withdraw(exchange.request_id)
            ask()
        elif verdict is AdmissionVerdict.REFUSE:
            self._refuse(exchange)
        else:
            self._waiting[exchange.request_id] = ask
            self._plan()

    def preferred_servers(self) -> list[int] | None:
        """The servers that first tries keep to now: those with an idle connection, while no new one may be opened."""
        state = self.state
        if not state.rate_limited or state.rate_limiter.available(self._proxy.loop.time()) >= 1.0:
            return None
        return list(self._proxy.backends.idle_servers())

    def _free(self) -> int:
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
        after = min(self.state.retry_after(), limits.max_retry_after) if limits.retry_after else 0.0
        exchange.last_failure = "coming back"
        self._proxy.reject(Refuse(exchange.request_id, after))

    def release_queued(self) -> None:
        """Let those go on whose turn has come."""
        proxy, state = self._proxy, self.state
        now = proxy.loop.time()
        for request in state.pop_overdue(now):
            self._waiting.pop(str(request), None)
            exchange = proxy.exchange(str(request))
            if exchange is not None:
                self._refuse(exchange)
        while state.queue_length:
            state.on_connections_opened(now, proxy.backends.connections_opened)
            turn = state.release_next(now, self._free())
            if turn is None:
                break
            ask = self._waiting.pop(str(turn), None)
            if ask is not None:
                ask()
        self._plan()

    def _plan(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._proxy.loop.time()
        due = self.state.next_wakeup(now)
        if due < float("inf"):
            self._timer = self._proxy.loop.call_later(max(0.001, due - now), self.release_queued)

    def on_caller_gone(self, exchange: Exchange) -> None:
        """A caller has gone away."""
        if self._waiting.pop(exchange.request_id, None) is not None:
            self.state.withdraw(exchange.request_id)

    def on_deadline(self, exchange: Exchange) -> bool:
        """A request's time is up; whether it has waited here, and is refused now.

        Guards against timers that come late or in another order: what a caller gives may be a millisecond.
        """
        if self._waiting.pop(exchange.request_id, None) is None:
            return False
        self.state.withdraw(exchange.request_id)
        self.state.on_refused(self._proxy.loop.time())
        self._refuse(exchange)
        return True

    # ---- attempts ------------------------------------------------------------------------

    def on_attempt_ended(self, attempt: Attempt, how: Outcome, response: Response | None) -> Outcome:
        """An attempt has ended; as what it counts.

        Guards against answers of another than was meant: a remembered address may be somebody else's by now.
        """
        proxy, state = self._proxy, self.state
        state.on_connections_opened(proxy.loop.time(), proxy.backends.connections_opened)
        if not state.discovery_reported:
            if how is Outcome.OK and response is not None and self._other(attempt.server, response):
                self._drop(attempt.server, "answers as another")
                how = Outcome.BROKEN
            elif how is Outcome.UNREACHABLE:
                self._drop(attempt.server, "refuses connections")
            elif how is Outcome.REJECTED:
                self._drop(attempt.server, "knows no such requests")
        if how is Outcome.OK:
            state.on_answer(proxy.loop.time())
        if state.queue_length:
            proxy.loop.call_soon(self.release_queued)
        return how

    @staticmethod
    def _other(server: int, response: Response) -> bool:
        named = next((value for name, value in response.headers if name == NAMES_ITSELF), None)
        return named is not None and server_id(named.decode("latin-1")) != server

    def _drop(self, server: int, how: str) -> None:
        known = self._proxy.balancer.servers.get(server)
        if known is None or known.row.state is State.GONE or not self.state.on_contradiction(server, how):
            return
        host = next((host for host, number in self._proxy.servers_by_host.items() if number == server), "")
        row = ServerRow(server, State.GONE, known.row.zone, known.row.cell, started=known.row.started)
        dial = self._proxy.backends.address_of(server)
        if dial is not None:
            # Not within the event that told of it: the module is still at that.
            self._proxy.loop.call_soon(self._proxy.apply_list, ListKind.PATCH, [Entry(row, dial, host)])

    # ---- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        """Called often: phases, and what is to be kept."""
        proxy, state = self._proxy, self.state
        now = proxy.loop.time()
        state.on_connections_opened(now, proxy.backends.connections_opened)
        if state.tick(now):
            log.warning("the remembered list is over, and discovery is silent")
            proxy.apply_list(ListKind.STALE, [])
        if self._pending is not None and state.confirm_distrusted(now, len(self._pending)):
            pending, self._pending = list(self._pending.values()), None
            proxy.apply_list(ListKind.WHOLE, pending)
        self._say()
        if state.queue_length:
            self.release_queued()
        if state.discovery_reported and not self._over:
            self._save(now)

    def _say(self) -> None:
        steps = self.state.take_events()
        for step in steps:
            log.info("coming back: %s: %s", step.name, step.description, extra={"event": "comeback"})
        if steps:
            self.report(self.status())

    def _save(self, now: float) -> None:
        proxy = self._proxy
        if now >= self._save_at:
            self._save_at = now + SAVE_EVERY
            learned = write_learned(proxy.balancer, proxy.clock.now())
            self._kept.put("learned", learned | {"calm": self.state.normal_rate})
        # Guards against a list that seems younger than its truth: it is written again only while discovery speaks.
        if self._list_changed or (now >= self._list_at and proxy.discovery.live):
            self._list_changed = False
            form = write_list(proxy)
            self._list_at = now + max(LIST_EVERY, len(form["hosts"]) / LIST_ROWS)
            self._kept.put("list", form)

    def on_operator_orders(self) -> None:
        """Operators have ordered something: it is to outlive this process, here and with the fleet."""
        self._version += 1
        orders = standing(self._proxy, self._version).write()
        self._kept.put("standing", orders)
        self.report(self.status() | {"standing": orders})

    def status(self) -> dict[str, Any]:
        """The return, for the supervisor."""
        return {**self.state.status(), "seq": self._proxy.discovery.seq if self.state.discovery_reported else 0}

    @property
    def ready(self) -> bool:
        """Whether anything can be served."""
        return self.state.ready

    def stop(self) -> None:
        """Nothing waits any longer: the process is about to end."""
        self._over = True
        waiting, self._waiting = list(self._waiting.items()), {}
        for rid, ask in waiting:
            self.state.withdraw(rid)
            ask()

    async def close(self) -> None:
        """Keep what is due."""
        if self._timer is not None:
            self._timer.cancel()
        await self._kept.close()
