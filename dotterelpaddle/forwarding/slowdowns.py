"""How much longer work currently takes at endpoints that share their hosts.

Endpoints report a slowdown in the heads of their answers. It changes many times per
second, so a value counts less the older it is.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, RouterId

USUAL = 1.0
"""Slowdown of an endpoint whose work takes as long as usual."""

EXPIRY_SECONDS = 0.6
"""Age from which a value no longer counts; a slowdown typically lasts that long."""

MAX_SLOWDOWN = 100.0
"""Greatest slowdown that counts, so that no report has an unlimited effect."""

MAX_REPORTED_AGE_SECONDS = 1.0
"""Age from which a value is no longer passed on to owners."""

MAX_NOTES = 8
"""Values passed on to an owner in one message, which keeps the datagram small."""


@dataclass(frozen=True, kw_only=True, slots=True)
class SlowdownNote:
    """A slowdown that a router passes on to an owner.

    Attributes:
        endpoint: The endpoint that reported it.
        slowdown: Factor on the usual time of work.
        age: Seconds since the report.
    """

    endpoint: EndpointId
    slowdown: float
    age: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Told:
    """The last value of an endpoint, and when it was reported."""

    slowdown: float
    at: float


class Slowdowns:
    """Estimates the current slowdown of endpoints from the last reported values.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._last: dict[EndpointId, _Told] = {}
        # Values that this router got from endpoints, not from other routers: passing
        # on the latter would send them back and forth between owners.
        self._own: dict[EndpointId, _Told] = {}
        self._reported_at: dict[RouterId, dict[EndpointId, float]] = {}

    @property
    def any_told(self) -> bool:
        """Whether any known endpoint reports its slowdown."""
        return bool(self._last)

    def record_told(
        self, *, endpoint: EndpointId, slowdown: float, age: float = 0.0
    ) -> None:
        """Record a value unless a newer one is known.

        Args:
            endpoint: The endpoint that reported it.
            slowdown: Factor on the usual time of work; below 1 counts as 1.
            age: Seconds since the report; 0 if the endpoint told this router itself.
        """
        told = _Told(
            slowdown=min(max(slowdown, USUAL), MAX_SLOWDOWN),
            at=self._clock() - max(age, 0.0),
        )
        last = self._last.get(endpoint)
        if last is None or told.at >= last.at:
            self._last[endpoint] = told
        if age <= 0.0:
            self._own[endpoint] = told

    def is_told(self, *, endpoint: EndpointId) -> bool:
        """Return whether an endpoint reports its slowdown."""
        return endpoint in self._last

    def expected(self, *, endpoint: EndpointId) -> float:
        """Return the factor on the usual time of work that is expected now."""
        told = self._last.get(endpoint)
        if told is None or told.slowdown == USUAL:
            return USUAL
        age = self._clock() - told.at
        if age >= EXPIRY_SECONDS:
            return USUAL
        # Most values are reported early in a slowdown, since the first answer after
        # its start reports it. So a value loses little of its weight at first.
        weight = 1.0 - (age / EXPIRY_SECONDS) ** 2
        return USUAL + (told.slowdown - USUAL) * weight

    def take_unreported(self, *, recipient: RouterId) -> tuple[SlowdownNote, ...]:
        """Return the newest values that an owner has not received from this router.

        Args:
            recipient: The owner, which counts as having received them.
        """
        now = self._clock()
        reported = self._reported_at.setdefault(recipient, {})
        unreported = [
            (told.at, endpoint)
            for endpoint, told in self._own.items()
            if now - told.at < MAX_REPORTED_AGE_SECONDS
            and reported.get(endpoint) != told.at
        ]
        unreported.sort(reverse=True)
        notes = []
        for at, endpoint in unreported[:MAX_NOTES]:
            reported[endpoint] = at
            slowdown = self._own[endpoint].slowdown
            notes.append(
                SlowdownNote(endpoint=endpoint, slowdown=slowdown, age=now - at)
            )
        return tuple(notes)

    def retain(self, *, endpoints: frozenset[EndpointId]) -> None:
        """Delete what is known of all endpoints except these."""
        for values in (self._last, self._own):
            for endpoint in values.keys() - endpoints:
                del values[endpoint]
        oldest = self._clock() - MAX_REPORTED_AGE_SECONDS
        for recipient, reported in tuple(self._reported_at.items()):
            self._reported_at[recipient] = recent = {
                endpoint: at for endpoint, at in reported.items() if at > oldest
            }
            if not recent:
                del self._reported_at[recipient]
