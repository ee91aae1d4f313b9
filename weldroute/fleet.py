"""Supervision of a fleet of instances: when to start, restart, replace, kill and give up. Sans I/O, without clocks.

Every event is a method that takes the time (seconds of any monotonic clock) and returns the actions to carry out, in
order. An instance is a name that should run; a process is one attempt to run it, with a generation of its own. An
instance has one *current* process, at most one *replacement* that is to become the current one, and any number of
*exiting* ones.

States of an instance, and the state that each event leads to ("-": no change):

| state    | start    | ready | silent           | exit                    | stop     | replace                 |
| -------- | -------- | ----- | ---------------- | ----------------------- | -------- | ----------------------- |
| stopped  | starting | -     | -                | -                       | -        | -                       |
| waiting  | starting | -     | -                | -                       | stopped  | starting                |
| starting | -        | ready | killed: waiting  | waiting, or failed      | stopping | -                       |
| ready    | -        | -     | busy, or killed  | waiting, or failed      | stopping | ready, with replacement |
| busy     | -        | ready | killed: waiting  | waiting, or failed      | stopping | busy, with replacement  |
| stopping | starting after the exit | - | killed | stopped, or as requested meanwhile | -  | -            |
| failed   | starting | -     | -                | -                       | stopped  | starting                |

`waiting` ends when the backoff is over. An exit leads to `failed` when the restart budget is used up.

A process is *ready* when it has reported so through its pipe and has answered a readiness check. It is *hung* when
it has sent no heartbeat and answered no check for `hang_after` and has used no processor time meanwhile; one that
does use the processor is *busy*, and is hung only after `busy_limit`. Pauses of the supervisor itself are not counted
as silence of any process.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields
from enum import Enum
from random import Random
from typing import Any

from weldroute.correlated_failures import CorrelatedFailure, CorrelationPolicy, FailureCorrelator

MIN_VALUES = {"hang_after": 0.5, "ready_within": 0.1}  # seconds; below these the tick interval would decide
MIN_PAUSE = 2.0  # seconds between two ticks above which the supervisor itself must have been paused


class Phase(Enum):
    """Phase of a process."""

    STARTING = "starting"
    READY = "ready"
    EXITING = "leaving"  # was told to terminate
    KILLED = "killed"


class State(Enum):
    """State of an instance; see the module's table."""

    STOPPED = "stopped"
    WAITING = "waiting"
    STARTING = "starting"
    READY = "ready"
    BUSY = "busy"
    STOPPING = "stopping"
    FAILED = "failed"


class ProcessCommand(Enum):
    """Command to a process; the supervisor sends it as a signal."""

    TERMINATE = "end"
    KILL = "kill"
    RELOAD = "reload"


class Step(Enum):
    """What an operation does to one instance."""

    START = "start"
    STOP = "stop"
    REPLACE = "replace"
    RELOAD = "reload"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class SupervisionPolicy:
    """When to restart and how long to wait; times in seconds."""

    ready_within: float = 10.0  # from the start of a process
    start_at_once: int = 8  # maximum number of processes in their start phase
    backoff_from: float = 0.2
    backoff_to: float = 30.0
    jitter: float = 0.25  # fraction of the backoff that is randomly added or subtracted
    budget: int = 8  # restarts within budget_window; the exit after them makes the instance fail
    budget_window: float = 120.0
    steady_after: float = 10.0  # a process that was ready for this long resets the backoff
    hold: float = 1.0  # the listener stays open if the next start is at most this far away
    hang_after: float = 5.0  # without a heartbeat or an answered check
    busy_limit: float = 30.0  # likewise, while the process uses the processor
    stop_within: float = 8.0  # from the command to terminate until the kill
    reload_within: float = 5.0  # for an instance's answer to a reload
    at_once: int = 2  # instances that a rolling operation works on concurrently

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        for option in fields(self):
            value = getattr(self, option.name)
            minimum = 1.0 if option.name in ("start_at_once", "at_once") else MIN_VALUES.get(option.name, 0.0)
            if not math.isfinite(value) or value < minimum:
                raise ValueError(f"{option.name}: {value!r} is not a number of {minimum:g} or more")
        if self.jitter >= 1.0:
            raise ValueError("jitter: must be below 1")
        if self.backoff_to < self.backoff_from:
            raise ValueError("backoff_to: below backoff_from")


@dataclass(frozen=True, slots=True)
class ExitStatus:
    """How a process ended: with an exit code or by a signal."""

    code: int | None = None
    signal: int | None = None
    out_of_memory: bool = False

    def __str__(self) -> str:
        description = f"code {self.code}" if self.signal is None else f"signal {self.signal}"
        return f"{description} (out of memory)" if self.out_of_memory else description


@dataclass(frozen=True, slots=True)
class Spawn:
    """Action: start a process."""

    name: str
    generation: int


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Action: send a command to a process."""

    name: str
    generation: int
    command: ProcessCommand


@dataclass(frozen=True, slots=True)
class CloseListener:
    """Action: close the instance's listener, so that connections are refused at once instead of left waiting."""

    name: str


@dataclass(frozen=True, slots=True)
class Notice:
    """Action: report an event to operators; the name is empty if the event concerns the whole fleet."""

    name: str
    event: str
    text: str
    is_problem: bool = False


@dataclass(frozen=True, slots=True)
class OperationDone:
    """Action: report the end of an operation."""

    operation: int
    ok: bool
    text: str


Action = Spawn | SendCommand | CloseListener | Notice | OperationDone


class Process:
    """One attempt to run an instance."""

    __slots__ = (
        "answered_grew_at",
        "answered_requests",
        "busy",
        "check_answered_at",
        "cpu_grew_at",
        "cpu_seconds",
        "deadline",
        "end_reason",
        "generation",
        "heartbeat_at",
        "phase",
        "ready_at",
        "reported_ready",
        "started_at",
        "waits_for_backends",
    )

    def __init__(self, generation: int, now: float, deadline: float) -> None:
        self.generation = generation
        self.phase = Phase.STARTING
        self.started_at = now
        self.deadline = deadline  # of the current phase
        self.reported_ready = False
        self.ready_at = math.inf
        self.heartbeat_at = now  # last message through the pipe
        self.check_answered_at = -math.inf  # last answer to a readiness check
        self.cpu_seconds = 0.0  # processor time used
        self.cpu_grew_at = now
        self.answered_requests = 0
        self.answered_grew_at = now
        self.busy = False
        self.waits_for_backends = False  # it answers checks, but cannot serve requests yet
        self.end_reason = ""  # why the supervisor ends it; empty as long as it does not

    def discount_pause(self, pause: float) -> None:
        """Exclude a pause of the supervisor from all measured times: it received nothing during the pause."""
        self.deadline += pause
        self.heartbeat_at += pause
        self.check_answered_at += pause
        self.cpu_grew_at += pause
        self.answered_grew_at += pause


REASON_STOPPED, REASON_REPLACED = "asked", "replaced"
EXPECTED_REASONS = frozenset({REASON_STOPPED, REASON_REPLACED})  # exits that don't count as failures


class Instance:
    """One named member of the fleet, running or not."""

    def __init__(self, name: str, tier: int = 0) -> None:
        self.name = name
        self.tier = tier
        self.should_run = False
        self.remove_when_stopped = False
        self.current: Process | None = None
        self.replacement: Process | None = None
        self.exiting: dict[int, Process] = {}
        self.generation = 0
        self.start_due_at: float | None = None  # when to start the next process
        self.next_start_is_restart = False
        self.restarts = 0
        self.early_exits = 0  # consecutive exits before `steady_after`
        self.crash_times: deque[float] = deque()
        self.failed = False
        self.reason = ""
        self.last_exit: ExitStatus | None = None
        self.reported_state = State.STOPPED
        self.state_since = 0.0

    @property
    def processes(self) -> list[Process]:
        """All processes that have not exited."""
        return [p for p in (self.current, self.replacement) if p is not None] + list(self.exiting.values())

    @property
    def state(self) -> State:
        """Current state; see the module's table."""
        if self.current is not None:
            phase = self.current.phase
            if phase is Phase.READY:
                return State.BUSY if self.current.busy else State.READY
            return State.STARTING if phase is Phase.STARTING else State.STOPPING
        if self.failed:
            return State.FAILED
        if not self.should_run:
            return State.STOPPING if self.exiting else State.STOPPED
        return State.WAITING

    def find_process(self, generation: int) -> Process | None:
        """The process of a generation, if it has not exited."""
        return next((p for p in self.processes if p.generation == generation), None)


@dataclass
class Operation:
    """A request of the operators that is in progress."""

    operation_id: int
    label: str
    pending_steps: deque[tuple[str, Step]]
    max_concurrent: int
    total: int
    running_steps: dict[str, tuple[Step, int, float]] = field(default_factory=dict)  # step, generation, deadline
    completed: int = 0
    errors: list[str] = field(default_factory=list)

    def progress(self) -> str:
        """Progress as text for operators."""
        return f"{self.label}: {self.completed} of {self.total} done"


class Fleet:
    """All instances of one supervisor and the operations on them."""

    def __init__(
        self, policy: SupervisionPolicy, seed: int, correlation_policy: CorrelationPolicy | None = None
    ) -> None:
        policy.check()
        self.policy = policy
        self.instances: dict[str, Instance] = {}
        self.is_shutting_down = False
        self._rng = Random(seed)
        self.failure_correlator = (
            FailureCorrelator(correlation_policy, self._rng) if correlation_policy is not None else None
        )
        self._operation_count = 0
        self._last_tick_at: float | None = None
        self._immediate: list[Operation] = []  # starts and stops: they don't wait for other operations
        self._rolling: deque[Operation] = deque()  # the first is in progress, the others wait for it
        self._actions: list[Action] = []
        # Whether a rolling operation may begin a step at a time.
        self.may_begin_step: Callable[[float], bool] = lambda now: True

    # ---- commands of operators -----------------------------------------------------------

    def add(self, now: float, name: str, generation: int = 0, tier: int = 0) -> None:
        """Add an instance to the fleet without starting it. Generations continue from the one given."""
        self.instances[name] = instance = Instance(name, tier)
        instance.generation = generation
        instance.state_since = now

    def start(self, now: float, names: Iterable[str]) -> tuple[int, list[Action]]:
        """Start instances that are not running; returns the operation's id and the actions."""
        return self._begin_immediate(now, "start", [(name, Step.START) for name in names])

    def stop(self, now: float, names: Iterable[str]) -> tuple[int, list[Action]]:
        """Stop instances and leave them stopped."""
        return self._begin_immediate(now, "stop", [(name, Step.STOP) for name in names])

    def restart(self, now: float, names: Iterable[str]) -> tuple[int, list[Action]]:
        """Replace instances a few at a time: the new process is ready before the old one is told to terminate."""
        return self._begin_rolling(now, "restart", [(name, Step.REPLACE) for name in names])

    def reload(self, now: float, steps: Iterable[tuple[str, Step]]) -> tuple[int, list[Action]]:
        """Apply a new configuration to instances a few at a time, each by the step that it needs.

        An instance that is to start and is not in the fleet is added: an earlier removal may still be in progress.
        """
        return self._begin_rolling(now, "reload", list(steps))

    def shutdown(self, now: float) -> list[Action]:
        """Stop all instances for good and end all operations."""
        self.is_shutting_down = True
        for operation in [*self._immediate, *self._rolling]:
            self._actions.append(
                OperationDone(operation.operation_id, False, f"{operation.progress()}; the fleet is stopping")
            )
        self._immediate.clear()
        self._rolling.clear()
        return self.stop(now, list(self.instances))[1]

    @property
    def has_stopped(self) -> bool:
        """Whether no process is left after a shutdown."""
        return self.is_shutting_down and not any(i.processes for i in self.instances.values())

    @property
    def has_rolling_operation(self) -> bool:
        """Whether a rolling operation is in progress or waits for its turn."""
        return bool(self._rolling)

    @property
    def progress_reports(self) -> list[str]:
        """Progress of all operations in progress or waiting, as texts."""
        return [op.progress() for op in [*self._immediate, *self._rolling]]

    def _begin_immediate(self, now: float, label: str, steps: list[tuple[str, Step]]) -> tuple[int, list[Action]]:
        operation = self._new_operation(label, steps, len(steps))
        self._immediate.append(operation)
        return operation.operation_id, self._advance(now)

    def _begin_rolling(self, now: float, label: str, steps: list[tuple[str, Step]]) -> tuple[int, list[Action]]:
        operation = self._new_operation(label, steps, self.policy.at_once)
        self._rolling.append(operation)
        return operation.operation_id, self._advance(now)

    def _new_operation(self, label: str, steps: list[tuple[str, Step]], max_concurrent: int) -> Operation:
        self._operation_count += 1
        return Operation(self._operation_count, label, deque(steps), max(1, max_concurrent), len(steps))

    # ---- events of processes -------------------------------------------------------------

    def _find_process(self, name: str, generation: int) -> tuple[Instance, Process] | None:
        instance = self.instances.get(name)
        process = instance.find_process(generation) if instance is not None else None
        return (instance, process) if instance is not None and process is not None else None

    def on_spawn_failed(self, now: float, name: str, generation: int, reason: str) -> list[Action]:
        """A process could not be started."""
        found = self._find_process(name, generation)
        if found is not None:
            self._on_process_ended(now, *found, reason)
        return self._advance(now)

    def on_ready(self, now: float, name: str, generation: int) -> list[Action]:
        """A process reported through its pipe that it is ready."""
        found = self._find_process(name, generation)
        if found is not None:
            found[1].reported_ready = True
            found[1].heartbeat_at = now
            self._check_ready(now, *found)
        return self._advance(now)

    def on_check_answered(self, now: float, name: str, generation: int) -> list[Action]:
        """A process answered a readiness check."""
        found = self._find_process(name, generation)
        if found is None:
            return []
        found[1].check_answered_at = now
        found[1].waits_for_backends = False
        self._check_ready(now, *found)
        return self._advance(now)

    def on_waiting_for_backends(self, now: float, name: str, generation: int) -> None:
        """A process answered a readiness check that it is healthy but knows no backends yet.

        It is not killed for that, however long it takes, and it doesn't delay the starts of other processes.
        """
        found = self._find_process(name, generation)
        if found is not None:
            process = found[1]
            process.waits_for_backends = True
            process.check_answered_at = now
            if process.phase is Phase.STARTING:
                process.deadline = now + self.policy.ready_within

    def on_heartbeat(self, now: float, name: str, generation: int, finished: int) -> None:
        """A process sent a heartbeat; `finished` counts the requests that it has answered."""
        found = self._find_process(name, generation)
        if found is not None:
            process = found[1]
            process.heartbeat_at = now
            if finished != process.answered_requests:
                process.answered_requests, process.answered_grew_at = finished, now

    def on_cpu_time(self, now: float, name: str, generation: int, seconds: float, runnable: bool = False) -> None:
        """Record the processor time (seconds) that a process has used, and whether it is running or ready to run.

        A runnable process that is starved of processor time must not be taken for a hung one.
        """
        found = self._find_process(name, generation)
        if found is not None and (runnable or seconds > found[1].cpu_seconds):
            found[1].cpu_seconds, found[1].cpu_grew_at = seconds, now

    def silent_processes(self, now: float) -> list[tuple[str, int]]:
        """Ready processes that have been silent for a while: their processor time should be sampled."""
        return [
            (i.name, i.current.generation)
            for i in self.instances.values()
            if i.current is not None
            and i.current.phase is Phase.READY
            and now - min(i.current.heartbeat_at, i.current.check_answered_at) > self.policy.hang_after / 3.0
        ]

    def on_memory_exceeded(self, now: float, name: str, generation: int, text: str) -> list[Action]:
        """A process exceeds its memory limit: it is told to terminate, and another one is started."""
        found = self._find_process(name, generation)
        if found is not None and found[1].phase in (Phase.STARTING, Phase.READY):
            self._terminate(now, found[1], f"out of memory: {text}", name)
        return self._advance(now)

    def on_stalled(self, now: float, name: str, generation: int, reason: str) -> list[Action]:
        """The failure detector found a process stalled: it is killed, and another one is started if one is due.

        An exiting process is killed before its deadline: it will not exit by itself, and others can finish its
        requests.
        """
        found = self._find_process(name, generation)
        if found is not None and found[1].phase in (Phase.STARTING, Phase.READY):
            self._kill(found[1], found[0], f"stalled: {reason}")
        elif found is not None and found[1].phase is Phase.EXITING:
            self._actions.append(
                Notice(name, "killed", f"generation {generation}: stalled while exiting: {reason}", True)
            )
            self._kill(found[1], found[0], found[1].end_reason)
        return self._advance(now)

    def on_reloaded(self, now: float, name: str, generation: int, error: str | None) -> list[Action]:
        """A process answered a reload; `error` is None if it succeeded."""
        for operation in [*self._immediate, *self._rolling]:
            step = operation.running_steps.get(name)
            if step is not None and step[:2] == (Step.RELOAD, generation):
                self._step_done(operation, name, error and f"{name}: {error}")
        return self._advance(now)

    def on_exit(self, now: float, name: str, generation: int, status: ExitStatus) -> list[Action]:
        """A process has exited."""
        found = self._find_process(name, generation)
        if found is not None:
            instance, process = found
            if process.end_reason.startswith("out of memory"):
                status = ExitStatus(status.code, status.signal, True)
            instance.last_exit = status
            reason = process.end_reason if process.end_reason and process.end_reason not in EXPECTED_REASONS else ""
            self._on_process_ended(
                now, instance, process, f"{reason} ({status})" if reason else f"exited with {status}"
            )
        return self._advance(now)

    def tick(self, now: float) -> list[Action]:
        """Apply all time limits; to be called several times a second."""
        gap = now - (now if self._last_tick_at is None else self._last_tick_at)
        self._last_tick_at = now
        if gap > MIN_PAUSE:
            self._actions.append(Notice("", "paused", f"the supervisor itself was paused for {gap:.1f} s"))
            for instance in self.instances.values():
                for process in instance.processes:
                    process.discount_pause(gap)
        for instance in self.instances.values():
            for process in instance.processes:
                self._check_time_limits(now, instance, process)
        return self._advance(now)

    # ---- decisions -----------------------------------------------------------------------

    def _check_ready(self, now: float, instance: Instance, process: Process) -> None:
        if (
            process.phase is not Phase.STARTING
            or not process.reported_ready
            or process.check_answered_at < process.started_at
        ):
            return
        process.phase = Phase.READY
        process.ready_at = process.heartbeat_at = process.cpu_grew_at = process.answered_grew_at = now
        if process is instance.replacement:
            old, instance.current, instance.replacement = instance.current, process, None
            if old is not None:
                instance.exiting[old.generation] = old
                self._terminate(now, old, REASON_REPLACED, instance.name)

    def _check_time_limits(self, now: float, instance: Instance, process: Process) -> None:
        """Apply the time limits to one process."""
        policy = self.policy
        if process.phase is Phase.STARTING:
            if now >= process.deadline:
                self._kill(process, instance, f"not ready within {policy.ready_within:g} s")
        elif process.phase is Phase.EXITING:
            if now >= process.deadline:
                text = f"did not end within {policy.stop_within:g} s"
                self._actions.append(Notice(instance.name, "killed", text, True))
                self._kill(process, instance, process.end_reason)
        elif process.phase is Phase.READY:
            self._check_liveness(now, instance, process)

    def _check_liveness(self, now: float, instance: Instance, process: Process) -> None:
        policy = self.policy
        silent = now - max(process.heartbeat_at, process.check_answered_at)
        unanswered = now - max(process.check_answered_at, process.ready_at)
        idle = now - process.cpu_grew_at  # since it was last seen using the processor
        if silent > policy.hang_after and idle > policy.hang_after:
            self._kill(process, instance, f"hung: no sign of life for {silent:.1f} s and no processor time used")
        elif silent > policy.busy_limit:
            self._kill(process, instance, f"hung: no sign of life for {silent:.1f} s, busy all the time")
        elif unanswered > policy.busy_limit and now - process.answered_grew_at > policy.busy_limit:
            self._kill(process, instance, f"hung: alive, but no request answered for {unanswered:.1f} s")
        else:
            process.busy = max(silent, unanswered) > policy.hang_after

    def _kill(self, process: Process, instance: Instance, reason: str) -> None:
        if process.phase is Phase.KILLED:
            return
        process.phase = Phase.KILLED
        process.end_reason = reason
        if reason not in EXPECTED_REASONS:
            self._actions.append(
                Notice(instance.name, "replaced", f"generation {process.generation}: {reason}", True)
            )
        self._actions.append(SendCommand(instance.name, process.generation, ProcessCommand.KILL))

    def _terminate(self, now: float, process: Process, reason: str, name: str) -> None:
        if process.phase in (Phase.EXITING, Phase.KILLED):
            return
        process.phase = Phase.EXITING
        process.end_reason = reason
        process.deadline = now + self.policy.stop_within
        self._actions.append(SendCommand(name, process.generation, ProcessCommand.TERMINATE))

    def _on_process_ended(self, now: float, instance: Instance, process: Process, reason: str) -> None:
        """Decide what follows the exit of a process."""
        was_ready = process.ready_at <= now
        if not was_ready and process.end_reason not in EXPECTED_REASONS:
            self._step_failed(instance.name, process.generation, reason)
        if process is instance.replacement:
            instance.replacement = None
            self._actions.append(
                Notice(instance.name, "exited", f"the replacement {reason}; the old process stays", True)
            )
            return
        if process is not instance.current:
            instance.exiting.pop(process.generation, None)
            return
        instance.current = None
        if not instance.should_run or process.end_reason in EXPECTED_REASONS:
            instance.start_due_at = now if instance.should_run else None
            return
        self._on_crash(now, instance, process, reason)

    def _on_crash(self, now: float, instance: Instance, process: Process, reason: str) -> None:
        policy = self.policy
        instance.reason = reason
        instance.next_start_is_restart = True
        instance.crash_times.append(now)
        while instance.crash_times[0] <= now - policy.budget_window:
            instance.crash_times.popleft()
        steady = now - process.ready_at >= policy.steady_after
        instance.early_exits = 1 if steady else instance.early_exits + 1
        failure = self._correlated_failure(now, instance, process)
        if instance.replacement is not None:
            instance.current, instance.replacement = instance.replacement, None
            instance.restarts += 1
            instance.next_start_is_restart = False
            self._actions.append(Notice(instance.name, "exited", f"{reason}; the replacement takes over", True))
        elif failure is not None:
            self._schedule_recovery(now, failure)
        elif len(instance.crash_times) > policy.budget:
            instance.failed = True
            instance.reason = (
                f"ended {len(instance.crash_times)} times within {policy.budget_window:g} s; last: {reason}"
            )
            instance.start_due_at = None
            self._actions.append(Notice(instance.name, "failed", instance.reason, True))
            self._actions.append(CloseListener(instance.name))
        else:
            delay = self._backoff(instance.early_exits)
            instance.start_due_at = now + delay
            self._actions.append(Notice(instance.name, "exited", f"{reason}; next start in {delay:.2f} s", True))
            if delay > policy.hold:
                self._actions.append(CloseListener(instance.name))

    def _correlated_failure(self, now: float, instance: Instance, process: Process) -> CorrelatedFailure | None:
        """The correlated failure that an exit is part of, if restart budgets and backoffs don't count it."""
        if self.failure_correlator is None or process.end_reason or instance.last_exit is None:
            return None
        status = instance.last_exit
        previous = self.failure_correlator.latest
        failure = self.failure_correlator.on_exit(
            now, instance.name, len(self.instances), status.signal, status.out_of_memory
        )
        if failure is None:
            return None
        forgiven = self.failure_correlator.is_forgiven(now, self.policy.budget_window)
        if failure is not previous:
            text = (
                f"{len(failure.names)} of {failure.fleet_size} ended within "
                f"{self.failure_correlator.policy.within:g} s, {failure.cause}"
            )
            text += "; budgets are not charged" if forgiven else "; too many such failures: budgets are charged"
            self._actions.append(Notice("", "blow", text, True))
        if not forgiven:
            return None
        for name in failure.names if failure is not previous else (instance.name,):
            affected = self.instances.get(name)
            if affected is not None and affected.crash_times:
                affected.crash_times.pop()
                affected.early_exits = max(0, affected.early_exits - 1)
        return failure

    def _schedule_recovery(self, now: float, failure: CorrelatedFailure) -> None:
        """Schedule staggered starts of the instances that a correlated failure ended and that are still down."""
        assert self.failure_correlator is not None
        stopped = [
            instance
            for name in failure.names
            if (instance := self.instances.get(name)) is not None and instance.current is None and instance.should_run
        ]
        start_times = self.failure_correlator.schedule_starts(
            failure, [(instance.name, instance.tier) for instance in stopped]
        )
        for instance in stopped:
            instance.failed = False
            instance.next_start_is_restart = True
            instance.start_due_at = max(now, start_times[instance.name])

    def _backoff(self, early_exits: int) -> float:
        """Seconds until the next start: exponential, with jitter so that instances don't restart in step."""
        policy = self.policy
        delay = min(policy.backoff_to, policy.backoff_from * 2.0 ** min(early_exits - 1, 60))
        return delay * (1.0 + policy.jitter * (2.0 * self._rng.random() - 1.0))

    # ---- operations ----------------------------------------------------------------------

    def _advance(self, now: float) -> list[Action]:
        """Advance operations, start due instances, report state changes; returns the collected actions."""
        for operation in list(self._immediate):
            self._advance_operation(now, operation)
            if not operation.running_steps and not operation.pending_steps:
                self._immediate.remove(operation)
                self._finish(operation)
        while self._rolling:
            operation = self._rolling[0]
            self._advance_operation(now, operation)
            if operation.running_steps or operation.pending_steps:
                break
            self._rolling.popleft()
            self._finish(operation)
        self._start_due(now)
        for instance in list(self.instances.values()):
            self._report_state_change(now, instance)
        actions, self._actions = self._actions, []
        return actions

    def _finish(self, operation: Operation) -> None:
        ok = not operation.errors
        text = operation.progress()
        if not ok:
            text += "; " + "; ".join(operation.errors)
        self._actions.append(OperationDone(operation.operation_id, ok, text))

    def _advance_operation(self, now: float, operation: Operation) -> None:
        for name in list(operation.running_steps):
            self._check_step(now, operation, name)
        if operation.errors and operation.pending_steps and operation in self._rolling:
            operation.errors.append(f"halted: {len(operation.pending_steps)} left unchanged")
            operation.pending_steps.clear()
        while operation.pending_steps and len(operation.running_steps) < operation.max_concurrent:
            if operation in self._rolling and not self.may_begin_step(now):
                return  # steps in progress continue: the replacement is ready before the old process exits
            name, step = operation.pending_steps.popleft()
            if name not in self.instances:
                if step is not Step.START:
                    operation.total -= 1
                    continue
                self.add(now, name)
            self._begin_step(now, operation, name, step)
            self._check_step(now, operation, name)

    def _begin_step(self, now: float, operation: Operation, name: str, step: Step) -> None:
        instance = self.instances[name]
        generation = 0
        deadline = math.inf
        if step is Step.RELOAD and (instance.current is None or instance.current.phase is not Phase.READY):
            step = Step.REPLACE  # it cannot handle a reload now; a new process reads the new configuration
        if step is Step.REPLACE and not instance.should_run:
            operation.total -= 1  # stopped on purpose: its next start reads the new configuration
            return
        if step is Step.START:
            self._request_start(now, instance)
        elif step in (Step.STOP, Step.REMOVE):
            self._request_stop(now, instance)
            instance.remove_when_stopped = step is Step.REMOVE
        elif step is Step.REPLACE:
            generation = self._replace(now, instance)
        elif instance.current is not None:
            generation = instance.current.generation
            deadline = now + self.policy.reload_within
            self._actions.append(SendCommand(name, generation, ProcessCommand.RELOAD))
        operation.running_steps[name] = (step, generation, deadline)

    def _request_start(self, now: float, instance: Instance) -> None:
        instance.should_run = True
        instance.remove_when_stopped = False
        if instance.failed or (instance.current is None and instance.start_due_at is None):
            instance.failed = False
            instance.crash_times.clear()
            instance.early_exits = 0
            instance.start_due_at = now

    def _request_stop(self, now: float, instance: Instance) -> None:
        instance.should_run = instance.failed = instance.next_start_is_restart = False
        instance.start_due_at = None
        # At once: the processes keep accepting from their own copies of the listener while they run.
        self._actions.append(CloseListener(instance.name))
        if instance.replacement is not None:
            instance.exiting[instance.replacement.generation], instance.replacement = instance.replacement, None
        for process in instance.processes:
            self._terminate(now, process, REASON_STOPPED, instance.name)

    def _replace(self, now: float, instance: Instance) -> int:
        """Start a replacement beside the current process; returns the generation that must become ready."""
        if instance.current is None:
            self._request_start(now, instance)
            instance.start_due_at = now
            return instance.generation + 1
        if instance.replacement is not None:
            return instance.replacement.generation
        if instance.current.phase is not Phase.READY:
            # A starting process may have read the old configuration, and it has no requests to finish.
            self._terminate(now, instance.current, REASON_REPLACED, instance.name)
            return instance.generation + 1
        instance.replacement = self._spawn(now, instance)
        return instance.replacement.generation

    def _check_step(self, now: float, operation: Operation, name: str) -> None:
        """End an operation's step on an instance if it has succeeded or failed."""
        if name not in operation.running_steps:
            return
        step, generation, deadline = operation.running_steps[name]
        instance = self.instances.get(name)
        if instance is None:
            self._step_done(operation, name, None if step in (Step.REMOVE, Step.STOP) else f"{name}: removed")
        elif step in (Step.STOP, Step.REMOVE):
            if not instance.processes:
                if instance.remove_when_stopped:
                    del self.instances[name]
                self._step_done(operation, name, f"{name}: started again" if instance.should_run else None)
        elif not instance.should_run:
            self._step_done(operation, name, f"{name}: stopped meanwhile")
        elif instance.failed:
            self._step_done(operation, name, f"{name}: failed: {instance.reason}")
        elif step is Step.RELOAD:
            if instance.find_process(generation) is None:
                self._step_done(operation, name, f"{name}: ended during the reload")
            elif now >= deadline:
                within = self.policy.reload_within
                self._step_done(operation, name, f"{name}: no answer to the reload within {within:g} s")
        else:
            current = instance.current
            ready = current is not None and current.phase is Phase.READY and current.generation >= generation
            if ready and not any(exiting < generation for exiting in instance.exiting):
                self._step_done(operation, name, None)

    @staticmethod
    def _step_done(operation: Operation, name: str, error: str | None) -> None:
        operation.running_steps.pop(name, None)
        if error is None:
            operation.completed += 1
        else:
            operation.errors.append(error)

    def _step_failed(self, name: str, generation: int, reason: str) -> None:
        """A process exited before it was ready: fail the replacement steps that wait for it."""
        for operation in self._rolling:
            step = operation.running_steps.get(name)
            if step is not None and step[:2] == (Step.REPLACE, generation):
                self._step_done(operation, name, f"{name}: the replacement {reason}")

    # ---- starting ------------------------------------------------------------------------

    def _spawn(self, now: float, instance: Instance) -> Process:
        instance.generation += 1
        self._actions.append(Spawn(instance.name, instance.generation))
        return Process(instance.generation, now, now + self.policy.ready_within)

    def _start_due(self, now: float) -> None:
        """Start due instances, the longest overdue first, up to `start_at_once` at a time."""
        if self.is_shutting_down:
            return
        due_instances = [
            (i.start_due_at, i.name)
            for i in self.instances.values()
            if i.start_due_at is not None and i.start_due_at <= now
        ]
        waiting = sorted(due_instances, key=lambda pair: pair[0])  # stable: ties keep the order of the configuration
        if not waiting:
            return
        starting = sum(
            p.phase is Phase.STARTING and not p.waits_for_backends
            for i in self.instances.values()
            for p in i.processes
        )
        for _, name in waiting[: max(0, self.policy.start_at_once - starting)]:
            instance = self.instances[name]
            instance.start_due_at = None
            if instance.current is not None:
                continue
            if instance.next_start_is_restart:
                instance.next_start_is_restart = False
                instance.restarts += 1
            instance.current = self._spawn(now, instance)

    def _report_state_change(self, now: float, instance: Instance) -> None:
        state = instance.state
        if state is instance.reported_state:
            return
        instance.reported_state, instance.state_since = state, now
        is_problem = state in (State.FAILED, State.BUSY)
        text = f"generation {instance.generation}" if state is not State.FAILED else instance.reason
        self._actions.append(Notice(instance.name, state.value, text, is_problem))

    # ---- reporting -----------------------------------------------------------------------

    def view(self, now: float, name: str) -> dict[str, Any]:
        """One instance's state as plain values; `since` is the number of seconds spent in that state."""
        instance = self.instances[name]
        current = instance.current
        return {
            "name": name,
            "state": instance.state.value,
            "since": round(now - instance.state_since, 3),
            "generation": current.generation if current else instance.generation,
            "restarts": instance.restarts,
            "last_exit": str(instance.last_exit) if instance.last_exit else None,
            "reason": instance.reason or None,
            "next_start": round(instance.start_due_at - now, 3) if instance.start_due_at else None,
            "processes": len(instance.processes),
        }
