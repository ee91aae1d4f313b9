"""Audits the containers of an idle proxy for leaks: each must be empty or within a stated bound.

Containers are found by walking the proxy's objects, so a new one is audited automatically: it must be empty unless a
bound is stated here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any

from cometusher.backends import CloseReason
from cometusher.proxy import MAX_SHARED_RECENT_IDS
from weldroute.recent_ids import MAX_IDS

CONTAINER_TYPES = (dict, list, set, deque, bytearray)
AUDITED_MODULES = ("cometusher.", "weldroute.")
EXCLUDED_MODULES = ("cometusher.simulation.",)

#: How many items an idle proxy may hold: a fixed number, and a number for each backend of discovery's list.
BOUNDS: dict[str, tuple[int, int]] = {
    "Backends._backends": (0, 1),
    "Backends._owners": (0, 1),
    "ConnectionReuse._close_races": (3, 0),
    "Balancer._cells": (0, 1),
    "Balancer._zones": (0, 1),
    "Balancer.zone_breakers": (0, 1),
    "Balancer.past_bans": (0, 1),
    "Balancer.servers": (0, 1),
    "Breaker._buckets": (40, 0),
    "Breaker._buckets[]": (4, 0),
    "ServerPool.active": (0, 1),
    "ServerRing.servers": (0, 1),
    "ColdServers._ends": (0, 1),
    "ColdServers._warm_at": (0, 1),
    "DescriptorBudget.on_free": (1, 0),
    "RequestTermsReader._class_indices": (3, 0),
    "RequestTermsReader._tenant_indices": (2, 0),
    "Proxy._typical_budgets": (3, 0),
    "Balancer.first_call_due": (0, 1),
    "Proxy._shared_recent_ids": (MAX_SHARED_RECENT_IDS, 0),
    "Proxy.servers_by_host": (0, 1),
    "RecentIds._expires_at": (MAX_IDS, 0),
    "Proxy.counters": (16 + len(CloseReason), 0),
    "Proxy._reported_counters": (16 + len(CloseReason), 0),
    "AdmissionControl.asked": (12, 0),
    "AdmissionControl.chance": (12, 0),
    "AdmissionControl.served": (12, 0),
    "AdmissionControl.quota": (2, 0),
    "AdmissionControl.quota_at": (2, 0),
    "AdmissionControl.pending": (64, 0),
    "AdmissionControl.queued": (64, 0),
    "Request.attempts": (3, 0),  # until the next request arrives
    "RecoveryConfig.standing": (5, 0),
    "RecoveryConfig.standing[]": (0, 1),
    "RecoveryConfig.standing[][]": (3, 0),  # one order
    "ProcessLedger._values": (33, 0),
    "OpenRequestIds._values": (8192, 0),
    "OpenRequestIds._free_slots": (1023, 0),
    "InflightTracker.takeovers": (8, 0),
    "RequestJournal._free_slots": (1024, 0),
    "RequestJournal._free_blocks": (2048, 0),
}


def containers_over_bound(root: object, backends: int) -> dict[str, tuple[int, int]]:
    """Containers above their bound, where discovery lists this many backends: by name, the size and the bound."""
    found = {}
    for name, count in containers(root).items():
        fixed, per_backend = BOUNDS.get(name, (0, 0))
        if count > fixed + per_backend * backends:
            found[name] = (count, fixed + per_backend * backends)
    return found


def _attributes(instance: object) -> Iterator[tuple[str, Any]]:
    """The attributes of an object, including those in slots."""
    yield from getattr(instance, "__dict__", {}).items()
    for base in type(instance).__mro__:
        slots = base.__dict__.get("__slots__", ())
        for name in (slots,) if isinstance(slots, str) else slots:
            if hasattr(instance, name):
                yield name, getattr(instance, name)


def _is_audited(instance: object) -> bool:
    module = type(instance).__module__
    return module.startswith(AUDITED_MODULES) and not module.startswith(EXCLUDED_MODULES)


def containers(root: object) -> dict[str, int]:
    """The largest size by container name: `Class.attribute`, with `[]` appended for a container within another."""
    found: dict[str, int] = {}
    seen: set[int] = {id(root)}
    pending: list[tuple[str, object]] = [(type(root).__name__, root)]
    while pending:
        name, value = pending.pop()
        if isinstance(value, CONTAINER_TYPES):
            found[name] = max(found.get(name, 0), len(value))
            children: list[tuple[str, object]] = []
            if not isinstance(value, bytearray):
                children = [(f"{name}[]", item) for item in (value.values() if isinstance(value, dict) else value)]
                children += [(f"{name}[]", item) for item in (value if isinstance(value, dict) else ())]
        elif isinstance(value, tuple):
            children = [(name, item) for item in value]
        elif _is_audited(value):
            children = [(f"{type(value).__name__}.{child_name}", child) for child_name, child in _attributes(value)]
        else:
            continue
        for child_name, child in children:
            if id(child) not in seen:
                seen.add(id(child))
                pending.append((child_name, child))
    return found
