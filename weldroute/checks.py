"""Validates the numbers in the policies of several subsystems."""

from __future__ import annotations

import math
from dataclasses import fields
from typing import Any


def check_numbers(policy: Any, allow_zero: bool = False) -> None:
    """Raise ValueError for the first field of a dataclass that is not a number above 0 (or 0, if `allow_zero`)."""
    for policy_field in fields(policy):
        value = getattr(policy, policy_field.name)
        if not math.isfinite(value) or value < 0.0 or (value == 0.0 and not allow_zero):
            raise ValueError(
                f"{policy_field.name}: {value!r} is not a number {'of 0 or more' if allow_zero else 'above 0'}"
            )
