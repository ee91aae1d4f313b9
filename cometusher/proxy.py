"""Connects the network code to the balancer: feeds it events and executes the actions that it returns.

Owns the balancer, its clock and the table of open requests. Every event goes into the balancer, whose actions are
executed in order; their results come back as later events. No code in this module selects a backend, retries,
refuses or sheds a request: these decisions are the balancer's.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

from cometusher.backends import Attempt, Backends, CloseReason, loggable_id
from cometusher.budget import (
    IDLE_PROCESS_MB,
    IDLE_TWO_PROCESSES_MB,
    MANAGEMENT_DESCRIPTORS,
    RESERVED_DESCRIPTORS,
    DescriptorBudget,
    MemoryBudget,
)
from cometusher.callers import CallerConnection, Callers
from cometusher.config import Config
from cometusher.discovery import BackendEntry, DiscoveryClient, parse_list
from cometusher.http1 import (
    Headers,
    Malformed,
    Request,
    Response,
    end_to_end,
    format_budget,
    request_head,
)
from cometusher.request_terms import RequestTerms, RequestTermsReader
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
from weldroute.hold_up import HoldUpDetector
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
from weldroute.recent_ids import RecentIds

if TYPE_CHECKING:
    from cometusher.hot_restart import HotRestart
    from cometusher.inflight.tracker import InflightTracker
    from cometusher.management import Management
    from cometusher.recovery import RecoveryController
    from weldroute.outlier_detection import TrafficRecorder

log = logging.getLogger(__name__)

#: A connection as `Network.attach` takes it, the bytes written to it and the bytes read from it.
TakenOverConnection = tuple[Any, int, int]
READY_PATH = b"/up"
SWEEP_INTERVAL = 0.1  # seconds between checks of idle connections and timeouts
SWEEP_TOLERANCE = 0.1  # seconds by which a check may be late, beyond which peers' silence may be this process's
FIRST_LIST_TIMEOUT = 2.0  # seconds that a process with a passed-in listener waits for its first backend list
MANAGEMENT_RETRY_DELAY = 0.1  # seconds between attempts to bind the management address while the old process holds it
REPORT_INTERVAL = 10.0  # seconds between log lines with counters
INCOMING_BODY_TIMEOUT = 3600.0  # seconds until the deadline of a request whose body is still arriving
DRAIN_FULL_BUDGET_WINDOW = 0.7  # seconds after the stop order in which new requests still get their full budget
DRAIN_MAX_BUDGET = 3.0  # seconds: the longest request budget that a drain waits for before the forced end
DRAIN_ANSWER_MARGIN = 0.2  # seconds before the forced end by which every request is answered
DRAIN_ACCEPT_MARGIN = (
    0.7  # seconds before the forced end at which the last request is accepted; most answers take less
)
DRAIN_POLL_INTERVAL = 0.05  # seconds between the steps of a drain
MAX_SHARED_RECENT_IDS = 256  # ids of ended requests that other processes of this proxy see
SHARED_ID_RETENTION = 10.0  # seconds for which they see one: longer than two processes serve beside each other
INTERNAL_HEADERS = frozenset({b"x-load-report", b"x-rejected"})  # exchanged between backends and proxies only


class Clock:
    """Unix time that never jumps, comparable with the start times of backends and with earlier readings."""

    def __init__(self, network: Network) -> None:
        self._monotonic = network.monotonic
        self._offset = network.unix_time() - network.monotonic()

    def now(self) -> float:
        """Unix time in seconds."""
        return self._offset + self._monotonic()

    def to_machine(self, instant: float) -> float:
        """Converts an instant to the machine's monotonic clock, which all processes of the machine share."""
        return instant - self._offset

    def from_machine(self, instant: float) -> float:
        """Converts an instant of the machine's monotonic clock to this clock."""
        return instant + self._offset


class Exchange:
    """An accepted request with its attempts; it is owed exactly one final answer."""

    __slots__ = (
        "accepted_at",
        "answer_stored_until",
        "answered",
        "attempts",
        "body_lost",
        "budget",
        "call_id",
        "caller",
        "deadline",
        "dedup_key",
        "headers",
        "journal_slot",
        "last_failure",
        "may_have_run",
        "open_attempts",
        "open_id_slot",
        "proxy",
        "repeat",
        "request",
        "request_id",
        "streaming_attempt",
        "terms",
        "timer",
    )

    def __init__(
        self,
        proxy: Proxy,
        caller: CallerConnection,
        request: Request,
        request_id: str,
        terms: RequestTerms,
        deadline: float,
    ) -> None:
        self.proxy = proxy
        self.caller = caller
        self.request = request
        self.request_id = request_id
        self.terms = terms
        self.call_id = terms.call_id
        self.deadline = deadline
        self.accepted_at = proxy.clock.now()
        self.budget = 0.0  # seconds from the request's last byte that the caller allows
        self.streaming_attempt: Attempt | None = None  # the attempt whose answer is being streamed to the caller
        self.headers: Headers = []
        self.repeat = Repeat.UNSAFE  # of its class
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.body_lost = False  # it was taken over from another process without its body
        self.journal_slot = -1  # its slot in the request journal; -1 while it has none
        self.dedup_key = 0  # identifies requests with the same idempotency key; 0 if there is none
        self.answer_stored_until = 0.0  # when its stored answer expires, by the machine's clock
        self.open_id_slot = 0  # where other processes of this proxy see that its call id is open
        self.answered = False
        self.timer: asyncio.TimerHandle | None = None
        self.may_have_run = False  # an attempt that may have run has ended
        self.last_failure = ""  # how the last failed attempt ended, for the log

    @property
    def receives_body(self) -> bool:
        """Whether the last byte of its body has not been read."""
        stream = self.request.stream
        return stream is not None and not stream.complete

    @property
    def can_be_sent(self) -> bool:
        """Whether its body is at hand from the first byte on."""
        stream = self.request.stream
        return not self.body_lost and (stream is None or not stream.consumed)

    @property
    def budget_left(self) -> float:
        """Seconds that are certainly left of its budget if the last byte of its body was read now."""
        return self.budget - self.caller.body_delay.total(self.proxy.loop.time())

    @property
    def body_progress(self) -> str:
        """How much of a streamed body has arrived, and how long it was held back, for the log; empty for others."""
        if self.request.stream is None:
            return ""
        held_back = self.caller.body_delay.total(self.proxy.loop.time())
        return f"; {self.request.stream.size} bytes of its body have come, held back for {held_back:.3f} s"

    def on_caller_left(self) -> None:
        self.proxy.on_caller_left(self)

    def on_body_complete(self) -> None:
        self.proxy.on_body_complete(self)

    def on_body_ending(self) -> None:
        self.proxy.on_body_ending(self)

    def on_body_flow_changed(self) -> None:
        self.proxy.on_body_flow_changed(self)

    def on_body_consumed(self) -> None:
        self.proxy.on_body_consumed(self)

    def on_answer_blocked(self, blocked: bool) -> None:
        if self.streaming_attempt is not None and self.streaming_attempt.connection is not None:
            self.streaming_attempt.connection.set_reading_paused(blocked)


class Proxy:
    """One proxy process: its components, and the dispatch between them and the balancer."""

    def __init__(self, config: Config, network: Network | None = None) -> None:
        loop = asyncio.get_running_loop()
        settings = config.settings
        self.loop = loop
        self.network = network or SocketNetwork(loop)
        self.clock = Clock(self.network)
        self._hold_up_detector = HoldUpDetector(SWEEP_INTERVAL, SWEEP_TOLERANCE)
        self.config = config
        self.operations = Operations()
        self._hot_restart: HotRestart | None = None
        self.recovery: RecoveryController | None = None
        self.inflight: InflightTracker | None = None
        self.traffic_counters: TrafficRecorder | None = None  # compared with other instances by the supervisor
        self.management: Management | None = None
        self.servers_by_host: dict[str, ServerId] = {}  # backends by their name in discovery
        reserved = RESERVED_DESCRIPTORS + (MANAGEMENT_DESCRIPTORS if config.management else 0)
        processes = 2 if config.shared_folder else 1  # a hot restart runs two processes for a while
        self.memory = MemoryBudget(
            config.memory_mb, IDLE_TWO_PROCESSES_MB if config.shared_folder else IDLE_PROCESS_MB
        )
        self.descriptors = DescriptorBudget(config.sockets, processes * reserved, self.memory.max_callers)
        self.callers = Callers(loop, self.network, self, self.descriptors, self.memory)
        self.backends = Backends(
            loop,
            self.network,
            self,
            self.descriptors,
            settings.limits.connect_timeout,
            settings.limits.connection_idle,
            self.memory,
        )
        self.balancer = Balancer(settings, config.seed)
        self._rng = Random(config.seed + 1)  # for the proxy's own jitter; the balancer's sequence stays reproducible
        self._terms_reader = RequestTermsReader(settings)
        self._exchanges: dict[str, Exchange] = {}
        self._open_ids: set[bytes] = set()  # X-Call-Id of every open exchange
        self._recent_ids = RecentIds()  # of ended ones that may have run, and may not run again
        #: Of these, the ones that other processes of this proxy see: until when, and their slots.
        self._shared_recent_ids: deque[tuple[float, int]] = deque()
        self._typical_budgets = [0.0 for _ in settings.classes]  # smoothed seconds that callers allow, by class
        self._latest_deadline = float("inf")  # limits all deadlines once the process is about to end
        self._request_count = 0
        self.counters: dict[str, int] = {}  # events since the process started
        self._reported_counters: dict[str, int] = {}
        self.identity_headers: Headers = []  # on answers to readiness checks: identify this process
        self._next_report_at = loop.time() + REPORT_INTERVAL
        listing = parse_list({"hosts": []} | config.known, config.zones)
        self.discovery = DiscoveryClient(
            config.discovery,
            config.zones,
            listing.seq,
            settings.discovery is DiscoveryMode.PUSHED,
            self._rng,
            self.on_list,
        )
        self.on_list(ListKind.STALE, listing.entries)
        if config.shared_folder:
            self._start_hot_restart(config.shared_folder)
        if config.recovery is not None:
            from cometusher.recovery import RecoveryController

            self.recovery = RecoveryController(self, config.recovery)
        if config.journal is not None:
            from cometusher.inflight.tracker import InflightTracker

            self.inflight = InflightTracker(self, self.network.open_takeover_channel(config.journal))

    def _start_hot_restart(self, directory: str) -> None:
        from cometusher.hot_restart import HotRestart

        try:
            self._hot_restart = HotRestart(self, self.network.open_handover(directory))
        except OSError as error:
            log.warning("nothing is shared with other processes of this proxy: %s", error)
        else:
            self._hot_restart.take_over()

    # ---- lifecycle ----------------------------------------------------------------------------

    def start(self) -> None:
        """Listens on the configured address and subscribes to discovery."""
        self._listen_for_management()
        self.callers.listen(self.network.listen(self.config.listen))
        self._begin_serving()
        self._follow_discovery()

    async def start_on(self, listener: socket.socket, address_may_be_taken: bool = False) -> None:
        """Follows discovery, and accepts on `listener` once there is a backend list or FIRST_LIST_TIMEOUT has passed.

        With `address_may_be_taken`, another process may hold the management address until it exits; the address is
        then bound later.

        Waiting for the list avoids refusing requests that another process on the same listener could serve, since
        a process without backends can't send anything. The cost: if discovery is silent, the start takes
        FIRST_LIST_TIMEOUT longer.
        """
        self._listen_for_management(address_may_be_taken)
        self._follow_discovery()
        if not self.backends.server_ids() and self.recovery is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.discovery.first_attempt_done.wait(), FIRST_LIST_TIMEOUT)
        self.callers.listen(self.network.adopt(listener))
        self._begin_serving()

    def _begin_serving(self) -> None:
        self.operations.serving = True
        self.apply_listener_state()
        if self.inflight is not None:
            self.inflight.start()
        if self._hot_restart is not None:
            self._hot_restart.on_serving()

    def _listen_for_management(self, address_may_be_taken: bool = False) -> None:
        """Binds the management address, if one is configured: now, or as soon as the old process releases it."""
        if self.config.management is None or self.operations.state is LifecycleState.STOPPING:
            return
        from cometusher.management import Management

        try:
            listener = self.network.listen(self.config.management)
        except OSError:
            if not address_may_be_taken:
                raise
            self.loop.call_later(MANAGEMENT_RETRY_DELAY, self._listen_for_management, True)
            return
        self.management = Management(self.loop, self.network.attach, listener, self.handle_operator_call)

    def _follow_discovery(self) -> None:
        self._dispatch(None, lambda now: self.balancer.start(now))
        self.discovery.start()
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def reconfigure(self, new: Config) -> None:
        """Applies those parts of a new configuration that can change while requests are open."""
        old = self.config
        self.config = replace(old, discovery=new.discovery, sockets=new.sockets, memory_mb=new.memory_mb)
        self.memory.resize(new.memory_mb)
        self.descriptors.resize(new.sockets, self.memory.max_callers)
        self.discovery.change_address(new.discovery)
        log.info("configuration reloaded; discovery is at %s:%d", *new.discovery)
        if (new.listen, new.settings, new.zones) != (old.listen, old.settings, old.zones):
            log.warning("a change of listen, settings or zones waits for the next start")

    async def drain(self) -> None:
        """Shuts down in order: every accepted request is answered, and before its deadline.

        The forced end comes no earlier than when a request that arrived in the first DRAIN_FULL_BUDGET_WINDOW has
        had the longest budget that callers allow. Until then, callers that stay connected are served; late requests
        get some answer, if only a failure, before that end. If the process is killed sooner, requests are lost.
        """
        max_budget = min(max(self._typical_budgets), DRAIN_MAX_BUDGET)
        if max_budget:
            self._latest_deadline = self.clock.now() + DRAIN_FULL_BUDGET_WINDOW + max_budget - DRAIN_ANSWER_MARGIN
            for exchange in list(self._exchanges.values()):
                self.on_body_flow_changed(exchange)  # those that receive their body have no deadline yet
        if self._hot_restart is not None:
            self._hot_restart.on_stopping()
        if self.recovery is not None:
            self.recovery.stop()
        self.operations.stop(self.loop.time(), DRAIN_FULL_BUDGET_WINDOW + max_budget - DRAIN_ACCEPT_MARGIN)
        all_closed: asyncio.Task[None] | None = None
        while all_closed is None or not all_closed.done():
            self.apply_listener_state()
            if all_closed is None and not self.callers.listener_state.listens:
                self.callers.close_listener()
                all_closed = self.loop.create_task(self.callers.wait_until_empty())
            if all_closed is None:
                await asyncio.sleep(DRAIN_POLL_INTERVAL)
            else:
                await asyncio.wait([all_closed], timeout=DRAIN_POLL_INTERVAL)
        if self.management is not None:
            self.management.close()
        await self.discovery.stop()
        if self.recovery is not None:
            await self.recovery.close()

    def apply_listener_state(self) -> None:
        """Applies the listener state that follows from the lifecycle state."""
        self.callers.apply_listener_state(self.operations.listener_state(self.loop.time()))

    def set_ejected(self, ejected: bool) -> None:
        """Leaves new connections to peers on the same listener while ejected as an outlier; called often."""
        if ejected is not self.operations.ejected:
            self.operations.ejected = ejected
            self.apply_listener_state()

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        held_up = self._hold_up_detector.check(self.loop.time())
        if held_up:
            log.info("this process did not run for %.3f s", held_up)
        self.backends.sweep(held_up)
        if self.recovery is not None:
            self.recovery.tick()
        if self._hot_restart is not None:
            self._hot_restart.tick()
            self._expire_shared_ids(self._hot_restart)
        self.apply_listener_state()
        self.callers.sweep(held_up)
        if self.management is not None:
            self.management.sweep()
        has_news = self.counters != self._reported_counters or self.callers.paused_body_count > 0
        if self.loop.time() >= self._next_report_at and has_news:
            self._next_report_at = self.loop.time() + REPORT_INTERVAL
            increments = {name: n - self._reported_counters.get(name, 0) for name, n in self.counters.items()}
            busy, idle = self.backends.counts()
            log.info(
                "%s; now: %d requests, %d callers, %d bodies held back, backends %d busy %d idle, "
                "descriptors peak %d, bodies peak %d kB",
                ", ".join(f"{name} {n}" for name, n in sorted(increments.items()) if n) or "nothing new",
                len(self._exchanges),
                self.callers.count(),
                self.callers.paused_body_count,
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
        """Number of accepted requests that are not settled."""
        return len(self._exchanges)

    # ---- operators -----------------------------------------------------------------------

    def handle_operator_call(self, call: ManagementCall, host: str = "") -> CallResult:
        """Executes an operator's call; a success holds by the time this returns."""
        now = self.loop.time()
        if call is ManagementCall.READY:
            result = self.operations.readiness()
            return NOT_YET if result.succeeded and self.recovery is not None and not self.recovery.ready else result
        if call is ManagementCall.EVACUATE:
            result = self.operations.evacuate(now)
        elif call is ManagementCall.REJOIN:
            result = self.operations.rejoin()
        else:
            result = self._set_ban(host, call is ManagementCall.EXCLUDE)
        for component in (self._hot_restart, self.recovery):
            if component is not None and result.succeeded:
                component.on_operator_orders()
        self.apply_listener_state()
        return result

    def _set_ban(self, host: str, excluded: bool) -> CallResult:
        server = self.servers_by_host.get(host)
        if server is None:
            return UNKNOWN_BACKEND
        if excluded is (server in self.balancer.bans):
            return ALREADY_DONE
        balancer = self.balancer
        self._dispatch(None, lambda now: balancer.ban(now, server) if excluded else balancer.unban(now, server))
        # A banned backend is usually restarted meanwhile, which makes its open connections useless.
        self.backends.drop_idle(server, CloseReason.BACKEND_CHANGED)
        if not excluded and server not in balancer.servers:
            del self.servers_by_host[host]  # discovery removed it during the ban
        return DONE

    # ---- dispatch ------------------------------------------------------------------------

    def _dispatch(self, exchange: Exchange | None, event: Callable[[float], list[Action]]) -> None:
        """Passes one event to the balancer and executes the resulting actions in order."""
        if self._hot_restart is not None:
            self._hot_restart.apply_new_orders()
        try:
            actions = event(self.clock.now())
        except Exception:
            # One request fails, the others go on.
            log.exception("the balancer raised an exception")
            if exchange is not None:
                self._abandon(exchange)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("executing an action failed: %r", action)
                if exchange is not None:
                    self._abandon(exchange)

    def _execute(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, Refuse):
            self._refuse(action)
        elif isinstance(action, Fail):
            exchange = self._exchanges[action.request]
            self._fail(exchange, exchange.last_failure or "no backend accepted it")
        elif isinstance(action, Cancel):
            exchange = self._exchanges[action.request]
            self._give_up_for_another(exchange.attempts[action.attempt])
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
        """Accepts a complete request, or one whose body is still being streamed; None if it was answered at once."""
        if request.target == READY_PATH and request.method == b"GET":
            if self._hot_restart is not None:
                # _dispatch does so before every event; a readiness check is none
                self._hot_restart.apply_new_orders()
            self._answer_readiness(caller)
            return None
        try:
            terms = self.validate(request)
            if len(self._exchanges) >= self.memory.max_requests:
                raise Malformed(503, "no memory for requests")
        except Malformed as error:
            self._increment("malformed")
            caller.reject(error)
            return None
        now = self.clock.now()
        max_budget = self.config.settings.classes[terms.class_index].deadline
        budget = max_budget if terms.budget is None else min(terms.budget, max_budget)
        typical = self._typical_budgets[terms.class_index]
        # Smoothed, so that one caller with a long budget can't delay a drain for all.
        self._typical_budgets[terms.class_index] += (budget - typical) / 32.0 if typical else budget
        stream = request.stream
        body_incomplete = stream is not None and not stream.complete
        deadline = min(now + (INCOMING_BODY_TIMEOUT if body_incomplete else budget), self._latest_deadline)
        if self.inflight is not None and self.inflight.unread_on_arrival and not body_incomplete:
            deadline -= self.inflight.unread_wait(caller)
        exchange = self._open_exchange(caller, request, terms, budget, deadline)
        if stream is not None:
            stream.on_consumed = exchange.on_body_consumed
            stream.on_ending = exchange.on_body_ending
        try:
            if self.inflight is not None:
                self._accept_journaled(self.inflight, exchange, body_incomplete)
            else:
                self._submit_paced(exchange, body_incomplete)
        except Exception:
            # From here on nothing but the exchange's own end would remove it.
            log.exception("accepting request %s failed", loggable_id(exchange.call_id))
            self._abandon(exchange)
        return exchange

    def _accept_journaled(self, tracker: InflightTracker, exchange: Exchange, body_incomplete: bool) -> None:
        """Submits a request that is recorded in the journal, at the latest when it begins to wait."""
        request_class = self.config.settings.classes[exchange.terms.class_index]
        keyed = request_class.repeat is Repeat.KEYED and exchange.request.stream is None
        free_position = -1
        if keyed:
            position, free_position = tracker.find_same_key(exchange, request_class)
            if position is not None and tracker.follow(
                exchange, position, lambda: self._submit_paced(exchange, body_incomplete)
            ):
                return
        self._submit_paced(exchange, body_incomplete)
        if exchange.journal_slot == -1 and not exchange.answered:
            tracker.record_waiting(exchange)
        if keyed and position is None:
            tracker.publish_key(exchange, free_position)

    def _submit_paced(self, exchange: Exchange, body_incomplete: bool) -> None:
        """Submits a request; during recovery after a restart, a complete one is submitted at the recovery's pace."""
        if self.recovery is None or body_incomplete:
            self._submit(exchange, body_incomplete)
        else:
            self.recovery.admit(exchange, exchange.terms.class_index, lambda: self._submit(exchange, False))

    def _open_exchange(
        self, caller: CallerConnection, request: Request, terms: RequestTerms, budget: float, deadline: float
    ) -> Exchange:
        """Registers a request as in flight until it is answered, by the deadline at the latest."""
        self._request_count += 1
        exchange = Exchange(self, caller, request, str(self._request_count), terms, deadline)
        exchange.budget = budget
        exchange.headers = [h for h in end_to_end(request.headers) if h[0] != b"x-budget"]
        exchange.repeat = self.config.settings.classes[terms.class_index].repeat
        self._exchanges[exchange.request_id] = exchange
        self._open_ids.add(exchange.call_id)
        if self._hot_restart is not None:
            exchange.open_id_slot = self._hot_restart.open_ids.open(exchange.call_id)
        self._set_deadline(exchange, self.clock.now(), deadline)
        return exchange

    def take_over_request(
        self, caller: CallerConnection, request: Request, deadline: float, body_lost: bool
    ) -> Exchange:
        """Registers a request that another process had accepted on this connection.

        `body_lost` says that the rest of its body will be discarded. Raises Malformed if it doesn't pass `validate`.
        """
        terms = self.validate(request)
        caller.take_over_request(request, body_lost)
        exchange = self._open_exchange(caller, request, terms, max(0.0, deadline - self.clock.now()), deadline)
        exchange.journal_slot, exchange.body_lost = caller.journal_slot, body_lost
        self._increment("inherited")
        caller.set_accepted(exchange)
        return exchange

    def resume_attempts(
        self,
        exchange: Exchange,
        prior_attempts: Sequence[PriorAttempt],
        connections: Sequence[TakenOverConnection | None],
        replaced_attempts: int = 0,
    ) -> None:
        """Resumes a taken-over request after the attempts of the other process.

        An attempt with a connection in `connections` goes on here; one without has ended. `replaced_attempts` further
        ones count, but nothing else of them is known.
        """
        for number, (prior, connection) in enumerate(zip(prior_attempts, connections, strict=True)):
            attempt = Attempt(exchange, number, prior.server, prior.sent, exchange.repeat, exchange.call_id)
            exchange.may_have_run |= prior.maybe_ran
            attempt.journal_index = number
            attempt.ended = connection is None
            exchange.attempts.append(attempt)
            if connection is not None:
                exchange.open_attempts += 1
                self.backends.take_over(attempt, *connection)
        terms, deadline = exchange.terms, exchange.deadline

        def submit() -> None:
            self._dispatch(
                exchange,
                lambda now: self.balancer.take_over(
                    now,
                    exchange.request_id,
                    terms.class_index,
                    terms.tenant_index,
                    deadline,
                    prior_attempts,
                    exchange.body_lost,
                    replaced_attempts,
                ),
            )

        submit()

    def serve_stored_answer(self, exchange: Exchange, status: int, headers: Headers, body: bytes) -> None:
        """Answers with the stored answer of another request that had the same idempotency key."""
        if not exchange.answered:
            self._increment("served")
            self._answer(exchange, status, headers, body)

    def retry_after(self) -> float:
        """Jittered Retry-After in seconds for a refusal that no backend caused; 0 means no header."""
        limits = self.config.settings.limits
        return min(self._rng.random(), limits.max_retry_after) if limits.retry_after else 0.0

    def _answer_readiness(self, caller: CallerConnection) -> None:
        headers, is_up = list(self.identity_headers), self.callers.listener_state.up
        if self.recovery is not None:
            is_up = is_up and self.recovery.ready
            headers.append((b"x-comeback", self.recovery.state.phase.value.encode()))
        caller.answer(200 if is_up else 503, headers, b"")

    def _submit(self, exchange: Exchange, body_incomplete: bool) -> None:
        """Passes a request to the balancer."""
        if self.recovery is not None:
            self.balancer.preferred = self.recovery.preferred_servers()
        terms, deadline = exchange.terms, exchange.deadline
        self._dispatch(
            exchange,
            lambda now: self.balancer.request(
                now, exchange.request_id, terms.class_index, terms.tenant_index, deadline, body_incomplete
            ),
        )
        self.balancer.preferred = None

    def reject(self, action: Refuse | Fail) -> None:
        """Refuses or fails a request that was never passed to the balancer."""
        if isinstance(action, Refuse):
            self._refuse(action)
        else:
            exchange = self._exchanges[action.request]
            self._fail(exchange, exchange.last_failure)

    def exchange(self, request_id: str) -> Exchange | None:
        """The open exchange with this id, or None once it is settled."""
        return self._exchanges.get(request_id)

    def on_body_ending(self, exchange: Exchange) -> None:
        """The last byte of a streamed body was read, and is passed on next: from then on the request may run."""
        if exchange.answered or self.inflight is None:
            return
        now = self.clock.now()
        self._set_deadline(exchange, now, min(now + exchange.budget_left, self._latest_deadline))
        self.inflight.on_body_received(exchange)

    def on_body_complete(self, exchange: Exchange) -> None:
        """The last byte of a streamed body was read: the budget counts from now, less what the body was held back."""
        if exchange.answered:
            return
        now = self.clock.now()
        self._set_deadline(exchange, now, min(now + exchange.budget_left, self._latest_deadline))
        if self.inflight is not None:
            self.inflight.on_body_received(exchange)
        for attempt in exchange.attempts:
            if not attempt.ended:
                attempt.sent_at = now
        self._dispatch(
            exchange, lambda now: self.balancer.on_body_complete(now, exchange.request_id, exchange.deadline)
        )

    def on_body_flow_changed(self, exchange: Exchange) -> None:
        """Reading of a streamed body was paused or resumed, or the drain began: adjusts the request's deadline.

        While this side does not read, the last byte may be waiting already, and the request's time runs; it is owed
        an answer whether or not its backend ever takes the rest. While it reads, time depends on the caller alone.
        """
        if exchange.answered or not exchange.receives_body:
            return
        now = self.clock.now()
        held = exchange.caller.body_delay.is_held
        deadline = now + exchange.budget_left if held else exchange.accepted_at + INCOMING_BODY_TIMEOUT
        self._set_deadline(exchange, now, min(deadline, self._latest_deadline))
        self.balancer.set_deadline(exchange.request_id, exchange.deadline)

    def on_body_consumed(self, exchange: Exchange) -> None:
        """A part of the body was discarded: the request can't be sent again."""
        self.balancer.on_body_released(exchange.request_id)

    def validate(self, request: Request) -> RequestTerms:
        """Returns a request's terms; raises Malformed for one that is not accepted.

        A call id that is already open would make a second copy of that request.
        """
        terms = self._terms_reader.read(request)
        if terms.call_id in self._open_ids or (
            self._hot_restart is not None and self._hot_restart.open_ids.is_open_elsewhere(terms.call_id)
        ):
            raise Malformed(409, "X-Call-Id of an open request")
        if self._recent_ids.contains(self.loop.time(), terms.call_id):
            raise Malformed(409, "X-Call-Id of an earlier request")
        return terms

    def on_caller_left(self, exchange: Exchange) -> None:
        """The caller has disconnected."""
        if exchange.answered:
            if exchange.streaming_attempt is not None:
                self._increment("left")
                self._give_up(exchange.streaming_attempt, Outcome.CANCELLED)  # the rest of the answer has no reader
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
        """Sets the deadline of a request, replacing an earlier one."""
        self._stop_timer(exchange)
        exchange.deadline = deadline
        exchange.timer = self.loop.call_later(max(0.0, deadline - now), self._on_deadline, exchange)

    def _stop_timer(self, exchange: Exchange) -> None:
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None

    def _on_deadline(self, exchange: Exchange) -> None:
        remaining = exchange.deadline - self.clock.now()
        if remaining > 0.0:  # event loop timers are coarse, and the balancer must see the deadline as past
            exchange.timer = self.loop.call_later(remaining + 0.001, self._on_deadline, exchange)
            return
        exchange.timer = None
        if self.recovery is not None and self.recovery.on_deadline(exchange):
            return
        if self.inflight is not None and self.inflight.stop_following(exchange):
            # The request with the same key that it waited for may have run, here or elsewhere.
            self._fail(exchange, "a request with the same key is in flight elsewhere")
            return
        self.backends.stream_longest(exchange.attempts)
        for attempt in list(exchange.attempts):
            if not attempt.ended and attempt is not exchange.streaming_attempt:
                outcome = Outcome.UNREACHABLE if attempt.never_complete else Outcome.TIMEOUT
                progress = self.backends.cancel(attempt) + exchange.body_progress
                # If the machine has vanished, its idle connections are dead too.
                self.backends.drop_idle(attempt.server, CloseReason.BACKEND_SILENT)
                self.on_attempt_ended(attempt, outcome, None, f"no answer by the deadline: {progress}")
        if not exchange.answered:
            log.error("request %s was not answered by its deadline", loggable_id(exchange.call_id))
            self._abandon(exchange)

    def _forget_if_settled(self, exchange: Exchange) -> None:
        """Removes an exchange once it is answered and all its attempts have ended."""
        if exchange.answered and not exchange.open_attempts:
            self._stop_timer(exchange)
            if self._exchanges.pop(exchange.request_id, None) is not None:
                self._open_ids.discard(exchange.call_id)
                self._forget_id(exchange)
            # An exchange and its attempts refer to each other; breaking the cycle frees them without the collector.
            exchange.attempts.clear()

    def _forget_id(self, exchange: Exchange) -> None:
        """Makes the id of an ended request free, at once only if it may run again."""
        keeps_id = exchange.may_have_run and exchange.repeat is not Repeat.SAFE
        if keeps_id:
            self._recent_ids.add(self.loop.time(), exchange.call_id)
        if self._hot_restart is None:
            return
        if keeps_id and len(self._shared_recent_ids) < MAX_SHARED_RECENT_IDS:
            self._shared_recent_ids.append((self.loop.time() + SHARED_ID_RETENTION, exchange.open_id_slot))
        else:
            self._hot_restart.open_ids.close(exchange.open_id_slot)

    def _expire_shared_ids(self, hot_restart: HotRestart) -> None:
        """Makes the ids of ended requests free for other processes of this proxy after a while."""
        while self._shared_recent_ids and self._shared_recent_ids[0][0] <= self.loop.time():
            hot_restart.open_ids.close(self._shared_recent_ids.popleft()[1])

    def _abandon(self, exchange: Exchange) -> None:
        """Fails a request after an exception in the balancer or in an action, and cancels its attempts."""
        if not exchange.answered:
            self._fail(exchange, "internal error")
        for attempt in list(exchange.attempts):
            if not attempt.ended:
                self._give_up(attempt, Outcome.CANCELLED)
        try:
            self.balancer.on_client_gone(self.clock.now(), exchange.request_id)
        except Exception:
            log.exception("the balancer failed to release a request")
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
        log.info(
            "request %s refused: %s", loggable_id(exchange.call_id), exchange.last_failure or self._refusal_cause()
        )
        self._answer(exchange, 503, headers, b"refused\n")

    def _refusal_cause(self) -> str:
        """Why a request was refused before its first attempt, for the log."""
        return "before its first attempt" if self.balancer.ready else "no backend is in service"

    def _fail(self, exchange: Exchange, reason: str) -> None:
        if exchange.answered:
            return
        self._increment("failed")
        is_past_deadline = self.clock.now() >= exchange.deadline
        log.info("request %s failed: %s", loggable_id(exchange.call_id), reason)
        self._answer(exchange, 504 if is_past_deadline else 502, [(b"content-type", b"text/plain")], b"failed\n")

    def _answer(self, exchange: Exchange, status: int, headers: Headers, body: bytes) -> None:
        exchange.answered = True
        self._write_answer(exchange, status, headers, body)
        self._forget_if_settled(exchange)

    def _write_answer(self, exchange: Exchange, status: int, headers: Headers, body: bytes | bytearray) -> None:
        """Writes the final answer; if that fails, the caller's connection is closed, so that it notices."""
        try:
            if self.inflight is not None:
                self.inflight.ensure_recorded(exchange)
            exchange.caller.answer(status, headers, body, journaled=True)
        except Exception:
            log.exception("answering request %s failed", loggable_id(exchange.call_id))
            exchange.caller.disconnect()

    # ---- attempts ------------------------------------------------------------------------

    def _send(self, action: Send) -> None:
        exchange = self._exchanges[action.request]
        now = self.clock.now()
        attempt = Attempt(exchange, len(exchange.attempts), action.server, now, exchange.repeat, exchange.call_id)
        if attempt.number:
            log.info(
                "request %s: attempt %d goes to backend %x: %s",
                loggable_id(exchange.call_id),
                attempt.number + 1,
                attempt.server,
                "a second copy" if exchange.open_attempts else exchange.last_failure,
            )
        exchange.attempts.append(attempt)
        exchange.open_attempts += 1
        if not exchange.can_be_sent:
            log.error("request %s can't be sent: its body is lost", loggable_id(exchange.call_id))
            self.loop.call_soon(self.backends.finish, attempt, Outcome.UNREACHABLE, None, "its body is lost")
            return
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
            if not attempt.ended:  # the balancer did not cancel it
                self.loop.call_soon(self.backends.finish, attempt, Outcome.VOID, None, "its caller has left")
            return
        self.backends.send(attempt)

    def request_head(self, attempt: Attempt) -> bytes:
        """The head of an attempt's request, with the time that is left now."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        request, stream = exchange.request, attempt.stream
        time_left = min(exchange.deadline, attempt.expires_at) - self.clock.now()
        if exchange.receives_body:
            time_left = min(time_left, exchange.budget_left)
        headers = [*exchange.headers, (b"x-budget", format_budget(max(0.0, time_left)))]
        if attempt.chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif stream is not None and request.length is not None:
            headers.append((b"content-length", b"%d" % request.length))
        elif attempt.body or request.method == b"POST":
            headers.append((b"content-length", b"%d" % len(attempt.body)))
        return request_head(request.method, request.target, headers)

    def _detect_caller_left(self, exchange: Exchange) -> bool:
        """Whether the caller has disconnected before the event loop reported it; if so, handles the disconnect.

        Avoids attempts for callers that are gone: after a busy period the event loop reads its sockets in order, and
        the end of a connection may be queued behind many requests.
        """
        if exchange.answered or not exchange.caller.has_disconnected():
            return False
        exchange.caller.disconnect()
        if not exchange.answered:  # during handle_request the connection doesn't know its exchange yet
            self.on_caller_left(exchange)
        return True

    def _give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancels an attempt; the balancer is notified in a later event, as of any end."""
        if not attempt.ended:
            progress = self.backends.cancel(attempt)
            self.loop.call_soon(self.on_attempt_ended, attempt, outcome, None, f"cancelled: {progress}")

    def _give_up_for_another(self, attempt: Attempt) -> None:
        """Cancels an attempt that another one has overtaken; one whose answer was slow counts as broken."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if exchange.streaming_attempt is None and self.backends.is_slow(attempt):
            self.loop.call_soon(self.backends.break_off, attempt)
        else:
            self._give_up(attempt, Outcome.CANCELLED)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if not attempt.ended:
            progress = self.backends.cancel(attempt)
            self.backends.drop_idle(attempt.server, CloseReason.BACKEND_SILENT)
            self.on_attempt_ended(attempt, Outcome.TIMEOUT, None, f"no answer within the attempt's time: {progress}")

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for its connection may still be sent."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if exchange.answered or self._detect_caller_left(exchange):
            return False
        return self.balancer.may_start(self.clock.now(), exchange.request_id, attempt.number)

    def on_answer_started(self, attempt: Attempt, response: Response) -> bool:
        """Starts streaming a long answer to the caller; from now on it is the request's only answer.

        Returns False if the request is already answered.
        """
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if exchange.answered:
            return False
        exchange.answered = True
        exchange.streaming_attempt = attempt
        self._increment("streamed")
        now = self.clock.now()
        log.info(
            "request %s: the answer of backend %x is streamed, %.1f ms after its attempt began, %.1f ms before the "
            "deadline: %s",
            loggable_id(exchange.call_id),
            attempt.server,
            (now - attempt.sent_at) * 1000.0,
            (exchange.deadline - now) * 1000.0,
            self.backends.progress(attempt),
        )
        self._stop_timer(exchange)
        exchange.caller.begin_answer(200, _forwarded_headers(response), response.length)
        self._dispatch(
            exchange, lambda now: self.balancer.on_stream_started(now, exchange.request_id, attempt.number)
        )
        return True

    def time_left(self, attempt: Attempt) -> float:
        """Seconds until the deadline of an attempt's request."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        return exchange.deadline - self.clock.now()

    def seek_alternative(self, attempt: Attempt, may_replace: bool) -> bool:
        """Lets another attempt overtake one whose answer is slow; returns whether another one is out.

        With `may_replace`, it takes the place of the slow one where both may not be out at once.
        """
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        if exchange.answered:
            return False
        self._increment("slow answers")
        log.info(
            "request %s: the answer of backend %x is slow, with %d attempts out: %s",
            loggable_id(exchange.call_id),
            attempt.server,
            exchange.open_attempts,
            self.backends.progress(attempt),
        )
        if exchange.open_attempts > 1:
            if self.backends.all_slow(exchange.attempts):
                self.backends.stream_longest(exchange.attempts)
            return True
        self._dispatch(exchange, lambda now: self.balancer.start_alternative(now, exchange.request_id))
        if may_replace and exchange.open_attempts == 1:
            self._replace_slow_attempt(exchange, attempt)
        return exchange.open_attempts > 1 or attempt.ended

    def _replace_slow_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        def replace_attempt(now: float) -> list[Action]:
            actions = self.balancer.replace_slow_attempt(now, exchange.request_id, attempt.number)
            if actions:
                self.backends.break_off(attempt)
            return actions

        self._dispatch(exchange, replace_attempt)

    def on_answer_data(self, attempt: Attempt, data: bytes) -> None:
        """Passes the next bytes of a streamed answer to the caller."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        exchange.caller.write_answer_data(data)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None, reason: str) -> None:
        """Reports the end of an attempt to the balancer, and answers the caller with the first success."""
        exchange = attempt.owner
        assert isinstance(exchange, Exchange)
        exchange.open_attempts -= 1
        latency = self.clock.now() - attempt.sent_at
        if self.traffic_counters is not None:
            server = self.balancer.servers.get(attempt.server)
            if server is not None:
                self.traffic_counters.on_attempt_ended(server.row.zone, outcome, latency)
        exchange.may_have_run |= outcome not in NEVER_RAN
        if self.inflight is not None and outcome is not Outcome.OK:
            self.inflight.on_attempt_failed(attempt, exchange, outcome in NEVER_RAN)
        if self.recovery is not None:
            outcome = self.recovery.on_attempt_ended(attempt, outcome, response)
        if outcome is not Outcome.OK and outcome is not Outcome.CANCELLED:
            exchange.last_failure = f"backend {attempt.server:x}: {reason}"
            self._increment(outcome.value)
        if exchange.streaming_attempt is attempt:
            exchange.streaming_attempt = None
            if outcome is Outcome.OK:
                self._increment("served")
                exchange.caller.end_answer()
            else:
                log.info("request %s: answer aborted: %s", loggable_id(exchange.call_id), exchange.last_failure)
                exchange.caller.abort_answer()
        elif not exchange.answered and outcome is Outcome.OK and response is not None:
            exchange.answered = True
            self._increment("served")
            self._write_answer(exchange, 200, _forwarded_headers(response), response.body)
        is_answered = exchange.answered
        self._dispatch(
            exchange,
            lambda now: self.balancer.outcome(
                now, exchange.request_id, attempt.number, outcome, latency, is_answered
            ),
        )
        self._forget_if_settled(exchange)

    def on_backend_connection_closed(self, reason: CloseReason) -> None:
        """Counts the end of a connection to a backend, for the periodic report."""
        self._increment(f"connections {reason.value}")

    # ---- discovery -----------------------------------------------------------------------

    def on_list(self, kind: ListKind, entries: Sequence[BackendEntry]) -> None:
        """Handles a backend list, a change to it, or a failed call, filtered by the recovery if there is one."""
        if self.recovery is not None:
            accepted = self.recovery.on_list(kind, entries)
            if accepted is None:
                return
            entries = accepted
        self.apply_list(kind, entries)

    def apply_list(self, kind: ListKind, entries: Sequence[BackendEntry]) -> None:
        """Applies a backend list, or a change to it."""
        if kind is not ListKind.BROKEN and kind is not ListKind.PATCH:
            for removed in set(self.backends.server_ids()) - {entry.row.server for entry in entries}:
                self.backends.forget(removed)
            banned = self.balancer.bans
            self.servers_by_host = {host: server for host, server in self.servers_by_host.items() if server in banned}
        rows = [entry.row for entry in entries]
        for entry in entries:
            row = entry.row
            self.servers_by_host[entry.host] = row.server
            if row.state is State.GONE:
                self.backends.forget(row.server)
                if row.server not in self.balancer.bans:
                    self.servers_by_host.pop(entry.host, None)
                continue
            displaced = self.backends.update(row.server, entry.address, row.started, row.state is State.UP)
            if displaced is not None:
                log.info("backend %x is gone: another backend has its address", displaced)
                rows.append(ServerRow(displaced, State.GONE))
        if kind is not ListKind.BROKEN and entries:
            log.info("backend list: %s with %d entries", kind.value, len(entries))
        self._dispatch(None, lambda now: self.balancer.members(now, kind, rows))


def _forwarded_headers(response: Response) -> Headers:
    return [h for h in end_to_end(response.headers) if h[0] not in INTERNAL_HEADERS]
