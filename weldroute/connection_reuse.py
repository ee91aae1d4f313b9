"""Decides whether a kept connection to a server may carry a given request.

An HTTP/1.1 answer does not name its request: it belongs to the request that is open on its connection. Two things
make a kept connection unsafe to use again:

- Late input: a second answer to an earlier request, sent by a faulty server or something between, may arrive when the
  next request is already open, and is then taken for its answer. A wrong success is passed to a caller; a wrong
  rejection makes a request that is running look like one that never ran. So a connection rests after each answer
  until late input would have arrived, which ends the connection. Input that came late on any connection makes all
  rest for longer. The cost: one server that writes to connections long idle makes all others get new ones. A request
  that must not run twice never uses a connection that carried one before: no rest is certain to be enough.
- Late input that the network holds back: a cut link delivers it when it is whole again, after any rest. So while
  input that belongs to no request has been seen recently, a connection is used again only if something else arrived
  from its server after the rest: the link delivered then, and would have delivered late input too.
- Early closes: the server may close an idle connection before its announced time, and a request that crosses the
  close may have run. Once such losses are seen, requests that are not safe to repeat avoid connections as old.

Times are seconds; `now` is any clock that never goes backwards.
"""

from __future__ import annotations

from collections import deque

from weldroute.model import Repeat

MIN_REST = 0.1  # seconds after an answer; second answers are known to come tens of milliseconds late
REST_MARGIN = 2.0  # times the latest input seen: the next may be later still
LATE_INPUT_MEMORY = 60.0  # seconds for which late input is remembered
IDLE_TIMEOUT_FRACTION = 0.8  # of the servers' own idle timeout; a write that races with their close is lost
DEFAULT_IDLE_TIMEOUT = 60.0  # seconds, where the settings name none
CLOSE_RACES, CLOSE_RACES_WINDOW = 3, 20.0  # that many resets in that many seconds make older connections suspect
MIN_RACE_IDLE_AGE = 0.1  # seconds idle; a reset of a connection that was idle for less, or is new, has another cause
CLOSE_RACE_MARGIN = 0.8  # of the shortest idle time after which a request was reset


class ConnectionReuse:
    """What one instance has learned about kept connections, and the limits that follow."""

    __slots__ = ("_close_races", "_late_input_age", "_late_input_at", "_surplus_seen_at", "idle_timeout")

    def __init__(self, server_idle_timeout: float) -> None:
        self.idle_timeout = (
            server_idle_timeout * IDLE_TIMEOUT_FRACTION if server_idle_timeout > 0.0 else DEFAULT_IDLE_TIMEOUT
        )
        # Time of the reset, and how long the connection had been idle.
        self._close_races: deque[tuple[float, float]] = deque(maxlen=CLOSE_RACES)
        self._late_input_age = 0.0  # the latest input of the recent past, in seconds after the answer before it
        self._late_input_at = float("-inf")
        self._surplus_seen_at = float("-inf")  # the last input that belonged to no request

    def on_surplus_input(self, now: float) -> None:
        """Record input right behind an answer, which belongs to no request."""
        self._surplus_seen_at = now

    def on_late_input(self, now: float, age: float) -> None:
        """Record input on a connection that was idle for `age` seconds."""
        self.on_surplus_input(now)
        if age >= self._recent_late_input_age(now):
            self._late_input_age = age
            self._late_input_at = now

    def _recent_late_input_age(self, now: float) -> float:
        return self._late_input_age if now - self._late_input_at < LATE_INPUT_MEMORY else 0.0

    def on_immediate_reset(self, now: float, age: float) -> None:
        """Record a request that was reset right after its write, on a connection that was idle for `age` seconds."""
        if age >= MIN_RACE_IDLE_AGE:
            self._close_races.append((now, age))
        elif self._close_races:
            # A server that resets every request must not be mistaken for one that closes idle connections early:
            # new connections would cost it work without any benefit (incident r75d229). Only one record is removed
            # for each such reset, so that early closes still show where both kinds occur.
            self._close_races.popleft()

    def may_reuse(self, repeat: Repeat, first_attempt: bool) -> bool:
        """Whether an attempt of a class with this effect may use a connection that has carried a request.

        The repeat of a request that is not safe to repeat may not, so that it isn't lost to the next dead connection.
        """
        return repeat is Repeat.SAFE or (repeat is Repeat.KEYED and first_attempt)

    def proves_rejection(self, now: float, repeat: Repeat, first_request: bool) -> bool:
        """Whether a rejection on a connection shows that the request never ran.

        It may be a second one of an earlier request, while input is seen that comes later than the rest is long;
        `first_request` says that the connection has carried none before.
        """
        return first_request or repeat is Repeat.SAFE or self.min_idle(now) <= MIN_REST

    def min_idle(self, now: float) -> float:
        """The shortest idle time after which a connection may be used again."""
        return max(MIN_REST, REST_MARGIN * self._recent_late_input_age(now))

    def latest_reusable(self, now: float, last_input_at: float) -> float:
        """The latest time since which a connection may be idle to be used again.

        `last_input_at` is when anything last arrived from its server, on any connection.
        """
        min_idle = self.min_idle(now)
        if now - self._surplus_seen_at < LATE_INPUT_MEMORY:
            return min(now, last_input_at) - min_idle
        return now - min_idle

    def max_idle(self, now: float, repeat: Repeat) -> float:
        """The longest idle time of a connection for a request of a class with this effect.

        Requests that are safe to repeat go on using connections that may be closed: a new one costs the server work.
        """
        if repeat is Repeat.SAFE or not self._sees_early_closes(now):
            return self.idle_timeout
        return CLOSE_RACE_MARGIN * min(age for _, age in self._close_races)

    def _sees_early_closes(self, now: float) -> bool:
        return len(self._close_races) == CLOSE_RACES and now - self._close_races[0][0] <= CLOSE_RACES_WINDOW
