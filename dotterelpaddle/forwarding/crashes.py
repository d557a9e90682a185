"""Tracks requests that were running when endpoints crashed, and blocks the causes.

A request may crash every endpoint that runs it. Its caller retries with a new id at any
router, so routers track it by its fingerprint and report to each other. Most requests
that ran during a crash didn't cause it; a complete answer clears them at all routers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RequestBlocked
from dotterelpaddle.forwarding.crash_causes import Suspicion, find_causes
from dotterelpaddle.forwarding.crash_note import CrashNote, NoteKind
from dotterelpaddle.forwarding.report_state import ReportState
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, Fingerprint

log = get_logger(name=__name__)

MIN_CRASHES_TO_BLOCK = 3
"""Crashes after which a request is blocked. During a series of unrelated crashes a
retried request is often present at one or two of them by chance, rarely at three."""

MIN_BLOCK_SECONDS = 60.0
"""Seconds of the first block of a request, after which one attempt may run."""

MAX_BLOCK_SECONDS = 600.0
"""Maximum seconds of a block; each block is twice as long as the one before."""

SUSPICION_SECONDS = 60.0
"""Seconds from the last crash of a request until its crashes expire, plus any block."""

MAX_ATTEMPT_SECONDS = 3.0
"""Seconds an attempt counts as in flight; by then a stream has begun or is queued."""

MIN_WAIT_SECONDS = 1.0
"""Minimum retry-after, also while the request has an attempt in flight elsewhere."""

MAX_SUSPECTS = 256
"""Tracked requests, 200 KB: all requests of several crashed endpoints."""

REPORT_INTERVAL_SECONDS = 2.0
"""Seconds between reports of a request's crashes, for routers cut off or new."""

ONE_CRASH_INTERVAL_SECONDS = 10.0
"""Same for a request with one crash; callers retry few of these requests."""

MAX_NOTES_PER_REPORT = 12
"""Maximum number of notes in one report, 0.7 KB."""

MAX_NOTES_FOR_NEW_ROUTER = 36
"""Maximum number of notes in the report to a router that has just started."""


@dataclass(kw_only=True, slots=True)
class _Event:
    """An event of a request, and the progress of reporting it."""

    at: float
    begun: bool = False
    report_state: ReportState = field(default_factory=ReportState)


@dataclass(kw_only=True, slots=True)
class _Suspect:
    """The crashes and attempts of one request."""

    crashes: dict[EndpointId, _Event] = field(default_factory=dict)
    attempts: dict[EndpointId, _Event] = field(default_factory=dict)
    served: _Event | None = None

    @property
    def crashed_at(self) -> float:
        """Time of the last crash."""
        return max(
            (event.at for event in self.crashes.values()),
            default=float("-inf"),
        )

    @property
    def last_seen_at(self) -> float:
        """Time of the last crash or complete answer."""
        served = self.served.at if self.served is not None else float("-inf")
        return max(self.crashed_at, served)

    @property
    def suspicion(self) -> Suspicion:
        """Evidence that the request caused the crashes."""
        return Suspicion(
            crashed_endpoints=frozenset(self.crashes),
            begun_count=sum(event.begun for event in self.crashes.values()),
        )

    def forget_before(self, *, at: float) -> None:
        """Remove crashes and attempts up to a time."""
        for events in (self.crashes, self.attempts):
            for endpoint in [each for each in events if events[each].at <= at]:
                del events[endpoint]


class CrashTracker:
    """Tracks the requests that were running during crashes, and blocks the causes.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._cached_causes: frozenset[Fingerprint] | None = None

    @property
    def suspect_count(self) -> int:
        """Number of requests that were running during a recent crash."""
        return sum(bool(suspect.crashes) for suspect in self._suspects.values())

    @property
    def blocked_count(self) -> int:
        """Number of requests that are blocked or may run one more attempt."""
        return len(self._causes())

    def check(self, *, fingerprint: Fingerprint) -> None:
        """Refuse a request that causes crashes.

        Raises:
            RequestBlocked: If the request may not go to an endpoint now.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return
        now = self._clock()
        live = self._attempts_in_flight(suspect)
        if fingerprint in self._causes():
            left = suspect.crashed_at + _block_time(crashes=len(suspect.crashes)) - now
            if left > 0.0 or live:
                raise self._blocked(
                    suspect=suspect, attempts=live, wait=max(left, MIN_WAIT_SECONDS)
                )
        elif len(suspect.crashes) < MIN_CRASHES_TO_BLOCK <= len(suspect.crashes) + live:
            raise self._blocked(suspect=suspect, attempts=live, wait=MIN_WAIT_SECONDS)

    def begin_attempt(self, *, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Record an attempt of a suspect, which other routers take into account."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            suspect.attempts[endpoint] = _Event(at=self._clock())

    def end_attempt(self, *, fingerprint: Fingerprint, endpoint: EndpointId) -> None:
        """Record that an attempt ended without a crash."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.attempts.pop(endpoint, None)

    def record_crash(
        self, *, fingerprint: Fingerprint, endpoint: EndpointId, at: float, begun: bool
    ) -> None:
        """Record that an endpoint crashed while it ran a request."""
        self._apply_crash(fingerprint, endpoint, _Event(at=at, begun=begun))

    def record_served(self, *, fingerprint: Fingerprint) -> None:
        """Record that an endpoint answered a request without a crash."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.crashes:
            self._clear(fingerprint, suspect, _Event(at=self._clock()))

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
            event = _Event(at=now - note.age, begun=note.begun, report_state=state)
            match note.kind:
                case NoteKind.ENDED if note.endpoint:
                    self._apply_crash(note.fingerprint, note.endpoint, event)
                case NoteKind.TRIED if note.endpoint:
                    self._apply_attempt(note.fingerprint, note.endpoint, event)
                case NoteKind.SERVED:
                    suspect = self._suspects.get(note.fingerprint)
                    if suspect is not None:
                        self._clear(note.fingerprint, suspect, event)

    def take_due_notes(self) -> list[CrashNote]:
        """Return the notes for the next report, requests with most crashes first."""
        now = self._clock()
        self._expire(now=now)
        due = [each for each in self._events() if _is_due(each, now=now)]
        due.sort(
            key=lambda each: (each.crash_count, each.event.report_state.reports_left),
            reverse=True,
        )
        reported = due[:MAX_NOTES_PER_REPORT]
        for each in reported:
            each.event.report_state.mark_reported(now=now)
        return [each.note(now=now) for each in reported]

    def notes_for_new_router(self) -> list[CrashNote]:
        """Return the notes for a router that has just started and knows none."""
        now = self._clock()
        self._expire(now=now)
        known = sorted(self._events(), key=lambda each: each.crash_count, reverse=True)
        return [each.note(now=now) for each in known[:MAX_NOTES_FOR_NEW_ROUTER]]

    def _apply_crash(
        self, fingerprint: Fingerprint, endpoint: EndpointId, event: _Event
    ) -> None:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        if suspect.served is not None and suspect.served.at >= event.at:
            # The sender of the report hasn't received the note about the answer.
            suspect.served.report_state.report_again()
            return
        if endpoint in suspect.crashes:
            return
        suspect.crashes[endpoint] = event
        suspect.attempts.pop(endpoint, None)
        self._cached_causes = None
        log.info(
            "request_suspected",
            fingerprint=fingerprint,
            endpoint=endpoint,
            seconds_ago=round(self._clock() - event.at, 3),
            begun=event.begun,
            ended=len(suspect.crashes),
        )
        self._evict()

    def _apply_attempt(
        self, fingerprint: Fingerprint, endpoint: EndpointId, event: _Event
    ) -> None:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        is_outdated = suspect.served is not None and suspect.served.at >= event.at
        if not is_outdated and endpoint not in suspect.crashes:
            suspect.attempts.setdefault(endpoint, event)
        self._evict()

    def _clear(
        self, fingerprint: Fingerprint, suspect: _Suspect, event: _Event
    ) -> None:
        if suspect.served is not None and suspect.served.at >= event.at:
            return
        was_blocked = fingerprint in self._causes()
        suspect.served = event
        suspect.forget_before(at=event.at)
        self._cached_causes = None
        if was_blocked:
            log.info("request_block_ended", fingerprint=fingerprint, cause="served")

    def _attempts_in_flight(self, suspect: _Suspect) -> int:
        oldest = self._clock() - MAX_ATTEMPT_SECONDS
        return sum(
            event.at > oldest and endpoint not in suspect.crashes
            for endpoint, event in suspect.attempts.items()
        )

    def _causes(self) -> frozenset[Fingerprint]:
        """Return the requests that are blocked or may run one more attempt."""
        if self._cached_causes is None:
            self._cached_causes = find_causes(
                suspicions={
                    fingerprint: suspect.suspicion
                    for fingerprint, suspect in self._suspects.items()
                },
                min_crashes=MIN_CRASHES_TO_BLOCK,
            )
        return self._cached_causes

    def _blocked(
        self, *, suspect: _Suspect, attempts: int, wait: float
    ) -> RequestBlocked:
        now = self._clock()
        items = sorted(suspect.crashes.items(), key=lambda item: item[1].at)
        listed = ", ".join(
            f"{name} {now - event.at:.1f} s ago" for name, event in items
        )
        return RequestBlocked(
            f"{len(items)} endpoints crashed while running this request ({listed}) "
            f"and {attempts} are running it; send another request or retry later",
            retry_after=wait,
        )

    def _events(self) -> Iterator[_Reportable]:
        for fingerprint, suspect in self._suspects.items():
            for kind, events in (
                (NoteKind.ENDED, suspect.crashes),
                (NoteKind.TRIED, suspect.attempts),
            ):
                for endpoint, event in events.items():
                    yield _Reportable(
                        kind=kind,
                        fingerprint=fingerprint,
                        endpoint=endpoint,
                        event=event,
                        crash_count=len(suspect.crashes),
                    )
            if suspect.served is not None:
                yield _Reportable(
                    kind=NoteKind.SERVED,
                    fingerprint=fingerprint,
                    endpoint=None,
                    event=suspect.served,
                    crash_count=len(suspect.crashes),
                )

    def _expire(self, *, now: float) -> None:
        causes = self._causes()
        for fingerprint, suspect in tuple(self._suspects.items()):
            expiry = SUSPICION_SECONDS
            if fingerprint in causes:
                expiry += _block_time(crashes=len(suspect.crashes))
            suspect.attempts = {
                endpoint: event
                for endpoint, event in suspect.attempts.items()
                if now - event.at <= MAX_ATTEMPT_SECONDS
            }
            if now - suspect.last_seen_at > expiry and not suspect.attempts:
                del self._suspects[fingerprint]
                self._cached_causes = None

    def _evict(self) -> None:
        """Remove requests with the fewest crashes, oldest first, above MAX_SUSPECTS."""
        while len(self._suspects) > MAX_SUSPECTS:
            least = min(
                self._suspects,
                key=lambda each: (
                    len(self._suspects[each].crashes),
                    self._suspects[each].last_seen_at,
                ),
            )
            del self._suspects[least]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Reportable:
    """An event that a report may contain, and its priority."""

    kind: NoteKind
    fingerprint: Fingerprint
    endpoint: EndpointId | None
    event: _Event
    crash_count: int

    def note(self, *, now: float) -> CrashNote:
        """Return the event as a note to other routers."""
        return CrashNote(
            kind=self.kind,
            fingerprint=self.fingerprint,
            endpoint=self.endpoint,
            age=now - self.event.at,
            begun=self.event.begun,
        )


def _is_due(item: _Reportable, *, now: float) -> bool:
    """Return whether an event is new, or a crash whose last report is old."""
    interval = (
        REPORT_INTERVAL_SECONDS if item.crash_count > 1 else ONE_CRASH_INTERVAL_SECONDS
    )
    if item.kind is not NoteKind.ENDED:
        interval = float("inf")
    return item.event.report_state.is_due(now=now, interval=interval)


def _block_time(*, crashes: int) -> float:
    """Return the seconds of a block after a number of crashes."""
    return min(
        MIN_BLOCK_SECONDS * 2 ** (crashes - MIN_CRASHES_TO_BLOCK), MAX_BLOCK_SECONDS
    )
