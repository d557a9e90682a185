"""The crashes, attempts and answers of what may crash endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.causes import Suspicion
from dotterelpaddle.crashes.note import CrashNote, NoteKind
from dotterelpaddle.forwarding.report_state import ReportState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.ids import EndpointId

REPORT_INTERVAL_SECONDS = 2.0
"""Seconds between reports of a subject's crashes, for routers cut off or new."""

ONE_CRASH_INTERVAL_SECONDS = 10.0
"""Same for a subject with one crash; callers retry few of these requests."""


@dataclass(kw_only=True, slots=True)
class Event:
    """An event of a subject, and the progress of reporting it.

    Attributes:
        at: When it happened, seconds on the monotonic clock.
        begun: Whether the answer had begun at the endpoint, without any output yet.
        report_state: Progress of reporting it.
    """

    at: float
    begun: bool = False
    report_state: ReportState = field(default_factory=ReportState)


@dataclass(kw_only=True, slots=True)
class Suspect:
    """The crashes and attempts of one subject.

    Attributes:
        crashes: Crashes by the incarnation that crashed.
        attempts: Attempts in flight by the incarnation that runs them.
        served: The last answer, None without any.
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

    @property
    def suspicion(self) -> Suspicion:
        """Evidence that the subject caused the crashes."""
        return Suspicion(
            crashed_endpoints=frozenset(self.crashes),
            begun_count=sum(event.begun for event in self.crashes.values()),
        )

    def attempts_since(self, *, at: float) -> int:
        """Return the number of attempts in flight that began after a time."""
        return sum(
            event.at > at and endpoint not in self.crashes
            for endpoint, event in self.attempts.items()
        )

    def forget_before(self, *, at: float) -> None:
        """Remove crashes and attempts up to a time."""
        for events in (self.crashes, self.attempts):
            for endpoint in [each for each in events if events[each].at <= at]:
                del events[endpoint]

    def reportable(self, *, subject: CrashSubject) -> Iterator[ReportableEvent]:
        """Return all events that a report may contain."""
        crash_count = len(self.crashes)
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
                )
        if self.served is not None:
            yield ReportableEvent(
                kind=NoteKind.SERVED,
                subject=subject,
                endpoint=None,
                event=self.served,
                crash_count=crash_count,
            )


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportableEvent:
    """An event that a report may contain, and its priority.

    Attributes:
        kind: Kind of event.
        subject: Its request or prompt part.
        endpoint: Incarnation that crashed or runs an attempt; None if served.
        event: The event.
        crash_count: Crashes of the subject; the more, the earlier it is reported.
    """

    kind: NoteKind
    subject: CrashSubject
    endpoint: EndpointId | None
    event: Event
    crash_count: int

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
            begun=self.event.begun,
        )
