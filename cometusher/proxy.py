"""The centre: owns the balancer, its clock and the table of requests; events in, actions out.

Every event goes one way: into the module, and the module's actions are carried out in their order.
What comes of them returns as later events. Nothing here picks, retries, refuses or sheds.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

from cometusher.backends import Attempt, Backends
from cometusher.budget import (
    IDLE_PROCESS_MB,
    IDLE_TWO_PROCESSES_MB,
    MANAGEMENT_DESCRIPTORS,
    RESERVED_DESCRIPTORS,
    BodyMemoryBudget,
    DescriptorBudget,
)
from cometusher.callers import CallerConnection, Callers
from cometusher.config import Config
from cometusher.discovery import Discovery, Entry, read_listing
from cometusher.http1 import (
    Headers,
    Malformed,
    Request,
    Response,
    end_to_end,
    format_budget,
    parse_budget,
    request_head,
)
from cometusher.runtime import Network, SocketNetwork
from weldroute import (
    Action,
    Balancer,
    Cancel,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    Send,
    ServerRow,
    State,
    Subscribe,
    Timer,
)
from weldroute.model import NEVER_RAN, PriorAttempt, ServerId
from weldroute.model import Discovery as DiscoveryMode
from weldroute.operations import (
    ALREADY_DONE,
    DONE,
    NOT_YET,
    UNKNOWN_BACKEND,
    CallResult,
    LifecycleState,
    ManagementCall,
    Operations,
)

if TYPE_CHECKING:
    from cometusher.hot_restart import Succession
    from cometusher.inflight.tracker import InflightTracker
    from cometusher.management import Management
    from cometusher.recovery import RecoveryController
    from weldroute.outlier_detection import TrafficRecorder

log = logging.getLogger(__name__)

TakenOverConnection = tuple[
    Any, int, int
]  # a connection, as `Network.attach` takes it; bytes written to it, and read from it
READY_PATH = b"/up"
SWEEP_INTERVAL = 0.1  # seconds between looks at idle connections and time limits
FIRST_LIST_TIMEOUT = 2.0  # seconds that a process with a listener of others waits for its first list
MANAGEMENT_RETRY_DELAY = 0.1  # seconds between tries at the operators' address, while the process before has it
REPORT_INTERVAL = 10.0  # seconds between lines of figures in the log
INCOMING_BODY_TIMEOUT = 3600.0  # seconds until the deadline of a request whose body still comes
DRAIN_FULL_BUDGET_WINDOW = (
    0.7  # seconds after the order to stop in which requests come that must have their whole time
)
DRAIN_MAX_BUDGET = 3.0  # seconds of a caller's time that the end by force waits for, at most
DRAIN_ANSWER_MARGIN = 0.2  # seconds before that end by which all is answered
DRAIN_ACCEPT_MARGIN = 0.7  # ...and by which the last request is taken: most answers take less
DRAIN_POLL_INTERVAL = 0.05  # seconds between looks at what a drain is due to do
INTERNAL_HEADERS = frozenset({b"x-load-report", b"x-rejected"})  # between backends and proxies only


class Clock:
    """Unix time that never jumps, so that it compares with the birth of backends and with itself."""

    def __init__(self, network: Network) -> None:
        self._monotonic = network.monotonic
        self._offset = network.unix_time() - network.monotonic()

    def now(self) -> float:
        """Seconds."""
        return self._offset + self._monotonic()

    def to_machine(self, at: float) -> float:
        """A moment by the machine's clock, which all processes of a machine share."""
        return at - self._offset

    def from_machine(self, at: float) -> float:
        """A moment of the machine's clock by this one."""
        return at + self._offset


class Exchange:
    """A request that was taken: one final answer is owed, and its attempts end here."""

    __slots__ = (
        "answer_stored_until",
        "answered",
        "attempts",
        "budget",
        "call_id",
        "caller",
        "class_index",
        "deadline",
        "dedup_key",
        "headers",
        "journal_slot",
        "last_failure",
        "open_attempts",
        "open_id_slot",
        "proxy",
        "repeatable",
        "request",
        "request_id",
        "streaming_attempt",
        "timer",
    )

    def __init__(
        self, proxy: Proxy, caller: CallerConnection, request: Request, rid: str, call_id: bytes, deadline: float
    ) -> None:
        self.proxy = proxy
        self.caller = caller
        self.request = request
        self.request_id = rid
        self.call_id = call_id
        self.deadline = deadline
        self.budget = 0.0  # seconds from its last byte that the caller gives
        self.streaming_attempt: Attempt | None = None  # whose answer goes on while it comes
        self.headers: Headers = []
        self.repeatable = False  # the class is harmless to repeat
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.journal_slot = -1  # by which it is known to the book of work in hand...
        self.class_index = 0  # of one that was taken over: its class
        self.dedup_key = 0  # ...and what it asks, if that has a key...
        self.answer_stored_until = 0.0  # ...and until when its answer is kept, by the machine's clock
        self.open_id_slot = 0  # where other processes of this proxy see that its id is open
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None
        self.last_failure = ""  # how the last attempt ended

    def on_caller_left(self) -> None:
        self.proxy.on_caller_left(self)

    def on_body_complete(self) -> None:
        self.proxy.on_body_complete(self)

    def on_body_consumed(self) -> None:
        self.proxy.on_body_consumed(self)

    def on_answer_blocked(self, held: bool) -> None:
        if self.streaming_attempt is not None and self.streaming_attempt.connection is not None:
            self.streaming_attempt.connection.set_reading_paused(held)


class Proxy:
    """One proxy: its parts, and the dispatch between them and the module."""

    def __init__(self, config: Config, network: Network | None = None) -> None:
        loop = asyncio.get_running_loop()
        settings = config.settings
        self.loop = loop
        self.network = network or SocketNetwork(loop)
        self.clock = Clock(self.network)
        self.config = config
        self.operations = Operations()
        self._hot_restart: Succession | None = None
        self.recovery: RecoveryController | None = None
        self.inflight: InflightTracker | None = None
        self.traffic_counters: TrafficRecorder | None = None  # what its supervisor compares with others'
        self.management: Management | None = None
        self.servers_by_host: dict[str, ServerId] = {}  # backends as discovery names them
        reserved = RESERVED_DESCRIPTORS + (MANAGEMENT_DESCRIPTORS if config.management else 0)
        processes = 2 if config.shared else 1  # that are this proxy while one takes over from the other
        self.descriptors = DescriptorBudget(config.sockets, processes * reserved)
        self.memory = BodyMemoryBudget(config.memory_mb, IDLE_TWO_PROCESSES_MB if config.shared else IDLE_PROCESS_MB)
        self.callers = Callers(loop, self.network, self, self.descriptors, self.memory)
        self.backends = Backends(
            loop,
            self.network,
            self,
            self.descriptors,
            settings.limits.connect_timeout,
            settings.limits.connection_idle,
        )
        self.balancer = Balancer(settings, config.seed)
        self._rng = Random(config.seed + 1)  # jitter of the proxy's own; the module's stays reproducible
        self._class_indices = {kind.name.encode(): i for i, kind in enumerate(settings.classes)}
        self._tenant_indices = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}
        self._exchanges: dict[str, Exchange] = {}
        self._open_ids: set[bytes] = set()  # the callers' own ids of all exchanges
        self._typical_budgets = [0.0 for _ in settings.classes]  # seconds that callers give for an answer
        self._latest_deadline = float("inf")  # when the last answer is due: the process is about to end
        self._request_count = 0
        self.counters: dict[str, int] = {}  # since the start
        self._reported_counters: dict[str, int] = {}
        self.identity_headers: Headers = []  # headers on the answer to a readiness check: which process this is
        self._next_report_at = loop.time() + REPORT_INTERVAL
        known = read_listing({"hosts": []} | config.known, config.zones)
        self.discovery = Discovery(
            config.discovery,
            config.zones,
            known.seq,
            settings.discovery is DiscoveryMode.PUSHED,
            self._rng,
            self.on_list,
        )
        self.on_list(ListKind.STALE, known.entries)
        if config.shared:
            self._start_hot_restart(config.shared)
        if config.returning is not None:
            from cometusher.recovery import RecoveryController

            self.recovery = RecoveryController(self, config.returning)
        if config.covered is not None:
            from cometusher.inflight.tracker import InflightTracker

            self.inflight = InflightTracker(self, self.network.cover(config.covered))

    def _start_hot_restart(self, folder: str) -> None:
        from cometusher.hot_restart import Succession

        try:
            self._hot_restart = Succession(self, self.network.share(folder))
        except OSError as fault:
            log.warning("nothing is shared with other processes of this proxy: %s", fault)
        else:
            self._hot_restart.take_over()

    # ---- life ----------------------------------------------------------------------------

    def start(self) -> None:
        """Listen on the address of the configuration, and follow discovery."""
        self._listen_for_management()
        self.callers.listen(self.network.listen(self.config.listen))
        self._begin_serving()
        self._follow_discovery()

    async def start_on(self, listener: socket.socket, beside: bool = False) -> None:
        """Follow discovery, and listen on what is handed in as soon as there is a list, or none to be had.

        `beside`: another process may have the operators' address until its end; it is taken then.

        Guards against refusing what another process of the same listener could have served: one that knows no
        backend yet has nothing to send to. Harm: with discovery silent, the start takes FIRST_LIST longer.
        """
        self._listen_for_management(beside)
        self._follow_discovery()
        if not self.backends.server_ids() and self.recovery is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.discovery.heard.wait(), FIRST_LIST_TIMEOUT)
        self.callers.listen(self.network.adopt(listener))
        self._begin_serving()

    def _begin_serving(self) -> None:
        self.operations.serving = True
        self.apply_listener_state()
        if self.inflight is not None:
            self.inflight.start()
        if self._hot_restart is not None:
            self._hot_restart.serves()

    def _listen_for_management(self, beside: bool = False) -> None:
        """Listen where operators call, if they do: at once, or as soon as the process before lets go."""
        if self.config.management is None or self.operations.state is LifecycleState.STOPPING:
            return
        from cometusher.management import Management

        try:
            listener = self.network.listen(self.config.management)
        except OSError:
            if not beside:
                raise
            self.loop.call_later(MANAGEMENT_RETRY_DELAY, self._listen_for_management, True)
            return
        self.management = Management(self.loop, self.network.attach, listener, self.handle_operator_call)

    def _follow_discovery(self) -> None:
        self._dispatch(None, lambda now: self.balancer.start(now))
        self.discovery.start()
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def reconfigure(self, fresh: Config) -> None:
        """Take over from a new configuration what can change while requests are under way."""
        old = self.config
        self.config = replace(old, discovery=fresh.discovery, sockets=fresh.sockets, memory_mb=fresh.memory_mb)
        self.descriptors.resize(fresh.sockets)
        self.memory.resize(fresh.memory_mb)
        self.discovery.move(fresh.discovery)
        log.info("the configuration was read again; discovery is at %s:%d", *fresh.discovery)
        if (fresh.listen, fresh.settings, fresh.zones) != (old.listen, old.settings, old.zones):
            log.warning("a change of listen or settings waits for the next start")

    async def drain(self) -> None:
        """End in order: everything that was taken is answered, and in time.

        The end by force comes at the earliest when a request that came in the first moments has had the
        longest time that callers give. Until then those that stay connected are served; what they ask late
        gets an answer before that end, whatever it is. Harm: where that end comes sooner, requests are lost.
        """
        longest = min(max(self._typical_budgets), DRAIN_MAX_BUDGET)
        if longest:
            self._latest_deadline = self.clock.now() + DRAIN_FULL_BUDGET_WINDOW + longest - DRAIN_ANSWER_MARGIN
        if self._hot_restart is not None:
            self._hot_restart.stops()
        if self.recovery is not None:
            self.recovery.stop()
        self.operations.stop(self.loop.time(), DRAIN_FULL_BUDGET_WINDOW + longest - DRAIN_ACCEPT_MARGIN)
        emptied: asyncio.Task[None] | None = None
        while emptied is None or not emptied.done():
            self.apply_listener_state()
            if emptied is None and not self.callers.listener_state.listens:
                self.callers.close_listener()
                emptied = self.loop.create_task(self.callers.wait_until_empty())
            if emptied is None:
                await asyncio.sleep(DRAIN_POLL_INTERVAL)
            else:
                await asyncio.wait([emptied], timeout=DRAIN_POLL_INTERVAL)
        if self.management is not None:
            self.management.close()
        await self.discovery.stop()
        if self.recovery is not None:
            await self.recovery.close()

    def apply_listener_state(self) -> None:
        """Do towards callers as the operations say."""
        self.callers.apply_listener_state(self.operations.listener_state(self.loop.time()))

    def set_ejected(self, aside: bool) -> None:
        """Leave new connections to others, who accept on the same listener, or take them again; told often."""
        if aside is not self.operations.ejected:
            self.operations.ejected = aside
            self.apply_listener_state()

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        self.backends.sweep()
        if self.recovery is not None:
            self.recovery.tick()
        if self._hot_restart is not None:
            self._hot_restart.look()
        self.apply_listener_state()
        self.callers.sweep()
        if self.management is not None:
            self.management.sweep()
        if self.loop.time() >= self._next_report_at and self.counters != self._reported_counters:
            self._next_report_at = self.loop.time() + REPORT_INTERVAL
            fresh = {name: n - self._reported_counters.get(name, 0) for name, n in self.counters.items()}
            busy, idle = self.backends.counts()
            log.info(
                "%s; now: %d requests, %d callers, backends %d busy %d idle, descriptors peak %d, bodies peak %d kB",
                ", ".join(f"{name} {n}" for name, n in sorted(fresh.items()) if n),
                len(self._exchanges),
                self.callers.count(),
                busy,
                idle,
                self.descriptors.peak,
                self.memory.peak // 1024,
            )
            self._reported_counters = dict(self.counters)

    def _increment(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1

    @property
    def open_requests(self) -> int:
        """Requests that were taken and are not settled."""
        return len(self._exchanges)

    # ---- operators -----------------------------------------------------------------------

    def handle_operator_call(self, call: ManagementCall, host: str = "") -> CallResult:
        """Do what operators ask; what a yes promises holds when this returns."""
        now = self.loop.time()
        if call is ManagementCall.READY:
            verdict = self.operations.readiness()
            return NOT_YET if verdict.succeeded and self.recovery is not None and not self.recovery.ready else verdict
        if call is ManagementCall.EVACUATE:
            verdict = self.operations.evacuate(now)
        elif call is ManagementCall.REJOIN:
            verdict = self.operations.rejoin()
        else:
            verdict = self._set_ban(host, call is ManagementCall.EXCLUDE)
        for keeper in (self._hot_restart, self.recovery):
            if keeper is not None and verdict.succeeded:
                keeper.on_operator_orders()
        self.apply_listener_state()
        return verdict

    def _set_ban(self, host: str, out: bool) -> CallResult:
        server = self.servers_by_host.get(host)
        if server is None:
            return UNKNOWN_BACKEND
        if out is (server in self.balancer.bans):
            return ALREADY_DONE
        balancer = self.balancer
        self._dispatch(None, lambda now: balancer.ban(now, server) if out else balancer.unban(now, server))
        # It is restarted while it is out: what is open to it now is of no use then.
        self.backends.drop_idle(server)
        if not out and server not in balancer.servers:
            del self.servers_by_host[host]  # discovery has dropped it meanwhile
        return DONE

    # ---- dispatch ------------------------------------------------------------------------

    def _dispatch(self, exchange: Exchange | None, event: Callable[[float], list[Action]]) -> None:
        """One event into the module, and its actions in their order."""
        if self._hot_restart is not None:
            self._hot_restart.heed()
        try:
            actions = event(self.clock.now())
        except Exception:
            # Guards the process: one request fails, the others go on.
            log.exception("the module failed")
            if exchange is not None:
                self._abandon(exchange)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("an action failed: %r", action)
                if exchange is not None:
                    self._abandon(exchange)

    def _execute(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Refuse):
            self._refuse(action)
        elif isinstance(action, Fail):
            exchange = self._exchanges[action.request]
            self._fail(exchange, exchange.last_failure or "no backend took it")
        elif isinstance(action, Cancel):
            exchange = self._exchanges[action.request]
            self._give_up(exchange.attempts[action.attempt], Outcome.CANCELLED)
        elif isinstance(action, Timer):
            self._set_timer(action)
        else:
            assert isinstance(action, Subscribe)
            self.discovery.subscribe()

    def _set_timer(self, action: Timer) -> None:
        delay = max(0.0, action.due - self.clock.now())
        token = action.token
        self.loop.call_later(delay, lambda: self._dispatch(None, lambda now: self.balancer.on_timer(now, token)))

    # ---- requests ------------------------------------------------------------------------

    def handle_request(self, caller: CallerConnection, request: Request) -> Exchange | None:
        """A whole request has come."""
        if request.target == READY_PATH and request.method == b"GET":
            if self._hot_restart is not None:
                self._hot_restart.heed()  # as before any event, which this is not
            self._answer_readiness(caller)
            return None
        try:
            kind, budget = self.validate(request)
        except Malformed as fault:
            self._increment("malformed")
            caller.reject(fault)
            return None
        now = self.clock.now()
        longest = self.config.settings.classes[kind].deadline
        budget = longest if budget is None else min(budget, longest)
        usual = self._typical_budgets[kind]
        # Smoothed: one caller that claims a long time must not put off the end for all.
        self._typical_budgets[kind] += (budget - usual) / 32.0 if usual else budget
        stream = request.stream
        coming = stream is not None and not stream.complete
        deadline = now + INCOMING_BODY_TIMEOUT if coming else min(now + budget, self._latest_deadline)
        if self.inflight is not None and self.inflight.unread_on_arrival and not coming:
            deadline -= self.inflight.unread_wait(caller)
        exchange = self._open_exchange(caller, request, kind, budget, deadline)
        if stream is not None:
            stream.on_consumed = exchange.on_body_consumed
        tenant = self._tenant_indices.get(request.header(b"x-caller") or b"", len(self._tenant_indices))
        if self.inflight is not None:
            self._accept_journaled(self.inflight, exchange, kind, tenant, coming)
        elif self.recovery is not None:
            self._submit_paced(exchange, kind, tenant, coming)
        else:
            self._submit(exchange, kind, tenant, coming)
        return exchange

    def _accept_journaled(
        self, hand: InflightTracker, exchange: Exchange, kind: int, tenant: int, coming: bool
    ) -> None:
        """A request that is noted, at the latest when it begins to wait."""
        about = self.config.settings.classes[kind]
        keyed = about.repeat is Repeat.KEYED and exchange.request.stream is None
        spot = -1
        if keyed:
            place, spot = hand.find_same_key(exchange, about)
            if place is not None and hand.follow(
                exchange, place, lambda: self._submit_paced(exchange, kind, tenant, coming)
            ):
                return
        self._submit_paced(exchange, kind, tenant, coming)
        if exchange.journal_slot == -1 and not exchange.answered:
            hand.record_waiting(exchange)
        if keyed and place is None:
            hand.publish_key(exchange, spot)

    def _submit_paced(self, exchange: Exchange, kind: int, tenant: int, coming: bool) -> None:
        """Let a request go on; one that is whole at the pace of a return, if there is one."""
        if self.recovery is None or coming:
            self._submit(exchange, kind, tenant, coming)
        else:
            self.recovery.admit(exchange, kind, lambda: self._submit(exchange, kind, tenant, False))

    def _tenant_index(self, request: Request) -> int:
        return self._tenant_indices.get(request.header(b"x-caller") or b"", len(self._tenant_indices))

    def _open_exchange(
        self, caller: CallerConnection, request: Request, kind: int, budget: float, deadline: float
    ) -> Exchange:
        """A request is in hand from here on, until it has its answer by the deadline."""
        self._request_count += 1
        call_id = request.header(b"x-call-id") or b""
        exchange = Exchange(self, caller, request, str(self._request_count), call_id, deadline)
        exchange.budget = budget
        exchange.headers = [h for h in end_to_end(request.headers) if h[0] != b"x-budget"]
        exchange.repeatable = self.config.settings.classes[kind].repeat is Repeat.SAFE
        self._exchanges[exchange.request_id] = exchange
        self._open_ids.add(exchange.call_id)
        if self._hot_restart is not None:
            exchange.open_id_slot = self._hot_restart.ids.open(call_id)
        self._set_deadline(exchange, self.clock.now(), deadline)
        return exchange

    def take_over_request(
        self, caller: CallerConnection, request: Request, deadline: float, rest_lost: bool
    ) -> Exchange:
        """A request that another process has taken from this connection is in hand here."""
        kind, _ = self.validate(request)
        caller.take_over_request(request, rest_lost)
        exchange = self._open_exchange(caller, request, kind, max(0.0, deadline - self.clock.now()), deadline)
        exchange.journal_slot, exchange.class_index = caller.journal_slot, kind
        self._increment("inherited")
        caller.set_accepted(exchange)
        return exchange

    def resume_attempts(
        self, exchange: Exchange, past: Sequence[PriorAttempt], joined: Sequence[TakenOverConnection | None]
    ) -> None:
        """Go on with it, from the attempts that the other process has made; those that are joined go on here."""
        for number, (one, connection) in enumerate(zip(past, joined, strict=True)):
            attempt = Attempt(exchange, number, one.server, one.sent, exchange.repeatable)
            attempt.journal_index = number
            attempt.ended = connection is None
            exchange.attempts.append(attempt)
            if connection is not None:
                exchange.open_attempts += 1
                self.backends.take_over(attempt, *connection)
        kind, tenant, deadline = exchange.class_index, self._tenant_index(exchange.request), exchange.deadline

        def ask() -> None:
            self._dispatch(
                exchange, lambda now: self.balancer.take_over(now, exchange.request_id, kind, tenant, deadline, past)
            )

        ask()

    def serve_stored_answer(self, exchange: Exchange, status: int, headers: Headers, body: bytes) -> None:
        """Give the answer that another request of its key has had."""
        if not exchange.answered:
            self._increment("served")
            self._answer(exchange, status, headers, body)

    def retry_after(self) -> float:
        """Seconds after which one that is refused for no fault of the backends may come again; 0: none is named."""
        limits = self.config.settings.limits
        return min(self._rng.random(), limits.max_retry_after) if limits.retry_after else 0.0

    def _answer_readiness(self, caller: CallerConnection) -> None:
        headers, up = list(self.identity_headers), self.callers.listener_state.up
        if self.recovery is not None:
            up = up and self.recovery.ready
            headers.append((b"x-comeback", self.recovery.state.phase.value.encode()))
        caller.answer(200 if up else 503, headers, b"")

    def _submit(self, exchange: Exchange, kind: int, tenant: int, coming: bool) -> None:
        """Bring a request before the module."""
        if self.recovery is not None:
            self.balancer.preferred = self.recovery.preferred_servers()
        deadline = exchange.deadline
        self._dispatch(
            exchange, lambda now: self.balancer.request(now, exchange.request_id, kind, tenant, deadline, coming)
        )
        self.balancer.preferred = None

    def reject(self, action: Refuse | Fail) -> None:
        """Refuse or fail a request that the module was not asked for."""
        if isinstance(action, Refuse):
            self._refuse(action)
        else:
            exchange = self._exchanges[action.request]
            self._fail(exchange, exchange.last_failure)

    def exchange(self, rid: str) -> Exchange | None:
        """A request that is not settled."""
        return self._exchanges.get(rid)

    def on_body_complete(self, exchange: Exchange) -> None:
        """The last byte of a body that is passed on while it comes: the request's time counts from here."""
        if exchange.answered:
            return
        now = self.clock.now()
        self._set_deadline(exchange, now, min(now + exchange.budget, self._latest_deadline))
        if self.inflight is not None:
            self.inflight.on_body_received(exchange)
        for attempt in exchange.attempts:
            if not attempt.ended:
                attempt.sent_at = now
        self._dispatch(
            exchange, lambda now: self.balancer.on_body_complete(now, exchange.request_id, exchange.deadline)
        )

    def on_body_consumed(self, exchange: Exchange) -> None:
        """It can't be sent again."""
        self.balancer.on_body_released(exchange.request_id)

    def validate(self, request: Request) -> tuple[int, float | None]:
        """Class and budget of a request.

        Guards backends, and what is learned of them, against requests that can only go wrong there: an id
        that another open request has would be a second copy of that one, and a method that does not fit the
        class would be repeated by other rules than the backend's.
        """
        call_id = request.header(b"x-call-id")
        if not call_id:
            raise Malformed(400, "no X-Call-Id")
        if call_id in self._open_ids or (self._hot_restart is not None and self._hot_restart.ids.elsewhere(call_id)):
            raise Malformed(409, "X-Call-Id of an open request")
        name = request.header(b"x-call-class")
        kind = self._class_indices.get(name or b"")
        if kind is None:
            raise Malformed(400, "unknown X-Call-Class" if name else "no X-Call-Class")
        repeat = self.config.settings.classes[kind].repeat
        if request.method != (b"GET" if repeat is Repeat.SAFE else b"POST"):
            raise Malformed(405, "the method does not fit the class")
        if (request.body or request.stream) and repeat is Repeat.SAFE:
            raise Malformed(400, "a body where none belongs")
        if bool(request.header(b"idempotency-key")) is not (repeat is Repeat.KEYED):
            raise Malformed(400, "Idempotency-Key does not fit the class")
        budget = request.header(b"x-budget")
        return kind, None if budget is None else parse_budget(budget)

    def on_caller_left(self, exchange: Exchange) -> None:
        """The caller has gone away."""
        if exchange.answered:
            if exchange.streaming_attempt is not None:
                self._increment("left")
                self._give_up(exchange.streaming_attempt, Outcome.CANCELLED)  # nobody is there to read the rest
            return
        self._increment("left")
        if self.recovery is not None:
            self.recovery.on_caller_gone(exchange)
        if self.inflight is not None:
            self.inflight.stop_following(exchange)
        exchange.answered = True
        self._dispatch(exchange, lambda now: self.balancer.on_client_gone(now, exchange.request_id))
        self._forget_if_settled(exchange)

    def _set_deadline(self, exchange: Exchange, now: float, deadline: float) -> None:
        """Set when the caller's time is up, in place of any earlier moment."""
        self._stop_timer(exchange)
        exchange.deadline = deadline
        exchange.timer = self.loop.call_later(max(0.0, deadline - now), self._on_deadline, exchange)

    def _stop_timer(self, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None

    def _on_deadline(self, exchange: Exchange) -> None:
        early = exchange.deadline - self.clock.now()
        if early > 0.0:  # event loop timers are coarse; the module must see the deadline as past
            exchange.timer = self.loop.call_later(early + 0.001, self._on_deadline, exchange)
            return
        exchange.timer = None
        if self.recovery is not None and self.recovery.on_deadline(exchange):
            return
        if self.inflight is not None and self.inflight.stop_following(exchange):
            # What it followed may have run, here or elsewhere.
            self._fail(exchange, "work of the same key is in hand elsewhere")
            return
        for attempt in list(exchange.attempts):
            if not attempt.ended:
                how_far = self.backends.cancel(attempt)
                # Guards against a machine that has vanished: its other connections are as silent.
                self.backends.drop_idle(attempt.server)
                self.on_attempt_ended(attempt, Outcome.TIMEOUT, None, f"no answer by the deadline: {how_far}")
        if not exchange.answered:
            log.error("request %s was not answered by its deadline", exchange.request_id)
            self._abandon(exchange)

    def _forget_if_settled(self, exchange: Exchange) -> None:
        """Forget an exchange when nothing of it is left."""
        if exchange.answered and not exchange.open_attempts:
            self._stop_timer(exchange)
            if self._exchanges.pop(exchange.request_id, None) is not None:
                self._open_ids.discard(exchange.call_id)
                if self._hot_restart is not None:
                    self._hot_restart.ids.close(exchange.open_id_slot)
            # An exchange and its attempts name each other: freed at once, they need no collector.
            exchange.attempts.clear()

    def _abandon(self, exchange: Exchange) -> None:
        """The module or an action failed: the request fails, and nothing more goes out for it."""
        if not exchange.answered:
            self._fail(exchange, "internal fault")
        for attempt in list(exchange.attempts):
            if not attempt.ended:
                self._give_up(attempt, Outcome.CANCELLED)
        try:
            self.balancer.on_client_gone(self.clock.now(), exchange.request_id)
        except Exception:
            log.exception("the module failed to let a request go")
        self._forget_if_settled(exchange)

    # ---- final answers -------------------------------------------------------------------

    def _refuse(self, action: Refuse) -> None:
        exchange = self._exchanges[action.request]
        if exchange.answered:
            return
        headers: Headers = [(b"content-type", b"text/plain")]
        if action.retry_after > 0.0:
            headers.append((b"retry-after", b"%.3f" % action.retry_after))
        self._increment("refused")
        log.info("refused: %s", exchange.last_failure or "at the door")
        self._answer(exchange, 503, headers, b"refused\n")

    def _fail(self, exchange: Exchange, why: str) -> None:
        if exchange.answered:
            return
        self._increment("failed")
        late = self.clock.now() >= exchange.deadline
        log.info("failed: %s", why)
        self._answer(exchange, 504 if late else 502, [(b"content-type", b"text/plain")], b"failed\n")

    def _answer(self, exchange: Exchange, status: int, headers: Headers, body: bytes) -> None:
        exchange.answered = True
        if self.inflight is not None:
            self.inflight.ensure_recorded(exchange)
        exchange.caller.answer(status, headers, body, noted=True)
        self._forget_if_settled(exchange)

    # ---- attempts ------------------------------------------------------------------------

    def _send(self, action: Send) -> None:
        exchange = self._exchanges[action.request]
        now = self.clock.now()
        attempt = Attempt(exchange, len(exchange.attempts), action.server, now, exchange.repeatable)
        exchange.attempts.append(attempt)
        exchange.open_attempts += 1
        request = exchange.request
        stream = request.stream
        if 0.0 < action.timeout < exchange.deadline - now:
            attempt.expires_at = now + action.timeout
            self.loop.call_later(action.timeout, self._on_attempt_timeout, attempt)
        attempt.body = request.body
        if stream is not None and stream.complete and not stream.consumed:
            attempt.body, stream = stream.contents(), None
        attempt.stream = stream
        attempt.chunked = stream is not None and request.length is None
        if self._detect_caller_left(exchange):
            if not attempt.ended:  # where nothing may be cancelled
                self.loop.call_soon(self.backends.finish, attempt, Outcome.VOID, None, "its caller has left")
            return
        self.backends.send(attempt)

    def request_head(self, attempt: Attempt) -> bytes:
        """The head of an attempt's request, as of now."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        request, stream = exchange.request, attempt.stream
        if stream is not None and not stream.complete:
            left = exchange.budget  # its time counts from its last byte
        else:
            left = min(exchange.deadline, attempt.expires_at) - self.clock.now()
        headers = [*exchange.headers, (b"x-budget", format_budget(max(0.0, left)))]
        if attempt.chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif stream is not None and request.length is not None:
            headers.append((b"content-length", b"%d" % request.length))
        elif attempt.body or request.method == b"POST":
            headers.append((b"content-length", b"%d" % len(attempt.body)))
        return request_head(request.method, request.target, headers)

    def _detect_caller_left(self, exchange: Exchange) -> bool:
        """Whether its caller has left and the event loop has not told so yet; it is dealt with if so.

        Guards against sending for nobody: what came in while the loop was busy is read in order, and the end of a
        connection may stand behind many requests.
        """
        if exchange.answered or not exchange.caller.has_disconnected():
            return False
        exchange.caller.disconnect()
        if not exchange.answered:  # while it is being taken its connection does not know it yet
            self.on_caller_left(exchange)
        return True

    def _give_up(self, attempt: Attempt, how: Outcome) -> None:
        """Give an attempt up; the module is told later, as of any end."""
        if not attempt.ended:
            self.backends.cancel(attempt)
            self.loop.call_soon(self.on_attempt_ended, attempt, how, None, "given up")

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if not attempt.ended:
            how_far = self.backends.cancel(attempt)
            self.backends.drop_idle(attempt.server)
            self.on_attempt_ended(attempt, Outcome.TIMEOUT, None, f"no answer within the attempt's time: {how_far}")

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt that had to wait for its connection may still be sent."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if exchange.answered or self._detect_caller_left(exchange):
            return False
        return self.balancer.may_start(self.clock.now(), exchange.request_id, attempt.number)

    def on_answer_started(self, attempt: Attempt, response: Response) -> bool:
        """A long answer has begun: it is this request's, from here on whatever comes of it."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if exchange.answered:
            return False
        exchange.answered = True
        exchange.streaming_attempt = attempt
        self._stop_timer(exchange)
        exchange.caller.begin_answer(200, _forwarded_headers(response), response.length)
        self._dispatch(
            exchange, lambda now: self.balancer.on_stream_started(now, exchange.request_id, attempt.number)
        )
        return True

    def on_answer_data(self, attempt: Attempt, piece: bytes) -> None:
        """The next bytes of it."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        exchange.caller.write_answer_data(piece)

    def on_attempt_ended(self, attempt: Attempt, how: Outcome, response: Response | None, why: str) -> None:
        """The end of an attempt, told to the module; a first success is passed on."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        exchange.open_attempts -= 1
        latency = self.clock.now() - attempt.sent_at
        if self.traffic_counters is not None:
            known = self.balancer.servers.get(attempt.server)
            if known is not None:
                self.traffic_counters.on_attempt_ended(known.row.zone, how, latency)
        if self.inflight is not None and how in NEVER_RAN:
            self.inflight.on_attempt_never_ran(attempt, exchange)
        if self.recovery is not None:
            how = self.recovery.on_attempt_ended(attempt, how, response)
        if how is not Outcome.OK and how is not Outcome.CANCELLED:
            exchange.last_failure = f"backend {attempt.server:x}: {why}"
            self._increment(how.value)
        if exchange.streaming_attempt is attempt:
            exchange.streaming_attempt = None
            if how is Outcome.OK:
                self._increment("served")
                exchange.caller.end_answer()
            else:
                log.info("cut: %s", exchange.last_failure)
                exchange.caller.abort_answer()
        elif not exchange.answered and how is Outcome.OK and response is not None:
            exchange.answered = True
            self._increment("served")
            exchange.caller.answer(200, _forwarded_headers(response), response.body, noted=True)
        last = exchange.answered
        self._dispatch(
            exchange,
            lambda now: self.balancer.outcome(now, exchange.request_id, attempt.number, how, latency, last),
        )
        self._forget_if_settled(exchange)

    # ---- discovery -----------------------------------------------------------------------

    def on_list(self, kind: ListKind, entries: Sequence[Entry]) -> None:
        """The list, a change to it, or the news that a call failed."""
        if self.recovery is not None:
            heard = self.recovery.on_list(kind, entries)
            if heard is None:
                return
            entries = heard
        self.apply_list(kind, entries)

    def apply_list(self, kind: ListKind, entries: Sequence[Entry]) -> None:
        """Apply a list, or a change to it."""
        if kind is not ListKind.BROKEN and kind is not ListKind.PATCH:
            for gone in set(self.backends.server_ids()) - {entry.row.server for entry in entries}:
                self.backends.forget(gone)
            kept = self.balancer.bans
            self.servers_by_host = {host: server for host, server in self.servers_by_host.items() if server in kept}
        rows = [entry.row for entry in entries]
        for entry in entries:
            row = entry.row
            self.servers_by_host[entry.host] = row.server
            if row.state is State.GONE:
                self.backends.forget(row.server)
                if row.server not in self.balancer.bans:
                    self.servers_by_host.pop(entry.host, None)
                continue
            displaced = self.backends.update(row.server, entry.dial, row.started, row.state is State.UP)
            if displaced is not None:
                log.info("backend %x is gone: another has its address", displaced)
                rows.append(ServerRow(displaced, State.GONE))
        if kind is not ListKind.BROKEN and entries:
            log.info("list: %s of %d backends", kind.value, len(entries))
        self._dispatch(None, lambda now: self.balancer.members(now, kind, rows))


def _forwarded_headers(response: Response) -> Headers:
    return [h for h in end_to_end(response.headers) if h[0] not in INTERNAL_HEADERS]
