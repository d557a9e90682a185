"""Waiting a little for the endpoint that has a chat's cache.

A cold start elsewhere costs the prefill of the whole prompt twice: this request
waits for it, and so do the requests in the other engine's batch. The chat's next
turns may pay again. Waiting is better while the expected wait is shorter than that.
"""

from __future__ import annotations

from dataclasses import dataclass

SURE = 2.0
"""Times the prefill time that is worth waiting for a cache known to be there."""

UNSURE = 1.0
"""The same if the cache may be gone."""

MIN_PATIENCE = 0.005
"""Seconds below which waiting is not worth a message."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PatienceRule:
    """How long a chat may wait for its cache.

    Attributes:
        prefill_rate: Prompt tokens that an engine processes a second.
        longest: Longest wait, seconds.
    """

    prefill_rate: float
    longest: float

    def patience(self, *, prompt_tokens: int, cached: bool, time_left: float) -> float:
        """Tell how many seconds a chat may wait.

        Args:
            prompt_tokens: Length of the prompt.
            cached: Whether the cache is known to be there.
            time_left: Seconds until the deadline.
        """
        cold_start = prompt_tokens / max(self.prefill_rate, 1.0)
        worth = cold_start * (SURE if cached else UNSURE)
        # A request that has to finish soon can't spend its time waiting.
        allowed = min(worth, self.longest, time_left / 4.0)
        return allowed if allowed >= MIN_PATIENCE else 0.0
