"""When a partial answer is streamed, and when another attempt is sought."""

from __future__ import annotations

from weldroute.partial_answer import ALTERNATIVE_TIME, DEADLINE_LEAD, AnswerStep, PartialAnswer

PLENTY = 10.0  # seconds until the deadline


def test_slow_answer_is_streamed_once_another_attempt_had_its_time() -> None:
    """Guards against a second search for another attempt, and against an answer held back for longer than needed."""
    answer = PartialAnswer()
    assert answer.next_step(1.0, pauses=False, may_stream=True, time_left=PLENTY) is AnswerStep.WAIT
    assert answer.next_step(2.0, pauses=True, may_stream=True, time_left=PLENTY) is AnswerStep.SEEK_ALTERNATIVE
    almost, due = 2.0 + ALTERNATIVE_TIME - 0.01, 2.0 + ALTERNATIVE_TIME + 0.01
    assert answer.next_step(almost, pauses=True, may_stream=True, time_left=PLENTY) is AnswerStep.WAIT
    assert answer.next_step(due, pauses=False, may_stream=True, time_left=PLENTY) is AnswerStep.STREAM
    assert answer.next_step(due, pauses=True, may_stream=False, time_left=PLENTY) is AnswerStep.WAIT


def test_answer_is_not_held_back_beyond_its_deadline() -> None:
    answer = PartialAnswer()
    assert answer.next_step(1.0, pauses=False, may_stream=True, time_left=DEADLINE_LEAD) is AnswerStep.STREAM
    assert answer.next_step(1.0, pauses=False, may_stream=False, time_left=DEADLINE_LEAD) is AnswerStep.WAIT
