"""How long requests and prompt parts that crash endpoints are blocked."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.crashes.subjects import PartSubject
from dotterelpaddle.crashes.suspects import TRIAL_SECONDS
from dotterelpaddle.exceptions import RequestBlocked

if TYPE_CHECKING:
    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.crashes.suspects import Suspect

MIN_CRASHES_TO_BLOCK = 3
"""Crashes after which a request or a part is blocked. During a series of unrelated
crashes a retried request is often present at one or two by chance, rarely at three."""

MIN_BLOCK_SECONDS = 60.0
"""Seconds of the first block, after which one attempt may run."""

MAX_BLOCK_SECONDS = 600.0
"""Maximum seconds of a block; each block is twice as long as the one before."""

TRIAL_BACKOFF = 4
"""Factor between two waits for a trial of a part with recent answers."""


def block_time(*, subject: CrashSubject, suspect: Suspect) -> float:
    """Return the seconds from the last crash to the end of a block."""
    if isinstance(subject, PartSubject) and suspect.was_answered:
        # It may be sound, so that an early attempt may end the block.
        wait = TRIAL_SECONDS * TRIAL_BACKOFF**suspect.failed_trials
        return min(wait, MAX_BLOCK_SECONDS)
    doublings = len(suspect.crashes) - MIN_CRASHES_TO_BLOCK
    return min(MIN_BLOCK_SECONDS * 2**doublings, MAX_BLOCK_SECONDS)


def blocked_error(
    *, suspect: Suspect, attempts: int, wait: float, now: float
) -> RequestBlocked:
    """Return what the caller of a blocked request is told.

    Args:
        suspect: Crashes of the request, or of a part of its prompt.
        attempts: Number of attempts in flight.
        wait: Seconds after which the caller may retry.
        now: Time on the monotonic clock.
    """
    items = sorted(suspect.crashes.items(), key=lambda item: item[1].at)
    listed = ", ".join(f"{name} {now - event.at:.1f} s ago" for name, event in items)
    return RequestBlocked(
        f"{len(items)} endpoints crashed while running this request, or others "
        f"with the same part of the prompt ({listed}), and {attempts} are running "
        "it; send another request or retry later",
        retry_after=wait,
    )
