"""Computes when refused callers may retry."""

from __future__ import annotations

DEFAULT_RETRY_AFTER_SECONDS = 0.3
"""Seconds after which a caller may retry if the error names no time."""

BALANCER_REROUTE_SECONDS = 2.2
"""Seconds after a router first reports not ready until the balancer sends its callers
elsewhere: it polls once a second and needs two such answers in a row."""

MAX_TIME_LEFT_SHARE = 1 / 3
"""Maximum wait as a share of the caller's time left: two thirds remain to serve the
request, and callers need not honour a longer wait."""


def retry_after_seconds(
    *, wait: float | None, time_left: float, unready_seconds: float | None
) -> float:
    """Return the seconds after which a refused caller may retry.

    A router on the smaller side of a network partition refuses callers, and so does one
    that has started there and has no configuration. A caller that retries before the
    balancer has rerouted it is refused again, and fails if it retries only once. So the
    router asks it to wait until then, as far as its time allows. Of the callers with
    three seconds or more, those that call in the last second before the rerouting get
    a late answer instead of none.

    Args:
        wait: Seconds that the error names, None if it names none.
        time_left: Seconds until the caller's deadline.
        unready_seconds: Seconds since this router began to report not ready, None if it
            is ready.
    """
    default = DEFAULT_RETRY_AFTER_SECONDS if wait is None else wait
    if unready_seconds is None:
        return default
    rerouted_in = BALANCER_REROUTE_SECONDS - unready_seconds
    return max(default, min(rerouted_in, MAX_TIME_LEFT_SHARE * time_left))
