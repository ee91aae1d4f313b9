"""What the policy keeps of one request and of each of its attempts."""

from __future__ import annotations

from weldroute.model import Outcome, RequestId
from weldroute.server import Server


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
    """A request that still needs a final answer or has open attempts."""

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
        "replaced_attempts",
        "slot",
        "slow_replaced",
        "tenant",
    )

    def __init__(self, request_id: RequestId, class_index: int, tenant: int, now: float, deadline: float) -> None:
        self.id = request_id
        self.class_index = class_index
        self.tenant = tenant
        self.arrived = now
        self.deadline = deadline
        self.attempts: list[Attempt] = []
        self.replaced_attempts = 0  # made by another process, and not in `attempts`
        self.open = 0
        self.done = False
        self.slot = 0  # of admission control
        self.counted = False  # admission control has counted its end, or never will
        self.queued_until = 0.0  # when it stops counting as queued
        self.queued = False  # counts as queued
        self.receiving = False  # its last byte has not arrived
        self.body_released = False  # its body can't be sent again
        self.bound = False  # a streamed answer has begun: the request is bound to that attempt
        self.copy_at = 0.0  # when a second copy is due
        self.slow_replaced = False  # an attempt with a slow answer was given up for another one

    def first_maybe_ran(self) -> Attempt | None:
        """Return the first attempt that may have run or may be running."""
        for attempt in self.attempts:
            if attempt.maybe_ran:
                return attempt
        return None
