"""All decisions of the balancer: which server, whether at all, again, or not any more.

Pure and sans-I/O: every method takes the time, returns the actions to carry out, and reads no clock.
All randomness comes from the seed. The mechanism is that of go-zero PR #5366 with SRE-book throttling:
each server has a breaker that refuses locally with the larger of an error chance and
a latency chance; of two random ready servers the one with the lower latency x (in-flight + 1) is taken.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from random import Random

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
    Rules,
    Send,
    ServerId,
    ServerRow,
    Settings,
    State,
    Subscribe,
    Timer,
)
from weldroute.slow_start import (
    COLD_RATE_WINDOW,
    SmoothedRate,
    WarmLoad,
    allowed_load,
    capacity_fraction,
    refill_credit,
)

BREAKER_WINDOW = 10.0  # seconds that the error ratio looks back
BUCKETS = 40
THROTTLE_K = 1.5  # accepted calls are worth this many requests...
THROTTLE_K_MIN = 1.1  # ...and this many when every recent bucket fails
PROTECTED_REQUESTS = 5  # requests that never count against a server
FORCED_PASS_INTERVAL = 1.0  # seconds between calls that pass whatever the ratio
LATENCY_ACTIVATION = 3.0  # the latency chance starts at this multiple of the baseline...
LATENCY_CEILING = 0.95  # ...and is full at this part of the timeout...
LATENCY_DROP_CAP = 0.3  # ...where it has this value

MAX_DRAWS = 8  # random draws for two candidates, at most
SEQUENTIAL_PROBES = 8  # servers that are looked at one after the other where no draw has found a candidate
FAR_REDRAWS = 2  # further candidates from other zones, for those that their breakers refuse
RETRY_RATIO = 0.2  # further attempts for each request, on average
RETRY_BURST = 10.0  # further attempts saved up, at most
COPY_DELAY_MULTIPLE = 5.0  # a second copy goes out when the first is out for this multiple of the tier's latency
COPY_RATIO = 0.02  # second copies for each request, on average
COPY_BURST = 1.0  # second copies saved up, at most
COPY_MAX_SLOWDOWN = 1.3  # none while the tier's latency is over this multiple of its slow-rising baseline
MAX_ATTEMPTS_PER_SERVER = 3  # attempts of one request at one server, at most
REPEAT_WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which repeats are sent

LATENCY_STALE_AFTER = 5.0  # seconds after which a silent server's latency counts half, the tier's the other half
SUBSET_MIN = 10  # servers of the working set, at least
SUBSET_CALL_RATE = 0.7  # calls a second that each server of the working set should see
CROSS_ZONE_PENALTY = 5.0  # a crossing of zones weighs its price x this part of the aim, as latency
ADMITTED_RATE_WINDOW = 2.0  # seconds over which the pace of requests that are let in is smoothed
SUBSET_RESIZE_INTERVAL = 3.0  # seconds between looks at the size of the working set

# A change counts as known 6 s after discovery could be reached, whatever failed before; a call may take 3 s of that.
FIRST_SUBSCRIBE_SPREAD = 2.0  # seconds over which the first calls of instances that start together are spread
SUBSCRIBE_BACKOFF_MIN, SUBSCRIBE_BACKOFF_MAX = (
    0.5,
    1.6,
)  # seconds after a failed call until the next, before jitter of half as much

UNBAN_SPREAD = 3.0  # seconds after a ban in which a server gets its first call, where...
UNBAN_SPREAD_INSTANCES = 10  # ...so many instances, or fewer, call it

COLD_SLOWDOWN_OFFSET = 0.5  # subtracted from the tier's latency over its usual one, it is...
COLD_MAX_DRAW_BOOST = 1.6  # ...how much more often a cold server is drawn, up to this

ZONE_BREAKER_WINDOW = 3.0  # seconds that a zone's ratio looks back
LOST_OUTCOMES = (Outcome.UNREACHABLE, Outcome.TIMEOUT, Outcome.BROKEN)

ADMISSION_WINDOW = 5.0  # seconds that the ratio of the whole tier looks back
ADMISSION_K = 1.2  # its K: at balance 1 / K of what is let in is in time
ADMISSION_K_SLACK = 2.0  # added to that K when answers come at once, and less of it...
ADMISSION_SLACK_END = 0.7  # ...until answers take this part of their aim
ADMISSION_IDLE_SLACK = 0.5  # part of the slack that it has when nobody waits
ADMISSION_WAIT_START = (
    0.25  # the wait forecast by those waiting, as a part of the aim, from which the entry refuses...
)
ADMISSION_WAIT_END = 0.55  # ...and that at which it refuses all
RANKING_INTERVAL = 0.25  # seconds between orderings of requests by worth
QUEUE_HORIZON = 0.5  # those waiting for longer than this part of their aim are stuck, not queued
PACE_WINDOW = 2.0  # seconds over which the pace of answers is smoothed...
RECENT_PACE_WINDOW = 0.5  # ...and over which a rise of it shows
SHARE_WINDOW = 3.0  # seconds over which shares of traffic and service are smoothed

SUBSCRIBE_TIMER, COPY_TIMER = 1, 2  # timer tokens


def _mix_bits(number: int) -> int:
    """A fixed scramble of an identifier, equal at every instance."""
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    return number ^ (number >> 16)


class Breaker:
    """The design's chance of refusing a call locally, for one server."""

    __slots__ = (
        "_accepts",
        "_bucket_width",
        "_buckets",
        "_failing_buckets",
        "_requests",
        "baseline",
        "current",
        "k",
        "last_pass",
    )

    def __init__(self, window: float = BREAKER_WINDOW, k: float = THROTTLE_K) -> None:
        self._bucket_width = window / BUCKETS
        self.k = k
        self._buckets: deque[list[float]] = deque()  # [bucket number, requests, accepts, failures]
        self._failing_buckets = 0
        self._requests = 0.0
        self._accepts = 0.0
        self.baseline = self.current = 0.0
        self.last_pass = float("-inf")

    def _bucket_at(self, now: float) -> list[float]:
        number = int(now / self._bucket_width)
        ring = self._buckets
        if ring and ring[-1][0] >= number:
            return ring[-1]
        self._expire(number)
        bucket = [float(number), 0.0, 0.0, 0.0]
        ring.append(bucket)
        return bucket

    def _expire(self, number: int) -> None:
        ring = self._buckets
        while ring and ring[0][0] <= number - BUCKETS:
            expired = ring.popleft()
            self._requests -= expired[1]
            self._accepts -= expired[2]
        self._failing_buckets = min(self._failing_buckets, len(ring))

    def record_refusal(self, now: float) -> None:
        """Count a call refused here: a request that the server did not accept."""
        self._bucket_at(now)[1] += 1
        self._requests += 1

    def record_success(self, now: float, weight: float = 1.0) -> None:
        """Count a call that the server accepted, or a part of one."""
        bucket = self._bucket_at(now)
        bucket[1] += 1
        bucket[2] += weight
        self._requests += 1
        self._accepts += weight
        self._failing_buckets = 0

    def record_failure(self, now: float) -> None:
        """Count an error, time-out, full refusal or failed connection."""
        bucket = self._bucket_at(now)
        bucket[1] += 1
        self._requests += 1
        if not bucket[2] and not bucket[3]:
            self._failing_buckets += 1  # newest run of buckets that only failed
        bucket[3] += 1

    def record_latency(self, latency: float) -> None:
        """Move both averages by the latency of a success."""
        if self.current <= 0.0:
            self.baseline = self.current = latency
            return
        weight = 4.0 if latency < self.baseline else 100.0
        self.baseline += (latency - self.baseline) / weight
        self.current += (latency - self.current) / 4.0

    def error_ratio(self, now: float) -> float:
        """Adaptive throttling over the window; K falls as the newest failing buckets grow."""
        self._expire(int(now / self._bucket_width))
        k = self.k - (self.k - THROTTLE_K_MIN) * self._failing_buckets / BUCKETS
        return max(0.0, (self._requests - PROTECTED_REQUESTS - k * self._accepts) / (self._requests + 1))

    def latency_ratio(self, timeout: float) -> float:
        """The capped chance for a current latency far over the baseline; 0 without a usable timeout."""
        threshold = LATENCY_ACTIVATION * self.baseline
        span = LATENCY_CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        return min(max((self.current - threshold) / span * LATENCY_DROP_CAP, 0.0), LATENCY_DROP_CAP)

    def drop_probability(self, now: float, timeout: float) -> float:
        """The larger of the two chances."""
        return max(self.error_ratio(now), self.latency_ratio(timeout))

    def refuses(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to refuse this call; one call a second passes while calls are dropped."""
        chance = self.drop_probability(now, timeout)
        if chance <= 0.0:
            return False
        if now - self.last_pass < FORCED_PASS_INTERVAL and rng.random() < chance:
            self.record_refusal(now)
            return True
        self.last_pass = now
        return False


class Server:
    """What an instance knows of one server of the next tier."""

    __slots__ = ("answer_rate", "back", "breaker", "cold_credit", "cold_seen", "in_flight", "latency", "row", "seen")

    def __init__(self, row: ServerRow) -> None:
        self.row = row
        self.breaker: Breaker | None = None  # made at the first call: most rows of a big list see none
        self.in_flight: dict[Attempt, None] = {}  # attempts in flight, oldest first
        self.latency = 0.0  # the breaker's current latency, failures counted as the time-out
        self.seen = 0.0
        self.cold_credit = 0.0
        self.cold_seen = 0.0
        self.answer_rate: SmoothedRate | None = None  # in time, while it is cold
        self.back = 0.0  # when a ban on it ended, until discovery tells of a start since that ban began

    @property
    def started(self) -> float:
        """When its process started, as far as is known; 0 for long ago."""
        return max(self.row.started, self.back)

    def cold_until(self, rules: Rules) -> float:
        """When it will have been up for as long as servers stay cold."""
        started = self.row.started if self.row.started > self.back else self.back
        return started + rules.cold_for if started > 0.0 else 0.0

    def update_latency(self, now: float, latency: float) -> None:
        """Move the latency that picks follow."""
        self.latency += (latency - self.latency) / 4.0 if self.latency > 0.0 else latency
        self.seen = now

    def score(self, now: float, pooled: float) -> float:
        """Current latency x (in-flight + 1); lower is better.

        Guards against stale averages (a silent server drifts to the tier's latency, so that a recovered
        one is tried again and one never tried is neither first nor last) and against hung servers (an
        attempt that is out for longer than the current latency is itself a sample).
        """
        latency = pooled
        if self.latency > 0.0:
            fresh = LATENCY_STALE_AFTER / (LATENCY_STALE_AFTER + now - self.seen)
            latency += (self.latency - pooled) * fresh
        in_flight = self.in_flight
        if not in_flight:
            return latency
        age = now - next(iter(in_flight)).sent
        return max(latency, age) * (len(in_flight) + 1)


class AdmissionControl:
    """The design's ratio over the whole tier, where clients enter, and whom its refusals fall on.

    Guards against late answers in overload: servers that queue accept everything, so no single breaker
    sees an error until answers are late. Here an answer after its aim counts only for what it is still
    worth. Acts only at the first tier: a refusal further down wastes the work already done above.
    """

    __slots__ = (
        "aim",
        "asked",
        "breaker",
        "chance",
        "filled",
        "pace",
        "paced_at",
        "pending",
        "queue_length",
        "queued",
        "quota",
        "quota_at",
        "recent",
        "served",
        "settings",
        "since",
        "sort_at",
        "tenant_count",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.breaker = Breaker(ADMISSION_WINDOW, ADMISSION_K)
        self.tenant_count = max(1, len(settings.tenants))
        slots = len(settings.classes) * self.tenant_count * 2
        self.asked = [0.0] * slots  # recent requests of each (class, tenant, over its share)
        self.served = [0.0] * slots
        self.chance = [0.0] * slots
        self.sort_at = 0.0
        self.quota = [1.0] * self.tenant_count  # saved-up requests within the share
        self.quota_at = [0.0] * self.tenant_count
        self.pending: deque[Request] = deque()
        self.filled = 0.0  # the part of their aim that answers take
        self.queued: deque[Request] = deque()
        self.queue_length = 0  # requests let in, unanswered and within their horizon
        self.aim = 0.0  # usual aim of what is asked
        self.pace = 0.0  # answers a second, smoothed...
        self.recent = 0.0  # ...and of late
        self.paced_at = 0.0
        self.since = -1.0  # when the first request came

    def take_slot(self, now: float, class_index: int, tenant: int) -> int:
        """The slot of a request, taking it from its tenant's quota."""
        over_share = 0
        if tenant < len(self.settings.tenants):
            # Each instance counts its equal part of the quota; a wrong guess only changes the order.
            quota_rate = self.settings.tenants[tenant].quota / self.settings.balancers
            if quota_rate > 0.0:
                tokens = self.quota[tenant] + quota_rate * (now - self.quota_at[tenant])
                self.quota_at[tenant] = now
                tokens = min(tokens, max(2.0, quota_rate))
                over_share = int(tokens < 1.0)
                self.quota[tenant] = tokens if over_share else tokens - 1.0
        else:
            tenant = 0
        return (class_index * self.tenant_count + tenant) * 2 + over_share

    def refuses(self, now: float, request: Request, rng: Random) -> bool:
        """Whether to refuse this request at the door, least worth first."""
        pending = self.pending
        classes = self.settings.classes
        while pending and (pending[0].done or pending[0].arrived + classes[pending[0].class_index].aim < now):
            self.on_late(now, pending.popleft())
        slot_index = request.slot
        self.asked[slot_index] += 1.0
        if self.since < 0.0 or (not self.queue_length and now - self.paced_at > PACE_WINDOW):
            # Guards against taking a pause, such as a drain, for answers that stopped coming.
            self.since = now
            self.pace = self.recent = 0.0
        queued = self.queued
        while queued and (queued[0].counted or queued[0].queued_until <= now):
            self._dequeue(queued.popleft())
        aim = classes[request.class_index].aim
        self.aim += (aim - self.aim) / 32.0 if self.aim > 0.0 else aim
        wait = self.forecast_wait(now)
        # Guards against a spiral: where calls fail although answers are quick, or nobody waits any more, it is
        # not for load. Refusing more makes no more of them succeed, and those turned away come again.
        slack = max(1.0 - self.filled / ADMISSION_SLACK_END, ADMISSION_IDLE_SLACK - wait / ADMISSION_WAIT_START, 0.0)
        self.breaker.k = ADMISSION_K + ADMISSION_K_SLACK * slack
        latency_ratio = min(
            max((wait - ADMISSION_WAIT_START) / (ADMISSION_WAIT_END - ADMISSION_WAIT_START), 0.0), 1.0
        )
        ratio = max(self.breaker.error_ratio(now), latency_ratio)
        if ratio > 0.0:
            if now >= self.sort_at:
                self._rank_slots(now, ratio)
            chance = self.chance[slot_index]
            if chance > 0.0 and rng.random() < chance:
                self.breaker.record_refusal(now)
                return True
        elif now >= self.sort_at + SHARE_WINDOW:
            self._decay(now)
        if not request.receiving:
            self.enqueue(now, request)
        return False

    def enqueue(self, now: float, request: Request) -> None:
        """Count a request that is let in as one that waits."""
        self.pending.append(request)
        request.queued_until = now + QUEUE_HORIZON * self.settings.classes[request.class_index].aim
        request.queued = True
        self.queued.append(request)
        self.queue_length += 1

    def forecast_wait(self, now: float) -> float:
        """The wait that those waiting forecast for the next, as a part of the aim.

        Guards against bursts: late answers are evidence only when the queues are long. Those waiting by the
        pace of answers forecast the wait of the next (Little's law) at once.
        """
        observed = now - self.since
        if observed < self.aim:
            return 0.0  # answers have had no time to show their pace
        pace = self.pace * max(0.0, 1.0 - (now - self.paced_at) / PACE_WINDOW)
        if observed < 2.0 * PACE_WINDOW:
            pace /= 1.0 - math.exp(-observed / PACE_WINDOW)  # smoothed from nothing
        # Guards against refusing what another proxy's callers bring when it goes: there the pace rises with
        # what is asked, and answers take no longer.
        pace = max(pace, self.recent * max(0.0, 1.0 - (now - self.paced_at) / RECENT_PACE_WINDOW))
        return max(0.0, self.queue_length - PROTECTED_REQUESTS) / max(pace, 1e-3) / self.aim

    def _count_once(self, request: Request) -> bool:
        """Whether this request is still to be counted; it is not again."""
        if request.counted:
            return False
        request.counted = True
        self._dequeue(request)
        return True

    def _dequeue(self, request: Request) -> None:
        """Take a request out of those that wait in the queue.

        Guards against a spiral: calls stuck at hung servers or behind a cut link are no sign of load.
        """
        if request.queued:
            request.queued = False
            self.queue_length -= 1

    def exclude(self, request: Request) -> None:
        """Leave a request out of the count: its end says nothing of load."""
        self._count_once(request)

    def on_late(self, now: float, request: Request) -> None:
        """Count a request whose aim has passed without an answer."""
        if self._count_once(request):
            self.breaker.record_success(now, self.settings.classes[request.class_index].late_worth / 2.0)

    def on_end(self, now: float, request: Request, served: bool) -> None:
        """Count a request that got its final answer."""
        if served:
            gap = now - self.paced_at
            self.pace = self.pace * max(0.0, 1.0 - gap / PACE_WINDOW) + 1.0 / PACE_WINDOW
            self.recent = self.recent * max(0.0, 1.0 - gap / RECENT_PACE_WINDOW) + 1.0 / RECENT_PACE_WINDOW
            self.paced_at = now
        if not self._count_once(request):
            return
        if not served:
            self.breaker.record_failure(now)
            return
        request_class = self.settings.classes[request.class_index]
        self.filled += ((now - request.arrived) / request_class.aim - self.filled) / 16.0
        if now - request.arrived <= request_class.aim:
            self.breaker.record_success(now)
            self.served[request.slot] += 1.0
        else:
            self.breaker.record_success(now, request_class.late_worth)

    def _decay(self, now: float) -> None:
        keep = max(0.0, 1.0 - min(SHARE_WINDOW, now - self.sort_at) / (2.0 * SHARE_WINDOW))
        self.asked = [v * keep for v in self.asked]
        self.served = [v * keep for v in self.served]
        self.sort_at = now

    def _rank_slots(self, now: float, ratio: float) -> None:
        """Spread the ratio over the slots, from the least worth to the goal upward."""
        settings, goal = self.settings, self.settings.goal
        self._decay(now)
        self.sort_at = now + RANKING_INTERVAL
        classes, tenants = settings.classes, self.tenant_count
        slots = range(len(self.asked))
        worth = [classes[s // (2 * tenants)].worth * (settings.over_share_worth if s % 2 else 1.0) for s in slots]
        total = sum(self.asked)
        offered = sum(w * a for w, a in zip(worth, self.asked, strict=True))
        if total <= 0.0 or offered <= 0.0:
            return
        by_class = [[0.0, 0.0] for _ in classes]
        by_tenant = [[0.0, 0.0] for _ in range(tenants)]
        for s in slots:
            entry = by_class[s // (2 * tenants)]
            entry[0] += worth[s] * self.asked[s]
            entry[1] += worth[s] * self.served[s]
            if not s % 2:
                entry = by_tenant[s // 2 % tenants]
                entry[0] += worth[s] * self.asked[s]
                entry[1] += worth[s] * self.served[s]
        value = [goal.whole * w / offered for w in worth]
        # The worst-served class and tenant weigh by themselves: what they get moves the goal twice.
        class_of = [s // (2 * tenants) for s in slots]
        tenant_of = [-1 if s % 2 else s // 2 % tenants for s in slots]
        for stats, weight, owner in (
            (by_class, goal.worst_class, class_of),
            (by_tenant, goal.worst_tenant, tenant_of),
        ):
            worst = min(range(len(stats)), key=lambda i: stats[i][1] / stats[i][0] if stats[i][0] > 0.0 else 2.0)
            if weight > 0.0 and len(stats) > 1 and stats[worst][0] > 0.0:
                for s in slots:
                    if owner[s] == worst:
                        value[s] += weight * worth[s] / stats[worst][0]
        remaining = ratio * total
        for s in sorted(slots, key=lambda s: (value[s], s)):
            refused = min(remaining, self.asked[s])
            self.chance[s] = refused / self.asked[s] if self.asked[s] > 0.0 else float(remaining > 0.0)
            remaining -= refused


class Attempt:
    """One send of a request."""

    __slots__ = ("maybe_ran", "open", "outcome", "sent", "server")

    def __init__(self, server: Server, sent: float) -> None:
        self.server = server
        self.sent = sent
        self.open = True
        self.outcome: Outcome | None = None
        self.maybe_ran = True  # until its outcome proves otherwise


class Request:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = (
        "arrived",
        "attempts",
        "body_released",
        "bound",
        "class_index",
        "copy_at",
        "counted",
        "deadline",
        "done",
        "id",
        "open",
        "queued",
        "queued_until",
        "receiving",
        "slot",
        "tenant",
    )

    def __init__(self, request_id: RequestId, class_index: int, tenant: int, now: float, deadline: float) -> None:
        self.id = request_id
        self.class_index = class_index
        self.tenant = tenant
        self.arrived = now
        self.deadline = deadline
        self.attempts: list[Attempt] = []
        self.open = 0
        self.done = False
        self.slot = 0
        self.counted = False  # by the entry's ratio
        self.queued_until = 0.0  # when it stops to count as queued
        self.queued = False  # counted as queued
        self.receiving = False  # its last byte has not come
        self.body_released = False  # its body can't be sent again
        self.bound = False  # a stream has begun: the request belongs to one attempt
        self.copy_at = 0.0  # when a second copy is due

    def first_maybe_ran(self) -> Attempt | None:
        """The first attempt that may have run, or may be running."""
        for attempt in self.attempts:
            if attempt.maybe_ran:
                return attempt
        return None


class ServerPool:
    """Servers that are drawn from alike: all in ring order, the part in use, and how much of it is warm."""

    __slots__ = ("active", "next_warm_at", "ready", "warm_fraction", "warm_load")

    def __init__(self, active: list[Server] | None = None) -> None:
        self.ready: list[Server] = []
        self.active = active or []
        self.next_warm_at = float("inf")  # when the next of the cold servers is warm
        self.warm_fraction = 1.0
        self.warm_load = WarmLoad()

    def resize(self, now: float, wanted: int, rules: Rules) -> None:
        """Use about this many; a size near the present one is kept."""
        current = len(self.active)
        if current and current <= len(self.ready) and 0.7 * current <= wanted <= 1.4 * current:
            wanted = current
        self.active = self.ready[:wanted]
        self.count_warm(now, rules)

    def count_warm(self, now: float, rules: Rules) -> None:
        """Find how many of those in use are warm, and until when that holds."""
        warm_at = [t for t in (s.cold_until(rules) for s in self.active) if t > now]
        self.next_warm_at = min(warm_at, default=float("inf"))
        self.warm_fraction = 1.0 - len(warm_at) / len(self.active) if self.active else 1.0


class Balancer:
    """One instance: a method for each event, each returning the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self.servers: dict[ServerId, Server] = {}
        self.bans: dict[ServerId, float] = {}  # since when operators want nothing sent there
        self.first_call_due: dict[ServerId, float] = {}  # those not tried since, and when they are due
        self.past_bans: dict[ServerId, tuple[float, float]] = {}  # lately banned: from when to when
        self.ready: list[Server] = []
        self.preferred: list[ServerId] | None = (
            None  # first tries go there if they can, while new connections are scarce
        )
        self.near_pool = ServerPool()  # where ordinary picks draw both candidates...
        self.far_pool = ServerPool()  # ...and one more, where zones count
        self.resize_at = 0.0
        self.zones: dict[int, list[Server]] = {}
        self.cells: dict[int, list[Server]] = {}
        self.zone_breakers: dict[int, Breaker] = {}  # one for each zone: can it be reached?
        self.pooled = 0.0  # current latency of the tier
        self.usual = 0.0  # its slow-rising baseline
        self.requests: dict[RequestId, Request] = {}
        self.retry_tokens = RETRY_BURST / 2
        self.copy_tokens = 1.0
        self.copy_candidates: deque[Request] = deque()  # those that a second copy may be due for
        self.copy_timer_set = False  # a timer is set for the first of them
        self.rate = 0.0  # requests a second, smoothed
        self.rate_at = 0.0
        self.admitted_rate = SmoothedRate(ADMITTED_RATE_WINDOW)  # those that the door has let in
        self.cold_skipped = False  # a cold server was passed over for the present request
        self.admission = AdmissionControl(settings) if settings.tier == 0 else None
        self.subscribe_pending = False
        self.backoff = SUBSCRIBE_BACKOFF_MIN

    # ---- the list of servers -------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Call once, after the first list was given."""
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
        """A list, a change to it, or the news that a call to discovery failed."""
        if list_kind is ListKind.BROKEN:
            # Jittered and doubling: every instance lost the same service at the same time.
            delay = min(self.backoff * (0.5 + self.rng.random()), self.settings.rules.ask_within)
            self.backoff = min(2.0 * self.backoff, SUBSCRIBE_BACKOFF_MAX)
            return self._schedule_subscribe(now, delay)
        if list_kind is not ListKind.STALE:
            self.backoff = SUBSCRIBE_BACKOFF_MIN
        if list_kind is not ListKind.PATCH:
            listed = {row.server for row in rows}
            for server in self.servers.values():
                if server.row.server not in listed:
                    server.row = ServerRow(server.row.server, State.GONE, server.row.zone, server.row.cell)
        for row in rows:
            known = self.servers.get(row.server)
            if known is None:
                self.servers[row.server] = Server(row)
                continue
            if row.started > known.row.started:
                known.breaker = None  # a new process: nothing learned of the old one holds
                known.latency = 0.0
                known.cold_credit = 0.0
                known.answer_rate = None
            if row.state is State.GONE:
                # Where it was still counts: repeats of what it may have run go to its group.
                row = ServerRow(row.server, State.GONE, known.row.zone, known.row.cell, started=row.started)
            known.row = row
        for row in rows:
            self.apply_past_ban(now, row.server)
        # Guards against growing with every machine that was ever replaced: its id never comes back.
        self.servers = {k: s for k, s in self.servers.items() if s.row.state is not State.GONE or s.in_flight}
        self._rebuild_pools(now)
        return []

    def ban(self, now: float, server_id: ServerId) -> list[Action]:
        """Operators take a server out: nothing goes there until `unban`, whatever the list says."""
        self.past_bans.pop(server_id, None)
        self.first_call_due.pop(server_id, None)
        if self.bans.setdefault(server_id, now) == now:
            self._rebuild_pools(now)
        return []

    def unban(self, now: float, server_id: ServerId) -> list[Action]:
        """Operators let it serve again.

        Guards against pushing it over: it was most likely restarted meanwhile, and the list tells that late.
        Harm: one that was not restarted is spared for as long as servers stay cold.
        """
        since = self.bans.pop(server_id, None)
        if since is not None:
            lately = now - self.settings.rules.cold_for
            self.past_bans = {k: span for k, span in self.past_bans.items() if span[1] >= lately}
            self.first_call_due = {k: due for k, due in self.first_call_due.items() if k in self.servers}
            self.past_bans[server_id] = (since, now)
            # Spread out, and wider where more instances put it back: each first call adds to what it has to bear.
            spread = UNBAN_SPREAD * max(1.0, self.settings.balancers / UNBAN_SPREAD_INSTANCES)
            self.first_call_due[server_id] = now + spread * self.rng.random()
            self.apply_past_ban(now, server_id)
            self._rebuild_pools(now)
        return []

    def apply_past_ban(self, now: float, server_id: ServerId) -> None:
        """Apply what a past ban says of a server's start."""
        if not self.past_bans:
            return
        span, server = self.past_bans.get(server_id), self.servers.get(server_id)
        if span is None or server is None:
            return
        since, back = span
        if server.row.started > since or now > back + self.settings.rules.cold_for:
            server.back = 0.0
            del self.past_bans[server_id]
        elif server.back != back:
            server.back = back
            server.breaker = None
            server.latency = 0.0
            server.cold_credit = 0.0
            server.answer_rate = None

    def _is_available(self, server: Server) -> bool:
        """Whether anything may be sent there."""
        return server.row.state is State.UP and server.row.server not in self.bans

    def _rebuild_pools(self, now: float) -> None:
        """Rebuild the lists of ready servers; drained, banned and gone ones leave them at once."""
        self.ready = [s for s in self.servers.values() if self._is_available(s)]
        self.zones.clear()
        self.cells.clear()
        for server in self.ready:
            self.zones.setdefault(server.row.zone, []).append(server)
            self.cells.setdefault(server.row.cell, []).append(server)
        # A ring in scattered order, the same at every instance, entered at this instance's place.
        ring = sorted(self.ready, key=lambda s: (_mix_bits(s.row.server), s.row.server))
        settings = self.settings
        near, far = ring, []
        if settings.zones > 1 and settings.prices.cross_zone > 0.0:
            near = [s for s in ring if s.row.zone == settings.zone]
            far = [s for s in ring if s.row.zone != settings.zone]
        for pool, pool_ring in ((self.near_pool, near), (self.far_pool, far)):
            # Multiples of the golden ratio lie evenly whichever instances share a zone.
            position = (
                settings.me / settings.balancers if pool_ring is ring else settings.me * 0.618033988749895 % 1.0
            )
            start = int(len(pool_ring) * position)
            pool.ready = pool_ring[start:] + pool_ring[:start]
        self._resize_pools(now)

    def _resize_pools(self, now: float) -> None:
        """Choose how many servers ordinary calls are spread over.

        Guards against sparse windows: where many callers each make few calls, a breaker per server never
        leaves its protection, averages go stale and every call opens a connection. Acts when the own pace
        gives a ready server under WORKING_PACE calls a second; equal slices of the ring keep load even.
        """
        self.resize_at = now + SUBSET_RESIZE_INTERVAL
        wanted = max(SUBSET_MIN, int(self.rate / SUBSET_CALL_RATE))
        self.near_pool.resize(now, wanted, self.settings.rules)
        self.far_pool.resize(now, wanted, self.settings.rules)

    def _skips_cold(self, now: float, server: Server, pool: ServerPool) -> bool:
        """Whether a cold server is passed over for this call.

        Guards against pushing it over: this instance alone gives it at most the part of a warm peer's
        share that it can do for certain, both on average (a draw) and in any short span (a budget).
        """
        rules = self.settings.rules
        fraction = capacity_fraction(now - server.started, rules)
        draw_factor = min(float(MAX_DRAWS), 2.0 / max(pool.warm_fraction, 0.01))
        if self.usual > 0.0:  # warm ones that are slower than usual have no room to spare for it
            draw_factor /= min(max(self.pooled / self.usual - COLD_SLOWDOWN_OFFSET, 1.0), COLD_MAX_DRAW_BOOST)
        demand = self.admitted_rate.per_second(now) / max(1, len(pool.active))
        own_rate = server.answer_rate.per_second(now) if server.answer_rate is not None else 0.0
        load = fraction * allowed_load(fraction, demand, pool.warm_load.per_server(), own_rate, rules)
        if self.rng.random() * demand >= load / draw_factor:
            return True
        if server.cold_seen <= 0.0:
            server.cold_credit = self.rng.random()  # instances must not all begin at the same moment
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
        """A new request; exactly one final answer is owed from here on.

        One whose body is still `coming` goes out while it comes, with a far deadline; `whole` tells of its end.
        """
        if not 0 <= class_index < len(self.settings.classes):
            raise ValueError(f"kind: no class has index {class_index}")
        if deadline is None:
            deadline = now + self.settings.classes[class_index].deadline
        request = Request(request_id, class_index, tenant, now, deadline)
        request.receiving = receiving
        self.requests[request_id] = request
        # The pace of calls asked, not sent: where all are cold nothing would ever be sent.
        self.rate = self.rate * max(0.0, 1.0 - (now - self.rate_at) / 2.0) + 0.5
        self.rate_at = now
        if now >= self.resize_at:
            self._resize_pools(now)
        actions: list[Action] = []
        if not self.ready:
            # Guards against a failure that outlives its cause: with nobody to ask (no list yet, all drained, all
            # banned) a refusal says nothing of load, and earns no retries. The door would stay shut for its window.
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
                    s for n in self.preferred if (s := self.servers.get(n)) is not None and self._is_available(s)
                ]
                sent = self._pick_and_send(now, request, preferred, True, actions)
            sent = sent or self._pick_and_send(now, request, None, True, actions)
        if not sent:
            # Guards against a spiral: what is kept from cold servers says nothing of load, and if the door refuses
            # more for it, fewer are left to try, of which as large a part is kept from them.
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
    ) -> list[Action]:
        """A request that another process took and did not finish: it was let in there, and its attempts count.

        Those that are `joined` go on here; without one, it goes on as after an attempt that ended. That costs the
        retry budget nothing: what a lost process leaves is bounded, and no more load than before.
        """
        request = Request(request_id, class_index, tenant, now, deadline)
        request.counted, request.body_released = True, body_released
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
            self._schedule_copy(now, request, actions)
        elif not self._try_next_attempt(now, request, actions):
            self._refuse_or_fail(now, request, actions)
        return actions

    def on_body_complete(self, now: float, request_id: RequestId, deadline: float) -> list[Action]:
        """The last byte of a request that went out while it came: its time, and its attempt's, count from here.

        Guards what is learned of servers and of load against callers that send slowly.
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

    def on_body_released(self, request_id: RequestId) -> None:
        """A part of this request's body is let go: it can't be sent again."""
        request = self.requests.get(request_id)
        if request is not None:
            request.body_released = True

    def _schedule_copy(self, now: float, request: Request, actions: list[Action]) -> None:
        """Note when a second copy is due.

        Guards against answers that never come: without one a hung attempt takes the request's whole time.
        Few enough that they don't matter as load.
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
        tier_is_fast = (
            self.pooled <= COPY_MAX_SLOWDOWN * self.usual
        )  # else slow work is no sign of an answer that is lost
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
        """Send once more to a server that had the request, where there is no other.

        Guards against giving up where a group is small: an answer that was spoilt or lost on its way, or that
        is long overdue (a second copy, on a connection of its own), says little of the server, and it is in
        its own group, so that it knows the key. A few times only, and neither after a time-out nor where that
        server's breaker refuses: there it would be more of what hurts it.
        """
        last_attempt = request.attempts[-1]
        server = last_attempt.server
        if last_attempt.outcome not in (None, Outcome.BROKEN) or not self._is_available(server):
            return False
        if allowed is not None and server not in allowed:
            return False
        if sum(a.server is server for a in request.attempts) >= MAX_ATTEMPTS_PER_SERVER:
            return False
        if server.cold_until(self.settings.rules) > now:
            return False
        timeout = self.settings.classes[request.class_index].aim
        if server.breaker is not None and server.breaker.refuses(now, timeout, self.rng):
            return False
        self._start_attempt(now, request, server, actions)
        return True

    def _pick(self, now: float, request: Request, allowed: list[Server] | None, first: bool) -> Server | None:
        """Two random ready servers, the better unless its breaker refuses, then the other or one drawn anew.

        Where crossings of zones have a price, both are of the own zone and a third is of the others: it is
        taken when it is better by more than the crossing costs. A zone short of servers spills over.
        """
        rng = self.rng
        timeout = self.settings.classes[request.class_index].aim
        pools: tuple[ServerPool, ...]
        if allowed is not None:
            pools = (ServerPool(allowed),) * 2
        elif not self.near_pool.active or not self.far_pool.active:
            pools = (self.near_pool if self.near_pool.active else self.far_pool,) * 2
        else:
            pools = (self.near_pool, self.near_pool, self.far_pool)
        skipped: list[Server] = []
        chosen: list[tuple[float, int, Server]] = []
        tried: list[Server] = [a.server for a in request.attempts]
        for pool in pools:
            self._draw_candidate(now, pool, first, timeout, tried, chosen, skipped)
        if not chosen and skipped:
            chosen.append((0.0, 0, skipped[-1]))
        if self.first_call_due and first and allowed is None:
            # Guards against leaving it out for long where calls are few: chance alone may not draw it.
            for server_id, due in self.first_call_due.items():
                back = self.servers.get(server_id)
                if due <= now and back is not None and self._is_available(back):
                    chosen.append((0.0, -1, back))
                    break
        redraws = FAR_REDRAWS
        while chosen:
            best = min(chosen)
            choice = best[2]
            if not (choice.breaker and choice.breaker.refuses(now, timeout, rng)):
                return choice
            chosen.remove(best)
            if redraws and len(pools) > 2:
                # Guards against a single choice: what is left of the candidates may be the one that all come back to.
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
        """Add one more random ready server of a circle to the candidates, if there is one left."""
        rng, rules = self.rng, self.settings.rules
        if now >= pool.next_warm_at:
            pool.count_warm(now, rules)
        count = len(pool.active)
        index = 0
        for draw in range(MAX_DRAWS // 2 + SEQUENTIAL_PROBES if count else 0):
            # Guards against refusing where few are warm and chance names the cold ones only: then in turn.
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
        """Where a further attempt may go by the rules: empty if nowhere, None if anywhere.

        Guards the rule against doing an effect twice.
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
            return self.zones.get(first.server.row.zone, [])
        return self.cells.get(first.server.row.cell, [])

    def _retry(self, now: float, request: Request, actions: list[Action]) -> bool:
        """Try a further attempt within the rules and the retry budget."""
        if self.retry_tokens < 1.0 or not self._try_next_attempt(now, request, actions):
            return False
        self.retry_tokens -= 1.0
        return True

    def _try_next_attempt(self, now: float, request: Request, actions: list[Action]) -> bool:
        """Try a further attempt within the rules."""
        limits = self.settings.limits
        if request.done or request.bound or request.body_released or now >= request.deadline:
            return False
        if len(request.attempts) >= limits.max_attempts:
            return False
        if request.open and (request.open > 1 or not limits.second_copies):
            return False
        first = not request.attempts
        allowed = self._allowed_servers(now, request)
        return self._pick_and_send(now, request, allowed, first, actions) or (
            not first and self._send_to_same_server(now, request, allowed, actions)
        )

    def may_start(self, now: float, request_id: RequestId, attempt_index: int) -> bool:
        """Whether an attempt that had to wait for its connection may still begin.

        Guards against what has changed meanwhile: its request is answered, its server drains or is gone or banned,
        or so much time has passed that a repeat would no longer be recognized as one.
        """
        request = self.requests.get(request_id)
        if request is None or request.done or now >= request.deadline:
            return False
        attempt = request.attempts[attempt_index]
        if not self._is_available(attempt.server):
            return False
        request_class = self.settings.classes[request.class_index]
        earlier = [a for a in request.attempts if a is not attempt and a.maybe_ran]
        if not earlier or request_class.repeat is Repeat.SAFE:
            return True
        return (
            request_class.repeat is Repeat.KEYED
            and now - earlier[0].sent < REPEAT_WINDOW_MARGIN * request_class.window
        )

    def _refuse_or_fail(self, now: float, request: Request, actions: list[Action]) -> None:
        """The final answer: refused where that promise holds, else failed."""
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
        """An attempt ended; unknown ones are ignored."""
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
                # Guards what is learned of the tier against callers whose requests nobody can serve.
                if self.admission is not None:
                    self.admission.exclude(request)
                self._refuse_or_fail(now, request, actions)
            elif not self._retry(now, request, actions):
                self._refuse_or_fail(now, request, actions)
        return actions

    def _record_outcome(self, now: float, attempt: Attempt, outcome: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.in_flight.pop(attempt, None)
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
                breaker.record_latency(min(latency, self.pooled))  # no baseline from one slow answer alone
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
            # Guards against a server that fails fast and so looks quick: a failure costs a time-out.
            server.update_latency(now, max(latency, timeout))
            if link is not None and outcome in LOST_OUTCOMES:
                # Guards against learning a cut link one server at a time: the same ratio over its zone.
                link.record_failure(now)

    def _count_answer(self, now: float, server: Server, in_time: bool) -> None:
        """Count an answer for slow start: what warm servers carry, and what a cold one manages in time."""
        pool = self.near_pool if not self.far_pool.active or server.row.zone == self.settings.zone else self.far_pool
        cold = server.cold_until(self.settings.rules) > now
        pool.warm_load.on_answer(now, 0.0 if cold else pool.warm_fraction * len(pool.active))
        if not cold:
            server.answer_rate = None
        elif in_time:
            server.answer_rate = server.answer_rate or SmoothedRate(COLD_RATE_WINDOW)
            server.answer_rate.add(now)

    def on_stream_started(self, now: float, request_id: RequestId, attempt_index: int) -> list[Action]:
        """A long answer has begun: the request belongs to this attempt, and is answered by now.

        Guards against refusing for callers that read slowly: how long the rest takes is theirs, and says
        nothing of queues.
        """
        request = self.requests.get(request_id)
        if request is None or request.done or request.bound or not 0 <= attempt_index < len(request.attempts):
            return []
        begun = request.attempts[attempt_index]
        self._record_outcome(now, begun, Outcome.OK, now - begun.sent, self.settings.classes[request.class_index].aim)
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
        """The client left; no answer is owed any more."""
        request = self.requests.get(request_id)
        if request is None or request.done:
            return []
        actions: list[Action] = []
        if self.admission is not None and not request.counted:
            self.admission.on_late(now, request)  # whoever leaves this soon gets nothing, as from a late answer
        self._finish(request, actions)
        return actions

    def on_timer(self, now: float, token: int) -> list[Action]:
        """A timer fell due; stale ones are ignored."""
        if token == SUBSCRIBE_TIMER and self.subscribe_pending:
            self.subscribe_pending = False
            return [Subscribe()]
        if token == COPY_TIMER and self.copy_timer_set:
            return self._on_copy_timer(now)
        return []
