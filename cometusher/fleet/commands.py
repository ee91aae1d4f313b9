"""The commands `cometusher fleet ...`: start, status, reload, restart, stop and the queries."""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import orjson

from cometusher.fleet.control import ControlError, NoSupervisor, send_request
from cometusher.fleet.identity import Identity
from cometusher.fleet.spec import FleetLocation, FleetSpec, read_location, read_spec
from weldroute.correlated_failures import RECOVERY_PHASES
from weldroute.fleet import OperationDone

QUERY_TIMEOUT = 10.0  # seconds for the response to a query
OPERATION_TIMEOUT = 3600.0  # seconds for an operation on the whole fleet


def _report(code: int, text: str) -> None:
    stream = sys.stdout if code == 0 else sys.stderr
    print(f"cometusher: {text}".replace("\n", " "), file=stream)


def _print_json(values: dict[str, Any]) -> None:
    sys.stdout.write(orjson.dumps(values).decode() + "\n")


def fleet(options: argparse.Namespace) -> int:
    """Run one command; return the exit code. Raises ConfigError.

    Only a start reads the whole file: a fleet can be queried and stopped even if the rest of its file is invalid.
    """
    path = Path(options.config)
    if options.action == "start":
        return _start(read_spec(path), options)
    actions: dict[str, Callable[[FleetLocation, argparse.Namespace], int]] = {
        "status": partial(_query_and_show, show=_show_status),
        "explain": partial(_query_and_show, show=_show_notes),
        "members": partial(_query_and_show, show=_show_members),
        "leases": partial(_query_and_show, show=_show_leases),
        "bans": partial(_query_and_show, show=_show_bans),
        "stop": _stop,
    }
    return actions.get(options.action, _operate)(read_location(path), options)


def _query(
    location: FleetLocation, command: str, timeout: float, options: argparse.Namespace, with_names: bool = True
) -> dict[str, Any] | None:
    """Return the supervisor's response; None after printing an error if there is none."""
    try:
        return send_request(location.control_socket, command, timeout, names=options.names if with_names else [])
    except (NoSupervisor, ControlError) as error:
        if options.json:
            _print_json({"ok": False, "error": str(error)})
        _report(1, str(error))
        return None


def _operate(location: FleetLocation, options: argparse.Namespace) -> int:
    # A query first: a supervisor that hangs is reported after seconds instead of an hour.
    if _query(location, "status", QUERY_TIMEOUT, options, with_names=False) is None:
        return 1
    reply = _query(location, options.action, OPERATION_TIMEOUT, options)
    if reply is None:
        return 1
    _print_json(reply) if options.json else _report(0, str(reply.get("text", "done")))
    return 0


def _start(spec: FleetSpec, options: argparse.Namespace) -> int:
    unknown = [name for name in options.names if name not in spec.instances]
    if unknown:
        _report(1, f"{spec.location.file}: no such instance: {', '.join(unknown)}")
        return 1
    if options.names:
        try:
            send_request(spec.location.control_socket, "status", QUERY_TIMEOUT)
        except NoSupervisor:
            pass  # then this process becomes the supervisor
        except ControlError as error:
            _report(1, str(error))
            return 1
        else:
            return _operate(spec.location, options)
    return _supervise(spec, options)


def _supervise(spec: FleetSpec, options: argparse.Namespace) -> int:
    from cometusher.fleet import supervisor
    from cometusher.fleet.daemon import daemonize

    report: Callable[[int, str], None] = _report
    if options.daemon:
        if spec.log.target == "stderr":
            _report(2, f"{spec.location.file}: log.target: a daemon has no standard error; name a file")
            return 2
        report = daemonize(_report)

    def started(done: OperationDone) -> None:
        if options.daemon or not done.ok:
            report(0 if done.ok else 1, done.text)

    try:
        supervisor.run(spec, options.names, dict(os.environ), started)
    except (supervisor.CannotStart, ValueError) as error:
        report(1, str(error))
        return 1
    return 0


def _query_and_show(
    location: FleetLocation, options: argparse.Namespace, show: Callable[[dict[str, Any]], None]
) -> int:
    """Query the supervisor with the action's name, and print the response as JSON or for people."""
    reply = _query(location, options.action, QUERY_TIMEOUT, options)
    if reply is None:
        return 1
    _print_json(reply) if options.json else show(reply)
    return 0


def _show_status(reply: dict[str, Any]) -> None:
    print(f"{reply['fleet']}: supervisor {reply['pid']}", *reply["operations"], sep="\n  ")
    for event in reply.get("comeback", [])[-1:]:
        reached = ", ".join(f"{name} {event[name]:.2f} s" for name in RECOVERY_PHASES if event[name] is not None)
        print(
            f"  event {event['event']}, {event['ago']:.0f} s ago: {event['ended']} of {event['of']}, "
            f"{event['cause']}: {reached or 'no recovery yet'}"
        )
    takeover = reply.get("takeover")
    if takeover:
        print(
            "  takeover of in-flight requests: "
            + ", ".join(f"{name.replace('_', ' ')} {count}" for name, count in takeover.items())
        )
    detector = reply.get("vigil")
    if detector:
        print(
            "  failure detection: "
            + ", ".join(f"{name.replace('_', ' ')} {count}" for name, count in detector.items())
        )
    columns = "{:<20} {:<9} {:>7} {:>8} {:>8}  {:<24} {:<12} {:>7} {:>5} {:>9}"
    print(
        columns.format("name", "state", "pid", "since", "restarts", "last exit", "version", "MB", "fds", "requests")
    )
    for row in reply["instances"]:
        requests = sum(n for name, n in row["requests"].items() if name != "open")
        print(
            columns.format(
                row["name"],
                row["state"],
                row["pid"] or "-",
                f"{row['since']:.0f}s",
                row["restarts"],
                row["last_exit"] or "-",
                row["version"] or "-",
                f"{row['memory'] / 2**20:.1f}",
                row["descriptors"],
                requests,
            )
        )
        view = row.get("vigil", {})
        if view and view["judgement"] != "well":
            print(f"  {view['judgement']}: {view['cause'] or 'late'}, phi {view['phi']}")
        if view.get("unlike"):
            print(f"  {view['unlike']}: {view['because']}; {100.0 * view['portion']:.0f}% of its new connections")
        if row["state"] in ("failed", "waiting") and row["reason"]:
            print(f"  {row['reason']}")


def _show_notes(reply: dict[str, Any]) -> None:
    for name, notes in reply["notes"].items():
        print(f"{name}: " + ("nothing recorded" if not notes else ""))
        for ago, text in notes:
            print(f"  {ago:8.2f} s ago  {text}")


def _show_members(reply: dict[str, Any]) -> None:
    links = {link["address"]: link for link in reply["links"]}
    columns = "{:<24} {:<22} {:<8} {:<8} {:>8} {:>6}  {}"
    print(columns.format("name", "address", "zone", "state", "since", "inc.", "link"))
    for row in reply["members"]:
        link = links.get(row["address"])
        link_state = "-" if link is None else "up" if link["up"] else f"down, {link['failed']} dials"
        suspicion = f", suspected by {', '.join(row['suspected_by'])}" if row["suspected_by"] else ""
        print(
            columns.format(
                row["name"],
                row["address"],
                row["zone"] or "-",
                row["state"],
                f"{row['since']:.0f}s",
                row["incarnation"],
                link_state + suspicion,
            )
        )
    counter_names = ("doubt", "conflicts", "foreign", "bad", "refused")
    print("  " + ", ".join(f"{name} {reply[name]}" for name in counter_names))


def _show_leases(reply: dict[str, Any]) -> None:
    print(
        "leases are granted by a majority of: "
        + (", ".join(reply["grantors"]) or "no members, so no leases are granted")
    )
    for row in reply["duties"]:
        holding = f"held, epoch {row['epoch']}, for another {row['for']:.1f} s" if row["holds"] else "not held here"
        print(f"  {row['duty']}: {holding}" + (", requested" if row["wishes"] else ""))


def _show_bans(reply: dict[str, Any]) -> None:
    for row in reply["bans"]:
        print(
            f"{row['key'].removeprefix('ban:'):<24} {row['value'] or 'not banned':<8} by {row['by']}, "
            f"known here for {row['since']:.0f} s"
        )
    print(f"  {reply['pending']} orders not yet carried out by instances on this machine")


def _stop(location: FleetLocation, options: argparse.Namespace) -> int:
    if options.names:
        return _operate(location, options)
    reply = _query(location, "stop", QUERY_TIMEOUT, options)
    if reply is None:
        return 1
    supervisor = Identity.of(int(reply["pid"]))
    deadline = time.monotonic() + QUERY_TIMEOUT + 2.0 * float(reply["within"])
    while supervisor is not None and supervisor.is_alive():
        if time.monotonic() > deadline:
            _report(1, f"the supervisor, pid {supervisor.pid}, has not ended")
            return 1
        time.sleep(0.02)
    _print_json({"ok": True, "text": "stopped"}) if options.json else _report(0, "stopped")
    return 0
