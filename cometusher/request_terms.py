"""What a request's headers state: its id, class, tenant and budget."""

from __future__ import annotations

from dataclasses import dataclass

from cometusher.http1 import Malformed, Request, parse_budget
from weldroute import Repeat, Settings


@dataclass(slots=True)
class RequestTerms:
    """The terms of a request, all of them valid."""

    call_id: bytes
    class_index: int
    tenant_index: int  # the number of tenants for one that the settings don't name
    budget: float | None  # seconds; None without X-Budget


class RequestTermsReader:
    """Reads every header that the proxy goes by, so that a request with an invalid one is rejected as a whole."""

    def __init__(self, settings: Settings) -> None:
        self._classes = settings.classes
        self._class_indices = {request_class.name.encode(): i for i, request_class in enumerate(settings.classes)}
        self._tenant_indices = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}

    def read(self, request: Request) -> RequestTerms:
        """Returns a request's terms; raises Malformed for one that can only fail at a backend.

        A method that does not fit the class would be repeated by other rules than the backend's.
        """
        call_id = request.header(b"x-call-id")
        if not call_id:
            raise Malformed(400, "no X-Call-Id")
        name = request.header(b"x-call-class")
        class_index = self._class_indices.get(name or b"")
        if class_index is None:
            raise Malformed(400, "unknown X-Call-Class" if name else "no X-Call-Class")
        self._check_method(request, self._classes[class_index].repeat)
        tenant_index = self._tenant_indices.get(request.header(b"x-caller") or b"", len(self._tenant_indices))
        budget = request.header(b"x-budget")
        return RequestTerms(call_id, class_index, tenant_index, None if budget is None else parse_budget(budget))

    def _check_method(self, request: Request, repeat: Repeat) -> None:
        if request.method != (b"GET" if repeat is Repeat.SAFE else b"POST"):
            raise Malformed(405, "the method does not fit the class")
        if (request.body or request.stream) and repeat is Repeat.SAFE:
            raise Malformed(400, "a body where none belongs")
        if bool(request.header(b"idempotency-key")) is not (repeat is Repeat.KEYED):
            raise Malformed(400, "Idempotency-Key does not fit the class")
