"""Names the cause for which a request was not served in time."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.causes.lines import Story

SUCCESS = range(200, 300)
NOT_OWED = frozenset({401, 404})
"""Statuses of requests that the configuration does not allow."""

REFUSALS = frozenset({408, 421, 429, 503})

JUST_STARTED = 1.0
"""Seconds after a router's start in which lateness is put down to it: it learns where
parts of prompts are, and callers come back all at once."""

LONG_READ = 1000
"""Tokens that were not cached from which a late answer is put down to reading them."""

BUSY = 1.3
"""Times the mean load from which a late answer is put down to the choice."""


class Verdict(Enum):
    """What a caller got."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_LEFT = "caller left"
    NOT_OWED = "not owed"


class Cause(Enum):
    """Why it was not in time."""

    ENDPOINT_FAILED = "endpoint's own failure"
    BROKE_OFF = "endpoint broke off"
    NOT_REACHED = "no connection to endpoint"
    SILENT = "endpoint silent"
    REFUSED_THERE = "refused by endpoint"
    NOBODY = "no endpoint in reach"
    DEADLINE = "deadline passed"
    PAUSE = "pause between events"
    READING = "prompt read"
    BUSY = "busier endpoint chosen"
    STARTED = "router just started"
    WAITED = "slow at a chosen endpoint"
    CALLER = "caller left"


_BY_ERROR = {
    "FailedAnswer": Cause.ENDPOINT_FAILED,
    "AnswerBroken": Cause.BROKE_OFF,
    "ForeignAnswer": Cause.BROKE_OFF,
    "IdleConnectionLost": Cause.BROKE_OFF,
    "EndpointUnreachable": Cause.NOT_REACHED,
    "EndpointSilent": Cause.SILENT,
    "EndpointRefused": Cause.REFUSED_THERE,
    "EndpointReplaced": Cause.REFUSED_THERE,
    "NoEndpoint": Cause.NOBODY,
    "DeadlineExceeded": Cause.DEADLINE,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Judged:
    """One request that was judged.

    Attributes:
        kind: Kind of its route, with its latency objective in milliseconds.
        verdict: What its caller got.
        cause: Why it was not in time, None if it was.
    """

    kind: str
    verdict: Verdict
    cause: Cause | None = None


def judge(*, story: Story) -> Judged:
    """Judge one request."""
    end = story.end
    kind = f"{end.get('kind', '')} {1000 * end.get('objective', 0.0):.0f}"
    verdict = _verdict(story=story)
    if verdict in (Verdict.IN_TIME, Verdict.NOT_OWED):
        return Judged(kind=kind, verdict=verdict)
    return Judged(kind=kind, verdict=verdict, cause=_cause(story=story))


def _verdict(*, story: Story) -> Verdict:
    end = story.end
    status = end["status"]
    if status in NOT_OWED:
        return Verdict.NOT_OWED
    if end["caller_gone"]:
        return Verdict.CALLER_LEFT
    if status in REFUSALS:
        return Verdict.REFUSED
    if status not in SUCCESS or not end["finished"]:
        return Verdict.FAILED
    late = end["begun"] > end["objective"] or (
        end["longest_pause"] > end["pause_objective"] > 0.0
    )
    return Verdict.LATE if late else Verdict.IN_TIME


def _cause(*, story: Story) -> Cause:
    if story.failures:
        return _BY_ERROR.get(story.failures[-1]["error"], Cause.BROKE_OFF)
    end = story.end
    by_error = _BY_ERROR.get(end["error"])
    if by_error is not None:
        return by_error
    if end["caller_gone"]:
        return Cause.CALLER
    if end["begun"] <= end["objective"]:
        return Cause.PAUSE
    if story.started_before is not None and story.started_before < JUST_STARTED:
        return Cause.STARTED
    choice = story.choices[-1] if story.choices else None
    if choice is None:
        return Cause.WAITED
    if choice["missing_tokens"] >= LONG_READ:
        return Cause.READING
    if choice["load"] > BUSY * choice["mean_load"] + 1:
        return Cause.BUSY
    return Cause.WAITED
