"""Converts a proxy's state to and from the serialized state of `weldroute.handover`, for hot restarts and stores."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from cometusher.backends import CloseReason
from cometusher.discovery import BackendList, parse_list
from weldroute import ListKind, State
from weldroute.handover import OperatorOrders, apply_operator_orders

if TYPE_CHECKING:
    from cometusher.proxy import Proxy

log = logging.getLogger("cometusher.forms")  # the `subsystem` of its log records

HEALTH_BY_STATE = {State.UP: "in_service", State.DRAINING: "terminating"}


def serialize_list(proxy: Proxy) -> dict[str, Any]:
    """The list of backends, in the format of a whole list from discovery."""
    hosts = []
    for host, server in proxy.servers_by_host.items():
        state, dial = proxy.balancer.servers.get(server), proxy.backends.address_of(server)
        if state is None or dial is None or state.row.state not in HEALTH_BY_STATE:
            continue
        row, zones = state.row, proxy.config.zones
        hosts.append(
            {
                "host": host,
                "dial": "{}:{}".format(*dial),
                "site": zones[row.zone] if row.zone < len(zones) else "",
                "block": row.cell,
                "share": row.size,
                "health": HEALTH_BY_STATE[row.state],
                "born_ms": round(row.started * 1000.0, 3),
            }
        )
    return {"seq": proxy.discovery.seq, "whole": True, "hosts": hosts}


def restore_list(proxy: Proxy, state: Any) -> BackendList:
    """Start with a stored list, unless a newer one is known already; raises MalformedAnswer."""
    listing = parse_list(state, proxy.config.zones)
    if listing.entries and listing.seq >= proxy.discovery.seq:
        proxy.discovery.resume(listing.seq)
        proxy.on_list(ListKind.STALE, listing.entries)
    return listing


def collect_operator_orders(proxy: Proxy, version: int) -> OperatorOrders:
    """The operators' orders that are in effect on this proxy, as the given version."""
    names = {server: host for host, server in proxy.servers_by_host.items()}
    balancer = proxy.balancer
    return OperatorOrders(
        version,
        proxy.operations.evacuated,
        tuple((names[server], server, since) for server, since in balancer.bans.items() if server in names),
        tuple((server, since, ended) for server, (since, ended) in balancer.past_bans.items()),
    )


def restore_operator_orders(proxy: Proxy, orders: OperatorOrders) -> None:
    """Apply stored operator orders: bans, and evacuation or rejoin."""
    proxy.servers_by_host.update((host, server) for host, server, _ in orders.bans)
    for server in apply_operator_orders(proxy.balancer, proxy.clock.now(), orders):
        log.info("backend %x: %s", server, "banned" if server in proxy.balancer.bans else "no longer banned")
        proxy.backends.drop_idle(server, CloseReason.BACKEND_CHANGED)
    if orders.evacuated is not proxy.operations.evacuated:
        log.info("the proxy %s", "is evacuated" if orders.evacuated else "has rejoined")
        if orders.evacuated:
            proxy.operations.evacuate(proxy.loop.time())
        else:
            proxy.operations.rejoin()
