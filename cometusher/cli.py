"""The command line; each command imports its modules when it is run."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from cometusher.config import ConfigError

FLEET_ACTIONS = {
    "start": "become the supervisor and start the instances; if one is running, start the named instances",
    "status": "show every instance: state, pid, restarts, last exit, memory, requests",
    "reload": "read the file again and apply it to the instances, a few at a time",
    "members": "show the other machines, their state as this supervisor sees it, and its links to them",
    "ban": "send no requests to these backends, on all machines, until unban",
    "unban": "end the ban of these backends, on all machines",
    "bans": "show the bans of backends, and who set them",
    "leases": "show the duties that one machine at a time holds, and whether this one holds them",
    "explain": "show observations of stalled instances and the responses to them, over the last minutes",
    "restart": "replace instances a few at a time; the new process is ready before the old one exits",
    "stop": "stop the named instances, or all instances and the supervisor",
}


def _add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser], name: str, text: str, example: str
) -> argparse.ArgumentParser:
    return commands.add_parser(name, help=text, description=text, epilog=f"example: cometusher {example}")


def build_parser() -> argparse.ArgumentParser:
    """All commands and their options."""
    parser = argparse.ArgumentParser(
        prog="cometusher",
        description="A load-balancing proxy. Without arguments: one proxy, from LB_CONFIG.",
        epilog="example: cometusher demo",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    demo = _add_command(
        commands, "demo", "run a complete installation on loopback, made of stand-ins", "demo --seconds 10"
    )
    demo.add_argument("--seconds", type=float, default=0.0, metavar="N", help="end after N seconds (default: Ctrl-C)")
    text = "read and check configuration files; starts nothing"
    check = _add_command(commands, "check", text, "check deploy/fleet.toml")
    check.add_argument("files", nargs="+", metavar="FILE")
    text = "run the network code on a virtual clock, under faults drawn from a seed"
    simulate = _add_command(commands, "simulate", text, "simulate --seeds 0..1000")
    simulate.add_argument("--seeds", metavar="A..B", help="run the seeds from A up to B; shrink the first failure")
    simulate.add_argument("--seed", type=int, metavar="S", help="run one seed")
    simulate.add_argument("--replay", metavar="FILE", help="run a script")
    simulate.add_argument("--world", default="any", metavar="NAME", help="one, zone, fleet, tiers (default: any)")
    simulate.add_argument("--jobs", type=int, default=0, metavar="N", help="processes (default: one for each core)")
    simulate.add_argument("--steps", action="store_true", help="audit the proxies' containers after every step; slow")
    simulate.add_argument("--trace", action="store_true", help="with one run: print its events line by line")
    simulate.add_argument("--script", action="store_true", help="with --seed: print its script without running it")
    simulate.add_argument("--first", action="store_true", help="with --seeds: end at the first failure")
    simulate.add_argument("--keep", action="store_true", help="with --seeds: do not shrink")
    simulate.add_argument(
        "--tries", type=int, default=400, metavar="N", help="maximum runs for shrinking (default: 400)"
    )
    simulate.add_argument("--out", default="found", metavar="DIR", help="where shrunk scripts go (default: found)")
    text = "run a scenario of real processes with faults, load, and rules checked from outside"
    drill = _add_command(commands, "drill", text, "drill deploy/drills/machine-lost.toml --out drills")
    drill.add_argument("file", metavar="FILE", help="the scenario")
    drill.add_argument("--out", metavar="DIR", help="write NAME.html with plots over time, and NAME.json")
    drill.add_argument("--json", action="store_true", help="print one line of JSON")
    fleet = _add_command(
        commands, "fleet", "run many instances under one supervisor", "fleet start -c deploy/fleet.toml"
    )
    actions = fleet.add_subparsers(dest="action", required=True, metavar="ACTION")
    for name, text in FLEET_ACTIONS.items():
        action = _add_command(actions, name, text, f"fleet {name} -c deploy/fleet.toml")
        action.add_argument("-c", "--config", required=True, metavar="FILE", help="the fleet's file")
        action.add_argument("--json", action="store_true", help="print one line of JSON")
        if name == "reload":
            action.set_defaults(names=[])
        else:
            action.add_argument("names", nargs="*", default=[], metavar="NAME")
        if name == "start":
            action.add_argument("--daemon", action="store_true", help="run in the background; return when ready")
    return parser


def _check(files: list[str]) -> int:
    from cometusher.fault_injection.scenario import read_scenario, schedule
    from cometusher.fleet.spec import read_spec
    from cometusher.toml_reader import read_file

    for name in files:
        if read_file(Path(name)).has("drill"):
            scenario = read_scenario(Path(name))
            print(f"{name}: good; {len(scenario.fleets)} fleets, {len(schedule(scenario))} events")
        else:
            spec = read_spec(Path(name))
            print(f"{name}: good; {len(spec.instances)} instances")
    return 0


def _drill(options: argparse.Namespace) -> int:
    try:
        from cometusher.fault_injection import runner
    except ModuleNotFoundError as error:
        raise ConfigError(f"drill: {error}; it needs the whole checkout") from error
    return runner.main(Path(options.file), Path(options.out) if options.out else None, options.json)


def _demo(seconds: float) -> int:
    from cometusher import demo

    return demo.main(seconds)


def _simulate(options: argparse.Namespace) -> int:
    try:
        from cometusher.simulation import simulate
    except ModuleNotFoundError as error:
        raise ConfigError(f"simulate: {error}; it needs the whole checkout") from error
    return simulate.main(options)


def _fleet(options: argparse.Namespace) -> int:
    from cometusher.fleet import commands

    return commands.fleet(options)


def main(arguments: list[str]) -> int:
    """Run a command; returns the exit code: 0 success, 1 failure, 2 wrong usage or configuration."""
    if arguments == ["instance"]:  # internal: executed by a supervisor
        from cometusher.fleet import instance

        return instance.main()
    try:
        options = build_parser().parse_args(arguments)
    except SystemExit as exit_request:
        return int(exit_request.code or 0)
    try:
        if options.command == "check":
            return _check(options.files)
        if options.command == "demo":
            return _demo(options.seconds)
        if options.command == "drill":
            return _drill(options)
        if options.command == "simulate":
            return _simulate(options)
        return _fleet(options)
    except ConfigError as error:
        print(f"cometusher: {error}".replace("\n", " "), file=sys.stderr)
        return 2
