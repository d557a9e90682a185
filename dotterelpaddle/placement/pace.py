"""How often a router may speak to owners of endpoints."""

from __future__ import annotations

SURE_SHARE = 0.65
"""Part of the bound that counts as clearly within while permits are plenty."""


class Pace:
    """A token bucket of messages.

    Args:
        rate: Messages a second.
        burst: Messages that may be sent at once.
        now: Seconds on the monotonic clock.
    """

    def __init__(self, *, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._at = now

    def follow(self, *, rate: float, now: float) -> None:
        """Go on at another rate."""
        if rate != self._rate:
            self.level(now=now)
            self._rate = rate

    def take(self, *, now: float) -> bool:
        """Tell whether a message may be sent now, and count it."""
        if not self.is_ready(now=now):
            return False
        self._tokens -= 1.0
        return True

    def is_ready(self, *, now: float) -> bool:
        """Tell whether a message may be sent now."""
        return self.level(now=now) * self._burst >= 1.0

    def level(self, *, now: float) -> float:
        """How full the bucket is, from 0 to 1."""
        elapsed = max(now - self._at, 0.0)
        self._tokens = min(self._tokens + elapsed * self._rate, self._burst)
        self._at = now
        return self._tokens / self._burst


def fast_share(*, level: float) -> float:
    """The part of the bound under which a request needs no permit.

    The more permits can be had, the more requests are worth an exact answer. The
    last ones are kept for chats whose endpoint seems to be over the bound.

    Args:
        level: How full the bucket of permit requests is.
    """
    spare = max(2.0 * level - 1.0, 0.0)
    return 1.0 - (1.0 - SURE_SHARE) * spare
