"""Detects outages of the platform, in which the entries of endpoints may expire."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

log = get_logger(name=__name__)

OUTAGE_AFTER_FAILURES_SECONDS = 1.0
"""Seconds without an answer to any router that count as an outage if calls of this one
have failed in a row meanwhile: no entry expires in less."""

OUTAGE_SECONDS = 3.0
"""Seconds without an answer to any router that count as an outage if no two calls of
this one in a row have failed: the second one uses a new connection. A single call also
fails if its connection has gone silent, while the platform removes only the entries of
endpoints that have left."""


class OutageDetector:
    """Detects outages by when the platform answers any router.

    Args:
        on_recovery: Is called at the first answer after an outage.
    """

    def __init__(self, *, on_recovery: Callable[[], None]) -> None:
        self._on_recovery = on_recovery
        self._last_contact_at = float("-inf")
        self._failed_repeatedly = False

    def record_failures(self) -> None:
        """Record that calls of this router have failed in a row."""
        self._failed_repeatedly = True

    def record_contact(self, *, at: float) -> None:
        """Record when the platform last answered any router.

        Args:
            at: Seconds on the monotonic clock.
        """
        if at <= self._last_contact_at:
            return
        silent_for = at - self._last_contact_at
        outage_after = (
            OUTAGE_AFTER_FAILURES_SECONDS if self._failed_repeatedly else OUTAGE_SECONDS
        )
        if outage_after < silent_for < float("inf"):
            log.info("platform_regained", silent_for=round(silent_for, 3))
            self._on_recovery()
        self._last_contact_at = at
        self._failed_repeatedly = False
