"""Load-balancing decisions for services that call services: a sans-I/O library."""

from weldroute.decide import Balancer, Breaker
from weldroute.model import (
    Action,
    Cancel,
    Discovery,
    Fail,
    Goal,
    Group,
    Limits,
    ListKind,
    Outcome,
    Prices,
    Refuse,
    Repeat,
    RequestClass,
    Rules,
    Send,
    ServerRow,
    Settings,
    State,
    Subscribe,
    Tenant,
    Timer,
)

__all__ = [
    "Action", "Balancer", "Breaker", "Cancel", "Discovery", "Fail", "Goal", "Group", "Limits", "ListKind",
    "Outcome", "Prices", "Refuse", "Repeat", "RequestClass", "Rules", "Send", "ServerRow", "Settings",
    "State", "Subscribe", "Tenant", "Timer",
]
