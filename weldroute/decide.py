"""Decides which server a request is sent to, whether it is admitted, retried or given up.

Pure and sans-I/O: every method takes the current time and returns the actions to carry out; nothing reads a clock.
All randomness comes from the seed. The mechanism is that of go-zero PR #5366 with the adaptive throttling of the
SRE book: each server has a breaker that refuses calls locally with the larger of an error ratio and a latency ratio,
and of two random ready servers (power of two choices) the one with the lower latency x (in-flight + 1) is chosen.

`Balancer` handles the events of one instance; servers, requests, retries, second copies and bans.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from random import Random

from weldroute.admission import AdmissionControl
from weldroute.breaker import Breaker
from weldroute.model import (
    NEVER_RAN,
    Action,
    Cancel,
    Discovery,
    Fail,
    Group,
    ListKind,
    Outcome,
    PriorAttempt,
    Refuse,
    Repeat,
    RequestId,
    Send,
    ServerId,
    ServerRow,
    Settings,
    State,
    Subscribe,
    Timer,
)
from weldroute.request import Attempt, Request
from weldroute.server import Server
from weldroute.server_pool import ServerPool, ServerRing
from weldroute.slow_start import (
    COLD_RATE_WINDOW,
    SmoothedRate,
    allowed_load,
    capacity_fraction,
    refill_credit,
)

MAX_DRAWS = 8  # random draws for two candidates
SEQUENTIAL_PROBES = 8  # servers checked one after the other when no random draw has found a candidate
FAR_REDRAWS = 2  # further candidates from other zones, to replace those whose breakers refuse
RETRY_RATIO = 0.2  # retries allowed per request, on average
RETRY_BURST = 10.0  # retries saved up at most
COPY_DELAY_MULTIPLE = 5.0  # of the tier's latency: how long the first attempt is out before a second copy is sent
COPY_RATIO = 0.02  # second copies allowed per request, on average
COPY_BURST = 1.0  # second copies saved up at most
COPY_MAX_SLOWDOWN = 1.3  # multiple of its slow-rising baseline above which the tier's latency stops second copies
MAX_ATTEMPTS_PER_SERVER = 3  # of one request
REPEAT_WINDOW_MARGIN = 0.9  # fraction of a keyed class's window within which repeats are sent

SUBSET_MIN = 10  # least servers of the active subset
SUBSET_CALL_RATE = 0.7  # calls a second that each server of the active subset should receive
CROSS_ZONE_PENALTY = 5.0  # latency added to a server of another zone: price x this x the class's aim
ADMITTED_RATE_WINDOW = 2.0  # seconds over which the rate of admitted requests is smoothed
SUBSET_RESIZE_INTERVAL = 3.0  # seconds between checks of the active subset's size

# A change counts as known 6 s after discovery could be reached, whatever failed before; a call may take 3 s of that.
FIRST_SUBSCRIBE_SPREAD = 2.0  # seconds over which the first calls of instances that start together are spread
# Seconds from a failed call to the next one, before jitter of plus or minus half.
SUBSCRIBE_BACKOFF_MIN, SUBSCRIBE_BACKOFF_MAX = 0.5, 1.6

UNBAN_SPREAD = 3.0  # seconds after the end of a ban within which an instance sends the server its first call
UNBAN_SPREAD_INSTANCES = 10  # above this number of instances the spread grows in proportion

# A cold server is drawn more often while the tier is slow: by its latency over its usual one, minus the offset,
# from 1 to the largest boost.
COLD_SLOWDOWN_OFFSET = 0.5
COLD_MAX_DRAW_BOOST = 1.6

ZONE_BREAKER_WINDOW = 3.0  # seconds over which a zone's error ratio is computed
LOST_OUTCOMES = (Outcome.UNREACHABLE, Outcome.TIMEOUT, Outcome.BROKEN)

SUBSCRIBE_TIMER, COPY_TIMER = 1, 2  # timer tokens


class Balancer:
    """The decisions of one instance: a method for each event, which returns the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self.servers: dict[ServerId, Server] = {}
        self.bans: dict[ServerId, float] = {}  # banned by operators, and since when
        # Servers not called since their ban ended, and when they are due.
        self.first_call_due: dict[ServerId, float] = {}
        self.past_bans: dict[ServerId, tuple[float, float]] = {}  # start and end of recent bans
        self._ready = ServerRing()
        # First attempts go to these servers if possible, while new connections are scarce.
        self.preferred: list[ServerId] | None = None
        # Where crossing zones has a price, the servers of the own zone and the others have a pool each.
        self._splits_zones = settings.zones > 1 and settings.prices.cross_zone > 0.0
        # Multiples of the golden ratio are evenly spaced whichever instances share a zone.
        zone_position = settings.me * 0.618033988749895 % 1.0
        self.near_pool = ServerPool(
            settings.rules, zone_position if self._splits_zones else settings.me / settings.balancers
        )
        self.far_pool = ServerPool(settings.rules, zone_position)  # empty where zones are not split
        self.resize_at = 0.0
        self._zones: dict[int, ServerRing] = {}  # the ready servers of each zone
        self._cells: dict[int, ServerRing] = {}  # the ready servers of each cell
        self.zone_breakers: dict[int, Breaker] = {}  # one per zone: whether it can be reached
        self.pooled = 0.0  # moving average of the tier's latency, seconds
        self.usual = 0.0  # its slow-rising baseline
        self.requests: dict[RequestId, Request] = {}
        self.retry_tokens = RETRY_BURST / 2
        self.copy_tokens = 1.0
        self.copy_candidates: deque[Request] = deque()  # requests that may need a second copy, earliest first
        self.copy_timer_set = False  # for the first of them
        self.rate = 0.0  # requests a second, smoothed
        self.rate_at = 0.0
        self.admitted_rate = SmoothedRate(ADMITTED_RATE_WINDOW)  # requests that passed admission control
        self.cold_skipped = False  # a cold server was passed over for the current request
        self.admission = AdmissionControl(settings) if settings.tier == 0 else None
        self.subscribe_pending = False
        self.backoff = SUBSCRIBE_BACKOFF_MIN

    # ---- the list of servers -------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Begin; to be called once, after the first list was passed to `members`."""
        if self.settings.discovery is not Discovery.ON_REQUEST:
            return []
        return self._schedule_subscribe(
            now, min(FIRST_SUBSCRIBE_SPREAD, 0.4 * self.settings.rules.ask_within) * self.rng.random()
        )

    def _schedule_subscribe(self, now: float, delay: float) -> list[Action]:
        if self.subscribe_pending:
            return []
        self.subscribe_pending = True
        return [Timer(now + delay, SUBSCRIBE_TIMER)]

    def members(self, now: float, list_kind: ListKind, rows: Sequence[ServerRow]) -> list[Action]:
        """Apply a list of servers, a change to it, or the failure of a call to discovery."""
        if list_kind is ListKind.BROKEN:
            # Exponential backoff with jitter: every instance lost the same service at the same time.
            delay = min(self.backoff * (0.5 + self.rng.random()), self.settings.rules.ask_within)
            self.backoff = min(2.0 * self.backoff, SUBSCRIBE_BACKOFF_MAX)
            return self._schedule_subscribe(now, delay)
        if list_kind is not ListKind.STALE:
            self.backoff = SUBSCRIBE_BACKOFF_MIN
        if list_kind is not ListKind.PATCH:
            listed = {row.server for row in rows}
            for server in [server for server_id, server in self.servers.items() if server_id not in listed]:
                row = server.row
                self._apply_row(now, ServerRow(row.server, State.GONE, row.zone, row.cell))
        for row in rows:
            self._apply_row(now, row)
        self._resize_pools(now)
        return []

    def _apply_row(self, now: float, row: ServerRow) -> None:
        """Apply a row of the list to the server that it describes, and to the pools."""
        server = self.servers.get(row.server)
        if server is None:
            if row.state is State.GONE:
                return
            server = self.servers[row.server] = Server(row)
        elif server.row == row and row.server not in self.past_bans:
            return
        else:
            self._leave_pools(server)
            if row.started > server.row.started:
                server.forget_performance()  # a new process: what was learned about the old one no longer holds
            if row.state is State.GONE:
                # Its zone and cell are kept: repeats of requests that it may have run go to its group.
                row = ServerRow(row.server, State.GONE, server.row.zone, server.row.cell, started=row.started)
            server.row = row
            self._remove_if_gone(server)
        self._apply_past_ban(now, server)
        self._enter_pools(now, server)

    def _remove_if_gone(self, server: Server) -> None:
        """Remove a gone server once it has no attempts in flight: the id of a replaced machine never comes back."""
        if server.row.state is not State.GONE or server.in_flight:
            return
        if self.servers.get(server.row.server) is server:
            del self.servers[server.row.server]

    def ban(self, now: float, server_id: ServerId) -> list[Action]:
        """Send nothing to a server until `unban`, whatever the list says; ordered by operators."""
        self.past_bans.pop(server_id, None)
        self.first_call_due.pop(server_id, None)
        self.bans.setdefault(server_id, now)
        self.refresh_pools(now, server_id)
        return []

    def unban(self, now: float, server_id: ServerId) -> list[Action]:
        """End a ban; ordered by operators.

        The server is treated as cold, so that it is not overloaded: it was most likely restarted meanwhile, and the
        list reports that late. The cost: one that was not restarted gets less load for as long as servers stay cold.
        """
        since = self.bans.pop(server_id, None)
        if since is not None:
            oldest_kept = now - self.settings.rules.cold_for
            self.past_bans = {
                banned_id: ban_period
                for banned_id, ban_period in self.past_bans.items()
                if ban_period[1] >= oldest_kept
            }
            self.first_call_due = {
                banned_id: due for banned_id, due in self.first_call_due.items() if banned_id in self.servers
            }
            self.past_bans[server_id] = (since, now)
            # Spread first calls over time, more widely where there are more instances: each of them adds to its load.
            spread = UNBAN_SPREAD * max(1.0, self.settings.balancers / UNBAN_SPREAD_INSTANCES)
            self.first_call_due[server_id] = now + spread * self.rng.random()
            self.apply_past_ban(now, server_id)
        return []

    def apply_past_ban(self, now: float, server_id: ServerId) -> None:
        """Apply an entry of `past_bans` to its server."""
        server = self.servers.get(server_id)
        if server is not None:
            self._leave_pools(server)
            self._apply_past_ban(now, server)
            self._enter_pools(now, server)
            self._resize_pools(now)

    def _apply_past_ban(self, now: float, server: Server) -> None:
        """Treat a server as started at the end of its ban, until the list reports a start or it would be warm."""
        ban_period = self.past_bans.get(server.row.server)
        if ban_period is None:
            return
        banned_at, unbanned_at = ban_period
        if server.row.started > banned_at or now > unbanned_at + self.settings.rules.cold_for:
            server.back = 0.0
            del self.past_bans[server.row.server]
        elif server.back != unbanned_at:
            server.back = unbanned_at
            server.forget_performance()

    def _is_available(self, server: Server) -> bool:
        """Whether requests may be sent to a server."""
        return server.row.state is State.UP and server.row.server not in self.bans

    @property
    def ready(self) -> list[Server]:
        """The servers that requests may be sent to, in ring order."""
        return self._ready.servers

    def refresh_pools(self, now: float, server_id: ServerId) -> None:
        """Apply what has changed about a server other than its row: a ban, or the end of an earlier one."""
        server = self.servers.get(server_id)
        if server is not None:
            self._leave_pools(server)
            self._enter_pools(now, server)
            self._resize_pools(now)

    def _pool_of(self, server: Server) -> ServerPool:
        is_near = not self._splits_zones or server.row.zone == self.settings.zone
        return self.near_pool if is_near else self.far_pool

    def _enter_pools(self, now: float, server: Server) -> None:
        """Add a server to the pools if requests may be sent to it."""
        if not self._is_available(server):
            return
        self._ready.add(server)
        for groups, key in ((self._zones, server.row.zone), (self._cells, server.row.cell)):
            group = groups.get(key)
            if group is None:
                group = groups[key] = ServerRing()
            group.add(server)
        self._pool_of(server).add(now, server)

    def _leave_pools(self, server: Server) -> None:
        """Remove a server from the pools, before its row changes; draining, banned and gone ones leave at once."""
        if not self._ready.discard(server):
            return
        for groups, key in ((self._zones, server.row.zone), (self._cells, server.row.cell)):
            group = groups[key]
            group.discard(server)
            if not group.servers:
                del groups[key]
        self._pool_of(server).discard(server)

    def _resize_pools(self, now: float) -> None:
        """Choose how many servers ordinary calls are spread over (deterministic subsetting).

        Where many callers make few calls each, a breaker per server never sees more than its protected requests,
        averages go stale and every call opens a connection. So where this instance has less than SUBSET_CALL_RATE
        calls a second for each ready server it uses a subset; equal slices of the ring keep the load even.
        """
        self.resize_at = now + SUBSET_RESIZE_INTERVAL
        wanted = max(SUBSET_MIN, int(self.rate / SUBSET_CALL_RATE))
        self.near_pool.resize(now, wanted)
        self.far_pool.resize(now, wanted)

    def _skips_cold(self, now: float, server: Server, pool: ServerPool) -> bool:
        """Decide whether a cold server is passed over for this call.

        A cold server must not be overloaded: this instance sends it at most the fraction of a warm server's share
        that it can certainly handle, both on average (by a random draw) and in any short span (by a token bucket).
        """
        rules = self.settings.rules
        fraction = capacity_fraction(now - server.started, rules)
        draw_factor = min(float(MAX_DRAWS), 2.0 / max(pool.warm_fraction, 0.01))
        if self.usual > 0.0:  # warm servers that are slower than usual have no spare capacity
            draw_factor /= min(max(self.pooled / self.usual - COLD_SLOWDOWN_OFFSET, 1.0), COLD_MAX_DRAW_BOOST)
        demand = self.admitted_rate.per_second(now) / max(1, len(pool.active))
        own_rate = server.answer_rate.per_second(now) if server.answer_rate is not None else 0.0
        load = fraction * allowed_load(fraction, demand, pool.warm_load.per_server(), own_rate, rules)
        if self.rng.random() * demand >= load / draw_factor:
            return True
        if server.cold_seen <= 0.0:
            server.cold_credit = self.rng.random()  # instances must not all begin at the same time
            server.cold_seen = now
        server.cold_credit = refill_credit(server.cold_credit, now - server.cold_seen, load, rules)
        server.cold_seen = now
        return server.cold_credit < 1.0

    # ---- requests ------------------------------------------------------------------------

    def request(
        self,
        now: float,
        request_id: RequestId,
        class_index: int = 0,
        tenant: int = 0,
        deadline: float | None = None,
        receiving: bool = False,
    ) -> list[Action]:
        """Handle a new request; exactly one final answer follows.

        A request whose body is still being received (`receiving`) is sent while it arrives, with a distant deadline;
        `on_body_complete` reports its end. Raises ValueError for an unknown class.
        """
        if not 0 <= class_index < len(self.settings.classes):
            raise ValueError(f"class_index: no class has index {class_index}")
        if deadline is None:
            deadline = now + self.settings.classes[class_index].deadline
        request = Request(request_id, class_index, tenant, now, deadline)
        request.receiving = receiving
        self.requests[request_id] = request
        # The rate counts requests, not calls sent: where all servers are cold, nothing would ever be sent.
        self.rate = self.rate * max(0.0, 1.0 - (now - self.rate_at) / 2.0) + 0.5
        self.rate_at = now
        if now >= self.resize_at:
            self._resize_pools(now)
        actions: list[Action] = []
        if not self.ready:
            # Without any ready server (no list yet, all draining, all banned) a refusal says nothing about load and
            # earns no retries. If it were counted, admission control would go on refusing for its whole window.
            request.counted = True
            self._refuse_or_fail(now, request, actions)
            return actions
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_RATIO)
        admission = self.admission
        if admission is not None:
            request.slot = admission.take_slot(now, class_index, tenant)
            if admission.refuses(now, request, self.rng):
                request.counted = True
                self._refuse_or_fail(now, request, actions)
                return actions
        self.admitted_rate.add(now)
        self.cold_skipped = sent = False
        if deadline > now:
            if self.preferred is not None:
                preferred = [
                    server
                    for server_id in self.preferred
                    if (server := self.servers.get(server_id)) is not None and self._is_available(server)
                ]
                sent = self._pick_and_send(now, request, preferred, True, actions)
            sent = sent or self._pick_and_send(now, request, None, True, actions)
        if not sent:
            # Requests that are kept away from cold servers say nothing about load. If admission control refused more
            # because of them, fewer would be left, the same fraction of which would be kept away again.
            request.counted = request.counted or self.cold_skipped
            self._refuse_or_fail(now, request, actions)
        elif not receiving:
            self._schedule_copy(now, request, actions)
        return actions

    def take_over(
        self,
        now: float,
        request_id: RequestId,
        class_index: int,
        tenant: int,
        deadline: float,
        prior_attempts: Sequence[PriorAttempt],
        body_released: bool = False,
        replaced_attempts: int = 0,
    ) -> list[Action]:
        """Continue a request that another process admitted and did not finish; its prior attempts count.

        `replaced_attempts` is the number of further prior attempts, of which nothing else is known or needed.

        Attempts that are `joined` go on here; without one the request continues as after an attempt that ended. This
        takes nothing from the retry budget: the requests of a lost process are bounded, and no more load than before.
        """
        request = Request(request_id, class_index, tenant, now, deadline)
        request.counted, request.body_released = True, body_released
        request.replaced_attempts = replaced_attempts
        self.requests[request_id] = request
        for prior in prior_attempts:
            server = self.servers.get(prior.server) or Server(
                ServerRow(prior.server, State.GONE, prior.zone, prior.cell)
            )
            attempt = Attempt(server, prior.sent)
            attempt.open, attempt.maybe_ran = prior.joined, prior.maybe_ran
            request.attempts.append(attempt)
            if prior.joined:
                request.open += 1
                server.in_flight[attempt] = None
                server.breaker = server.breaker or Breaker()
            else:
                attempt.outcome = Outcome.BROKEN if prior.maybe_ran else Outcome.UNREACHABLE
        actions: list[Action] = []
        if request.open:
            if not body_released:
                self._schedule_copy(now, request, actions)
        elif not self._try_next_attempt(now, request, actions):
            self._refuse_or_fail(now, request, actions)
        return actions

    def on_body_complete(self, now: float, request_id: RequestId, deadline: float) -> list[Action]:
        """Handle the last byte of a request that was sent while it arrived; its time and its attempt's start here.

        So callers that send slowly don't distort what is learned about servers and load.
        """
        request = self.requests.get(request_id)
        if request is None or request.done or not request.receiving:
            return []
        request.receiving = False
        request.arrived, request.deadline = now, deadline
        for attempt in request.attempts:
            if attempt.open:
                attempt.sent = now
                attempt.server.in_flight[attempt] = None
        if self.admission is not None and not request.counted:
            self.admission.enqueue(now, request)
        actions: list[Action] = []
        if not request.body_released:
            self._schedule_copy(now, request, actions)
        return actions

    def set_deadline(self, request_id: RequestId, deadline: float) -> None:
        """Change a request's deadline: its time runs while its body is held back, and not while its caller sends."""
        request = self.requests.get(request_id)
        if request is not None:
            request.deadline = deadline

    def on_body_released(self, request_id: RequestId) -> None:
        """Note that a part of a request's body was released, so that it can't be sent again."""
        request = self.requests.get(request_id)
        if request is not None:
            request.body_released = True

    def _schedule_copy(self, now: float, request: Request, actions: list[Action]) -> None:
        """Schedule a second copy (hedged request).

        Without one, a hung attempt takes the whole time of its request. Second copies are too few to matter as load.
        """
        if not self.settings.limits.second_copies or self.pooled <= 0.0:
            return
        self.copy_tokens = min(COPY_BURST, self.copy_tokens + COPY_RATIO)
        request.copy_at = now + COPY_DELAY_MULTIPLE * self.pooled
        self.copy_candidates.append(request)
        if not self.copy_timer_set:
            self.copy_timer_set = True
            actions.append(Timer(request.copy_at, COPY_TIMER))

    def _on_copy_timer(self, now: float) -> list[Action]:
        actions: list[Action] = []
        waiting = self.copy_candidates
        # In a slow tier, a late answer is no sign of a lost one.
        tier_is_fast = self.pooled <= COPY_MAX_SLOWDOWN * self.usual
        while waiting and (waiting[0].done or waiting[0].copy_at <= now):
            request = waiting.popleft()
            if tier_is_fast and request.open == 1 and self.copy_tokens >= 1.0 and self._retry(now, request, actions):
                self.copy_tokens -= 1.0
        self.copy_timer_set = bool(waiting)
        if waiting:
            actions.append(Timer(waiting[0].copy_at, COPY_TIMER))
        return actions

    def _pick_and_send(
        self, now: float, request: Request, allowed: list[Server] | None, first: bool, actions: list[Action]
    ) -> bool:
        server = self._pick(now, request, allowed, first)
        if server is None:
            return False
        self._start_attempt(now, request, server, actions)
        return True

    def _start_attempt(self, now: float, request: Request, server: Server, actions: list[Action]) -> None:
        if server.breaker is None:
            server.breaker = Breaker()
        if self.first_call_due:
            self.first_call_due.pop(server.row.server, None)
        if server.cold_credit > 0.0:
            server.cold_credit -= 1.0
        attempt = Attempt(server, now)
        if not request.receiving:
            server.in_flight[attempt] = None
        request.attempts.append(attempt)
        request.open += 1
        actions.append(Send(request.id, server.row.server))

    def _send_to_same_server(
        self, now: float, request: Request, allowed: list[Server] | None, actions: list[Action]
    ) -> bool:
        """Send a request once more to the server of its last attempt, where there is no other.

        Otherwise requests would be given up where a group is small. An answer that was corrupted or lost on its way,
        or that is long overdue (a second copy, on a connection of its own), says little about the server, which is in
        its own group and so knows the idempotency key. Limited to MAX_ATTEMPTS_PER_SERVER, and done neither after a
        timeout nor where the server's breaker refuses: there it would add to the overload.
        """
        last_attempt = request.attempts[-1]
        server = last_attempt.server
        if last_attempt.outcome not in (None, Outcome.BROKEN) or not self._is_available(server):
            return False
        if allowed is not None and server not in allowed:
            return False
        if sum(attempt.server is server for attempt in request.attempts) >= MAX_ATTEMPTS_PER_SERVER:
            return False
        if server.cold_until(self.settings.rules) > now:
            return False
        timeout = self.settings.classes[request.class_index].aim
        if server.breaker is not None and server.breaker.refuses(now, timeout, self.rng):
            return False
        self._start_attempt(now, request, server, actions)
        return True

    def _pick(self, now: float, request: Request, allowed: list[Server] | None, first: bool) -> Server | None:
        """Choose the better of two random ready servers; if its breaker refuses, the other or a newly drawn one.

        Where crossing zones has a price, both are of the own zone and a third one is of the other zones; it is chosen
        if it is better by more than the crossing costs. A zone short of servers spills over to the others.
        """
        rng = self.rng
        timeout = self.settings.classes[request.class_index].aim
        pools: tuple[ServerPool, ...]
        if allowed is not None:
            pools = (ServerPool(self.settings.rules, active=allowed),) * 2
        elif not self.near_pool.active or not self.far_pool.active:
            pools = (self.near_pool if self.near_pool.active else self.far_pool,) * 2
        else:
            pools = (self.near_pool, self.near_pool, self.far_pool)
        skipped: list[Server] = []
        chosen: list[tuple[float, int, Server]] = []
        tried: list[Server] = [attempt.server for attempt in request.attempts]
        for pool in pools:
            self._draw_candidate(now, pool, first, timeout, tried, chosen, skipped)
        if not chosen and skipped:
            chosen.append((0.0, 0, skipped[-1]))
        if self.first_call_due and first and allowed is None:
            # Where calls are few, random draws might leave a formerly banned server out for long.
            for server_id, due in self.first_call_due.items():
                unbanned = self.servers.get(server_id)
                if due <= now and unbanned is not None and self._is_available(unbanned):
                    chosen.append((0.0, -1, unbanned))
                    break
        redraws = FAR_REDRAWS
        while chosen:
            best = min(chosen)
            choice = best[2]
            if not (choice.breaker and choice.breaker.refuses(now, timeout, rng)):
                return choice
            chosen.remove(best)
            if redraws and len(pools) > 2:
                # Otherwise the only candidate left might be one that every instance falls back to.
                redraws -= 1
                self._draw_candidate(now, self.far_pool, first, timeout, tried, chosen, skipped)
        return None

    def _draw_candidate(
        self,
        now: float,
        pool: ServerPool,
        first: bool,
        timeout: float,
        tried: list[Server],
        chosen: list[tuple[float, int, Server]],
        skipped: list[Server],
    ) -> None:
        """Add one more random ready server of a pool to the candidates (`chosen`), if there is one left."""
        rng, rules = self.rng, self.settings.rules
        if now >= pool.next_warm_at:
            pool.count_warm(now)
        count = len(pool.active)
        index = 0
        for draw in range(MAX_DRAWS // 2 + SEQUENTIAL_PROBES if count else 0):
            # Where few servers are warm, random draws may hit only cold ones: then servers are checked in order.
            random_draw = draw < MAX_DRAWS // 2
            if not random_draw and not self.cold_skipped:
                return
            index = int(rng.random() * count) if random_draw else (index + 1) % count
            server = pool.active[index]
            if server in tried:
                continue
            cold = server.cold_until(rules) > now
            if cold and not (random_draw and first and not self._skips_cold(now, server, pool)):
                self.cold_skipped = True
                continue
            link = self.zone_breakers.get(server.row.zone)
            if link is not None and link.refuses(now, 0.0, rng):
                skipped.append(server)
                continue
            score = server.score(now, self.pooled)
            if pool is self.far_pool:
                score += CROSS_ZONE_PENALTY * self.settings.prices.cross_zone * timeout
            tried.append(server)
            chosen.append((score, len(tried), server))
            return

    def _allowed_servers(self, now: float, request: Request) -> list[Server] | None:
        """Return the servers that a further attempt may be sent to: an empty list for none, None for any.

        Enforces the rule that no effect is applied twice.
        """
        request_class = self.settings.classes[request.class_index]
        first = request.first_maybe_ran()
        if first is None or request_class.repeat is Repeat.SAFE:
            return None
        if request_class.repeat is Repeat.UNSAFE or now - first.sent >= REPEAT_WINDOW_MARGIN * request_class.window:
            return []
        if request_class.group is Group.ALL:
            return None
        if request_class.group is Group.ZONE:
            group = self._zones.get(first.server.row.zone)
        else:
            group = self._cells.get(first.server.row.cell)
        return group.servers if group is not None else []

    def _retry(self, now: float, request: Request, actions: list[Action]) -> bool:
        """Start a further attempt within the rules and the retry budget; return whether one was started."""
        if self.retry_tokens < 1.0 or not self._try_next_attempt(now, request, actions):
            return False
        self.retry_tokens -= 1.0
        return True

    def _try_next_attempt(self, now: float, request: Request, actions: list[Action]) -> bool:
        """Start a further attempt within the rules; return whether one was started."""
        limits = self.settings.limits
        if request.done or request.bound or request.body_released or now >= request.deadline:
            return False
        if len(request.attempts) + request.replaced_attempts >= limits.max_attempts:
            return False
        if request.open and (request.open > 1 or not limits.second_copies):
            return False
        first = not request.attempts
        allowed = self._allowed_servers(now, request)
        return self._pick_and_send(now, request, allowed, first, actions) or (
            not first and self._send_to_same_server(now, request, allowed, actions)
        )

    def may_start(self, now: float, request_id: RequestId, attempt_index: int) -> bool:
        """Whether an attempt that had to wait for its connection may still start.

        It may not if meanwhile its request was answered, its server is draining, gone or banned, or so much time has
        passed that a repeat would no longer be recognized as one.
        """
        request = self.requests.get(request_id)
        if request is None or request.done or now >= request.deadline:
            return False
        attempt = request.attempts[attempt_index]
        if not self._is_available(attempt.server):
            return False
        request_class = self.settings.classes[request.class_index]
        earlier = [other for other in request.attempts if other is not attempt and other.maybe_ran]
        if not earlier or request_class.repeat is Repeat.SAFE:
            return True
        return (
            request_class.repeat is Repeat.KEYED
            and now - earlier[0].sent < REPEAT_WINDOW_MARGIN * request_class.window
        )

    def _refuse_or_fail(self, now: float, request: Request, actions: list[Action]) -> None:
        """Give the final answer: refused where a repeat is certainly harmless, otherwise failed."""
        request_class = self.settings.classes[request.class_index]
        harmless = (
            request_class.repeat is Repeat.SAFE
            or (request_class.repeat is Repeat.KEYED and request_class.group is Group.ALL)
            or request.first_maybe_ran() is None
        )
        actions.append(Refuse(request.id) if harmless else Fail(request.id))
        if self.admission is not None:
            self.admission.on_end(now, request, False)
        self._finish(request, actions)

    def _finish(self, request: Request, actions: list[Action]) -> None:
        request.done = True
        if request.open and self.settings.limits.cancel and not request.bound:
            for attempt_index, attempt in enumerate(request.attempts):
                if attempt.open:
                    actions.append(Cancel(request.id, attempt_index))
        if not request.open:
            self.requests.pop(request.id, None)

    def outcome(
        self,
        now: float,
        request_id: RequestId,
        attempt_index: int,
        outcome: Outcome,
        latency: float,
        last: bool = False,
    ) -> list[Action]:
        """Handle the end of an attempt; unknown ones are ignored.

        `latency` is in seconds. `last` means that the client was answered: no further attempt is made.
        """
        request = self.requests.get(request_id)
        if request is None or not 0 <= attempt_index < len(request.attempts):
            return []
        attempt = request.attempts[attempt_index]
        if not attempt.open:
            return []
        attempt.open = False
        attempt.outcome = outcome
        attempt.maybe_ran = outcome not in NEVER_RAN
        request.open -= 1
        if outcome is not Outcome.OK or not request.bound:
            self._record_outcome(now, attempt, outcome, latency, self.settings.classes[request.class_index].aim)
        actions: list[Action] = []
        if request.done:
            if not request.open:
                self.requests.pop(request_id, None)
        elif last or outcome is Outcome.OK:
            if self.admission is not None and not request.bound:
                self.admission.on_end(now, request, outcome is Outcome.OK)
            self._finish(request, actions)
        elif not request.open:
            if outcome is Outcome.REJECTED:
                # Requests that no server can handle say nothing about the tier.
                if self.admission is not None:
                    self.admission.exclude(request)
                self._refuse_or_fail(now, request, actions)
            elif not self._retry(now, request, actions):
                self._refuse_or_fail(now, request, actions)
        return actions

    def start_alternative(self, now: float, request_id: RequestId) -> list[Action]:
        """Start another attempt beside one whose answer has begun and is slow, if a second copy may be sent.

        The slow one goes on: it may be sound, and the other one may be as slow.
        """
        request = self.requests.get(request_id)
        actions: list[Action] = []
        if request is not None and request.open == 1:
            self._retry(now, request, actions)
        return actions

    def replace_slow_attempt(self, now: float, request_id: RequestId, attempt_index: int) -> list[Action]:
        """Replace an attempt whose answer is slow where no second copy may run beside it; at most once a request.

        The attempt counts as broken then, and the caller has to cancel it before it carries out the actions. Without
        actions the attempt goes on: a slow answer is better than none.
        """
        request = self.requests.get(request_id)
        if request is None or request.done or request.bound or request.open != 1:
            return []
        if self.settings.limits.second_copies or request.slow_replaced:
            return []
        attempt = request.attempts[attempt_index]
        attempt.open, attempt.outcome = False, Outcome.BROKEN
        request.open = 0
        actions: list[Action] = []
        if not self._retry(now, request, actions):
            attempt.open, attempt.outcome = True, None
            request.open = 1
            return []
        request.slow_replaced = True
        timeout = self.settings.classes[request.class_index].aim
        self._record_outcome(now, attempt, Outcome.BROKEN, now - attempt.sent, timeout)
        return actions

    def _record_outcome(self, now: float, attempt: Attempt, outcome: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.in_flight.pop(attempt, None)
        self._remove_if_gone(server)
        breaker = server.breaker
        if breaker is None or outcome in (Outcome.VOID, Outcome.REJECTED) or attempt.sent < server.started:
            return
        link = None
        if self.settings.zones > 1:
            link = self.zone_breakers.get(server.row.zone)
            if link is None:
                link = self.zone_breakers[server.row.zone] = Breaker(ZONE_BREAKER_WINDOW)
        if outcome is Outcome.OK:
            breaker.record_success(now)
            if breaker.current <= 0.0 and self.pooled > 0.0:
                breaker.record_latency(min(latency, self.pooled))  # one slow first answer must not set the baseline
            breaker.record_latency(latency)
            server.update_latency(now, latency)
            self.pooled += (latency - self.pooled) / 32.0 if self.pooled > 0.0 else latency
            weight = 4.0 if self.pooled < self.usual else 1000.0
            self.usual += (self.pooled - self.usual) / weight if self.usual > 0.0 else self.pooled
            if link is not None:
                link.record_success(now)
            self._count_answer(now, server, latency <= timeout)
        elif outcome is not Outcome.CANCELLED:
            breaker.record_failure(now)
            # A server that fails fast would look quick, so a failure counts as a timeout.
            server.update_latency(now, max(latency, timeout))
            if link is not None and outcome in LOST_OUTCOMES:
                # A ratio over the whole zone detects a cut link sooner than one server at a time.
                link.record_failure(now)

    def _count_answer(self, now: float, server: Server, in_time: bool) -> None:
        """Count an answer for slow start: the load of warm servers, and what a cold one answers in time."""
        pool = self.near_pool if not self.far_pool.active or server.row.zone == self.settings.zone else self.far_pool
        cold = server.cold_until(self.settings.rules) > now
        pool.warm_load.on_answer(now, 0.0 if cold else pool.warm_fraction * len(pool.active))
        if not cold:
            server.answer_rate = None
        elif in_time:
            server.answer_rate = server.answer_rate or SmoothedRate(COLD_RATE_WINDOW)
            server.answer_rate.add(now)

    def on_stream_started(self, now: float, request_id: RequestId, attempt_index: int) -> list[Action]:
        """Handle the start of a streamed answer: the request is bound to this attempt and counts as answered.

        How long the rest takes depends on the caller: slow readers say nothing about queues and must not cause
        refusals.
        """
        request = self.requests.get(request_id)
        if request is None or request.done or request.bound or not 0 <= attempt_index < len(request.attempts):
            return []
        streaming = request.attempts[attempt_index]
        self._record_outcome(
            now, streaming, Outcome.OK, now - streaming.sent, self.settings.classes[request.class_index].aim
        )
        if self.admission is not None:
            self.admission.on_end(now, request, True)
        actions: list[Action] = []
        if self.settings.limits.cancel:
            for other, attempt in enumerate(request.attempts):
                if attempt.open and other != attempt_index:
                    actions.append(Cancel(request_id, other))
        request.bound = True
        return actions

    def on_client_gone(self, now: float, request_id: RequestId) -> list[Action]:
        """Handle a client that disconnected: it needs no answer any more."""
        request = self.requests.get(request_id)
        if request is None or request.done:
            return []
        actions: list[Action] = []
        if self.admission is not None and not request.counted:
            self.admission.on_late(now, request)  # it received nothing, as with a late answer
        self._finish(request, actions)
        return actions

    def on_timer(self, now: float, token: int) -> list[Action]:
        """Handle a timer that is due; stale ones are ignored."""
        if token == SUBSCRIBE_TIMER and self.subscribe_pending:
            self.subscribe_pending = False
            return [Subscribe()]
        if token == COPY_TIMER and self.copy_timer_set:
            return self._on_copy_timer(now)
        return []
