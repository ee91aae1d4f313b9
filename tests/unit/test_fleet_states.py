"""The state machine of supervision, event by event; no process is started here."""

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

CALM = SupervisionPolicy(jitter=0.0)


class World:
    """A fleet on a clock of the test's own; keeps what the actions started and told."""

    def __init__(self, count: int = 1, policy: SupervisionPolicy = CALM) -> None:
        self.now = 100.0
        self.fleet = Fleet(policy, seed=1)
        self.alive: set[tuple[str, int]] = set()
        self.spawned: list[tuple[str, int]] = []
        self.told: list[tuple[str, int, ProcessCommand]] = []
        self.released: list[str] = []
        self.notices: list[Notice] = []
        self.done: dict[int, OperationDone] = {}
        for i in range(count):
            self.fleet.add(self.now, f"i{i}")

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Spawn):
                self.alive.add((action.name, action.generation))
                self.spawned.append((action.name, action.generation))
            elif isinstance(action, SendCommand):
                assert (action.name, action.generation) in self.alive, "told a process that is not there"
                self.told.append((action.name, action.generation, action.command))
            elif isinstance(action, CloseListener):
                self.released.append(action.name)
            elif isinstance(action, Notice):
                self.notices.append(action)
            else:
                assert action.operation not in self.done, "an operation ended twice"
                self.done[action.operation] = action

    def begin(self, begun: tuple[int, list[Action]]) -> int:
        self.do(begun[1])
        return begun[0]

    def start(self) -> int:
        return self.begin(self.fleet.start(self.now, list(self.fleet.instances)))

    def ready(self, name: str, generation: int) -> None:
        self.do(self.fleet.on_ready(self.now, name, generation))
        self.do(self.fleet.on_check_answered(self.now, name, generation))

    def exit(self, name: str, generation: int, how: ExitStatus | None = None) -> None:
        self.alive.remove((name, generation))
        self.do(self.fleet.on_exit(self.now, name, generation, how or ExitStatus(code=1)))

    def pass_time(self, seconds: float, lively: bool = False) -> None:
        """Ticks as the supervisor makes them; `lively` processes beat and answer meanwhile."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + 0.1)
            if lively:
                for name, generation in sorted(self.alive):
                    self.fleet.on_heartbeat(self.now, name, generation, int(self.now))
                    self.do(self.fleet.on_check_answered(self.now, name, generation))
            self.do(self.fleet.tick(self.now))

    def state(self, name: str = "i0") -> State:
        return self.fleet.instances[name].state

    def all_ready(self) -> None:
        """Start everything, in as many rounds as the limit asks for."""
        self.start()
        while any(i.state is not State.READY for i in self.fleet.instances.values()):
            for name, generation in list(self.alive):
                self.ready(name, generation)


def test_ready_takes_the_pipe_and_an_answer() -> None:
    world = World()
    operation = world.start()
    assert world.spawned == [("i0", 1)] and world.state() is State.STARTING
    world.do(world.fleet.on_ready(world.now, "i0", 1))
    assert world.state() is State.STARTING and operation not in world.done
    world.do(world.fleet.on_check_answered(world.now, "i0", 1))
    assert world.state() is State.READY and world.done[operation].ok


def test_an_answer_alone_is_not_readiness() -> None:
    world = World()
    world.start()
    world.do(world.fleet.on_check_answered(world.now, "i0", 1))
    assert world.state() is State.STARTING


def test_never_ready_is_killed_and_counts_as_an_end() -> None:
    world = World()
    world.start()
    world.pass_time(CALM.ready_within + 0.2)
    assert world.told == [("i0", 1, ProcessCommand.KILL)]
    world.exit("i0", 1, ExitStatus(signal=9))
    assert world.state() is State.WAITING
    assert "not ready within 10 s" in world.fleet.instances["i0"].reason


def test_backoff_doubles_and_starts_anew_after_a_steady_time() -> None:
    world = World(policy=SupervisionPolicy(jitter=0.0, budget=50))
    world.start()
    waits = []
    for generation in range(1, 6):
        world.exit("i0", generation)
        due = world.fleet.instances["i0"].start_due_at
        assert due is not None
        waits.append(round(due - world.now, 6))
        world.pass_time(waits[-1] + 0.1)
    assert waits == [0.2, 0.4, 0.8, 1.6, 3.2]
    world.ready("i0", 6)
    world.pass_time(world.fleet.policy.steady_after + 0.1, lively=True)
    world.exit("i0", 6)
    due = world.fleet.instances["i0"].start_due_at
    assert due is not None and round(due - world.now, 6) == 0.2


def test_jitter_spreads_the_backoff_within_its_part() -> None:
    world = World(20, SupervisionPolicy(jitter=0.25, start_at_once=20))
    world.all_ready()
    for i in range(20):
        world.exit(f"i{i}", 1)
    waits = [(i.start_due_at or 0.0) - world.now for i in world.fleet.instances.values()]
    assert len({round(wait, 6) for wait in waits}) > 10
    assert all(0.15 <= wait <= 0.25 for wait in waits)


def test_a_used_budget_ends_in_failed_with_the_reason_and_no_further_start() -> None:
    world = World(policy=SupervisionPolicy(jitter=0.0, budget=3, backoff_to=1.0))
    operation = world.start()
    for generation in range(1, 5):
        world.exit("i0", generation, ExitStatus(code=3))
        world.pass_time(1.1)
    assert world.state() is State.FAILED
    assert world.fleet.instances["i0"].reason == "ended 4 times within 120 s; last: exited with code 3"
    assert not world.done[operation].ok and "code 3" in world.done[operation].text
    world.pass_time(300.0)
    assert len(world.spawned) == 4
    assert world.released == ["i0"]
    world.start()
    assert world.state() is State.STARTING  # an operator's start is a new budget


def test_ends_outside_the_window_are_forgotten() -> None:
    world = World(policy=SupervisionPolicy(jitter=0.0, budget=2, budget_window=20.0))
    world.start()
    for generation in range(1, 8):
        world.ready("i0", generation)
        world.pass_time(15.0, lively=True)
        world.exit("i0", generation)
        world.pass_time(0.5)
    assert world.state() is State.STARTING and world.fleet.instances["i0"].restarts == 7


def test_a_long_wait_gives_the_listener_back_and_a_short_one_keeps_it() -> None:
    world = World(policy=SupervisionPolicy(jitter=0.0, hold=1.0))
    world.start()
    for generation in range(1, 4):
        world.exit("i0", generation)  # 0.2, 0.4 and 0.8 s
        world.pass_time(1.0)
    assert world.released == []
    world.exit("i0", 4)  # 1.6 s
    assert world.released == ["i0"]


def test_only_so_many_start_at_once_and_in_the_order_of_their_due_time() -> None:
    world = World(10, SupervisionPolicy(start_at_once=3))
    world.start()
    assert [name for name, _ in world.spawned] == ["i0", "i1", "i2"]
    world.ready("i1", 1)
    assert [name for name, _ in world.spawned] == ["i0", "i1", "i2", "i3"]


def test_a_hung_process_is_replaced_and_a_busy_one_is_not() -> None:
    world = World(2)
    world.all_ready()
    for _ in range(70):  # 7 s of silence; i1 uses the processor all the time
        world.pass_time(0.1)
        world.fleet.on_cpu_time(world.now, "i1", 1, world.now)
    assert world.told == [("i0", 1, ProcessCommand.KILL)]
    assert world.state("i1") is State.BUSY
    world.exit("i0", 1, ExitStatus(signal=9))
    assert world.fleet.instances["i0"].reason.startswith("hung: no sign of life")
    world.pass_time(0.3)
    assert world.fleet.instances["i0"].restarts == 1


def test_a_busy_process_that_speaks_again_is_ready_again() -> None:
    world = World()
    world.all_ready()
    for _ in range(70):
        world.pass_time(0.1)
        world.fleet.on_cpu_time(world.now, "i0", 1, world.now)
    assert world.state() is State.BUSY
    world.pass_time(0.2, lively=True)
    assert world.state() is State.READY


def test_busy_without_end_is_hung() -> None:
    world = World()
    world.all_ready()
    for _ in range(310):
        world.pass_time(0.1)
        world.fleet.on_cpu_time(world.now, "i0", 1, world.now)
    assert world.told == [("i0", 1, ProcessCommand.KILL)]


def test_alive_but_answering_nothing_is_hung_after_the_longer_time() -> None:
    """Its loop runs and beats, but no check and no request is answered."""
    world = World()
    world.all_ready()
    for _ in range(290):
        world.pass_time(0.1)
        world.fleet.on_heartbeat(world.now, "i0", 1, 0)
    assert world.state() is State.BUSY and world.told == []
    for _ in range(20):
        world.pass_time(0.1)
        world.fleet.on_heartbeat(world.now, "i0", 1, 0)
    assert world.told == [("i0", 1, ProcessCommand.KILL)]


def test_one_that_answers_requests_is_not_hung_for_unanswered_checks() -> None:
    """Full of callers, it may have no descriptor for a check."""
    world = World()
    world.all_ready()
    for i in range(600):
        world.pass_time(0.1)
        world.fleet.on_heartbeat(world.now, "i0", 1, i)
    assert world.told == [] and world.state() is State.BUSY


def test_the_supervisors_own_pause_counts_against_nobody() -> None:
    world = World(3)
    world.all_ready()
    world.pass_time(1.0, lively=True)
    world.now += 3600.0
    world.do(world.fleet.tick(world.now))
    world.pass_time(1.0)
    assert world.told == [] and any(n.event == "paused" for n in world.notices)


def test_stop_is_term_then_a_deadline_then_kill() -> None:
    world = World()
    world.all_ready()
    operation = world.begin(world.fleet.stop(world.now, ["i0"]))
    assert world.told == [("i0", 1, ProcessCommand.TERMINATE)] and world.released == ["i0"]
    world.pass_time(CALM.stop_within - 0.3)
    assert len(world.told) == 1
    world.pass_time(0.5)
    assert world.told[-1] == ("i0", 1, ProcessCommand.KILL)
    world.pass_time(60.0)
    assert len(world.told) == 2  # once
    world.exit("i0", 1, ExitStatus(signal=9))
    assert world.done[operation].ok and world.state() is State.STOPPED
    world.pass_time(60.0)
    assert len(world.spawned) == 1


def test_a_start_during_a_stop_comes_after_it() -> None:
    world = World()
    world.all_ready()
    stop = world.begin(world.fleet.stop(world.now, ["i0"]))
    start = world.begin(world.fleet.start(world.now, ["i0"]))
    assert world.spawned == [("i0", 1)]
    world.exit("i0", 1, ExitStatus(code=0))
    assert world.spawned[-1] == ("i0", 2)
    assert not world.done[stop].ok  # it was started again, and says so
    world.ready("i0", 2)
    assert world.done[start].ok and world.fleet.instances["i0"].restarts == 0


def finish_replacements(world: World) -> None:
    """Every fresh process becomes ready, every old one ends when told."""
    for _ in range(100):
        for name, generation in list(world.alive):
            process = world.fleet.instances[name].find_process(generation)
            assert process is not None
            if process.phase is Phase.STARTING:
                world.ready(name, generation)
            elif process.phase is Phase.EXITING:
                world.exit(name, generation, ExitStatus(code=0))


def test_a_rolling_restart_goes_a_few_at_a_time_and_readies_the_fresh_one_first() -> None:
    world = World(6)
    world.all_ready()
    operation = world.begin(world.fleet.restart(world.now, list(world.fleet.instances)))
    assert world.spawned[6:] == [("i0", 2), ("i1", 2)] and world.told == []
    world.ready("i0", 2)
    assert world.told == [("i0", 1, ProcessCommand.TERMINATE)]
    assert len(world.spawned) == 8  # the next one waits until the old one has ended
    world.exit("i0", 1, ExitStatus(code=0))
    assert world.spawned[-1] == ("i2", 2)
    finish_replacements(world)
    assert world.done[operation].ok and len(world.spawned) == 12
    assert all(i.restarts == 0 for i in world.fleet.instances.values())


@pytest.mark.parametrize("how", ["exits", "never ready"])
def test_a_rolling_restart_halts_when_a_fresh_process_does_not_get_ready(how: str) -> None:
    world = World(6)
    world.all_ready()
    operation = world.begin(world.fleet.restart(world.now, list(world.fleet.instances)))
    world.ready("i1", 2)
    if how == "never ready":
        world.pass_time(CALM.ready_within + 0.2, lively=True)
        assert ("i0", 2, ProcessCommand.KILL) in world.told
    world.exit("i0", 2)
    if ("i1", 1) in world.alive:
        world.exit("i1", 1, ExitStatus(code=0))
    assert not world.done[operation].ok
    assert "halted: 4 left unchanged" in world.done[operation].text
    assert world.state("i0") is State.READY and ("i0", 1) in world.alive  # the old one serves on
    world.pass_time(30.0, lively=True)
    assert len(world.spawned) == 8


def test_when_the_old_one_dies_during_a_replacement_the_fresh_one_takes_over() -> None:
    world = World()
    world.all_ready()
    operation = world.begin(world.fleet.restart(world.now, ["i0"]))
    world.exit("i0", 1, ExitStatus(signal=9))
    assert world.spawned == [("i0", 1), ("i0", 2)] and world.state() is State.STARTING
    world.ready("i0", 2)
    assert world.done[operation].ok and world.fleet.instances["i0"].restarts == 1


def test_a_reload_waits_for_a_rolling_restart() -> None:
    world = World(4)
    world.all_ready()
    restart = world.begin(world.fleet.restart(world.now, list(world.fleet.instances)))
    reload = world.begin(world.fleet.reload(world.now, [(f"i{i}", Step.RELOAD) for i in range(4)]))
    assert not any(how is ProcessCommand.RELOAD for _, _, how in world.told)
    finish_replacements(world)
    assert world.done[restart].ok and reload not in world.done
    for _ in range(4):
        for name, generation, how in list(world.told):
            if how is ProcessCommand.RELOAD:
                assert generation == 2  # the fresh processes are told, not the old ones
                world.do(world.fleet.on_reloaded(world.now, name, generation, None))
    assert world.done[reload].ok


def test_a_reload_that_an_instance_refuses_halts() -> None:
    world = World(4)
    world.all_ready()
    reload = world.begin(world.fleet.reload(world.now, [(f"i{i}", Step.RELOAD) for i in range(4)]))
    world.do(world.fleet.on_reloaded(world.now, "i0", 1, "bad"))
    world.do(world.fleet.on_reloaded(world.now, "i1", 1, None))
    assert not world.done[reload].ok
    assert "i0: bad" in world.done[reload].text and "2 left" in world.done[reload].text


def test_reload_without_an_answer_fails() -> None:
    world = World()
    world.all_ready()
    reload = world.begin(world.fleet.reload(world.now, [("i0", Step.RELOAD)]))
    world.pass_time(CALM.reload_within + 0.2, lively=True)
    assert not world.done[reload].ok and "no answer to the reload" in world.done[reload].text


def test_a_reload_replaces_one_that_is_only_starting() -> None:
    """It may have read what is old."""
    world = World()
    world.start()
    reload = world.begin(world.fleet.reload(world.now, [("i0", Step.RELOAD)]))
    assert world.told == [("i0", 1, ProcessCommand.TERMINATE)]
    world.exit("i0", 1, ExitStatus(signal=15))
    world.ready("i0", 2)
    assert world.done[reload].ok


def test_a_removed_instance_is_forgotten_and_an_added_one_starts() -> None:
    world = World()
    world.all_ready()
    world.fleet.add(world.now, "new")
    reload = world.begin(world.fleet.reload(world.now, [("i0", Step.REMOVE), ("new", Step.START)]))
    world.exit("i0", 1, ExitStatus(code=0))
    world.ready("new", 1)
    assert world.done[reload].ok and list(world.fleet.instances) == ["new"]


def test_a_rolling_restart_leaves_what_was_stopped_on_purpose() -> None:
    world = World(2)
    world.all_ready()
    world.begin(world.fleet.stop(world.now, ["i1"]))
    world.exit("i1", 1, ExitStatus(code=0))
    operation = world.begin(world.fleet.restart(world.now, ["i0", "i1"]))
    finish_replacements(world)
    assert world.done[operation].ok and world.state("i1") is State.STOPPED


def test_shutdown_ends_operations_and_starts_nothing_more() -> None:
    world = World(8, SupervisionPolicy(start_at_once=2))
    operation = world.start()
    world.do(world.fleet.shutdown(world.now))
    assert not world.done[operation].ok and "stopping" in world.done[operation].text
    for name, generation in list(world.alive):
        world.exit(name, generation, ExitStatus(signal=15))
    world.pass_time(60.0)
    assert len(world.spawned) == 2 and world.fleet.has_stopped


def test_out_of_memory_is_told_as_such() -> None:
    world = World()
    world.all_ready()
    world.do(world.fleet.on_memory_exceeded(world.now, "i0", 1, "300 MB, over 192 MB"))
    assert world.told == [("i0", 1, ProcessCommand.TERMINATE)]
    world.exit("i0", 1, ExitStatus(code=0))
    assert world.fleet.view(world.now, "i0")["last_exit"] == "code 0 (out of memory)"
    assert world.state() is State.WAITING


def test_events_of_a_process_that_is_no_more_change_nothing() -> None:
    world = World()
    world.all_ready()
    world.exit("i0", 1)
    for actions in (
        world.fleet.on_ready(world.now, "i0", 1),
        world.fleet.on_check_answered(world.now, "i0", 1),
        world.fleet.on_exit(world.now, "i0", 1, ExitStatus(code=0)),
        world.fleet.on_ready(world.now, "nobody", 1),
    ):
        assert actions == []
    assert world.state() is State.WAITING


@pytest.mark.parametrize(
    ("values", "named"),
    [
        ({"jitter": 1.5}, "jitter"),
        ({"at_once": 0}, "at_once"),
        ({"backoff_to": 0.1}, "backoff_to"),
        ({"hang_after": float("nan")}, "hang_after"),
        ({"budget": -1}, "budget"),
    ],
)
def test_a_policy_without_sense_is_named(values: dict[str, float], named: str) -> None:
    with pytest.raises(ValueError, match=named):
        Fleet(SupervisionPolicy(**values), seed=1)  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(40))
def test_what_holds_at_every_step(seed: int) -> None:
    """Random lives: no instance runs twice, limits hold, every operation ends once, and all settles."""
    rng = Random(seed)
    policy = SupervisionPolicy(
        start_at_once=3, at_once=2, budget=5, ready_within=2.0, stop_within=2.0, reload_within=1.0
    )
    world = World(6, policy)
    fleet = world.fleet
    names = list(fleet.instances)
    operations = [world.start()]
    for _ in range(400):
        draw = rng.random()
        some = rng.sample(names, rng.randint(1, 6))
        process = rng.choice(sorted(world.alive)) if world.alive else None
        if draw < 0.01:
            operations.append(world.begin(fleet.stop(world.now, some)))
        elif draw < 0.03:
            operations.append(world.begin(fleet.start(world.now, some)))
        elif draw < 0.05:
            operations.append(world.begin(fleet.restart(world.now, some)))
        elif draw < 0.07:
            steps = [(name, rng.choice([Step.RELOAD, Step.REPLACE])) for name in some]
            operations.append(world.begin(fleet.reload(world.now, steps)))
        elif draw < 0.45 and process is not None:
            world.ready(*process)
        elif draw < 0.6 and process is not None:
            world.do(fleet.on_reloaded(world.now, *process, rng.choice([None, None, "no"])))
        elif draw < 0.75 and process is not None:
            world.exit(*process, ExitStatus(code=rng.randint(0, 2)))
        else:
            world.pass_time(rng.choice([0.1, 0.5, 1.5]), lively=rng.random() < 0.8)
        for instance in fleet.instances.values():
            assert {(instance.name, p.generation) for p in instance.processes} == {
                key for key in world.alive if key[0] == instance.name
            }
            serving = [p for p in instance.processes if p.phase in (Phase.STARTING, Phase.READY)]
            assert len(serving) <= 2
            assert instance.replacement is None or instance.current is not None
        fresh = sum(i.replacement is not None for i in fleet.instances.values())
        starting = sum(p.phase is Phase.STARTING for i in fleet.instances.values() for p in i.processes)
        assert starting <= policy.start_at_once + fresh and fresh <= policy.at_once
    for _ in range(200):  # from here on everything goes well
        for key in sorted(world.alive):
            found = fleet.instances[key[0]].find_process(key[1])
            assert found is not None
            if found.phase is Phase.STARTING:
                world.ready(*key)
            elif found.phase is not Phase.READY:
                world.exit(*key, ExitStatus(code=0))
            else:
                world.do(fleet.on_reloaded(world.now, *key, None))
        world.pass_time(0.5, lively=True)
    assert sorted(world.done) == operations
    assert all(i.state in (State.READY, State.STOPPED, State.FAILED) for i in fleet.instances.values())
    world.do(fleet.shutdown(world.now))
    for key in sorted(world.alive):
        world.exit(*key, ExitStatus(code=0))
    assert fleet.has_stopped


def test_one_that_stalls_while_it_ends_is_killed_before_its_time_and_one_that_starts_too() -> None:
    world = World()
    world.start()
    world.ready("i0", 1)
    world.begin(world.fleet.restart(world.now, ["i0"]))
    world.do(world.fleet.on_stalled(world.now, "i0", 2, "stopped"))
    assert world.told == [("i0", 2, ProcessCommand.KILL)], "a fresh one"
    world.exit("i0", 2, ExitStatus(signal=9))
    world.begin(world.fleet.restart(world.now, ["i0"]))
    world.ready("i0", 3)
    assert world.told[1:] == [("i0", 1, ProcessCommand.TERMINATE)]
    world.do(world.fleet.on_stalled(world.now, "i0", 1, "stopped"))
    assert world.told[2:] == [("i0", 1, ProcessCommand.KILL)]
    assert any("stalled while exiting: stopped" in notice.text for notice in world.notices)
    world.exit("i0", 1, ExitStatus(signal=9))
    assert world.fleet.view(world.now, "i0")["restarts"] == 0 and world.fleet.instances["i0"].state is State.READY


def test_one_that_is_ready_to_run_and_gets_no_processor_is_not_hung() -> None:
    world = World(policy=SupervisionPolicy(jitter=0.0, hang_after=1.0, busy_limit=20.0))
    world.start()
    world.ready("i0", 1)
    begin = world.now
    while world.now < begin + 10.0:
        world.now += 0.1
        world.fleet.on_cpu_time(world.now, "i0", 1, 0.0, True)
        world.do(world.fleet.tick(world.now))
    assert world.told == [] and world.fleet.instances["i0"].state is State.BUSY
    world.pass_time(2.0)
    assert world.told == [("i0", 1, ProcessCommand.KILL)], "asleep, it is"


def test_a_rolling_operation_begins_a_step_only_in_its_turn_and_a_start_needs_none() -> None:
    world = World(3, SupervisionPolicy(jitter=0.0, at_once=1))
    world.fleet.may_begin_step = lambda now: False
    world.start()
    for i in range(3):
        world.ready(f"i{i}", 1)
    ident = world.begin(world.fleet.restart(world.now, list(world.fleet.instances)))
    assert world.fleet.has_rolling_operation and len(world.spawned) == 3
    world.fleet.may_begin_step = lambda now: True
    world.do(world.fleet.tick(world.now))
    assert world.spawned[3:] == [("i0", 2)]
    world.fleet.may_begin_step = lambda now: False  # it is lost in the middle of a step, which goes on
    world.ready("i0", 2)
    assert world.told == [("i0", 1, ProcessCommand.TERMINATE)]
    world.exit("i0", 1, ExitStatus(code=0))
    assert len(world.spawned) == 4 and ident not in world.done
    world.fleet.may_begin_step = lambda now: True
    for i in (1, 2):
        world.do(world.fleet.tick(world.now))
        world.ready(f"i{i}", 2)
        world.exit(f"i{i}", 1, ExitStatus(code=0))
    assert world.done[ident].ok and not world.fleet.has_rolling_operation
