"""A circuit breaker for one server, one zone or the whole tier: go-zero PR #5366 with the SRE book's throttling."""

from __future__ import annotations

from collections import deque
from random import Random

BREAKER_WINDOW = 10.0  # seconds over which a server's error ratio is computed
BUCKETS = 40  # of that window
THROTTLE_K = 1.5  # K of adaptive throttling: requests allowed for each accepted one
THROTTLE_K_MIN = 1.1  # K when every recent bucket failed
PROTECTED_REQUESTS = 5  # requests in a window that never count against a server
FORCED_PASS_INTERVAL = 1.0  # seconds between calls that pass whatever the drop probability
LATENCY_ACTIVATION = 3.0  # multiple of the baseline latency above which the latency ratio is positive
LATENCY_CEILING = 0.95  # fraction of the timeout at which the latency ratio reaches its cap
LATENCY_DROP_CAP = 0.3  # largest latency ratio


class Breaker:
    """Computes the probability of refusing a call locally: adaptive throttling by errors and by latency.

    Keeps a sliding window of buckets for the error ratio, and two moving averages of the latency.
    """

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
        self._failing_buckets = 0  # newest buckets in a row that have failures and no accepts
        self._requests = 0.0
        self._accepts = 0.0
        self.baseline = self.current = 0.0  # seconds; the baseline rises slowly and falls fast
        self.last_pass = float("-inf")

    def _bucket_at(self, now: float) -> list[float]:
        number = int(now / self._bucket_width)
        buckets = self._buckets
        if buckets and buckets[-1][0] >= number:
            return buckets[-1]
        self._expire(number)
        bucket = [float(number), 0.0, 0.0, 0.0]
        buckets.append(bucket)
        return bucket

    def _expire(self, number: int) -> None:
        buckets = self._buckets
        while buckets and buckets[0][0] <= number - BUCKETS:
            expired = buckets.popleft()
            self._requests -= expired[1]
            self._accepts -= expired[2]
        self._failing_buckets = min(self._failing_buckets, len(buckets))

    def record_refusal(self, now: float) -> None:
        """Count a call that was refused locally: a request that the server did not accept."""
        self._bucket_at(now)[1] += 1
        self._requests += 1

    def record_success(self, now: float, weight: float = 1.0) -> None:
        """Count an accepted call; `weight` below 1 counts it as accepted in part."""
        bucket = self._bucket_at(now)
        bucket[1] += 1
        bucket[2] += weight
        self._requests += 1
        self._accepts += weight
        self._failing_buckets = 0

    def record_failure(self, now: float) -> None:
        """Count an error, timeout, refusal by a full server or failed connection."""
        bucket = self._bucket_at(now)
        bucket[1] += 1
        self._requests += 1
        if not bucket[2] and not bucket[3]:
            self._failing_buckets += 1
        bucket[3] += 1

    def record_latency(self, latency: float) -> None:
        """Update both moving averages with the latency of a successful call."""
        if self.current <= 0.0:
            self.baseline = self.current = latency
            return
        weight = 4.0 if latency < self.baseline else 100.0
        self.baseline += (latency - self.baseline) / weight
        self.current += (latency - self.current) / 4.0

    def error_ratio(self, now: float) -> float:
        """Return the drop probability by errors (adaptive throttling, SRE book).

        K falls from `k` to THROTTLE_K_MIN as the newest run of failing buckets grows.
        """
        self._expire(int(now / self._bucket_width))
        k = self.k - (self.k - THROTTLE_K_MIN) * self._failing_buckets / BUCKETS
        return max(0.0, (self._requests - PROTECTED_REQUESTS - k * self._accepts) / (self._requests + 1))

    def latency_ratio(self, timeout: float) -> float:
        """Return the drop probability for a current latency far above the baseline, capped.

        `timeout` is in seconds; without a usable one the result is 0.
        """
        threshold = LATENCY_ACTIVATION * self.baseline
        span = LATENCY_CEILING * timeout - threshold
        if timeout <= 0.0 or threshold <= 0.0 or span <= 0.0:
            return 0.0
        return min(max((self.current - threshold) / span * LATENCY_DROP_CAP, 0.0), LATENCY_DROP_CAP)

    def drop_probability(self, now: float, timeout: float) -> float:
        """Return the larger of the error ratio and the latency ratio."""
        return max(self.error_ratio(now), self.latency_ratio(timeout))

    def refuses(self, now: float, timeout: float, rng: Random) -> bool:
        """Decide whether to refuse this call; one call a second passes even while calls are dropped."""
        chance = self.drop_probability(now, timeout)
        if chance <= 0.0:
            return False
        if now - self.last_pass < FORCED_PASS_INTERVAL and rng.random() < chance:
            self.record_refusal(now)
            return True
        self.last_pass = now
        return False
