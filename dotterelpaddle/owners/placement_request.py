"""A request that a router wants to have placed by the owners of shards."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.caches import part_tag, shared_parts
from dotterelpaddle.owners.messages import PlacementQuery
from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import (
        EndpointId,
        FailureDomain,
        ServiceName,
        SoftwareVersion,
    )
    from dotterelpaddle.owners.request_options import Admission

MIN_WAIT_SECONDS = 0.001
"""Shortest wait that a request states. One of 0 only asks whether a slot is free, and
the owner then names no time to return."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementRequest:
    """A request to place.

    Attributes:
        service: The service.
        request: The request.
        retryable: Whether the router can retry it at another endpoint.
        excluded: Endpoints that the router has already tried.
        version: The only software version that may serve it, None for any.
        brittle: Whether endpoints may get no more requests than they have slots.
        admission: What decides when it gets a slot, None if it needs none.
        spread_key: Key by which a request without a prompt ranks shards, None if all
            requests of the service rank them alike.
        arrived_at: When the placement began, seconds on the monotonic clock.
    """

    service: ServiceName
    request: HasPrompt
    retryable: bool
    excluded: frozenset[EndpointId]
    version: SoftwareVersion | None
    brittle: bool
    admission: Admission | None
    spread_key: str | None = None
    arrived_at: float

    @property
    def needs_slot(self) -> bool:
        """Whether owners grant it one of the slots of an endpoint."""
        return self.brittle or self.admission is not None

    @property
    def waits_until(self) -> float:
        """Until when it may wait for a slot, seconds on the monotonic clock."""
        max_wait = 0.0 if self.admission is None else self.admission.max_wait
        return self.arrived_at + max_wait

    def shard_key(self, *, entries: Sequence[EndpointEntry]) -> int:
        """Key by which shards are ranked.

        It is the last prompt part that other requests share, or the service. Requests
        without prompts that need a slot spread over all shards. They are ranked by
        fingerprint, so that a returning request reaches the owner that remembers it.
        """
        parts = shared_parts(request=self.request)
        if parts:
            return part_tag(model=self.request.model, part=parts[-1])
        if self.admission is None or any(entry.models for entry in entries):
            return digest(text=self.spread_key or self.service)
        return digest(text=self.admission.fingerprint)

    def query(
        self,
        *,
        shard: FailureDomain | None,
        unusable: frozenset[EndpointId],
        ignore_bound: bool,
        cached_at: EndpointId | None,
        admission: Admission | None,
    ) -> PlacementQuery:
        """Return the query to the owner of a shard."""
        return PlacementQuery(
            service=self.service,
            shard=shard,
            model=self.request.model,
            prompt=self.request.prompt,
            retryable=self.retryable,
            excluded=unusable,
            ignore_bound=ignore_bound,
            cached_at=cached_at,
            brittle=self.brittle,
            admission=admission,
        )

    def without_wait(self, *, now: float) -> Admission | None:
        """Return the admission for a question whether a slot is free now."""
        admission = self.with_wait(now=now)
        return None if admission is None else replace(admission, max_wait=0.0)

    def with_wait(self, *, now: float) -> Admission | None:
        """Return the admission with the time that is left.

        Args:
            now: Seconds on the monotonic clock.
        """
        if self.admission is None:
            return None
        time_left = self.admission.time_left - (now - self.arrived_at)
        return replace(
            self.admission,
            max_wait=max(MIN_WAIT_SECONDS, self.waits_until - now),
            time_left=max(0.0, time_left),
        )
