"""Runs the attempts for one request side by side until one brings the answer.

An endpoint may fall silent and go on, so an attempt that is silent stays open while
another one is sent. The first of them that has something to pass on takes the lead,
which cancels the others: no two endpoints work on a request for long, and what one
would still deliver is given up only once another one delivers.
"""

from __future__ import annotations

from collections import deque
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.tracebacks import release_frames

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from anyio.abc import TaskGroup

    from dotterelpaddle.forwarding.exchange import AttemptResult
    from dotterelpaddle.ids import EndpointId


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptSucceeded:
    """An attempt brought the complete answer.

    Attributes:
        result: The answer.
    """

    result: AttemptResult


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptFailed:
    """An attempt failed.

    Attributes:
        error: Why it failed.
    """

    error: Exception


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptSilent:
    """An attempt has brought nothing for longer than usual, and stays open.

    Attributes:
        repeated: Whether the same silence has been reported before.
    """

    repeated: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptAbandoned:
    """An attempt ended because another one goes on."""


RaceEvent = AttemptSucceeded | AttemptFailed | AttemptSilent | AttemptAbandoned
"""What happened to one of the attempts."""


class OpenAttempt:
    """One attempt of a race.

    Args:
        race: The race that it belongs to.
    """

    def __init__(self, *, race: AttemptRace) -> None:
        self._race = race
        self._silent = False
        self._endpoint: EndpointId | None = None
        self.scope = anyio.CancelScope()
        self.on_silence: Callable[[], None] = lambda: None

    @property
    def endpoint(self) -> EndpointId | None:
        """The endpoint that it was sent to, None before it is chosen."""
        return self._endpoint

    @endpoint.setter
    def endpoint(self, endpoint: EndpointId) -> None:
        self._endpoint = endpoint

    @property
    def silent(self) -> bool:
        """Whether it has brought nothing for longer than usual."""
        return self._silent

    @property
    def is_needed(self) -> bool:
        """Whether all other open attempts are silent."""
        return self._race.needs_attempt_besides(attempt=self)

    def report_silence(self) -> None:
        """Report that the endpoint has sent nothing for longer than usual."""
        event = AttemptSilent(repeated=self._silent)
        if not self._silent:
            self._silent = True
            self.on_silence()
        self._race.post(event=event)

    def report_data(self) -> None:
        """Report that the endpoint has sent something."""
        self._silent = False

    async def take_lead(self) -> None:
        """Cancel the other attempts, before passing anything on to the caller.

        Never returns if another attempt has taken the lead: data may arrive before
        the cancellation does.
        """
        if not self._race.is_open(attempt=self):
            await anyio.sleep_forever()
        self._race.cancel_others(leader=self)


class AttemptRace:
    """The attempts for one request that are open.

    Args:
        tasks: Runs the attempts.
    """

    def __init__(self, *, tasks: TaskGroup) -> None:
        self._tasks = tasks
        self._open: list[OpenAttempt] = []
        self._cancelled: list[OpenAttempt] = []
        self._events: deque[RaceEvent] = deque()
        self._posted = anyio.Event()

    @property
    def has_open_attempts(self) -> bool:
        """Whether any attempt may still bring the answer."""
        return bool(self._open)

    @property
    def needs_attempt(self) -> bool:
        """Whether all open attempts are silent, or none is open."""
        return all(attempt.silent for attempt in self._open)

    @property
    def endpoints(self) -> frozenset[EndpointId]:
        """Endpoints of the open attempts, and of those that were cancelled."""
        attempts = [*self._open, *self._cancelled]
        return frozenset(each.endpoint for each in attempts if each.endpoint)

    def needs_attempt_besides(self, *, attempt: OpenAttempt) -> bool:
        """Return whether all open attempts but one are silent."""
        return all(each.silent for each in self._open if each is not attempt)

    def is_open(self, *, attempt: OpenAttempt) -> bool:
        """Return whether an attempt may still bring the answer."""
        return attempt in self._open

    def start(
        self, *, send: Callable[[OpenAttempt], Awaitable[AttemptResult | None]]
    ) -> None:
        """Start an attempt beside those that are open.

        Args:
            send: Sends the attempt and returns its answer, None if it is not needed.
        """
        attempt = OpenAttempt(race=self)
        self._open.append(attempt)
        self._tasks.start_soon(self._run, attempt, send)

    async def next_event(self) -> RaceEvent:
        """Wait for the next event of any attempt."""
        while not self._events:
            self._posted = anyio.Event()
            await self._posted.wait()
        return self._events.popleft()

    def post(self, *, event: RaceEvent) -> None:
        """Add an event."""
        self._events.append(event)
        self._posted.set()

    def cancel_others(self, *, leader: OpenAttempt) -> None:
        """Cancel all attempts but one; nothing that they receive is passed on."""
        if len(self._open) == 1:
            return
        others = [attempt for attempt in self._open if attempt is not leader]
        for attempt in others:
            attempt.scope.cancel()
        self._cancelled += others
        self._open = [leader]

    async def _run(
        self,
        attempt: OpenAttempt,
        send: Callable[[OpenAttempt], Awaitable[AttemptResult | None]],
    ) -> None:
        event: RaceEvent = AttemptAbandoned()
        try:
            with attempt.scope:
                result = await send(attempt)
                if result is not None:
                    await attempt.take_lead()
                    event = AttemptSucceeded(result=result)
        except Exception as error:
            # The request may go on elsewhere without what this attempt has received.
            release_frames(error=error)
            event = AttemptFailed(error=error)
        except BaseException as error:
            release_frames(error=error)
            raise
        if self.is_open(attempt=attempt):
            self._open.remove(attempt)
            self.post(event=event)


@asynccontextmanager
async def open_race() -> AsyncIterator[AttemptRace]:
    """Yield a race without attempts; those still open at its end are cancelled."""
    failure: Exception | None = None
    async with anyio.create_task_group() as tasks:
        try:
            yield AttemptRace(tasks=tasks)
        except Exception as error:
            # A task group would wrap it in an exception group.
            failure = error
        tasks.cancel_scope.cancel()
    if failure is not None:
        raise failure
