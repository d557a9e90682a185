"""Attempts that run side by side, of which one takes the lead."""

from __future__ import annotations

import anyio
import pytest

from dotterelpaddle.forwarding.attempt_race import (
    AttemptFailed,
    AttemptRace,
    AttemptSilent,
    AttemptSucceeded,
    OpenAttempt,
    open_race,
)
from dotterelpaddle.forwarding.exchange import StreamedAnswer

pytestmark = pytest.mark.anyio


class Call:
    """An attempt whose endpoint sends what the test says."""

    def __init__(self, race: AttemptRace) -> None:
        self.attempt: OpenAttempt | None = None
        self.data = anyio.Event()
        self.passed_on = False
        race.start(send=self._send)

    async def _send(self, attempt: OpenAttempt) -> StreamedAnswer:
        self.attempt = attempt
        await self.data.wait()
        await attempt.take_lead()
        self.passed_on = True
        return StreamedAnswer()


async def _start_two(race: AttemptRace) -> tuple[Call, Call]:
    """Start an attempt, and another one once the first is silent."""
    first = Call(race)
    await anyio.wait_all_tasks_blocked()
    assert first.attempt is not None
    first.attempt.report_silence()
    assert await race.next_event() == AttemptSilent(repeated=False)
    assert race.needs_attempt
    second = Call(race)
    await anyio.wait_all_tasks_blocked()
    return first, second


@pytest.mark.parametrize("leader", [0, 1])
async def test_first_attempt_to_deliver_cancels_the_other(leader: int) -> None:
    async with open_race() as race:
        calls = await _start_two(race)
        assert not race.needs_attempt
        calls[leader].data.set()
        event = await race.next_event()
        await anyio.wait_all_tasks_blocked()

    assert event == AttemptSucceeded(result=StreamedAnswer())
    assert [call.passed_on for call in calls] == [leader == 0, leader == 1]


# Guards against events that callers get twice, as two endpoints deliver at once.
async def test_only_one_of_two_attempts_that_deliver_at_once_passes_on() -> None:
    async with open_race() as race:
        calls = await _start_two(race)
        for call in calls:
            call.data.set()
        await race.next_event()
        await anyio.wait_all_tasks_blocked()

    assert sum(call.passed_on for call in calls) == 1


async def test_silent_attempt_that_goes_on_needs_no_other() -> None:
    async with open_race() as race:
        call = Call(race)
        await anyio.wait_all_tasks_blocked()
        assert call.attempt is not None
        call.attempt.report_silence()
        call.attempt.report_data()

        assert not race.needs_attempt


async def test_failure_of_one_attempt_leaves_the_other_open() -> None:
    error = ValueError("the attempt failed")

    async def _fail(attempt: OpenAttempt) -> StreamedAnswer:
        raise error

    async with open_race() as race:
        Call(race)
        race.start(send=_fail)
        event = await race.next_event()

        assert event == AttemptFailed(error=error)
        assert race.has_open_attempts


async def test_errors_leave_a_race_as_they_are() -> None:
    with pytest.raises(ValueError, match="the request failed"):
        async with open_race() as race:
            Call(race)
            raise ValueError("the request failed")
