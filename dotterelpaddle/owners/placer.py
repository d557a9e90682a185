"""Chooses endpoints through shard owners where the fleet has any, else locally."""

from __future__ import annotations

import itertools
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.forwarding.caches import part_tag, shared_parts
from dotterelpaddle.forwarding.choice import Choice, LocalChoiceReason
from dotterelpaddle.owners.inquiry import RESEND_SECONDS
from dotterelpaddle.owners.messages import Grant
from dotterelpaddle.owners.placement_request import PlacementRequest
from dotterelpaddle.owners.shards import ranked_shards, shard_entries
from dotterelpaddle.retries.retry_after import DEFAULT_RETRY_AFTER_SECONDS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.brittle import BrittleEndpoints
    from dotterelpaddle.forwarding.cold import ColdEndpoints
    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.placement import ForwardPlacer
    from dotterelpaddle.forwarding.slowdowns import Slowdowns
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import (
        EndpointId,
        FailureDomain,
        RouterId,
        ServiceName,
        SoftwareVersion,
    )
    from dotterelpaddle.owners.exchange import OwnerExchange
    from dotterelpaddle.owners.messages import PlacementQuery, Refusal
    from dotterelpaddle.owners.reporting import InFlightReporter
    from dotterelpaddle.owners.request_options import Admission
    from dotterelpaddle.owners.shards import ShardMap
    from dotterelpaddle.peers.directory import PeerDirectory

MAX_SHARDS_ASKED = 2
"""Shards whose owners a router asks: the second one if all endpoints of the first one
are over their load bound."""

MAX_SLOT_SHARDS_ASKED = 3
"""Shards whose owners a router asks for a free slot."""

MIN_CANDIDATES = 2
"""Usable endpoints below which the router does not ask an owner, unless slots have to
be granted."""


class OwnerPlacer:
    """Asks the owner of a shard to choose, and chooses locally if none decides.

    For services with brittle endpoints it refuses requests that owners don't grant.

    Args:
        view: The current endpoints.
        placer: Chooses where no owner does.
        cold: Limits what this router sends to cold endpoints.
        brittle: Limits what it sends to endpoints that bear few rejections.
        shards: The shards of all services.
        directory: Lists the owner of each failure domain.
        exchange: Requests grants from owners.
        reporter: Counts the grants.
        slowdowns: Slowdowns that endpoints report.
        limits_slots: Whether owners grant no more requests than there are slots, at
            all endpoints and not at brittle ones only.
        metrics: Counts what owners grant and refuse.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        placer: ForwardPlacer,
        cold: ColdEndpoints,
        brittle: BrittleEndpoints,
        shards: ShardMap,
        directory: PeerDirectory,
        exchange: OwnerExchange,
        reporter: InFlightReporter,
        slowdowns: Slowdowns,
        limits_slots: bool,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._view = view
        self._placer = placer
        self._cold = cold
        self._brittle = brittle
        self._shards = shards
        self._directory = directory
        self._exchange = exchange
        self._reporter = reporter
        self._slowdowns = slowdowns
        self._limits_slots = limits_slots
        self._numbers = itertools.count()
        self._metrics = metrics
        self._clock = clock

    async def choose(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        retryable: bool,
        excluded: frozenset[EndpointId],
        version: SoftwareVersion | None = None,
        admission: Admission | None = None,
    ) -> Choice:
        """Choose an endpoint of a service.

        The caller must count the request before it awaits again.

        Args:
            service: The service.
            request: The request to place.
            retryable: Whether the router can retry it at another endpoint.
            excluded: Endpoints that the router has already tried.
            version: The only software version that may serve it, None for any.
            admission: What decides when it gets a slot; used where owners grant no
                more requests than there are slots.

        Raises:
            NoEndpoint: If no endpoint takes work, or no slot is free in time.
        """
        brittle = self._is_brittle(service=service)
        limited = brittle or self._limits_slots
        placement = PlacementRequest(
            service=service,
            request=request,
            retryable=retryable,
            excluded=excluded,
            version=version,
            brittle=brittle,
            admission=admission if limited else None,
            spread_key=self._spread_key(service=service),
            arrived_at=self._clock(),
        )
        choice_or_reason = await self._choose_by_owners(placement)
        if isinstance(choice_or_reason, Choice):
            return choice_or_reason
        if brittle:
            # Owners grant all slots, so none is left for routers that decide alone.
            raise NoEndpoint(
                f"service '{service}' has no free slot: {choice_or_reason.value}",
                retry_after=DEFAULT_RETRY_AFTER_SECONDS,
            )
        choice = self._placer.choose(
            service=service,
            request=request,
            retryable=retryable,
            excluded=excluded,
            version=version,
        )
        return replace(choice, local_reason=choice_or_reason)

    def _spread_key(self, *, service: ServiceName) -> str | None:
        """Return a key of a request's own where endpoints report slowdowns.

        Plain requests with one key fill the endpoints of one shard before they go to
        another one, so slowed endpoints there would get work while others are idle.
        """
        if not any(
            self._slowdowns.is_told(endpoint=entry.endpoint)
            for entry in self._view.registered(service=service)
        ):
            return None
        return f"{service}/{self._directory.own.router}/{next(self._numbers)}"

    def _is_brittle(self, *, service: ServiceName) -> bool:
        return self._brittle.any_known and any(
            self._brittle.is_brittle(entry=entry)
            for entry in self._view.registered(service=service)
        )

    def retract(self, *, choice: Choice) -> None:
        """Give a choice up for which no request is sent."""
        if choice.decided_by is not None:
            self._reporter.abandon_grant(endpoint=choice.entry.endpoint)

    async def _choose_by_owners(
        self, placement: PlacementRequest
    ) -> Choice | LocalChoiceReason:
        if not self._directory.owners() and not placement.brittle:
            return LocalChoiceReason.NO_OWNER
        usable = self._usable(placement)
        if len(usable) < (1 if placement.needs_slot else MIN_CANDIDATES):
            return LocalChoiceReason.FEW_ENDPOINTS
        ranked = ranked_shards(
            shards=self._shards.shards(service=placement.service),
            entries=usable,
            key=placement.shard_key(entries=usable),
        )[: MAX_SLOT_SHARDS_ASKED if placement.needs_slot else MAX_SHARDS_ASKED]
        cached_at: EndpointId | None = None
        for shard in ranked:
            last = shard == ranked[-1]
            query = placement.query(
                shard=shard,
                unusable=self._unusable(placement, usable=usable),
                ignore_bound=last or placement.brittle,
                cached_at=cached_at,
                admission=placement.without_wait(now=self._clock())
                if len(ranked) > 1
                else placement.with_wait(now=self._clock()),
            )
            result = await self._ask_owner(placement, usable=usable, query=query)
            if isinstance(result, Grant):
                cached_at = result.fetch_from
            elif isinstance(result, Choice) or not placement.brittle:
                return result
        if placement.admission is None:
            return LocalChoiceReason.NOTHING_GRANTED
        return await self._wait_in_queue(placement, shard=ranked[0])

    async def _wait_in_queue(
        self, placement: PlacementRequest, *, shard: FailureDomain | None
    ) -> Choice | LocalChoiceReason:
        """Wait for a slot at the owner of a shard.

        An owner of the last release has no queue, and is asked again. Requests to
        brittle endpoints also wait until an owner is known.
        """
        while True:
            usable = self._usable(placement)
            if not shard_entries(entries=usable, shard=shard):
                return LocalChoiceReason.NOTHING_GRANTED
            query = placement.query(
                shard=shard,
                unusable=self._unusable(placement, usable=usable),
                ignore_bound=True,
                cached_at=None,
                admission=placement.with_wait(now=self._clock()),
            )
            result = await self._ask_owner(placement, usable=usable, query=query)
            if isinstance(result, Choice):
                return result
            if not isinstance(result, Grant) and not placement.brittle:
                return result
            over = self._clock() + RESEND_SECONDS >= placement.waits_until
            if over or _has_queue(result):
                return LocalChoiceReason.NOTHING_GRANTED
            await anyio.sleep(RESEND_SECONDS)

    async def _ask_owner(
        self,
        placement: PlacementRequest,
        *,
        usable: Sequence[EndpointEntry],
        query: PlacementQuery,
    ) -> Choice | LocalChoiceReason | Grant:
        """Ask the owner of a shard for an endpoint.

        Returns:
            The choice, why no owner has decided, or a grant that can't be used.

        Raises:
            NoEndpoint: If the owner refuses the request.
        """
        domain = self._owning_domain(entries=usable, shard=query.shard)
        if domain is None:
            return LocalChoiceReason.NO_OWNER
        pending = await self._exchange.request_grant(domain=domain, query=query)
        if pending is not None and pending.refusal is not None:
            raise self._refused(placement, refusal=pending.refusal)
        if pending is None or pending.grant is None:
            return LocalChoiceReason.OWNER_SILENT
        if pending.waited:
            # Endpoints may have joined or left since.
            usable = self._usable(placement)
        grant = pending.grant
        entry = next((each for each in usable if each.endpoint == grant.endpoint), None)
        if entry is None or not self._cold.has_capacity(entry=entry):
            self._reporter.abandon(pending=pending)
            return grant
        self._cold.record_request(entry=entry)
        if placement.admission is not None:
            self._metrics.count_admission(
                service=placement.service,
                waited=pending.waited,
                seconds=self._clock() - placement.arrived_at,
            )
        return self._build_choice(
            grant=grant,
            entry=entry,
            owner=pending.owner,
            candidate_count=len(usable),
            request=placement.request,
        )

    def _refused(self, placement: PlacementRequest, *, refusal: Refusal) -> NoEndpoint:
        reason = refusal.reason.value
        self._metrics.count_admission_refusal(service=placement.service, reason=reason)
        return NoEndpoint(
            f"service '{placement.service}' has no free slot in time: {reason}",
            retry_after=refusal.retry_after,
        )

    def _usable(self, placement: PlacementRequest) -> list[EndpointEntry]:
        """Endpoints to which this router may send the request.

        Raises:
            NoEndpoint: If a request to brittle endpoints has none to try.
        """
        candidates = self._placer.candidates
        # Where all endpoints failed, the owner has to grant those, too.
        choose = (
            candidates.usable_or_fallback if placement.brittle else candidates.usable
        )
        entries = choose(
            service=placement.service,
            request=placement.request,
            excluded=placement.excluded,
            version=placement.version,
        )
        return list(self._cold.with_capacity(entries=entries))

    def _unusable(
        self, placement: PlacementRequest, *, usable: Sequence[EndpointEntry]
    ) -> frozenset[EndpointId]:
        names = frozenset(entry.endpoint for entry in usable)
        return frozenset(
            entry.endpoint
            for entry in self._view.registered(service=placement.service)
            if entry.endpoint not in names
        )

    def _owning_domain(
        self, *, entries: Sequence[EndpointEntry], shard: FailureDomain | None
    ) -> FailureDomain | None:
        entry = shard_entries(entries=entries, shard=shard)[0]
        return self._shards.owning_domain(endpoint=entry.endpoint)

    def _build_choice(
        self,
        *,
        grant: Grant,
        entry: EndpointEntry,
        owner: RouterId,
        candidate_count: int,
        request: HasPrompt,
    ) -> Choice:
        """Convert an owner's grant to a choice."""
        parts = shared_parts(request=request)
        choice = Choice(
            entry=entry,
            reason=grant.reason,
            load=grant.load,
            mean_load=grant.mean_load,
            candidate_count=candidate_count,
            part_tag=part_tag(model=request.model, part=parts[-1]) if parts else 0,
            missing_tokens=grant.missing_tokens,
            work_tokens=grant.work_tokens,
            fetch_from=next(
                (
                    each
                    for each in self._view.entries
                    if each.endpoint == grant.fetch_from
                ),
                None,
            ),
            slowdown=self._placer.slowdown(entry),
            decided_by=owner,
        )
        return self._placer.record_choice(choice=choice, request=request)


def _has_queue(result: Grant | LocalChoiceReason) -> bool:
    """Return whether an owner that queues requests has granted nothing."""
    return (
        isinstance(result, Grant)
        and result.others_wait is not None
        and result.endpoint is None
    )
