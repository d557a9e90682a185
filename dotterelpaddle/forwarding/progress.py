"""How far the attempts at one request have got."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.outcome import AttemptState
from dotterelpaddle.endpoint.evidence import Evidence
from dotterelpaddle.exceptions import EndpointUnreachable
from dotterelpaddle.forwarding.exceptions import IdleConnectionLost
from dotterelpaddle.forwarding.timeouts import (
    CONNECT_TIMEOUT_SECONDS,
    LAST_CONNECT_TIMEOUT_SECONDS,
)

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.dispatch.outcome import Attempt
    from dotterelpaddle.exceptions import EndpointError
    from dotterelpaddle.forwarding.loads import InFlightRequest
    from dotterelpaddle.ids import EndpointId


class TriedEndpoints:
    """The endpoints that a request was meant for so far."""

    def __init__(self) -> None:
        self._attempted: set[EndpointId] = set()
        self._connect_timeouts: set[EndpointId] = set()

    @property
    def attempted(self) -> frozenset[EndpointId]:
        """Those that got it or said no."""
        return frozenset(self._attempted)

    @property
    def connect_timeouts(self) -> frozenset[EndpointId]:
        """Those whose connection did not stand in time, asked once each."""
        return frozenset(self._connect_timeouts)

    @property
    def excluded(self) -> frozenset[EndpointId]:
        """All of them."""
        return self.attempted | self.connect_timeouts

    def add(self, *, endpoint: EndpointId, failure: EndpointError) -> None:
        """Take in how an attempt failed."""
        match failure:
            case IdleConnectionLost():
                pass
            case EndpointUnreachable(timed_out=True) if (
                endpoint not in self._connect_timeouts
            ):
                self._connect_timeouts.add(endpoint)
            case _:
                self._attempted.add(endpoint)
                self._connect_timeouts.discard(endpoint)

    def connect_timeout(self, *, endpoint: EndpointId) -> float:
        """Seconds until a connection to an endpoint must stand."""
        return (
            LAST_CONNECT_TIMEOUT_SECONDS
            if endpoint in self._connect_timeouts
            else CONNECT_TIMEOUT_SECONDS
        )


class AttemptProgress:
    """When things were seen of one attempt.

    Args:
        attempt: The attempt.
        clock: Monotonic clock.
    """

    def __init__(self, *, attempt: Attempt, clock: Clock) -> None:
        self.attempt = attempt
        self.started_at = clock()
        self.first_byte_seconds: float | None = None
        self.held: InFlightRequest | None = None
        self._clock = clock

    def observe(self, evidence: Evidence) -> None:
        """Take in a piece of evidence."""
        self.attempt.observe(evidence)
        if evidence is Evidence.ANSWER_BEGUN and self.attempt.state in (
            AttemptState.ANSWERING,
            AttemptState.ANSWERED,
        ):
            self.first_byte_seconds = self._clock() - self.started_at
            if self.held is not None:
                self.held.answer_started()
