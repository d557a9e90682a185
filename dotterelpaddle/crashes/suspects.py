"""The crashes, attempts and answers of what may crash endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.causes import MIN_SPAN_SECONDS, Suspicion
from dotterelpaddle.crashes.note import CrashNote, NoteKind
from dotterelpaddle.crashes.subjects import AnySubject
from dotterelpaddle.forwarding.report_state import ReportState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.ids import EndpointId

RECENT_ANSWER_SECONDS = 30.0
"""Seconds after a complete answer to a request with a part in which the part counts as
one that endpoints serve. A sound part that few requests have is answered more often."""

TRIAL_SECONDS = 2.0
"""Seconds after the crashes of a part with recent answers until an attempt may run."""

MIN_IN_TURN = 2
"""Attempts that began one after the crash of the other, which need no later crash. What
most requests share runs at all endpoints before the first of them crashes."""

REPORT_INTERVAL_SECONDS = 2.0
"""Seconds between reports of a subject's crashes, for routers cut off or new."""

ONE_CRASH_INTERVAL_SECONDS = 10.0
"""Same for a subject with one crash; callers retry few of these requests."""


@dataclass(kw_only=True, slots=True)
class Event:
    """An event of a subject, and the progress of reporting it.

    Attributes:
        at: When it happened, seconds on the monotonic clock.
        began_at: For a prompt part, when the attempt began; otherwise the same time.
        begun: Whether the answer had begun at the endpoint, without any output yet.
        report_state: Progress of reporting it.
    """

    at: float
    began_at: float
    begun: bool = False
    report_state: ReportState = field(default_factory=ReportState)


@dataclass(kw_only=True, slots=True)
class Suspect:
    """The crashes and attempts of one subject.

    Attributes:
        crashes: Crashes by the incarnation that crashed. An answer removes those of
            attempts that began no later than its own.
        attempts: Attempts in flight by the incarnation that runs them.
        served: The complete answer whose attempt began last, None without any.
    """

    crashes: dict[EndpointId, Event] = field(default_factory=dict)
    attempts: dict[EndpointId, Event] = field(default_factory=dict)
    served: Event | None = None

    @property
    def crashed_at(self) -> float:
        """Time of the last crash."""
        return max(
            (event.at for event in self.crashes.values()),
            default=float("-inf"),
        )

    @property
    def last_seen_at(self) -> float:
        """Time of the last crash or answer."""
        served = self.served.at if self.served is not None else float("-inf")
        return max(self.crashed_at, served)

    def suspicion(self, *, now: float) -> Suspicion:
        """Return the evidence that the subject caused the crashes."""
        times = self._crash_times
        in_turn = self._crashes_in_turn()
        last = now if in_turn >= MIN_IN_TURN else max(times, default=now)
        return Suspicion(
            crashed_endpoints=frozenset(self.crashes),
            begun_count=sum(event.begun for event in self.crashes.values()),
            span=last - min(times, default=now),
            in_turn=in_turn,
            was_answered=self.was_answered,
        )

    def conclusive_at(self) -> float | None:
        """Return when the evidence is conclusive by time alone, None if it never is."""
        if not self.was_answered or self._crashes_in_turn() < MIN_IN_TURN:
            return None
        return self._crash_times[0] + MIN_SPAN_SECONDS

    @property
    def was_answered(self) -> bool:
        """Whether a complete answer came shortly before the first crash."""
        times = self._crash_times
        return (
            self.served is not None
            and bool(times)
            and times[0] - self.served.at <= RECENT_ANSWER_SECONDS
        )

    @property
    def failed_trials(self) -> int:
        """Number of crashes after a pause that was long enough for a trial."""
        pauses = (later - earlier for earlier, later in pairwise(self._crash_times))
        return sum(pause >= TRIAL_SECONDS for pause in pauses)

    @property
    def _crash_times(self) -> list[float]:
        return sorted(event.at for event in self.crashes.values())

    def _crashes_in_turn(self) -> int:
        """Return how many crashed attempts began one after the other, at most."""
        count, last_crash_at = 0, float("-inf")
        for event in sorted(self.crashes.values(), key=lambda each: each.at):
            if event.began_at >= last_crash_at:
                count, last_crash_at = count + 1, event.at
        return count

    def attempts_since(self, *, at: float) -> int:
        """Return the number of attempts in flight that began after a time."""
        return sum(
            event.at > at and endpoint not in self.crashes
            for endpoint, event in self.attempts.items()
        )

    def forget_before(self, *, began_at: float) -> bool:
        """Remove what began up to a time; return whether there was anything."""
        forgotten = False
        for events in (self.crashes, self.attempts):
            old = [each for each in events if events[each].began_at <= began_at]
            for endpoint in old:
                del events[endpoint]
                forgotten = True
        return forgotten

    def reportable(
        self, *, subject: CrashSubject | AnySubject
    ) -> Iterator[ReportableEvent]:
        """Return all events that a report may contain."""
        crash_count, was_answered = len(self.crashes), self.was_answered
        for kind, events in (
            (NoteKind.ENDED, self.crashes),
            (NoteKind.TRIED, self.attempts),
        ):
            for endpoint, event in events.items():
                yield ReportableEvent(
                    kind=kind,
                    subject=subject,
                    endpoint=endpoint,
                    event=event,
                    crash_count=crash_count,
                    was_answered=was_answered,
                )
        if self.served is not None:
            yield ReportableEvent(
                kind=NoteKind.SERVED,
                subject=subject,
                endpoint=None,
                event=self.served,
                crash_count=crash_count,
                was_answered=was_answered,
            )


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportableEvent:
    """An event that a report may contain, and its priority.

    Attributes:
        kind: Kind of event.
        subject: Its request or prompt part, or any that ran.
        endpoint: Incarnation that crashed or runs an attempt; None if served.
        event: The event.
        crash_count: Crashes of the subject; the more, the earlier it is reported.
        was_answered: Whether the subject was answered shortly before, so that it is
            probably sound and is reported later.
    """

    kind: NoteKind
    subject: CrashSubject | AnySubject
    endpoint: EndpointId | None
    event: Event
    crash_count: int
    was_answered: bool

    @property
    def priority(self) -> tuple[int, bool, int]:
        """Sort key; events to report first have a greater one."""
        return (
            0 if isinstance(self.subject, AnySubject) else self.crash_count,
            not self.was_answered,
            self.event.report_state.reports_left,
        )

    def is_due(self, *, now: float) -> bool:
        """Return whether it is new, or a crash whose last report is old."""
        interval = (
            REPORT_INTERVAL_SECONDS
            if self.crash_count > 1
            else ONE_CRASH_INTERVAL_SECONDS
        )
        if self.kind is not NoteKind.ENDED:
            interval = float("inf")
        return self.event.report_state.is_due(now=now, interval=interval)

    def note(self, *, now: float) -> CrashNote:
        """Return the event as a note to other routers."""
        return CrashNote(
            kind=self.kind,
            subject=self.subject,
            endpoint=self.endpoint,
            age=now - self.event.at,
            attempt_seconds=self.event.at - self.event.began_at,
            begun=self.event.begun,
        )
