"""Tests the supervision state machine event by event; no process is started here."""

from __future__ import annotations

from random import Random

import pytest

from weldroute.fleet import (
    Action,
    CloseListener,
    ExitStatus,
    Fleet,
    Notice,
    OperationDone,
    Phase,
    ProcessCommand,
    SendCommand,
    Spawn,
    State,
    Step,
    SupervisionPolicy,
)

NO_JITTER = SupervisionPolicy(jitter=0.0)


class FleetHarness:
    """A fleet with a simulated clock; records the actions that it returns."""

    def __init__(self, count: int = 1, policy: SupervisionPolicy = NO_JITTER) -> None:
        self.now = 100.0
        self.fleet = Fleet(policy, seed=1)
        self.running: set[tuple[str, int]] = set()
        self.spawned: list[tuple[str, int]] = []
        self.commands: list[tuple[str, int, ProcessCommand]] = []
        self.closed_listeners: list[str] = []
        self.notices: list[Notice] = []
        self.finished: dict[int, OperationDone] = {}
        for i in range(count):
            self.fleet.add(self.now, f"i{i}")

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Spawn):
                self.running.add((action.name, action.generation))
                self.spawned.append((action.name, action.generation))
            elif isinstance(action, SendCommand):
                assert (action.name, action.generation) in self.running, "command to a process that does not exist"
                self.commands.append((action.name, action.generation, action.command))
            elif isinstance(action, CloseListener):
                self.closed_listeners.append(action.name)
            elif isinstance(action, Notice):
                self.notices.append(action)
            else:
                assert action.operation not in self.finished, "an operation ended twice"
                self.finished[action.operation] = action

    def start_operation(self, started: tuple[int, list[Action]]) -> int:
        self.apply(started[1])
        return started[0]

    def start_all(self) -> int:
        return self.start_operation(self.fleet.start(self.now, list(self.fleet.instances)))

    def make_ready(self, name: str, generation: int) -> None:
        self.apply(self.fleet.on_ready(self.now, name, generation))
        self.apply(self.fleet.on_check_answered(self.now, name, generation))

    def end_process(self, name: str, generation: int, status: ExitStatus | None = None) -> None:
        self.running.remove((name, generation))
        self.apply(self.fleet.on_exit(self.now, name, generation, status or ExitStatus(code=1)))

    def advance(self, seconds: float, responsive: bool = False) -> None:
        """Tick as the supervisor does; `responsive` processes send heartbeats and answer checks meanwhile."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + 0.1)
            if responsive:
                for name, generation in sorted(self.running):
                    self.fleet.on_heartbeat(self.now, name, generation, int(self.now))
                    self.apply(self.fleet.on_check_answered(self.now, name, generation))
            self.apply(self.fleet.tick(self.now))

    def state(self, name: str = "i0") -> State:
        return self.fleet.instances[name].state

    def start_and_make_ready(self) -> None:
        """Start all instances and make them ready, in as many rounds as the start limit requires."""
        self.start_all()
        while any(i.state is not State.READY for i in self.fleet.instances.values()):
            for name, generation in list(self.running):
                self.make_ready(name, generation)


def test_ready_requires_pipe_message_and_answered_check() -> None:
    harness = FleetHarness()
    operation = harness.start_all()
    assert harness.spawned == [("i0", 1)] and harness.state() is State.STARTING
    harness.apply(harness.fleet.on_ready(harness.now, "i0", 1))
    assert harness.state() is State.STARTING and operation not in harness.finished
    harness.apply(harness.fleet.on_check_answered(harness.now, "i0", 1))
    assert harness.state() is State.READY and harness.finished[operation].ok


def test_answered_check_alone_is_not_ready() -> None:
    harness = FleetHarness()
    harness.start_all()
    harness.apply(harness.fleet.on_check_answered(harness.now, "i0", 1))
    assert harness.state() is State.STARTING


def test_process_that_never_gets_ready_is_killed_and_counted() -> None:
    harness = FleetHarness()
    harness.start_all()
    harness.advance(NO_JITTER.ready_within + 0.2)
    assert harness.commands == [("i0", 1, ProcessCommand.KILL)]
    harness.end_process("i0", 1, ExitStatus(signal=9))
    assert harness.state() is State.WAITING
    assert "not ready within 10 s" in harness.fleet.instances["i0"].reason


def test_backoff_doubles_and_resets_after_a_steady_time() -> None:
    harness = FleetHarness(policy=SupervisionPolicy(jitter=0.0, budget=50))
    harness.start_all()
    delays = []
    for generation in range(1, 6):
        harness.end_process("i0", generation)
        due = harness.fleet.instances["i0"].start_due_at
        assert due is not None
        delays.append(round(due - harness.now, 6))
        harness.advance(delays[-1] + 0.1)
    assert delays == [0.2, 0.4, 0.8, 1.6, 3.2]
    harness.make_ready("i0", 6)
    harness.advance(harness.fleet.policy.steady_after + 0.1, responsive=True)
    harness.end_process("i0", 6)
    due = harness.fleet.instances["i0"].start_due_at
    assert due is not None and round(due - harness.now, 6) == 0.2


def test_jitter_spreads_the_backoff_within_its_fraction() -> None:
    harness = FleetHarness(20, SupervisionPolicy(jitter=0.25, start_at_once=20))
    harness.start_and_make_ready()
    for i in range(20):
        harness.end_process(f"i{i}", 1)
    delays = [(i.start_due_at or 0.0) - harness.now for i in harness.fleet.instances.values()]
    assert len({round(wait, 6) for wait in delays}) > 10
    assert all(0.15 <= wait <= 0.25 for wait in delays)


def test_exhausted_budget_fails_with_a_reason_and_no_further_start() -> None:
    harness = FleetHarness(policy=SupervisionPolicy(jitter=0.0, budget=3, backoff_to=1.0))
    operation = harness.start_all()
    for generation in range(1, 5):
        harness.end_process("i0", generation, ExitStatus(code=3))
        harness.advance(1.1)
    assert harness.state() is State.FAILED
    assert harness.fleet.instances["i0"].reason == "ended 4 times within 120 s; last: exited with code 3"
    assert not harness.finished[operation].ok and "code 3" in harness.finished[operation].text
    harness.advance(300.0)
    assert len(harness.spawned) == 4
    assert harness.closed_listeners == ["i0"]
    harness.start_all()
    assert harness.state() is State.STARTING  # a start by an operator resets the budget


def test_exits_outside_the_budget_window_are_not_counted() -> None:
    harness = FleetHarness(policy=SupervisionPolicy(jitter=0.0, budget=2, budget_window=20.0))
    harness.start_all()
    for generation in range(1, 8):
        harness.make_ready("i0", generation)
        harness.advance(15.0, responsive=True)
        harness.end_process("i0", generation)
        harness.advance(0.5)
    assert harness.state() is State.STARTING and harness.fleet.instances["i0"].restarts == 7


def test_long_backoff_closes_the_listener_and_short_one_keeps_it() -> None:
    harness = FleetHarness(policy=SupervisionPolicy(jitter=0.0, hold=1.0))
    harness.start_all()
    for generation in range(1, 4):
        harness.end_process("i0", generation)  # 0.2, 0.4 and 0.8 s
        harness.advance(1.0)
    assert harness.closed_listeners == []
    harness.end_process("i0", 4)  # 1.6 s
    assert harness.closed_listeners == ["i0"]


def test_concurrent_starts_are_limited_and_ordered_by_due_time() -> None:
    harness = FleetHarness(10, SupervisionPolicy(start_at_once=3))
    harness.start_all()
    assert [name for name, _ in harness.spawned] == ["i0", "i1", "i2"]
    harness.make_ready("i1", 1)
    assert [name for name, _ in harness.spawned] == ["i0", "i1", "i2", "i3"]


def test_hung_process_is_replaced_and_busy_one_is_not() -> None:
    harness = FleetHarness(2)
    harness.start_and_make_ready()
    for _ in range(70):  # 7 s of silence; i1 uses the processor all the time
        harness.advance(0.1)
        harness.fleet.on_cpu_time(harness.now, "i1", 1, harness.now)
    assert harness.commands == [("i0", 1, ProcessCommand.KILL)]
    assert harness.state("i1") is State.BUSY
    harness.end_process("i0", 1, ExitStatus(signal=9))
    assert harness.fleet.instances["i0"].reason.startswith("hung: no sign of life")
    harness.advance(0.3)
    assert harness.fleet.instances["i0"].restarts == 1


def test_busy_process_that_responds_again_is_ready_again() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    for _ in range(70):
        harness.advance(0.1)
        harness.fleet.on_cpu_time(harness.now, "i0", 1, harness.now)
    assert harness.state() is State.BUSY
    harness.advance(0.2, responsive=True)
    assert harness.state() is State.READY


def test_process_that_stays_busy_beyond_the_limit_is_hung() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    for _ in range(310):
        harness.advance(0.1)
        harness.fleet.on_cpu_time(harness.now, "i0", 1, harness.now)
    assert harness.commands == [("i0", 1, ProcessCommand.KILL)]


def test_live_process_that_answers_nothing_is_hung_after_the_busy_limit() -> None:
    """Its event loop runs and sends heartbeats, but no check and no request is answered."""
    harness = FleetHarness()
    harness.start_and_make_ready()
    for _ in range(290):
        harness.advance(0.1)
        harness.fleet.on_heartbeat(harness.now, "i0", 1, 0)
    assert harness.state() is State.BUSY and harness.commands == []
    for _ in range(20):
        harness.advance(0.1)
        harness.fleet.on_heartbeat(harness.now, "i0", 1, 0)
    assert harness.commands == [("i0", 1, ProcessCommand.KILL)]


def test_process_that_answers_requests_is_not_hung_for_unanswered_checks() -> None:
    """A process at its connection limit may have no descriptor for a check."""
    harness = FleetHarness()
    harness.start_and_make_ready()
    for i in range(600):
        harness.advance(0.1)
        harness.fleet.on_heartbeat(harness.now, "i0", 1, i)
    assert harness.commands == [] and harness.state() is State.BUSY


def test_pause_of_the_supervisor_is_not_counted_as_silence() -> None:
    harness = FleetHarness(3)
    harness.start_and_make_ready()
    harness.advance(1.0, responsive=True)
    harness.now += 3600.0
    harness.apply(harness.fleet.tick(harness.now))
    harness.advance(1.0)
    assert harness.commands == [] and any(n.event == "paused" for n in harness.notices)


def test_stop_terminates_and_kills_after_the_deadline() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    operation = harness.start_operation(harness.fleet.stop(harness.now, ["i0"]))
    assert harness.commands == [("i0", 1, ProcessCommand.TERMINATE)] and harness.closed_listeners == ["i0"]
    harness.advance(NO_JITTER.stop_within - 0.3)
    assert len(harness.commands) == 1
    harness.advance(0.5)
    assert harness.commands[-1] == ("i0", 1, ProcessCommand.KILL)
    harness.advance(60.0)
    assert len(harness.commands) == 2  # once
    harness.end_process("i0", 1, ExitStatus(signal=9))
    assert harness.finished[operation].ok and harness.state() is State.STOPPED
    harness.advance(60.0)
    assert len(harness.spawned) == 1


def test_start_during_a_stop_follows_the_stop() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    stop = harness.start_operation(harness.fleet.stop(harness.now, ["i0"]))
    start = harness.start_operation(harness.fleet.start(harness.now, ["i0"]))
    assert harness.spawned == [("i0", 1)]
    harness.end_process("i0", 1, ExitStatus(code=0))
    assert harness.spawned[-1] == ("i0", 2)
    assert not harness.finished[stop].ok  # it reports that the instance was started again
    harness.make_ready("i0", 2)
    assert harness.finished[start].ok and harness.fleet.instances["i0"].restarts == 0


def finish_replacements(harness: FleetHarness) -> None:
    """Make every replacement ready and end every old process that was told to terminate."""
    for _ in range(100):
        for name, generation in list(harness.running):
            process = harness.fleet.instances[name].find_process(generation)
            assert process is not None
            if process.phase is Phase.STARTING:
                harness.make_ready(name, generation)
            elif process.phase is Phase.EXITING:
                harness.end_process(name, generation, ExitStatus(code=0))


def test_rolling_restart_is_limited_and_waits_for_each_replacement() -> None:
    harness = FleetHarness(6)
    harness.start_and_make_ready()
    operation = harness.start_operation(harness.fleet.restart(harness.now, list(harness.fleet.instances)))
    assert harness.spawned[6:] == [("i0", 2), ("i1", 2)] and harness.commands == []
    harness.make_ready("i0", 2)
    assert harness.commands == [("i0", 1, ProcessCommand.TERMINATE)]
    assert len(harness.spawned) == 8  # the next replacement waits until the old process has exited
    harness.end_process("i0", 1, ExitStatus(code=0))
    assert harness.spawned[-1] == ("i2", 2)
    finish_replacements(harness)
    assert harness.finished[operation].ok and len(harness.spawned) == 12
    assert all(i.restarts == 0 for i in harness.fleet.instances.values())


@pytest.mark.parametrize("failure", ["exits", "never ready"])
def test_rolling_restart_halts_when_a_replacement_does_not_get_ready(failure: str) -> None:
    harness = FleetHarness(6)
    harness.start_and_make_ready()
    operation = harness.start_operation(harness.fleet.restart(harness.now, list(harness.fleet.instances)))
    harness.make_ready("i1", 2)
    if failure == "never ready":
        harness.advance(NO_JITTER.ready_within + 0.2, responsive=True)
        assert ("i0", 2, ProcessCommand.KILL) in harness.commands
    harness.end_process("i0", 2)
    if ("i1", 1) in harness.running:
        harness.end_process("i1", 1, ExitStatus(code=0))
    assert not harness.finished[operation].ok
    assert "halted: 4 left unchanged" in harness.finished[operation].text
    assert harness.state("i0") is State.READY and ("i0", 1) in harness.running  # the old process keeps serving
    harness.advance(30.0, responsive=True)
    assert len(harness.spawned) == 8


def test_replacement_takes_over_when_the_old_process_crashes() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    operation = harness.start_operation(harness.fleet.restart(harness.now, ["i0"]))
    harness.end_process("i0", 1, ExitStatus(signal=9))
    assert harness.spawned == [("i0", 1), ("i0", 2)] and harness.state() is State.STARTING
    harness.make_ready("i0", 2)
    assert harness.finished[operation].ok and harness.fleet.instances["i0"].restarts == 1


def test_reload_waits_for_a_rolling_restart() -> None:
    harness = FleetHarness(4)
    harness.start_and_make_ready()
    restart = harness.start_operation(harness.fleet.restart(harness.now, list(harness.fleet.instances)))
    reload = harness.start_operation(harness.fleet.reload(harness.now, [(f"i{i}", Step.RELOAD) for i in range(4)]))
    assert not any(command is ProcessCommand.RELOAD for _, _, command in harness.commands)
    finish_replacements(harness)
    assert harness.finished[restart].ok and reload not in harness.finished
    for _ in range(4):
        for name, generation, command in list(harness.commands):
            if command is ProcessCommand.RELOAD:
                assert generation == 2  # only the replacements are told to reload
                harness.apply(harness.fleet.on_reloaded(harness.now, name, generation, None))
    assert harness.finished[reload].ok


def test_reload_refused_by_an_instance_halts() -> None:
    harness = FleetHarness(4)
    harness.start_and_make_ready()
    reload = harness.start_operation(harness.fleet.reload(harness.now, [(f"i{i}", Step.RELOAD) for i in range(4)]))
    harness.apply(harness.fleet.on_reloaded(harness.now, "i0", 1, "bad"))
    harness.apply(harness.fleet.on_reloaded(harness.now, "i1", 1, None))
    assert not harness.finished[reload].ok
    assert "i0: bad" in harness.finished[reload].text and "2 left" in harness.finished[reload].text


def test_reload_without_an_answer_fails() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    reload = harness.start_operation(harness.fleet.reload(harness.now, [("i0", Step.RELOAD)]))
    harness.advance(NO_JITTER.reload_within + 0.2, responsive=True)
    assert not harness.finished[reload].ok and "no answer to the reload" in harness.finished[reload].text


def test_reload_replaces_a_starting_process() -> None:
    """A starting process may have read the old configuration."""
    harness = FleetHarness()
    harness.start_all()
    reload = harness.start_operation(harness.fleet.reload(harness.now, [("i0", Step.RELOAD)]))
    assert harness.commands == [("i0", 1, ProcessCommand.TERMINATE)]
    harness.end_process("i0", 1, ExitStatus(signal=15))
    harness.make_ready("i0", 2)
    assert harness.finished[reload].ok


def test_reload_removes_and_adds_instances() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    harness.fleet.add(harness.now, "new")
    reload = harness.start_operation(harness.fleet.reload(harness.now, [("i0", Step.REMOVE), ("new", Step.START)]))
    harness.end_process("i0", 1, ExitStatus(code=0))
    harness.make_ready("new", 1)
    assert harness.finished[reload].ok and list(harness.fleet.instances) == ["new"]


def test_rolling_restart_skips_instances_stopped_on_purpose() -> None:
    harness = FleetHarness(2)
    harness.start_and_make_ready()
    harness.start_operation(harness.fleet.stop(harness.now, ["i1"]))
    harness.end_process("i1", 1, ExitStatus(code=0))
    operation = harness.start_operation(harness.fleet.restart(harness.now, ["i0", "i1"]))
    finish_replacements(harness)
    assert harness.finished[operation].ok and harness.state("i1") is State.STOPPED


def test_shutdown_ends_operations_and_starts_nothing() -> None:
    harness = FleetHarness(8, SupervisionPolicy(start_at_once=2))
    operation = harness.start_all()
    harness.apply(harness.fleet.shutdown(harness.now))
    assert not harness.finished[operation].ok and "stopping" in harness.finished[operation].text
    for name, generation in list(harness.running):
        harness.end_process(name, generation, ExitStatus(signal=15))
    harness.advance(60.0)
    assert len(harness.spawned) == 2 and harness.fleet.has_stopped


def test_out_of_memory_is_reported() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    harness.apply(harness.fleet.on_memory_exceeded(harness.now, "i0", 1, "300 MB, over 192 MB"))
    assert harness.commands == [("i0", 1, ProcessCommand.TERMINATE)]
    harness.end_process("i0", 1, ExitStatus(code=0))
    assert harness.fleet.view(harness.now, "i0")["last_exit"] == "code 0 (out of memory)"
    assert harness.state() is State.WAITING


def test_events_of_an_exited_process_are_ignored() -> None:
    harness = FleetHarness()
    harness.start_and_make_ready()
    harness.end_process("i0", 1)
    for actions in (
        harness.fleet.on_ready(harness.now, "i0", 1),
        harness.fleet.on_check_answered(harness.now, "i0", 1),
        harness.fleet.on_exit(harness.now, "i0", 1, ExitStatus(code=0)),
        harness.fleet.on_ready(harness.now, "nobody", 1),
    ):
        assert actions == []
    assert harness.state() is State.WAITING


@pytest.mark.parametrize(
    ("values", "invalid_field"),
    [
        ({"jitter": 1.5}, "jitter"),
        ({"at_once": 0}, "at_once"),
        ({"backoff_to": 0.1}, "backoff_to"),
        ({"hang_after": float("nan")}, "hang_after"),
        ({"budget": -1}, "budget"),
    ],
)
def test_invalid_policy_field_is_named(values: dict[str, float], invalid_field: str) -> None:
    with pytest.raises(ValueError, match=invalid_field):
        Fleet(SupervisionPolicy(**values), seed=1)  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(40))
def test_invariants_hold_at_every_step_of_random_events(seed: int) -> None:
    """Random events: no instance runs twice, limits hold, every operation ends once, and the fleet settles."""
    rng = Random(seed)
    policy = SupervisionPolicy(
        start_at_once=3, at_once=2, budget=5, ready_within=2.0, stop_within=2.0, reload_within=1.0
    )
    harness = FleetHarness(6, policy)
    fleet = harness.fleet
    names = list(fleet.instances)
    operations = [harness.start_all()]
    for _ in range(400):
        draw = rng.random()
        sample = rng.sample(names, rng.randint(1, 6))
        process = rng.choice(sorted(harness.running)) if harness.running else None
        if draw < 0.01:
            operations.append(harness.start_operation(fleet.stop(harness.now, sample)))
        elif draw < 0.03:
            operations.append(harness.start_operation(fleet.start(harness.now, sample)))
        elif draw < 0.05:
            operations.append(harness.start_operation(fleet.restart(harness.now, sample)))
        elif draw < 0.07:
            steps = [(name, rng.choice([Step.RELOAD, Step.REPLACE])) for name in sample]
            operations.append(harness.start_operation(fleet.reload(harness.now, steps)))
        elif draw < 0.45 and process is not None:
            harness.make_ready(*process)
        elif draw < 0.6 and process is not None:
            harness.apply(fleet.on_reloaded(harness.now, *process, rng.choice([None, None, "no"])))
        elif draw < 0.75 and process is not None:
            harness.end_process(*process, ExitStatus(code=rng.randint(0, 2)))
        else:
            harness.advance(rng.choice([0.1, 0.5, 1.5]), responsive=rng.random() < 0.8)
        for instance in fleet.instances.values():
            assert {(instance.name, p.generation) for p in instance.processes} == {
                key for key in harness.running if key[0] == instance.name
            }
            serving = [p for p in instance.processes if p.phase in (Phase.STARTING, Phase.READY)]
            assert len(serving) <= 2
            assert instance.replacement is None or instance.current is not None
        fresh = sum(i.replacement is not None for i in fleet.instances.values())
        starting = sum(p.phase is Phase.STARTING for i in fleet.instances.values() for p in i.processes)
        assert starting <= policy.start_at_once + fresh and fresh <= policy.at_once
    for _ in range(200):  # no more failures from here on
        for key in sorted(harness.running):
            process_found = fleet.instances[key[0]].find_process(key[1])
            assert process_found is not None
            if process_found.phase is Phase.STARTING:
                harness.make_ready(*key)
            elif process_found.phase is not Phase.READY:
                harness.end_process(*key, ExitStatus(code=0))
            else:
                harness.apply(fleet.on_reloaded(harness.now, *key, None))
        harness.advance(0.5, responsive=True)
    assert sorted(harness.finished) == operations
    assert all(i.state in (State.READY, State.STOPPED, State.FAILED) for i in fleet.instances.values())
    harness.apply(fleet.shutdown(harness.now))
    for key in sorted(harness.running):
        harness.end_process(*key, ExitStatus(code=0))
    assert fleet.has_stopped


def test_stalled_process_is_killed_early_while_exiting_or_starting() -> None:
    harness = FleetHarness()
    harness.start_all()
    harness.make_ready("i0", 1)
    harness.start_operation(harness.fleet.restart(harness.now, ["i0"]))
    harness.apply(harness.fleet.on_stalled(harness.now, "i0", 2, "stopped"))
    assert harness.commands == [("i0", 2, ProcessCommand.KILL)], "a starting replacement"
    harness.end_process("i0", 2, ExitStatus(signal=9))
    harness.start_operation(harness.fleet.restart(harness.now, ["i0"]))
    harness.make_ready("i0", 3)
    assert harness.commands[1:] == [("i0", 1, ProcessCommand.TERMINATE)]
    harness.apply(harness.fleet.on_stalled(harness.now, "i0", 1, "stopped"))
    assert harness.commands[2:] == [("i0", 1, ProcessCommand.KILL)]
    assert any("stalled while exiting: stopped" in notice.text for notice in harness.notices)
    harness.end_process("i0", 1, ExitStatus(signal=9))
    assert (
        harness.fleet.view(harness.now, "i0")["restarts"] == 0 and harness.fleet.instances["i0"].state is State.READY
    )


def test_runnable_process_without_processor_time_is_not_hung() -> None:
    harness = FleetHarness(policy=SupervisionPolicy(jitter=0.0, hang_after=1.0, busy_limit=20.0))
    harness.start_all()
    harness.make_ready("i0", 1)
    begin = harness.now
    while harness.now < begin + 10.0:
        harness.now += 0.1
        harness.fleet.on_cpu_time(harness.now, "i0", 1, 0.0, True)
        harness.apply(harness.fleet.tick(harness.now))
    assert harness.commands == [] and harness.fleet.instances["i0"].state is State.BUSY
    harness.advance(2.0)
    assert harness.commands == [("i0", 1, ProcessCommand.KILL)], "a sleeping process is hung"


def test_rolling_steps_begin_only_when_allowed_and_starts_always() -> None:
    harness = FleetHarness(3, SupervisionPolicy(jitter=0.0, at_once=1))
    harness.fleet.may_begin_step = lambda now: False
    harness.start_all()
    for i in range(3):
        harness.make_ready(f"i{i}", 1)
    ident = harness.start_operation(harness.fleet.restart(harness.now, list(harness.fleet.instances)))
    assert harness.fleet.has_rolling_operation and len(harness.spawned) == 3
    harness.fleet.may_begin_step = lambda now: True
    harness.apply(harness.fleet.tick(harness.now))
    assert harness.spawned[3:] == [("i0", 2)]
    harness.fleet.may_begin_step = lambda now: False  # permission is lost during a step, which continues
    harness.make_ready("i0", 2)
    assert harness.commands == [("i0", 1, ProcessCommand.TERMINATE)]
    harness.end_process("i0", 1, ExitStatus(code=0))
    assert len(harness.spawned) == 4 and ident not in harness.finished
    harness.fleet.may_begin_step = lambda now: True
    for i in (1, 2):
        harness.apply(harness.fleet.tick(harness.now))
        harness.make_ready(f"i{i}", 2)
        harness.end_process(f"i{i}", 1, ExitStatus(code=0))
    assert harness.finished[ident].ok and not harness.fleet.has_rolling_operation
