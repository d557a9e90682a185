"""Tells callers whose request has not run when to come back."""

from __future__ import annotations

DEFAULT_RETRY_AFTER_SECONDS = 0.3
"""Seconds after which a caller may come back where the error names no time."""

BALANCER_REROUTE_SECONDS = 2.2
"""Seconds after a router reports not ready until the balancer sends its callers
elsewhere: it asks once a second, and two answers in a row must say so."""

MAX_TIME_LEFT_SHARE = 1 / 3
"""Share of the time that a caller has left after which it must be back: then two
thirds are left to serve it, and callers are not bound to wait for longer."""


def retry_after_seconds(
    *, wait: float | None, time_left: float, unready_seconds: float | None
) -> float:
    """Return the seconds after which a refused caller may come back.

    A router on the smaller side of a cut network refuses callers, and so does one that
    has started there and knows no configuration. A caller that comes back before the
    balancer has moved it is refused once more, and for good if it tries but once. So
    it is asked to wait until then, as far as its time allows: of the callers with
    three seconds or more, those of the last second before the move are served, late,
    instead of not at all.

    Args:
        wait: What the error says, None if it does not.
        time_left: Seconds until the caller's deadline.
        unready_seconds: Seconds since this router began to report not ready, None if it
            is ready.
    """
    usual = DEFAULT_RETRY_AFTER_SECONDS if wait is None else wait
    if unready_seconds is None:
        return usual
    moved_in = BALANCER_REROUTE_SECONDS - unready_seconds
    return max(usual, min(moved_in, MAX_TIME_LEFT_SHARE * time_left))
