"""Tracks what was running when endpoints crashed, and blocks the causes.

A request may crash every endpoint that runs it. Its caller retries with a new id at any
router, so routers track it by its fingerprint and report to each other. Most requests
that ran during a crash didn't cause it; a complete answer clears them at all routers.

A part of a prompt may crash every endpoint that runs a request with it, at any moment
of the answer, and no two of these requests need be alike. Most parts are sound and
bring complete answers all the time: an answer clears a part of the crashes of attempts
that began before its own.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.blocks import (
    MIN_CRASHES_TO_BLOCK,
    block_time,
    blocked_error,
)
from dotterelpaddle.crashes.current_causes import SETTLE_SECONDS, CurrentCauses
from dotterelpaddle.crashes.note import CrashNote, NoteKind
from dotterelpaddle.crashes.served_parts import ServedParts
from dotterelpaddle.crashes.subjects import (
    AnySubject,
    PartSubject,
    RequestSubject,
    fingerprint_text,
    part_text,
)
from dotterelpaddle.crashes.suspect_table import SuspectTable
from dotterelpaddle.crashes.suspects import Event, ReportableEvent, Suspect
from dotterelpaddle.forwarding.report_state import ReportState
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)

SUSPICION_SECONDS = 60.0
"""Seconds from the last crash of a subject until its crashes expire, plus any block."""

MAX_ATTEMPT_SECONDS = 3.0
"""Seconds an attempt counts as in flight; by then a stream has begun or is queued."""

MIN_WAIT_SECONDS = 1.0
"""Minimum retry-after, also while the request has an attempt in flight elsewhere."""

MAX_CRASHED_ENDPOINTS = 256
"""Endpoints whose last crash a router remembers, 30 KB."""

MAX_NOTES_PER_REPORT = 12
"""Maximum number of notes in one report, 0.7 KB."""

MAX_NOTES_FOR_NEW_ROUTER = 36
"""Maximum number of notes in the report to a router that has just started."""


class CrashTracker:
    """Tracks what was running during crashes, and blocks the causes.

    Args:
        clock: Monotonic clock.
        may_try_parts: Returns whether this router is the one that sends an attempt with
            a prompt part whose block has ended.
    """

    def __init__(
        self, *, clock: Clock, may_try_parts: Callable[[], bool] = lambda: True
    ) -> None:
        self._clock = clock
        self._may_try_parts = may_try_parts
        self._suspects = SuspectTable(on_removal=lambda: self._causes.invalidate())
        self._served_parts = ServedParts()
        self._all_crashes = Suspect()
        self._causes = CurrentCauses(
            suspects=lambda: self._suspects.all,
            all_crashes=self._all_crashes,
            clock=clock,
        )

    @property
    def suspect_count(self) -> int:
        """Number of requests and parts that were running during a recent crash."""
        return sum(bool(suspect.crashes) for suspect in self._suspects.all.values())

    @property
    def causes(self) -> frozenset[CrashSubject]:
        """The subjects that are blocked or may run one more attempt."""
        return self._causes.subjects

    @property
    def settled_causes(self) -> frozenset[CrashSubject]:
        """Those that other routers had time to object to."""
        return frozenset(each for each in self.causes if self._causes.is_settled(each))

    @property
    def blocked_count(self) -> int:
        """Number of requests and parts that are blocked or may run one attempt."""
        return len(self.causes)

    @property
    def blocked_part_count(self) -> int:
        """Number of prompt parts among them."""
        return sum(isinstance(each, PartSubject) for each in self.causes)

    def check(self, *, subject: CrashSubject) -> None:
        """Refuse a request or a prompt part that causes crashes.

        Raises:
            RequestBlocked: If it may not go to an endpoint now.
        """
        suspect = self._suspects.get(subject)
        if suspect is None or not suspect.crashes:
            return
        now = self._clock()
        live = suspect.attempts_since(at=now - MAX_ATTEMPT_SECONDS)
        if subject in self.causes:
            left = (
                suspect.crashed_at + block_time(subject=subject, suspect=suspect) - now
            )
            if left > 0.0 or live or not self._may_try(subject):
                wait = max(left, MIN_WAIT_SECONDS)
                if isinstance(subject, PartSubject) and not self._causes.is_settled(
                    subject
                ):
                    wait = SETTLE_SECONDS
                raise blocked_error(suspect=suspect, attempts=live, wait=wait, now=now)
        elif self._causes.would_include(subject=subject, suspect=suspect, live=live):
            raise blocked_error(
                suspect=suspect, attempts=live, wait=MIN_WAIT_SECONDS, now=now
            )

    def begin_attempt(self, *, subject: CrashSubject, endpoint: EndpointId) -> None:
        """Record an attempt of a suspect, which other routers take into account."""
        suspect = self._suspects.get(subject)
        if suspect is None or not suspect.crashes:
            return
        if not suspect.was_answered or subject in self.causes:
            now = self._clock()
            suspect.attempts[endpoint] = Event(at=now, began_at=now)

    def end_attempt(self, *, subject: CrashSubject, endpoint: EndpointId) -> None:
        """Record that an attempt ended without a crash."""
        suspect = self._suspects.get(subject)
        if suspect is not None:
            suspect.attempts.pop(endpoint, None)

    def record_crash(
        self,
        *,
        subject: CrashSubject,
        endpoint: EndpointId,
        at: float,
        begun: bool,
        began_at: float | None = None,
    ) -> None:
        """Record that an endpoint crashed while it ran a request.

        Args:
            subject: The request, or a part of its prompt.
            endpoint: The incarnation.
            at: Time of the crash.
            begun: Whether the answer had begun, without any output yet.
            began_at: When the attempt began, for a part; None if that is not known.
        """
        began_at = at if began_at is None else began_at
        self._remember_crash(endpoint, Event(at=at, began_at=at))
        event = Event(at=at, began_at=began_at, begun=begun)
        self._apply_crash(subject, endpoint, event)

    def record_served(
        self, *, subject: CrashSubject, began_at: float | None = None
    ) -> None:
        """Record that an endpoint gave a complete answer.

        Args:
            subject: The request, or a part of its prompt.
            began_at: When the attempt began, for a part; None for now.
        """
        now = self._clock()
        answer = Event(at=now, began_at=now if began_at is None else began_at)
        self._served_parts.record(subject=subject, answer=answer)
        suspect = self._suspects.get(subject)
        if suspect is not None and suspect.crashes:
            self._clear(subject, suspect, replace(answer))

    def receive(self, *, notes: Iterable[CrashNote], forward: bool) -> None:
        """Record the events that another router reported.

        Args:
            notes: The reported events.
            forward: Whether this router forwards them to other routers.
        """
        now = self._clock()
        for note in notes:
            state = (
                ReportState()
                if forward
                else ReportState(reports_left=0, reported_at=now)
            )
            at = now - note.age
            event = Event(
                at=at,
                began_at=at - note.attempt_seconds,
                begun=note.begun,
                report_state=state,
            )
            self._apply(note, event)

    def take_due_notes(self) -> list[CrashNote]:
        """Return the notes for the next report, those with most crashes first."""
        now = self._clock()
        self._expire(now=now)
        due = [each for each in self._events() if each.is_due(now=now)]
        due.sort(key=lambda each: each.priority, reverse=True)
        reported = due[:MAX_NOTES_PER_REPORT]
        for each in reported:
            each.event.report_state.mark_reported(now=now)
        return [each.note(now=now) for each in reported]

    def notes_for_new_router(self) -> list[CrashNote]:
        """Return the notes for a router that has just started and knows none."""
        now = self._clock()
        self._expire(now=now)
        known = sorted(self._events(), key=lambda each: each.priority, reverse=True)
        return [each.note(now=now) for each in known[:MAX_NOTES_FOR_NEW_ROUTER]]

    def notes_of_causes(self) -> list[CrashNote]:
        """Return the notes of the crashes of all causes."""
        now = self._clock()
        return [
            event.note(now=now)
            for subject in self.causes
            for event in self._suspects.all[subject].reportable(subject=subject)
            if event.kind is NoteKind.ENDED
        ]

    def _apply(self, note: CrashNote, event: Event) -> None:
        match note.kind, note.subject:
            case NoteKind.ENDED, AnySubject() if note.endpoint:
                self._remember_crash(note.endpoint, event)
            case _, AnySubject():
                pass
            case NoteKind.ENDED, subject if note.endpoint:
                self._apply_crash(subject, note.endpoint, event)
            case NoteKind.TRIED, subject if note.endpoint:
                self._apply_attempt(subject, note.endpoint, event)
            case NoteKind.SERVED, subject:
                suspect = self._suspects.get(subject)
                if suspect is not None:
                    self._clear(subject, suspect, event)

    def _apply_crash(
        self, subject: CrashSubject, endpoint: EndpointId, event: Event
    ) -> None:
        suspect = self._suspects.add(subject)
        self._apply_served_part(subject, suspect)
        served = suspect.served
        if served is not None and served.began_at >= event.began_at:
            # The sender of the report hasn't received the note about the answer.
            served.report_state.report_again()
            log.info(
                "crash_not_counted",
                fingerprint=fingerprint_text(subject),
                part=part_text(subject),
                endpoint=endpoint,
                seconds_ago=round(self._clock() - event.at, 3),
                answered_seconds_ago=round(self._clock() - served.at, 3),
            )
            return
        known = suspect.crashes.get(endpoint)
        if known is not None:
            # Of several attempts at an endpoint the first one counts.
            if event.began_at < known.began_at:
                known.began_at = event.began_at
                known.report_state.report_again()
            return
        suspect.crashes[endpoint] = event
        suspect.attempts.pop(endpoint, None)
        self._causes.invalidate()
        self._suspects.limit()
        log.info(
            "request_suspected",
            fingerprint=fingerprint_text(subject),
            part=part_text(subject),
            endpoint=endpoint,
            seconds_ago=round(self._clock() - event.at, 3),
            begun=event.begun,
            ended=len(suspect.crashes),
        )

    def _apply_attempt(
        self, subject: CrashSubject, endpoint: EndpointId, event: Event
    ) -> None:
        suspect = self._suspects.add(subject)
        served = suspect.served
        is_outdated = served is not None and served.began_at >= event.began_at
        if not is_outdated and endpoint not in suspect.crashes:
            suspect.attempts.setdefault(endpoint, event)
        self._suspects.limit()

    def _apply_served_part(self, subject: CrashSubject, suspect: Suspect) -> None:
        """Let the last answer to a request with a part count, if it is a later one."""
        answer = self._served_parts.answer_to(subject=subject)
        if answer is not None:
            self._clear(subject, suspect, answer)

    def _remember_crash(self, endpoint: EndpointId, event: Event) -> None:
        """Remember a crash whatever becomes of the suspicion against what ran."""
        crashes = self._all_crashes.crashes
        if endpoint in crashes:
            return
        crashes[endpoint] = event
        if len(crashes) > MAX_CRASHED_ENDPOINTS:
            del crashes[next(iter(crashes))]
        self._causes.invalidate()

    def _clear(self, subject: CrashSubject, suspect: Suspect, event: Event) -> None:
        if suspect.served is not None and suspect.served.began_at >= event.began_at:
            return
        # Causes are sought only for a suspect that may be one, as that takes long.
        was_blocked = (
            len(suspect.crashes) >= MIN_CRASHES_TO_BLOCK and subject in self.causes
        )
        suspect.served = event
        suspect.forget_before(began_at=event.began_at)
        self._causes.invalidate()
        if was_blocked and subject not in self.causes:
            log.info(
                "request_block_ended",
                fingerprint=fingerprint_text(subject),
                part=part_text(subject),
                cause="served",
            )

    def _may_try(self, subject: CrashSubject) -> bool:
        """Return whether this router sends the attempt after a block.

        Callers retry a request at one router at a time; requests with the same part
        come to all routers at once.
        """
        return isinstance(subject, RequestSubject) or self._may_try_parts()

    def _events(self) -> Iterator[ReportableEvent]:
        yield from self._all_crashes.reportable(subject=AnySubject())
        for subject, suspect in self._suspects.all.items():
            yield from suspect.reportable(subject=subject)

    def _expire(self, *, now: float) -> None:
        causes = self.causes
        if self._all_crashes.forget_before(began_at=now - SUSPICION_SECONDS):
            self._causes.invalidate()
        suspects = self._suspects.all
        for subject, suspect in tuple(suspects.items()):
            expiry = SUSPICION_SECONDS
            if subject in causes:
                expiry += block_time(subject=subject, suspect=suspect)
            suspect.attempts = {
                endpoint: event
                for endpoint, event in suspect.attempts.items()
                if now - event.at <= MAX_ATTEMPT_SECONDS
            }
            if now - suspect.last_seen_at > expiry and not suspect.attempts:
                del suspects[subject]
                self._causes.invalidate()
