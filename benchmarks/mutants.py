"""Planted defects: each is put into a copy of the code, and seeds are searched until one finds it.

    python benchmarks/mutants.py [--quick] [--limit SEEDS] [--only WORD]

Prints a table (defect, first seed that finds it, the rule that it violates), then one figure line; the exit code is 1
if a defect is not found within the limit (500 seeds). --quick plants five of them.
"""

from __future__ import annotations

import argparse
import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("cometusher", "standins", "weldroute")
SEARCH_TIMEOUT = 180.0  # seconds for all seeds of one defect
FOUND = re.compile(r"^seed (\d+) \((\w+)\): [\d.]+ ([^:]+): ", re.MULTILINE)


@dataclass(frozen=True)
class Mutant:
    """One defect: `old` becomes `new` in a module of `cometusher`, or of the package before its slash."""

    name: str
    module: str
    old: str
    new: str


MUTANTS = (
    Mutant("a request's timer is not cancelled", "proxy", "exchange.timer.cancel()", "pass"),
    Mutant(
        "a late success is passed on as a second answer",
        "proxy",
        "if not exchange.answered and outcome is Outcome.OK and",
        "if outcome is Outcome.OK and",
    ),
    Mutant(
        "a draining backend counts as up", "discovery", '"terminating": State.DRAINING', '"terminating": State.UP'
    ),
    Mutant(
        "a reset is reported as never ran",
        "backends",
        "self._pool.finish(attempt, Outcome.BROKEN, None, reason)",
        "self._pool.finish(attempt, Outcome.UNREACHABLE, None, reason)",
    ),
    Mutant(
        "a time-out is reported as never ran",
        "proxy",
        "Outcome.UNREACHABLE if attempt.never_complete else Outcome.TIMEOUT",
        "Outcome.UNREACHABLE",
    ),
    Mutant(
        "a status 500 is reported as never ran",
        "backends",
        'return Outcome.ERROR, f"status',
        'return Outcome.FULL, f"status',
    ),
    Mutant(
        "a caller's descriptor is not released",
        "callers",
        "del self._connections[connection]\n            self._descriptors.release_caller()",
        "del self._connections[connection]",
    ),
    Mutant(
        "a backend's descriptor is not released",
        "backends",
        "self.remove_from_pool(connection)\n        self._descriptors.release_backend()",
        "self.remove_from_pool(connection)",
    ),
    Mutant(
        "a failed connect keeps its descriptor",
        "backends",
        "if has_descriptor and not connection.connected:",
        "if has_descriptor and connection.connected:",
    ),
    Mutant(
        "a failed accept keeps its descriptor",
        "callers",
        'log.warning("accept failed: %s", error)\n            self._descriptors.release_caller()',
        'log.warning("accept failed: %s", error)',
    ),
    Mutant(
        "the memory of a body is not released",
        "callers",
        "self._callers.memory.release(request.reserved_bytes + request.reserved_head_bytes)\n        request",
        "request",
    ),
    Mutant(
        "an idle connection is not checked before use",
        "backends",
        "return not self._has_unread_data()",
        "return True",
    ),
    Mutant(
        "an abandoned attempt keeps its connection",
        "backends",
        "attempt.connection.close(CloseReason.ATTEMPT_CANCELLED)\n        return progress",
        "pass\n        return progress",
    ),
    Mutant(
        "a connection in use is reused",
        "backends",
        "self.remove_from_pool(connection)\n                self._busy",
        "self._busy",
    ),
    Mutant(
        "a connection is reused at once after an answer",
        "weldroute/connection_reuse",
        "return max(MIN_REST, REST_MARGIN * self._recent_late_input_age(now))",
        "return 0.0",
    ),
    Mutant(
        "the balancer is not notified that a caller left",
        "callers",
        "if accepted is not None:\n            accepted.on_caller_left()",
        "if accepted is not None:\n            pass",
    ),
    Mutant(
        "a backend's start time is not read",
        "discovery",
        'started=_number(item.get("born_ms"), 0.0) / 1000.0',
        "started=0.0",
    ),
    Mutant(
        "an older change is applied", "discovery", "if not listing.whole and listing.seq < self._seq:", "if False:"
    ),
    Mutant(
        "a caller's time budget is ignored",
        "proxy",
        "budget = max_budget if terms.budget is None else min(terms.budget, max_budget)",
        "budget = max_budget",
    ),
    Mutant(
        "a truncated response counts as complete",
        "http1",
        "if self.response is not None and self.head_done and self.response.until_eof:",
        "if self.response is not None and self.head_done:",
    ),
    Mutant(
        "a drain closes the listener at once",
        "proxy",
        "if all_closed is None and not self.callers.listener_state.listens:",
        "if all_closed is None:",
    ),
    Mutant(
        "a drain does not wait for open requests",
        "proxy",
        "while all_closed is None or not all_closed.done():",
        "while all_closed is None:",
    ),
    Mutant(
        "a drain never closes its connections",
        "callers",
        "or self._callers.listener_state.closes_after_answer\n            or self._callers.out_of_descriptors",
        "or self._callers.out_of_descriptors",
    ),
    Mutant(
        "deadlines follow the wall clock",
        "proxy",
        "self._monotonic = network.monotonic\n        self._offset = network.unix_time() - network.monotonic()",
        "self._monotonic = network.unix_time\n        self._offset = 0.0",
    ),
    Mutant(
        "a repeat is sent without its body",
        "proxy",
        "attempt.body = request.body\n",
        "attempt.body = request.body\n        if request.body:\n            request.body = bytearray()\n",
    ),
    Mutant(
        "accepting is not resumed after a shortage of descriptors",
        "callers",
        "# Otherwise a paused listener would wait for a descriptor that no connection releases by itself.\n"
        "        self._resume_accepting()",
        "pass",
    ),
    Mutant(
        "a head followed by a body is rejected as too large",
        "http1",
        "if self._head_bytes > MAX_HEAD or",
        "if self._head_bytes + self._overhead_bytes > MAX_HEAD or",
    ),
    Mutant(
        "a request is accepted while another is open",
        "callers",
        "if self._request is not None or self._complete_request is not None:",
        "if False:",
    ),
    Mutant(
        "the end of a watch stops discovery", "discovery", "backoff = min(2.0 * backoff, self.max_backoff)", "return"
    ),
    # Defects of operators' calls, hot restarts and long messages.
    Mutant(
        "a ban does not stop an attempt that is connecting",
        "proxy",
        "return self.balancer.may_start(self.clock.now(), exchange.request_id, attempt.number)",
        "return True",
    ),
    Mutant(
        "a ban is not handed over",
        "serialization",
        "for server in apply_operator_orders(proxy.balancer, proxy.clock.now(), orders):",
        "for server in ():",
    ),
    Mutant(
        "an evacuation is not handed over", "serialization", "proxy.operations.evacuate(proxy.loop.time())", "pass"
    ),
    Mutant("a request id is never released", "proxy", "self._open_ids.discard(exchange.call_id)", "pass"),
    Mutant(
        "the balancer keeps requests whose attempts end late",
        "weldroute/decide",
        "if request.done:\n            if not request.open:\n                self.requests.pop(request_id, None)",
        "if request.done:\n            pass",
    ),
    Mutant(
        "the balancer is not notified that a body was released",
        "proxy",
        "self.balancer.on_body_released(exchange.request_id)",
        "pass",
    ),
    Mutant(
        "reading from a paused caller is not resumed",
        "stream",
        "if self._waiting_bytes <= MAX_WAITING_BYTES // 2:",
        "if False:",
    ),
    Mutant(
        "the other process's descriptors are not counted",
        "budget",
        "return self.used + self.used_by_others() >= self.limit",
        "return self.used >= self.limit",
    ),
    Mutant(
        "an attempt gets the whole budget",
        "proxy",
        "format_budget(max(0.0, time_left)))]",
        "format_budget(exchange.budget))]",
    ),
    Mutant(
        "a repeat is sent without its key",
        "proxy",
        'headers = [*exchange.headers, (b"x-budget"',
        'headers = [*(h for h in exchange.headers if not attempt.number or h[0] != b"idempotency-key"), (b"x-budget"',
    ),
)
QUICK = (
    "reset is reported",
    "second answer",
    "counts as up",
    "descriptor is not released",
    "truncated response counts",
)


def plant(folder: Path, mutant: Mutant) -> None:
    """Copy the code with one defect; raises ValueError unless the quoted source occurs exactly once."""
    for package in PACKAGES:
        shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__"))
    package, _, module = mutant.module.rpartition("/")
    path = folder / (package or "cometusher") / f"{module}.py"
    text = path.read_text()
    if text.count(mutant.old) != 1:
        raise ValueError(f"{mutant.name}: {mutant.old!r} is {text.count(mutant.old)} times in {mutant.module}")
    path.write_text(text.replace(mutant.old, mutant.new))


def find_seed(mutant: Mutant, limit: int, jobs: int) -> tuple[int, str, str] | None:
    """The first seed that finds a defect, its world and the rule that is violated; None if there is none."""
    with tempfile.TemporaryDirectory() as folder:
        plant(Path(folder), mutant)
        command = [
            sys.executable,
            "-m",
            "cometusher",
            "simulate",
            "--seeds",
            f"0..{limit}",
            "--jobs",
            str(jobs),
            "--first",
            "--keep",
        ]
        process = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, check=False, timeout=SEARCH_TIMEOUT
        )
        match = FOUND.search(process.stdout)
        if match is None and process.returncode != 0:
            raise RuntimeError(f"{mutant.name}: {process.stderr[-2000:]}")
        return None if match is None else (int(match[1]), match[2], match[3])


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--limit", type=int, default=500)
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=0)
    options = parser.parse_args()
    chosen = [mutant for mutant in MUTANTS if options.only in mutant.name]
    if options.quick:
        chosen = [mutant for mutant in MUTANTS if any(word in mutant.name for word in QUICK)]
    found_count = 0
    last_seed = 0
    print("| defect | seed | world | rule that it violates |\n| --- | --- | --- | --- |")
    for mutant in chosen:
        result = find_seed(mutant, options.limit, options.jobs)
        if result is not None:
            found_count += 1
            last_seed = max(last_seed, result[0])
            print(f"| {mutant.name} | {result[0]} | {result[1]} | {result[2]} |", flush=True)
        else:
            print(f"| {mutant.name} | not within {options.limit} | | |", flush=True)
    passed = found_count == len(chosen)
    print(
        f"mutants: planted={len(chosen)} found={found_count} last_seed={last_seed} limit={options.limit} "
        f"{'ok' if passed else 'short'}"
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
