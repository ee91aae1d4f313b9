"""Reads the platform's settings object into `Settings`; it decides nothing.

The simulator's first message and a real proxy's configuration carry the same object, and both are read here.
"""

from __future__ import annotations

from typing import Any

from weldroute.model import (
    Discovery,
    Goal,
    Group,
    Limits,
    Prices,
    Repeat,
    RequestClass,
    Rules,
    Settings,
    Tenant,
    known_fields,
)

REPEATS = {"retryable": Repeat.SAFE, "dedup": Repeat.KEYED, "fragile": Repeat.UNSAFE}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
DISCOVERY = {"pushed": Discovery.PUSHED, "on_request": Discovery.ON_REQUEST}
RULES = {
    "drain_grace": "DrainGrace",
    "answer_slack": "GraceToAnswer",
    "ask_within": "AskEvery",
    "cold_from": "ColdFrom",
    "cold_for": "Cold",
    "fall_multiple": "FallMultiple",
    "fall_after": "TipAfter",
}
GOAL = {
    "whole": "Whole",
    "worst_window": "WorstWindow",
    "worst_class": "WorstClass",
    "worst_tenant": "WorstTenant",
}
PRICES = {
    "cross_zone": "CrossZone",
    "waste": "Waste",
    "connection": "Connection",
    "handshake": "Handshake",
    "probe": "Probe",
    "late_fail": "LateFail",
}
LIMITS = {
    "cancel": "Cancel",
    "second_copies": "SecondCopies",
    "probes": "Probes",
    "retry_after": "RetryAfter",
    "max_attempts": "MaxAttempts",
    "max_retry_after": "MaxRetryAfter",
    "connect_timeout": "DialTimeout",
    "connection_idle": "ConnIdle",
    "streams_per_connection": "MaxStreams",
}


def _read_section(cls: Any, wire_names: dict[str, str], values: dict[str, Any]) -> Any:
    return cls(**known_fields(cls, {field: values.get(key) for field, key in wire_names.items()}))


def read_settings(wire: dict[str, Any]) -> Settings:
    """Return the settings in the object `wire`; unknown keys are ignored, missing ones get their defaults."""
    classes = tuple(
        RequestClass(
            **known_fields(
                RequestClass,
                {
                    "name": row.get("Name"),
                    "aim": row.get("Aim"),
                    "deadline": row.get("HardLimit"),
                    "repeat": REPEATS.get(row.get("Repeat"), Repeat.UNSAFE),
                    "group": GROUPS.get(row.get("Group"), Group.CELL),
                    "window": row.get("Window"),
                    "worth": row.get("Credit"),
                    "late_worth": row.get("LateWorth"),
                    "streaming": row.get("Streaming"),
                },
            )
        )
        for row in wire.get("Services") or ()
    )
    tenants = tuple(
        _read_section(Tenant, {"name": "Name", "share": "Share", "quota": "AllowancePerS"}, row)
        for row in wire.get("Orgs") or ()
    )
    values = {
        "classes": classes or None,
        "tenants": tenants,
        "balancers": wire.get("Instances"),
        "me": wire.get("Ordinal"),
        "tier": wire.get("Tier"),
        "tiers": len(wire.get("Tiers") or ()) or None,
        "zone": wire.get("Zone"),
        "zones": len(wire.get("Zones") or ()) or None,
        "discovery": DISCOVERY.get(wire.get("RegistryMode", "pushed"), Discovery.PUSHED),
        "over_share_worth": wire.get("OverShareWorth"),
        "passes_deadline": (wire.get("FamilyInfo") or {}).get("PassesDeadline"),
        "report_fields": tuple((wire.get("Report") or {}).get("Fields") or ()),
        "limits": _read_section(Limits, LIMITS, wire.get("Bounds") or {}),
        "rules": _read_section(Rules, RULES, wire.get("Rules") or {}),
        "goal": _read_section(Goal, GOAL, wire.get("Goal") or {}),
        "prices": _read_section(Prices, PRICES, wire.get("Penalties") or {}),
    }
    return Settings(**known_fields(Settings, values))
