"""Admission control: load shedding at the first tier, least valuable requests first.

Sans I/O. Times are seconds; `now` is any clock that never goes backwards.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

from weldroute.breaker import PROTECTED_REQUESTS, Breaker
from weldroute.model import Settings
from weldroute.request import Request

ADMISSION_WINDOW = 5.0  # seconds over which the tier's ratio is computed
ADMISSION_K = 1.2  # in equilibrium 1 / K of the admitted requests is answered in time
ADMISSION_K_SLACK = 2.0  # added to that K when answers are immediate
ADMISSION_SLACK_END = 0.7  # fraction of their aim that answers take when that slack has fallen to 0
ADMISSION_IDLE_SLACK = 0.5  # fraction of the slack that is granted when the queue is empty
ADMISSION_WAIT_START = 0.25  # forecast wait, as a fraction of the aim, above which requests are refused
ADMISSION_WAIT_END = 0.55  # forecast wait, as a fraction of the aim, at which all requests are refused
RANKING_INTERVAL = 0.25  # seconds between rankings of the slots by worth
QUEUE_HORIZON = 0.5  # fraction of the aim after which a waiting request counts as stuck, not as queued
PACE_WINDOW = 2.0  # seconds over which the rate of answers is smoothed
RECENT_PACE_WINDOW = 0.5  # seconds over which a rise of that rate is noticed
SHARE_WINDOW = 3.0  # seconds over which the requests and answers of each slot are smoothed


class AdmissionControl:
    """Sheds load for the whole tier: a throttling ratio over all requests, spent on the least valuable ones.

    Servers that queue accept everything, so that under overload no single breaker sees an error until answers are
    late. Here an answer after its aim counts only for its remaining worth. Acts only at the first tier, where clients
    enter: a refusal further down wastes the work already done above.

    Requests are grouped into slots by (class, tenant, over the tenant's share); each slot has a refusal probability.
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
        self.asked = [0.0] * slots  # recent requests of each slot
        self.served = [0.0] * slots  # those of them that were answered in time
        self.chance = [0.0] * slots  # refusal probability
        self.sort_at = 0.0  # when the slots are ranked next
        self.quota = [1.0] * self.tenant_count  # tokens: requests still within the tenant's share
        self.quota_at = [0.0] * self.tenant_count
        self.pending: deque[Request] = deque()  # admitted requests in order of arrival
        self.filled = 0.0  # moving average of answer time / aim
        self.queued: deque[Request] = deque()  # those that may still count as queued
        self.queue_length = 0  # admitted requests that are unanswered and within their queue horizon
        self.aim = 0.0  # moving average of the requests' aims, seconds
        self.pace = 0.0  # answers a second, smoothed over PACE_WINDOW
        self.recent = 0.0  # answers a second, smoothed over RECENT_PACE_WINDOW
        self.paced_at = 0.0
        self.since = -1.0  # when the first request came, or the first after a pause

    def take_slot(self, now: float, class_index: int, tenant: int) -> int:
        """Return the slot of a request, and charge it to its tenant's quota (a token bucket)."""
        over_share = 0
        if tenant < len(self.settings.tenants):
            # Each instance assumes an equal part of the quota; a wrong assumption changes only the order of refusals.
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
        """Decide whether to refuse a request on arrival, the least valuable first; else count it as admitted."""
        pending = self.pending
        classes = self.settings.classes
        while pending and (pending[0].done or pending[0].arrived + classes[pending[0].class_index].aim < now):
            self.on_late(now, pending.popleft())
        slot_index = request.slot
        self.asked[slot_index] += 1.0
        if self.since < 0.0 or (not self.queue_length and now - self.paced_at > PACE_WINDOW):
            # A pause in the requests, such as a drain, must not be taken for answers that stopped coming.
            self.since = now
            self.pace = self.recent = 0.0
        queued = self.queued
        while queued and (queued[0].counted or queued[0].queued_until <= now):
            self._dequeue(queued.popleft())
        aim = classes[request.class_index].aim
        self.aim += (aim - self.aim) / 32.0 if self.aim > 0.0 else aim
        wait = self.forecast_wait(now)
        # Where calls fail although answers are quick or the queue is empty, load is not the cause: refusing more
        # would make no more of them succeed, and refused callers try again, so that refusals would cause refusals.
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
        """Count an admitted request as waiting in the queue."""
        self.pending.append(request)
        request.queued_until = now + QUEUE_HORIZON * self.settings.classes[request.class_index].aim
        request.queued = True
        self.queued.append(request)
        self.queue_length += 1

    def forecast_wait(self, now: float) -> float:
        """Return the wait expected for the next request, as a fraction of the aim.

        Late answers show a burst only once the queues are long. Queue length divided by the rate of answers
        (Little's law) forecasts the wait at once.
        """
        observed = now - self.since
        if observed < self.aim:
            return 0.0  # no answers are due yet, so their rate is unknown
        pace = self.pace * max(0.0, 1.0 - (now - self.paced_at) / PACE_WINDOW)
        if observed < 2.0 * PACE_WINDOW:
            pace /= 1.0 - math.exp(-observed / PACE_WINDOW)  # corrects the average for its start at 0
        # The callers of another proxy that went away raise the rate of requests and answers alike, while answers take
        # no longer; a recent rise counts at once, so that these callers are not refused.
        pace = max(pace, self.recent * max(0.0, 1.0 - (now - self.paced_at) / RECENT_PACE_WINDOW))
        return max(0.0, self.queue_length - PROTECTED_REQUESTS) / max(pace, 1e-3) / self.aim

    def _count_once(self, request: Request) -> bool:
        """Mark a request as counted; return False if it already was."""
        if request.counted:
            return False
        request.counted = True
        self._dequeue(request)
        return True

    def _dequeue(self, request: Request) -> None:
        """Stop counting a request as queued.

        Requests stuck at hung servers or behind a cut link are no sign of load; counting them would cause refusals
        that cause further ones.
        """
        if request.queued:
            request.queued = False
            self.queue_length -= 1

    def exclude(self, request: Request) -> None:
        """Leave a request out of the ratio: its end says nothing about load."""
        self._count_once(request)

    def on_late(self, now: float, request: Request) -> None:
        """Count a request whose aim has passed without an answer."""
        if self._count_once(request):
            self.breaker.record_success(now, self.settings.classes[request.class_index].late_worth / 2.0)

    def on_end(self, now: float, request: Request, served: bool) -> None:
        """Count a request that received its final answer; `served` if it was a success."""
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
        self.asked = [count * keep for count in self.asked]
        self.served = [count * keep for count in self.served]
        self.sort_at = now

    def _rank_slots(self, now: float, ratio: float) -> None:
        """Distribute the refusal ratio over the slots, starting with those that contribute least to the goal."""
        settings, goal = self.settings, self.settings.goal
        self._decay(now)
        self.sort_at = now + RANKING_INTERVAL
        classes, tenants = settings.classes, self.tenant_count
        slots = range(len(self.asked))
        worth = [
            classes[slot // (2 * tenants)].worth * (settings.over_share_worth if slot % 2 else 1.0) for slot in slots
        ]
        total = sum(self.asked)
        offered = sum(slot_worth * requests for slot_worth, requests in zip(worth, self.asked, strict=True))
        if total <= 0.0 or offered <= 0.0:
            return
        by_class = [[0.0, 0.0] for _ in classes]
        by_tenant = [[0.0, 0.0] for _ in range(tenants)]
        for slot in slots:
            entry = by_class[slot // (2 * tenants)]
            entry[0] += worth[slot] * self.asked[slot]
            entry[1] += worth[slot] * self.served[slot]
            if not slot % 2:
                entry = by_tenant[slot // 2 % tenants]
                entry[0] += worth[slot] * self.asked[slot]
                entry[1] += worth[slot] * self.served[slot]
        value = [goal.whole * slot_worth / offered for slot_worth in worth]
        # The worst-served class and tenant have weights of their own, so that serving them counts twice for the goal.
        class_of = [slot // (2 * tenants) for slot in slots]
        tenant_of = [-1 if slot % 2 else slot // 2 % tenants for slot in slots]
        for stats, weight, owner in (
            (by_class, goal.worst_class, class_of),
            (by_tenant, goal.worst_tenant, tenant_of),
        ):
            worst = min(
                range(len(stats)),
                key=lambda index: stats[index][1] / stats[index][0] if stats[index][0] > 0.0 else 2.0,
            )
            if weight > 0.0 and len(stats) > 1 and stats[worst][0] > 0.0:
                for slot in slots:
                    if owner[slot] == worst:
                        value[slot] += weight * worth[slot] / stats[worst][0]
        remaining = ratio * total
        for slot in sorted(slots, key=lambda slot: (value[slot], slot)):
            refused = min(remaining, self.asked[slot])
            self.chance[slot] = refused / self.asked[slot] if self.asked[slot] > 0.0 else float(remaining > 0.0)
            remaining -= refused
