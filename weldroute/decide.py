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
    Past,
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
from weldroute.slow_start import OWN_MEMORY, Rate, WarmLoad, allowed_load, capacity_part, refill

WINDOW = 10.0  # seconds that the error ratio looks back
BUCKETS = 40
K = 1.5  # accepted calls are worth this many requests...
MIN_K = 1.1  # ...and this many when every recent bucket fails
PROTECTION = 5  # requests that never count against a server
FORCE_PASS = 1.0  # seconds between calls that pass whatever the ratio
ACTIVATION = 3.0  # the latency chance starts at this multiple of the baseline...
CEILING = 0.95  # ...and is full at this part of the timeout...
LATENCY_CAP = 0.3  # ...where it has this value

DRAWS = 8  # random draws for two candidates, at most
IN_TURN = 8  # servers that are looked at one after the other where no draw has found a candidate
REDRAWS = 2  # further candidates from other zones, for those that their breakers refuse
RETRY_SHARE = 0.2  # further attempts for each request, on average
RETRY_BURST = 10.0  # further attempts saved up, at most
COPY_AFTER = 5.0  # a second copy goes out when the first is out for this multiple of the tier's latency
COPY_SHARE = 0.02  # second copies for each request, on average
COPY_BURST = 1.0  # second copies saved up, at most
COPY_CALM = 1.3  # none while the tier's latency is over this multiple of its slow-rising baseline
SAME_SERVER = 3  # attempts of one request at one server, at most
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which repeats are sent

STALE = 5.0  # seconds after which a silent server's latency counts half, the tier's the other half
WORKING_MIN = 10  # servers of the working set, at least
WORKING_PACE = 0.7  # calls a second that each server of the working set should see
TOLL = 5.0  # a crossing of zones weighs its price x this part of the aim, as latency
TRIED_MEMORY = 2.0  # seconds over which the pace of requests that are let in is smoothed
WORKING_EVERY = 3.0  # seconds between looks at the size of the working set

# A change counts as known 6 s after discovery could be reached, whatever failed before; a call may take 3 s of that.
ASK_FIRST_WITHIN = 2.0  # seconds over which the first calls of instances that start together are spread
ASK_AGAIN_FROM, ASK_AGAIN_TO = 0.5, 1.6  # seconds after a failed call until the next, before jitter of half as much

PUT_BACK_WITHIN = 3.0  # seconds after a ban in which a server gets its first call, where...
PUT_BACK_CALLERS = 10  # ...so many instances, or fewer, call it

COLD_CALM = 0.5  # subtracted from the tier's latency over its usual one, it is...
COLD_EAGER = 1.6  # ...how much more often a cold server is drawn, up to this

LINK_WINDOW = 3.0  # seconds that a zone's ratio looks back
LOST = (Outcome.UNREACHABLE, Outcome.TIMEOUT, Outcome.BROKEN)

ENTRY_WINDOW = 5.0  # seconds that the ratio of the whole tier looks back
ENTRY_K = 1.2  # its K: at balance 1 / K of what is let in is in time
ENTRY_SLACK = 2.0  # added to that K when answers come at once, and less of it...
ENTRY_FULL = 0.7  # ...until answers take this part of their aim
ENTRY_EASE = 0.5  # part of the slack that it has when nobody waits
ENTRY_START = 0.25  # the wait forecast by those waiting, as a part of the aim, from which the entry refuses...
ENTRY_END = 0.55  # ...and that at which it refuses all
SORT_EVERY = 0.25  # seconds between orderings of requests by worth
HORIZON = 0.5  # those waiting for longer than this part of their aim are stuck, not queued
PACE_MEMORY = 2.0  # seconds over which the pace of answers is smoothed...
PACE_RECENT = 0.5  # ...and over which a rise of it shows
MEMORY = 3.0  # seconds over which shares of traffic and service are smoothed

SUBSCRIBE, COPY = 1, 2  # timer tokens


def _scatter(number: int) -> int:
    """A fixed scramble of an identifier, equal at every instance."""
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    return number ^ (number >> 16)


class Breaker:
    """The design's chance of refusing a call locally, for one server."""

    __slots__ = (
        "_accepts",
        "_failing",
        "_requests",
        "_ring",
        "_width",
        "baseline",
        "current",
        "k",
        "last_pass",
    )

    def __init__(self, window: float = WINDOW, k: float = K) -> None:
        self._width = window / BUCKETS
        self.k = k
        self._ring: deque[list[float]] = deque()  # [bucket number, requests, accepts, failures]
        self._failing = 0
        self._requests = 0.0
        self._accepts = 0.0
        self.baseline = self.current = 0.0
        self.last_pass = float("-inf")

    def _bucket(self, now: float) -> list[float]:
        number = int(now / self._width)
        ring = self._ring
        if ring and ring[-1][0] >= number:
            return ring[-1]
        self._expire(number)
        bucket = [float(number), 0.0, 0.0, 0.0]
        ring.append(bucket)
        return bucket

    def _expire(self, number: int) -> None:
        ring = self._ring
        while ring and ring[0][0] <= number - BUCKETS:
            old = ring.popleft()
            self._requests -= old[1]
            self._accepts -= old[2]
        self._failing = min(self._failing, len(ring))

    def refused(self, now: float) -> None:
        """Count a call refused here: a request that the server did not accept."""
        self._bucket(now)[1] += 1
        self._requests += 1

    def accepted(self, now: float, part: float = 1.0) -> None:
        """Count a call that the server accepted, or a part of one."""
        bucket = self._bucket(now)
        bucket[1] += 1
        bucket[2] += part
        self._requests += 1
        self._accepts += part
        self._failing = 0

    def failed(self, now: float) -> None:
        """Count an error, time-out, full refusal or failed connection."""
        bucket = self._bucket(now)
        bucket[1] += 1
        self._requests += 1
        if not bucket[2] and not bucket[3]:
            self._failing += 1  # newest run of buckets that only failed
        bucket[3] += 1

    def sample(self, latency: float) -> None:
        """Move both averages by the latency of a success."""
        if self.current <= 0.0:
            self.baseline = self.current = latency
            return
        weight = 4.0 if latency < self.baseline else 100.0
        self.baseline += (latency - self.baseline) / weight
        self.current += (latency - self.current) / 4.0

    def error_ratio(self, now: float) -> float:
        """Adaptive throttling over the window; K falls as the newest failing buckets grow."""
        self._expire(int(now / self._width))
        k = self.k - (self.k - MIN_K) * self._failing / BUCKETS
        return max(0.0, (self._requests - PROTECTION - k * self._accepts) / (self._requests + 1))

    def latency_ratio(self, timeout: float) -> float:
        """The capped chance for a current latency far over the baseline; 0 without a usable timeout."""
        threshold = ACTIVATION * self.baseline
        span = CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        return min(max((self.current - threshold) / span * LATENCY_CAP, 0.0), LATENCY_CAP)

    def drop_probability(self, now: float, timeout: float) -> float:
        """The larger of the two chances."""
        return max(self.error_ratio(now), self.latency_ratio(timeout))

    def refuses(self, now: float, timeout: float, rng: Random) -> bool:
        """Whether to refuse this call; one call a second passes while calls are dropped."""
        chance = self.drop_probability(now, timeout)
        if chance <= 0.0:
            return False
        if now - self.last_pass < FORCE_PASS and rng.random() < chance:
            self.refused(now)
            return True
        self.last_pass = now
        return False


class Server:
    """What an instance knows of one server of the next tier."""

    __slots__ = ("answers", "back", "breaker", "cold_credit", "cold_seen", "latency", "out", "row", "seen")

    def __init__(self, row: ServerRow) -> None:
        self.row = row
        self.breaker: Breaker | None = None  # made at the first call: most rows of a big list see none
        self.out: dict[Attempt, None] = {}  # attempts in flight, oldest first
        self.latency = 0.0  # the breaker's current latency, failures counted as the time-out
        self.seen = 0.0
        self.cold_credit = 0.0
        self.cold_seen = 0.0
        self.answers: Rate | None = None  # in time, while it is cold
        self.back = 0.0  # when a ban on it ended, until discovery tells of a start since that ban began

    @property
    def started(self) -> float:
        """When its process started, as far as is known; 0 for long ago."""
        return max(self.row.started, self.back)

    def cold_until(self, rules: Rules) -> float:
        """When it will have been up for as long as servers stay cold."""
        started = self.row.started if self.row.started > self.back else self.back
        return started + rules.cold_for if started > 0.0 else 0.0

    def learn(self, now: float, latency: float) -> None:
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
            fresh = STALE / (STALE + now - self.seen)
            latency += (self.latency - pooled) * fresh
        out = self.out
        if not out:
            return latency
        age = now - next(iter(out)).sent
        return max(latency, age) * (len(out) + 1)


class Entry:
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
        "quota",
        "quota_at",
        "recent",
        "served",
        "settings",
        "since",
        "sort_at",
        "tenants",
        "waiting",
        "young",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.breaker = Breaker(ENTRY_WINDOW, ENTRY_K)
        self.tenants = max(1, len(settings.tenants))
        slots = len(settings.classes) * self.tenants * 2
        self.asked = [0.0] * slots  # recent requests of each (class, tenant, over its share)
        self.served = [0.0] * slots
        self.chance = [0.0] * slots
        self.sort_at = 0.0
        self.quota = [1.0] * self.tenants  # saved-up requests within the share
        self.quota_at = [0.0] * self.tenants
        self.pending: deque[Request] = deque()
        self.filled = 0.0  # the part of their aim that answers take
        self.young: deque[Request] = deque()
        self.waiting = 0  # requests let in, unanswered and within their horizon
        self.aim = 0.0  # usual aim of what is asked
        self.pace = 0.0  # answers a second, smoothed...
        self.recent = 0.0  # ...and of late
        self.paced_at = 0.0
        self.since = -1.0  # when the first request came

    def slot(self, now: float, kind: int, tenant: int) -> int:
        """The slot of a request, taking it from its tenant's quota."""
        over = 0
        if tenant < len(self.settings.tenants):
            # Each instance counts its equal part of the quota; a wrong guess only changes the order.
            pace = self.settings.tenants[tenant].quota / self.settings.balancers
            if pace > 0.0:
                saved = self.quota[tenant] + pace * (now - self.quota_at[tenant])
                self.quota_at[tenant] = now
                saved = min(saved, max(2.0, pace))
                over = int(saved < 1.0)
                self.quota[tenant] = saved if over else saved - 1.0
        else:
            tenant = 0
        return (kind * self.tenants + tenant) * 2 + over

    def refuses(self, now: float, request: Request, rng: Random) -> bool:
        """Whether to refuse this request at the door, least worth first."""
        pending = self.pending
        classes = self.settings.classes
        while pending and (pending[0].done or pending[0].arrived + classes[pending[0].kind].aim < now):
            self.late(now, pending.popleft())
        slot = request.slot
        self.asked[slot] += 1.0
        if self.since < 0.0 or (not self.waiting and now - self.paced_at > PACE_MEMORY):
            # Guards against taking a pause, such as a drain, for answers that stopped coming.
            self.since = now
            self.pace = self.recent = 0.0
        young = self.young
        while young and (young[0].counted or young[0].horizon <= now):
            self._age(young.popleft())
        aim = classes[request.kind].aim
        self.aim += (aim - self.aim) / 32.0 if self.aim > 0.0 else aim
        wait = self.forecast(now)
        # Guards against a spiral: where calls fail although answers are quick, or nobody waits any more, it is
        # not for load. Refusing more makes no more of them succeed, and those turned away come again.
        ease = max(1.0 - self.filled / ENTRY_FULL, ENTRY_EASE - wait / ENTRY_START, 0.0)
        self.breaker.k = ENTRY_K + ENTRY_SLACK * ease
        latency_ratio = min(max((wait - ENTRY_START) / (ENTRY_END - ENTRY_START), 0.0), 1.0)
        ratio = max(self.breaker.error_ratio(now), latency_ratio)
        if ratio > 0.0:
            if now >= self.sort_at:
                self._sort(now, ratio)
            chance = self.chance[slot]
            if chance > 0.0 and rng.random() < chance:
                self.breaker.refused(now)
                return True
        elif now >= self.sort_at + MEMORY:
            self._decay(now)
        if not request.coming:
            self.join(now, request)
        return False

    def join(self, now: float, request: Request) -> None:
        """Count a request that is let in as one that waits."""
        self.pending.append(request)
        request.horizon = now + HORIZON * self.settings.classes[request.kind].aim
        request.young = True
        self.young.append(request)
        self.waiting += 1

    def forecast(self, now: float) -> float:
        """The wait that those waiting forecast for the next, as a part of the aim.

        Guards against bursts: late answers are evidence only when the queues are long. Those waiting by the
        pace of answers forecast the wait of the next (Little's law) at once.
        """
        known = now - self.since
        if known < self.aim:
            return 0.0  # answers have had no time to show their pace
        pace = self.pace * max(0.0, 1.0 - (now - self.paced_at) / PACE_MEMORY)
        if known < 2.0 * PACE_MEMORY:
            pace /= 1.0 - math.exp(-known / PACE_MEMORY)  # smoothed from nothing
        # Guards against refusing what another proxy's callers bring when it goes: there the pace rises with
        # what is asked, and answers take no longer.
        pace = max(pace, self.recent * max(0.0, 1.0 - (now - self.paced_at) / PACE_RECENT))
        return max(0.0, self.waiting - PROTECTION) / max(pace, 1e-3) / self.aim

    def _settle(self, request: Request) -> bool:
        """Whether this request is still to be counted; it is not again."""
        if request.counted:
            return False
        request.counted = True
        self._age(request)
        return True

    def _age(self, request: Request) -> None:
        """Take a request out of those that wait in the queue.

        Guards against a spiral: calls stuck at hung servers or behind a cut link are no sign of load.
        """
        if request.young:
            request.young = False
            self.waiting -= 1

    def withdraw(self, request: Request) -> None:
        """Leave a request out of the count: its end says nothing of load."""
        self._settle(request)

    def late(self, now: float, request: Request) -> None:
        """Count a request whose aim has passed without an answer."""
        if self._settle(request):
            self.breaker.accepted(now, self.settings.classes[request.kind].late_worth / 2.0)

    def ended(self, now: float, request: Request, served: bool) -> None:
        """Count a request that got its final answer."""
        if served:
            gap = now - self.paced_at
            self.pace = self.pace * max(0.0, 1.0 - gap / PACE_MEMORY) + 1.0 / PACE_MEMORY
            self.recent = self.recent * max(0.0, 1.0 - gap / PACE_RECENT) + 1.0 / PACE_RECENT
            self.paced_at = now
        if not self._settle(request):
            return
        if not served:
            self.breaker.failed(now)
            return
        kind = self.settings.classes[request.kind]
        self.filled += ((now - request.arrived) / kind.aim - self.filled) / 16.0
        if now - request.arrived <= kind.aim:
            self.breaker.accepted(now)
            self.served[request.slot] += 1.0
        else:
            self.breaker.accepted(now, kind.late_worth)

    def _decay(self, now: float) -> None:
        keep = max(0.0, 1.0 - min(MEMORY, now - self.sort_at) / (2.0 * MEMORY))
        self.asked = [v * keep for v in self.asked]
        self.served = [v * keep for v in self.served]
        self.sort_at = now

    def _sort(self, now: float, ratio: float) -> None:
        """Spread the ratio over the slots, from the least worth to the goal upward."""
        settings, goal = self.settings, self.settings.goal
        self._decay(now)
        self.sort_at = now + SORT_EVERY
        kinds, tenants = settings.classes, self.tenants
        slots = range(len(self.asked))
        worths = [kinds[s // (2 * tenants)].worth * (settings.over_share_worth if s % 2 else 1.0) for s in slots]
        total = sum(self.asked)
        offered = sum(w * a for w, a in zip(worths, self.asked, strict=True))
        if total <= 0.0 or offered <= 0.0:
            return
        by_class = [[0.0, 0.0] for _ in kinds]
        by_tenant = [[0.0, 0.0] for _ in range(tenants)]
        for s in slots:
            row = by_class[s // (2 * tenants)]
            row[0] += worths[s] * self.asked[s]
            row[1] += worths[s] * self.served[s]
            if not s % 2:
                row = by_tenant[s // 2 % tenants]
                row[0] += worths[s] * self.asked[s]
                row[1] += worths[s] * self.served[s]
        value = [goal.whole * w / offered for w in worths]
        # The worst-served class and tenant weigh by themselves: what they get moves the goal twice.
        class_of = [s // (2 * tenants) for s in slots]
        tenant_of = [-1 if s % 2 else s // 2 % tenants for s in slots]
        for rows, weight, owner in (
            (by_class, goal.worst_class, class_of),
            (by_tenant, goal.worst_tenant, tenant_of),
        ):
            worst = min(range(len(rows)), key=lambda i: rows[i][1] / rows[i][0] if rows[i][0] > 0.0 else 2.0)
            if weight > 0.0 and len(rows) > 1 and rows[worst][0] > 0.0:
                for s in slots:
                    if owner[s] == worst:
                        value[s] += weight * worths[s] / rows[worst][0]
        left = ratio * total
        for s in sorted(slots, key=lambda s: (value[s], s)):
            cut = min(left, self.asked[s])
            self.chance[s] = cut / self.asked[s] if self.asked[s] > 0.0 else float(left > 0.0)
            left -= cut


class Attempt:
    """One send of a request."""

    __slots__ = ("how", "maybe_ran", "open", "sent", "server")

    def __init__(self, server: Server, sent: float) -> None:
        self.server = server
        self.sent = sent
        self.open = True
        self.how: Outcome | None = None
        self.maybe_ran = True  # until its outcome proves otherwise


class Request:
    """A request that a final answer is owed for, or that still has attempts out."""

    __slots__ = (
        "arrived",
        "attempts",
        "bound",
        "coming",
        "copy_at",
        "counted",
        "deadline",
        "done",
        "horizon",
        "id",
        "kind",
        "open",
        "slot",
        "spent",
        "tenant",
        "young",
    )

    def __init__(self, rid: RequestId, kind: int, tenant: int, now: float, deadline: float) -> None:
        self.id = rid
        self.kind = kind
        self.tenant = tenant
        self.arrived = now
        self.deadline = deadline
        self.attempts: list[Attempt] = []
        self.open = 0
        self.done = False
        self.slot = 0
        self.counted = False  # by the entry's ratio
        self.horizon = 0.0  # when it stops to count as queued
        self.young = False  # counted as queued
        self.coming = False  # its last byte has not come
        self.spent = False  # its body can't be sent again
        self.bound = False  # a stream has begun: the request belongs to one attempt
        self.copy_at = 0.0  # when a second copy is due

    def first_maybe(self) -> Attempt | None:
        """The first attempt that may have run, or may be running."""
        for attempt in self.attempts:
            if attempt.maybe_ran:
                return attempt
        return None


class Circle:
    """Servers that are drawn from alike: all in ring order, the part in use, and how much of it is warm."""

    __slots__ = ("load", "ready", "used", "warm_from", "warm_part")

    def __init__(self, used: list[Server] | None = None) -> None:
        self.ready: list[Server] = []
        self.used = used or []
        self.warm_from = float("inf")  # when the next of the cold servers is warm
        self.warm_part = 1.0
        self.load = WarmLoad()

    def resize(self, now: float, want: int, rules: Rules) -> None:
        """Use about this many; a size near the present one is kept."""
        have = len(self.used)
        if have and have <= len(self.ready) and 0.7 * have <= want <= 1.4 * have:
            want = have
        self.used = self.ready[:want]
        self.count_warm(now, rules)

    def count_warm(self, now: float, rules: Rules) -> None:
        """Find how many of those in use are warm, and until when that holds."""
        cold = [t for t in (s.cold_until(rules) for s in self.used) if t > now]
        self.warm_from = min(cold, default=float("inf"))
        self.warm_part = 1.0 - len(cold) / len(self.used) if self.used else 1.0


class Balancer:
    """One instance: a method for each event, each returning the actions to carry out in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self.servers: dict[ServerId, Server] = {}
        self.bans: dict[ServerId, float] = {}  # since when operators want nothing sent there
        self.put_back: dict[ServerId, float] = {}  # those not tried since, and when they are due
        self.returned: dict[ServerId, tuple[float, float]] = {}  # lately banned: from when to when
        self.ready: list[Server] = []
        self.kept: list[ServerId] | None = None  # first tries go there if they can, while new connections are scarce
        self.near = Circle()  # where ordinary picks draw both candidates...
        self.far = Circle()  # ...and one more, where zones count
        self.look_at = 0.0
        self.zones: dict[int, list[Server]] = {}
        self.cells: dict[int, list[Server]] = {}
        self.links: dict[int, Breaker] = {}  # one for each zone: can it be reached?
        self.pooled = 0.0  # current latency of the tier
        self.usual = 0.0  # its slow-rising baseline
        self.requests: dict[RequestId, Request] = {}
        self.retry_tokens = RETRY_BURST / 2
        self.copy_tokens = 1.0
        self.unsure: deque[Request] = deque()  # those that a second copy may be due for
        self.copying = False  # a timer is set for the first of them
        self.rate = 0.0  # requests a second, smoothed
        self.rate_at = 0.0
        self.tried = Rate(TRIED_MEMORY)  # those that the door has let in
        self.spared = False  # a cold server was passed over for the present request
        self.entry = Entry(settings) if settings.tier == 0 else None
        self.asking = False
        self.backoff = ASK_AGAIN_FROM

    # ---- the list of servers -------------------------------------------------------------

    def start(self, now: float) -> list[Action]:
        """Call once, after the first list was given."""
        if self.settings.discovery is not Discovery.ON_REQUEST:
            return []
        return self._ask_in(now, min(ASK_FIRST_WITHIN, 0.4 * self.settings.rules.ask_within) * self.rng.random())

    def _ask_in(self, now: float, delay: float) -> list[Action]:
        if self.asking:
            return []
        self.asking = True
        return [Timer(now + delay, SUBSCRIBE)]

    def members(self, now: float, kind: ListKind, rows: Sequence[ServerRow]) -> list[Action]:
        """A list, a change to it, or the news that a call to discovery failed."""
        if kind is ListKind.BROKEN:
            # Jittered and doubling: every instance lost the same service at the same time.
            delay = min(self.backoff * (0.5 + self.rng.random()), self.settings.rules.ask_within)
            self.backoff = min(2.0 * self.backoff, ASK_AGAIN_TO)
            return self._ask_in(now, delay)
        if kind is not ListKind.STALE:
            self.backoff = ASK_AGAIN_FROM
        if kind is not ListKind.PATCH:
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
                known.answers = None
            if row.state is State.GONE:
                # Where it was still counts: repeats of what it may have run go to its group.
                row = ServerRow(row.server, State.GONE, known.row.zone, known.row.cell, started=row.started)
            known.row = row
        for row in rows:
            self.recall(now, row.server)
        # Guards against growing with every machine that was ever replaced: its id never comes back.
        self.servers = {k: s for k, s in self.servers.items() if s.row.state is not State.GONE or s.out}
        self._arrange(now)
        return []

    def ban(self, now: float, server: ServerId) -> list[Action]:
        """Operators take a server out: nothing goes there until `unban`, whatever the list says."""
        self.returned.pop(server, None)
        self.put_back.pop(server, None)
        if self.bans.setdefault(server, now) == now:
            self._arrange(now)
        return []

    def unban(self, now: float, server: ServerId) -> list[Action]:
        """Operators let it serve again.

        Guards against pushing it over: it was most likely restarted meanwhile, and the list tells that late.
        Harm: one that was not restarted is spared for as long as servers stay cold.
        """
        since = self.bans.pop(server, None)
        if since is not None:
            lately = now - self.settings.rules.cold_for
            self.returned = {k: span for k, span in self.returned.items() if span[1] >= lately}
            self.put_back = {k: due for k, due in self.put_back.items() if k in self.servers}
            self.returned[server] = (since, now)
            # Spread out, and wider where more instances put it back: each first call adds to what it has to bear.
            spread = PUT_BACK_WITHIN * max(1.0, self.settings.balancers / PUT_BACK_CALLERS)
            self.put_back[server] = now + spread * self.rng.random()
            self.recall(now, server)
            self._arrange(now)
        return []

    def recall(self, now: float, number: ServerId) -> None:
        """Apply what a past ban says of a server's start."""
        if not self.returned:
            return
        span, server = self.returned.get(number), self.servers.get(number)
        if span is None or server is None:
            return
        since, back = span
        if server.row.started > since or now > back + self.settings.rules.cold_for:
            server.back = 0.0
            del self.returned[number]
        elif server.back != back:
            server.back = back
            server.breaker = None
            server.latency = 0.0
            server.cold_credit = 0.0
            server.answers = None

    def _takes(self, server: Server) -> bool:
        """Whether anything may be sent there."""
        return server.row.state is State.UP and server.row.server not in self.bans

    def _arrange(self, now: float) -> None:
        """Rebuild the lists of ready servers; drained, banned and gone ones leave them at once."""
        self.ready = [s for s in self.servers.values() if self._takes(s)]
        self.zones.clear()
        self.cells.clear()
        for server in self.ready:
            self.zones.setdefault(server.row.zone, []).append(server)
            self.cells.setdefault(server.row.cell, []).append(server)
        # A ring in scattered order, the same at every instance, entered at this instance's place.
        ring = sorted(self.ready, key=lambda s: (_scatter(s.row.server), s.row.server))
        settings = self.settings
        near, far = ring, []
        if settings.zones > 1 and settings.prices.cross_zone > 0.0:
            near = [s for s in ring if s.row.zone == settings.zone]
            far = [s for s in ring if s.row.zone != settings.zone]
        for circle, part in ((self.near, near), (self.far, far)):
            # Multiples of the golden ratio lie evenly whichever instances share a zone.
            place = settings.me / settings.balancers if part is ring else settings.me * 0.618033988749895 % 1.0
            enter = int(len(part) * place)
            circle.ready = part[enter:] + part[:enter]
        self._resize(now)

    def _resize(self, now: float) -> None:
        """Choose how many servers ordinary calls are spread over.

        Guards against sparse windows: where many callers each make few calls, a breaker per server never
        leaves its protection, averages go stale and every call opens a connection. Acts when the own pace
        gives a ready server under WORKING_PACE calls a second; equal slices of the ring keep load even.
        """
        self.look_at = now + WORKING_EVERY
        want = max(WORKING_MIN, int(self.rate / WORKING_PACE))
        self.near.resize(now, want, self.settings.rules)
        self.far.resize(now, want, self.settings.rules)

    def _spares_cold(self, now: float, server: Server, circle: Circle) -> bool:
        """Whether a cold server is passed over for this call.

        Guards against pushing it over: this instance alone gives it at most the part of a warm peer's
        share that it can do for certain, both on average (a draw) and in any short span (a budget).
        """
        rules = self.settings.rules
        part = capacity_part(now - server.started, rules)
        draws = min(float(DRAWS), 2.0 / max(circle.warm_part, 0.01))
        if self.usual > 0.0:  # warm ones that are slower than usual have no room to spare for it
            draws /= min(max(self.pooled / self.usual - COLD_CALM, 1.0), COLD_EAGER)
        demand = self.tried.at(now) / max(1, len(circle.used))
        own = server.answers.at(now) if server.answers is not None else 0.0
        load = part * allowed_load(part, demand, circle.load.known(), own, rules)
        if self.rng.random() * demand >= load / draws:
            return True
        if server.cold_seen <= 0.0:
            server.cold_credit = self.rng.random()  # instances must not all begin at the same moment
            server.cold_seen = now
        server.cold_credit = refill(server.cold_credit, now - server.cold_seen, load, rules)
        server.cold_seen = now
        return server.cold_credit < 1.0

    # ---- requests ------------------------------------------------------------------------

    def request(
        self,
        now: float,
        rid: RequestId,
        kind: int = 0,
        tenant: int = 0,
        deadline: float | None = None,
        coming: bool = False,
    ) -> list[Action]:
        """A new request; exactly one final answer is owed from here on.

        One whose body is still `coming` goes out while it comes, with a far deadline; `whole` tells of its end.
        """
        if not 0 <= kind < len(self.settings.classes):
            raise ValueError(f"kind: no class has index {kind}")
        if deadline is None:
            deadline = now + self.settings.classes[kind].deadline
        request = Request(rid, kind, tenant, now, deadline)
        request.coming = coming
        self.requests[rid] = request
        # The pace of calls asked, not sent: where all are cold nothing would ever be sent.
        self.rate = self.rate * max(0.0, 1.0 - (now - self.rate_at) / 2.0) + 0.5
        self.rate_at = now
        if now >= self.look_at:
            self._resize(now)
        out: list[Action] = []
        if not self.ready:
            # Guards against a failure that outlives its cause: with nobody to ask (no list yet, all drained, all
            # banned) a refusal says nothing of load, and earns no retries. The door would stay shut for its window.
            request.counted = True
            self._answer(now, request, out)
            return out
        self.retry_tokens = min(RETRY_BURST, self.retry_tokens + RETRY_SHARE)
        entry = self.entry
        if entry is not None:
            request.slot = entry.slot(now, kind, tenant)
            if entry.refuses(now, request, self.rng):
                request.counted = True
                self._answer(now, request, out)
                return out
        self.tried.add(now)
        self.spared = sent = False
        if deadline > now:
            if self.kept is not None:
                kept = [s for n in self.kept if (s := self.servers.get(n)) is not None and self._takes(s)]
                sent = self._send(now, request, kept, True, out)
            sent = sent or self._send(now, request, None, True, out)
        if not sent:
            # Guards against a spiral: what is kept from cold servers says nothing of load, and if the door refuses
            # more for it, fewer are left to try, of which as large a part is kept from them.
            request.counted = request.counted or self.spared
            self._answer(now, request, out)
        elif not coming:
            self._plan_copy(now, request, out)
        return out

    def inherit(
        self,
        now: float,
        rid: RequestId,
        kind: int,
        tenant: int,
        deadline: float,
        past: Sequence[Past],
        spent: bool = False,
    ) -> list[Action]:
        """A request that another process took and did not finish: it was let in there, and its attempts count.

        Those that are `joined` go on here; without one, it goes on as after an attempt that ended. That costs the
        retry budget nothing: what a lost process leaves is bounded, and no more load than before.
        """
        request = Request(rid, kind, tenant, now, deadline)
        request.counted, request.spent = True, spent
        self.requests[rid] = request
        for one in past:
            server = self.servers.get(one.server) or Server(ServerRow(one.server, State.GONE, one.zone, one.cell))
            attempt = Attempt(server, one.sent)
            attempt.open, attempt.maybe_ran = one.joined, one.maybe_ran
            request.attempts.append(attempt)
            if one.joined:
                request.open += 1
                server.out[attempt] = None
                server.breaker = server.breaker or Breaker()
            else:
                attempt.how = Outcome.BROKEN if one.maybe_ran else Outcome.UNREACHABLE
        out: list[Action] = []
        if request.open:
            self._plan_copy(now, request, out)
        elif not self._further(now, request, out):
            self._answer(now, request, out)
        return out

    def whole(self, now: float, rid: RequestId, deadline: float) -> list[Action]:
        """The last byte of a request that went out while it came: its time, and its attempt's, count from here.

        Guards what is learned of servers and of load against callers that send slowly.
        """
        request = self.requests.get(rid)
        if request is None or request.done or not request.coming:
            return []
        request.coming = False
        request.arrived, request.deadline = now, deadline
        for attempt in request.attempts:
            if attempt.open:
                attempt.sent = now
                attempt.server.out[attempt] = None
        if self.entry is not None and not request.counted:
            self.entry.join(now, request)
        out: list[Action] = []
        if not request.spent:
            self._plan_copy(now, request, out)
        return out

    def spent(self, rid: RequestId) -> None:
        """A part of this request's body is let go: it can't be sent again."""
        request = self.requests.get(rid)
        if request is not None:
            request.spent = True

    def _plan_copy(self, now: float, request: Request, out: list[Action]) -> None:
        """Note when a second copy is due.

        Guards against answers that never come: without one a hung attempt takes the request's whole time.
        Few enough that they don't matter as load.
        """
        if not self.settings.limits.second_copies or self.pooled <= 0.0:
            return
        self.copy_tokens = min(COPY_BURST, self.copy_tokens + COPY_SHARE)
        request.copy_at = now + COPY_AFTER * self.pooled
        self.unsure.append(request)
        if not self.copying:
            self.copying = True
            out.append(Timer(request.copy_at, COPY))

    def _copy_due(self, now: float) -> list[Action]:
        out: list[Action] = []
        unsure = self.unsure
        calm = self.pooled <= COPY_CALM * self.usual  # else slow work is no sign of an answer that is lost
        while unsure and (unsure[0].done or unsure[0].copy_at <= now):
            request = unsure.popleft()
            if calm and request.open == 1 and self.copy_tokens >= 1.0 and self._again(now, request, out):
                self.copy_tokens -= 1.0
        self.copying = bool(unsure)
        if unsure:
            out.append(Timer(unsure[0].copy_at, COPY))
        return out

    def _send(self, now: float, request: Request, among: list[Server] | None, first: bool, out: list[Action]) -> bool:
        server = self._pick(now, request, among, first)
        if server is None:
            return False
        self._launch(now, request, server, out)
        return True

    def _launch(self, now: float, request: Request, server: Server, out: list[Action]) -> None:
        if server.breaker is None:
            server.breaker = Breaker()
        if self.put_back:
            self.put_back.pop(server.row.server, None)
        if server.cold_credit > 0.0:
            server.cold_credit -= 1.0
        attempt = Attempt(server, now)
        if not request.coming:
            server.out[attempt] = None
        request.attempts.append(attempt)
        request.open += 1
        out.append(Send(request.id, server.row.server))

    def _resend(self, now: float, request: Request, among: list[Server] | None, out: list[Action]) -> bool:
        """Send once more to a server that had the request, where there is no other.

        Guards against giving up where a group is small: an answer that was spoilt or lost on its way, or that
        is long overdue (a second copy, on a connection of its own), says little of the server, and it is in
        its own group, so that it knows the key. A few times only, and neither after a time-out nor where that
        server's breaker refuses: there it would be more of what hurts it.
        """
        last = request.attempts[-1]
        server = last.server
        if last.how not in (None, Outcome.BROKEN) or not self._takes(server):
            return False
        if among is not None and server not in among:
            return False
        if sum(a.server is server for a in request.attempts) >= SAME_SERVER:
            return False
        if server.cold_until(self.settings.rules) > now:
            return False
        timeout = self.settings.classes[request.kind].aim
        if server.breaker is not None and server.breaker.refuses(now, timeout, self.rng):
            return False
        self._launch(now, request, server, out)
        return True

    def _pick(self, now: float, request: Request, among: list[Server] | None, first: bool) -> Server | None:
        """Two random ready servers, the better unless its breaker refuses, then the other or one drawn anew.

        Where crossings of zones have a price, both are of the own zone and a third is of the others: it is
        taken when it is better by more than the crossing costs. A zone short of servers spills over.
        """
        rng = self.rng
        timeout = self.settings.classes[request.kind].aim
        circles: tuple[Circle, ...]
        if among is not None:
            circles = (Circle(among),) * 2
        elif not self.near.used or not self.far.used:
            circles = (self.near if self.near.used else self.far,) * 2
        else:
            circles = (self.near, self.near, self.far)
        skipped: list[Server] = []
        chosen: list[tuple[float, int, Server]] = []
        tried: list[Server] = [a.server for a in request.attempts]
        for circle in circles:
            self._draw(now, circle, first, timeout, tried, chosen, skipped)
        if not chosen and skipped:
            chosen.append((0.0, 0, skipped[-1]))
        if self.put_back and first and among is None:
            # Guards against leaving it out for long where calls are few: chance alone may not draw it.
            for number, due in self.put_back.items():
                back = self.servers.get(number)
                if due <= now and back is not None and self._takes(back):
                    chosen.append((0.0, -1, back))
                    break
        redraws = REDRAWS
        while chosen:
            best = min(chosen)
            choice = best[2]
            if not (choice.breaker and choice.breaker.refuses(now, timeout, rng)):
                return choice
            chosen.remove(best)
            if redraws and len(circles) > 2:
                # Guards against a single choice: what is left of the candidates may be the one that all come back to.
                redraws -= 1
                self._draw(now, self.far, first, timeout, tried, chosen, skipped)
        return None

    def _draw(
        self,
        now: float,
        circle: Circle,
        first: bool,
        timeout: float,
        tried: list[Server],
        chosen: list[tuple[float, int, Server]],
        skipped: list[Server],
    ) -> None:
        """Add one more random ready server of a circle to the candidates, if there is one left."""
        rng, rules = self.rng, self.settings.rules
        if now >= circle.warm_from:
            circle.count_warm(now, rules)
        count = len(circle.used)
        index = 0
        for draw in range(DRAWS // 2 + IN_TURN if count else 0):
            # Guards against refusing where few are warm and chance names the cold ones only: then in turn.
            chance = draw < DRAWS // 2
            if not chance and not self.spared:
                return
            index = int(rng.random() * count) if chance else (index + 1) % count
            server = circle.used[index]
            if server in tried:
                continue
            cold = server.cold_until(rules) > now
            if cold and not (chance and first and not self._spares_cold(now, server, circle)):
                self.spared = True
                continue
            link = self.links.get(server.row.zone)
            if link is not None and link.refuses(now, 0.0, rng):
                skipped.append(server)
                continue
            score = server.score(now, self.pooled)
            if circle is self.far:
                score += TOLL * self.settings.prices.cross_zone * timeout
            tried.append(server)
            chosen.append((score, len(tried), server))
            return

    def _among(self, now: float, request: Request) -> list[Server] | None:
        """Where a further attempt may go by the rules: empty if nowhere, None if anywhere.

        Guards the rule against doing an effect twice.
        """
        kind = self.settings.classes[request.kind]
        first = request.first_maybe()
        if first is None or kind.repeat is Repeat.SAFE:
            return None
        if kind.repeat is Repeat.UNSAFE or now - first.sent >= WINDOW_MARGIN * kind.window:
            return []
        if kind.group is Group.ALL:
            return None
        if kind.group is Group.ZONE:
            return self.zones.get(first.server.row.zone, [])
        return self.cells.get(first.server.row.cell, [])

    def _again(self, now: float, request: Request, out: list[Action]) -> bool:
        """Try a further attempt within the rules and the retry budget."""
        if self.retry_tokens < 1.0 or not self._further(now, request, out):
            return False
        self.retry_tokens -= 1.0
        return True

    def _further(self, now: float, request: Request, out: list[Action]) -> bool:
        """Try a further attempt within the rules."""
        limits = self.settings.limits
        if request.done or request.bound or request.spent or now >= request.deadline:
            return False
        if len(request.attempts) >= limits.max_attempts:
            return False
        if request.open and (request.open > 1 or not limits.second_copies):
            return False
        first = not request.attempts
        among = self._among(now, request)
        return self._send(now, request, among, first, out) or (not first and self._resend(now, request, among, out))

    def permits(self, now: float, rid: RequestId, number: int) -> bool:
        """Whether an attempt that had to wait for its connection may still begin.

        Guards against what has changed meanwhile: its request is answered, its server drains or is gone or banned,
        or so much time has passed that a repeat would no longer be recognized as one.
        """
        request = self.requests.get(rid)
        if request is None or request.done or now >= request.deadline:
            return False
        attempt = request.attempts[number]
        if not self._takes(attempt.server):
            return False
        kind = self.settings.classes[request.kind]
        before = [a for a in request.attempts if a is not attempt and a.maybe_ran]
        if not before or kind.repeat is Repeat.SAFE:
            return True
        return kind.repeat is Repeat.KEYED and now - before[0].sent < WINDOW_MARGIN * kind.window

    def _answer(self, now: float, request: Request, out: list[Action]) -> None:
        """The final answer: refused where that promise holds, else failed."""
        kind = self.settings.classes[request.kind]
        harmless = (
            kind.repeat is Repeat.SAFE
            or (kind.repeat is Repeat.KEYED and kind.group is Group.ALL)
            or request.first_maybe() is None
        )
        out.append(Refuse(request.id) if harmless else Fail(request.id))
        if self.entry is not None:
            self.entry.ended(now, request, False)
        self._finish(request, out)

    def _finish(self, request: Request, out: list[Action]) -> None:
        request.done = True
        if request.open and self.settings.limits.cancel and not request.bound:
            for number, attempt in enumerate(request.attempts):
                if attempt.open:
                    out.append(Cancel(request.id, number))
        if not request.open:
            self.requests.pop(request.id, None)

    def outcome(
        self, now: float, rid: RequestId, number: int, how: Outcome, latency: float, last: bool = False
    ) -> list[Action]:
        """An attempt ended; unknown ones are ignored."""
        request = self.requests.get(rid)
        if request is None or not 0 <= number < len(request.attempts):
            return []
        attempt = request.attempts[number]
        if not attempt.open:
            return []
        attempt.open = False
        attempt.how = how
        attempt.maybe_ran = how not in NEVER_RAN
        request.open -= 1
        if how is not Outcome.OK or not request.bound:
            self._learn(now, attempt, how, latency, self.settings.classes[request.kind].aim)
        out: list[Action] = []
        if request.done:
            if not request.open:
                self.requests.pop(rid, None)
        elif last or how is Outcome.OK:
            if self.entry is not None and not request.bound:
                self.entry.ended(now, request, how is Outcome.OK)
            self._finish(request, out)
        elif not request.open:
            if how is Outcome.REJECTED:
                # Guards what is learned of the tier against callers whose requests nobody can serve.
                if self.entry is not None:
                    self.entry.withdraw(request)
                self._answer(now, request, out)
            elif not self._again(now, request, out):
                self._answer(now, request, out)
        return out

    def _learn(self, now: float, attempt: Attempt, how: Outcome, latency: float, timeout: float) -> None:
        server = attempt.server
        server.out.pop(attempt, None)
        breaker = server.breaker
        if breaker is None or how in (Outcome.VOID, Outcome.REJECTED) or attempt.sent < server.started:
            return
        link = None
        if self.settings.zones > 1:
            link = self.links.get(server.row.zone)
            if link is None:
                link = self.links[server.row.zone] = Breaker(LINK_WINDOW)
        if how is Outcome.OK:
            breaker.accepted(now)
            if breaker.current <= 0.0 and self.pooled > 0.0:
                breaker.sample(min(latency, self.pooled))  # no baseline from one slow answer alone
            breaker.sample(latency)
            server.learn(now, latency)
            self.pooled += (latency - self.pooled) / 32.0 if self.pooled > 0.0 else latency
            weight = 4.0 if self.pooled < self.usual else 1000.0
            self.usual += (self.pooled - self.usual) / weight if self.usual > 0.0 else self.pooled
            if link is not None:
                link.accepted(now)
            self._count_answer(now, server, latency <= timeout)
        elif how is not Outcome.CANCELLED:
            breaker.failed(now)
            # Guards against a server that fails fast and so looks quick: a failure costs a time-out.
            server.learn(now, max(latency, timeout))
            if link is not None and how in LOST:
                # Guards against learning a cut link one server at a time: the same ratio over its zone.
                link.failed(now)

    def _count_answer(self, now: float, server: Server, in_time: bool) -> None:
        """Count an answer for slow start: what warm servers carry, and what a cold one manages in time."""
        circle = self.near if not self.far.used or server.row.zone == self.settings.zone else self.far
        cold = server.cold_until(self.settings.rules) > now
        circle.load.answered(now, 0.0 if cold else circle.warm_part * len(circle.used))
        if not cold:
            server.answers = None
        elif in_time:
            server.answers = server.answers or Rate(OWN_MEMORY)
            server.answers.add(now)

    def begun(self, now: float, rid: RequestId, number: int) -> list[Action]:
        """A long answer has begun: the request belongs to this attempt, and is answered by now.

        Guards against refusing for callers that read slowly: how long the rest takes is theirs, and says
        nothing of queues.
        """
        request = self.requests.get(rid)
        if request is None or request.done or request.bound or not 0 <= number < len(request.attempts):
            return []
        begun = request.attempts[number]
        self._learn(now, begun, Outcome.OK, now - begun.sent, self.settings.classes[request.kind].aim)
        if self.entry is not None:
            self.entry.ended(now, request, True)
        out: list[Action] = []
        if self.settings.limits.cancel:
            for other, attempt in enumerate(request.attempts):
                if attempt.open and other != number:
                    out.append(Cancel(rid, other))
        request.bound = True
        return out

    def gone(self, now: float, rid: RequestId) -> list[Action]:
        """The client left; no answer is owed any more."""
        request = self.requests.get(rid)
        if request is None or request.done:
            return []
        out: list[Action] = []
        if self.entry is not None and not request.counted:
            self.entry.late(now, request)  # whoever leaves this soon gets nothing, as from a late answer
        self._finish(request, out)
        return out

    def timer(self, now: float, token: int) -> list[Action]:
        """A timer fell due; stale ones are ignored."""
        if token == SUBSCRIBE and self.asking:
            self.asking = False
            return [Subscribe()]
        if token == COPY and self.copying:
            return self._copy_due(now)
        return []
