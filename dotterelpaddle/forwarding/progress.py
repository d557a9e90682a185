"""Progress of the attempts to serve one request."""

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
    """Endpoints to which the router has tried to send a request."""

    def __init__(self) -> None:
        self._attempted: set[EndpointId] = set()
        self._connect_failures: set[EndpointId] = set()

    @property
    def attempted(self) -> frozenset[EndpointId]:
        """Endpoints that received the request, refused it or were unreachable twice."""
        return frozenset(self._attempted)

    @property
    def connect_failures(self) -> frozenset[EndpointId]:
        """Endpoints whose connect failed once; one more connect may follow."""
        return frozenset(self._connect_failures)

    @property
    def excluded(self) -> frozenset[EndpointId]:
        """Endpoints to avoid in the next attempt: all that were tried."""
        return self.attempted | self.connect_failures

    def add(self, *, endpoint: EndpointId, failure: EndpointError) -> None:
        """Record the failure of an attempt.

        A lost idle connection doesn't count: a new connection may succeed.
        """
        match failure:
            case IdleConnectionLost():
                pass
            case EndpointUnreachable() if endpoint not in self._connect_failures:
                self._connect_failures.add(endpoint)
            case _:
                self._attempted.add(endpoint)
                self._connect_failures.discard(endpoint)

    def connect_timeout(self, *, endpoint: EndpointId) -> float:
        """Return the connect timeout of the next attempt at an endpoint, in seconds."""
        return (
            LAST_CONNECT_TIMEOUT_SECONDS
            if endpoint in self._connect_failures
            else CONNECT_TIMEOUT_SECONDS
        )


class AttemptProgress:
    """Observed stages of one attempt and their times.

    Args:
        attempt: The attempt.
        clock: Monotonic clock.
    """

    def __init__(self, *, attempt: Attempt, clock: Clock) -> None:
        self.attempt = attempt
        self.started_at = clock()
        self.first_byte_seconds: float | None = None
        self.in_flight_request: InFlightRequest | None = None
        self.has_output = False
        self._clock = clock

    def observe(self, evidence: Evidence) -> None:
        """Record an observed stage of the attempt."""
        self.attempt.observe(evidence)
        if evidence is Evidence.OUTPUT and not self.has_output:
            self.has_output = True
        if evidence is Evidence.ANSWER_BEGUN and self.attempt.state in (
            AttemptState.ANSWERING,
            AttemptState.ANSWERED,
        ):
            self.first_byte_seconds = self._clock() - self.started_at
            if self.in_flight_request is not None:
                self.in_flight_request.answer_started()
