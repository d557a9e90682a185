"""Chooses endpoints: by their owners in a large fleet, else by itself."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.caches import part_tag, shared_parts
from dotterelpaddle.forwarding.choice import Choice, LocalChoiceReason
from dotterelpaddle.forwarding.cold import Decider
from dotterelpaddle.owners.messages import PlacementQuery
from dotterelpaddle.owners.shards import ranked_shards, shard_entries
from dotterelpaddle.placement.rendezvous import digest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.placement import ForwardPlacer
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId, ServiceName
    from dotterelpaddle.owners.exchange import OwnerExchange
    from dotterelpaddle.owners.messages import Grant
    from dotterelpaddle.owners.reporting import InFlightReporter
    from dotterelpaddle.owners.shards import ShardMap
    from dotterelpaddle.peers.directory import PeerDirectory

MAX_SHARDS_ASKED = 2
"""Shards that are asked for: the second one when all endpoints of the first one are
over their bound."""

MIN_CANDIDATES = 2
"""Endpoints below which there is nothing to decide."""


class OwnerPlacer:
    """Lets the owner of a shard choose; where it does not answer, chooses itself.

    Args:
        view: The endpoints in force.
        placer: Chooses where no owner does.
        shards: The shards of all services.
        directory: Tells who owns what.
        exchange: Asks owners.
        reporter: Counts what they granted.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        placer: ForwardPlacer,
        shards: ShardMap,
        directory: PeerDirectory,
        exchange: OwnerExchange,
        reporter: InFlightReporter,
    ) -> None:
        self._view = view
        self._placer = placer
        self._shards = shards
        self._directory = directory
        self._exchange = exchange
        self._reporter = reporter

    async def choose(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        repeatable: bool,
        excluded: frozenset[EndpointId],
    ) -> Choice:
        """Choose an endpoint of a service.

        The request must be counted in the turn of the loop in which this returns.

        Args:
            service: The service.
            request: What is to be sent.
            repeatable: Whether a failure there could be made good elsewhere.
            excluded: Endpoints that were tried already.

        Raises:
            NoEndpoint: If there is none that takes work.
        """
        decided = await self._choose_by_owners(
            service=service,
            request=request,
            repeatable=repeatable,
            excluded=excluded,
        )
        if isinstance(decided, Choice):
            return decided
        choice = self._placer.choose(
            service=service,
            request=request,
            retryable=repeatable,
            excluded=excluded,
            decider=(
                Decider.NON_OWNER if self._directory.owners() else Decider.OWNERLESS
            ),
        )
        return replace(choice, local_reason=decided)

    async def _choose_by_owners(
        self,
        *,
        service: ServiceName,
        request: HasPrompt,
        repeatable: bool,
        excluded: frozenset[EndpointId],
    ) -> Choice | LocalChoiceReason:
        if not self._directory.owners():
            return LocalChoiceReason.NO_OWNER
        usable = self._placer.candidates.usable(
            service=service, request=request, excluded=excluded
        )
        if len(usable) < MIN_CANDIDATES:
            return LocalChoiceReason.FEW_ENDPOINTS
        names = frozenset(entry.endpoint for entry in usable)
        unusable = frozenset(
            entry.endpoint
            for entry in self._view.registered(service=service)
            if entry.endpoint not in names
        )
        ranked = ranked_shards(
            shards=self._shards.shards(service=service),
            entries=usable,
            key=_shard_key(service=service, request=request),
        )[:MAX_SHARDS_ASKED]
        cached_at: EndpointId | None = None
        for shard in ranked:
            domain = self._owning_domain(entries=usable, shard=shard)
            if domain is None:
                return LocalChoiceReason.NO_OWNER
            answered = await self._exchange.request_grant(
                domain=domain,
                query=PlacementQuery(
                    service=service,
                    shard=shard,
                    model=request.model,
                    prompt=request.prompt,
                    repeatable=repeatable,
                    excluded=unusable,
                    ignore_bound=shard == ranked[-1],
                    cached_at=cached_at,
                ),
            )
            if answered is None or answered.grant is None:
                return LocalChoiceReason.OWNER_SILENT
            grant = answered.grant
            if grant.endpoint in names:
                return self._build_choice(
                    grant=grant, owner=answered.owner, usable=usable, request=request
                )
            self._reporter.abandon(pending=answered)
            cached_at = grant.fetch_from
        return LocalChoiceReason.NOTHING_GRANTED

    def _owning_domain(
        self, *, entries: Sequence[EndpointEntry], shard: FailureDomain | None
    ) -> FailureDomain | None:
        entry = shard_entries(entries=entries, shard=shard)[0]
        return self._shards.owning_domain(endpoint=entry.endpoint)

    def _build_choice(
        self,
        *,
        grant: Grant,
        owner: RouterId,
        usable: Sequence[EndpointEntry],
        request: HasPrompt,
    ) -> Choice:
        """Turn an owner's answer into a choice."""
        entry = next(each for each in usable if each.endpoint == grant.endpoint)
        parts = shared_parts(request=request)
        choice = Choice(
            entry=entry,
            reason=grant.reason,
            load=grant.load,
            mean_load=grant.mean_load,
            candidate_count=len(usable),
            part_tag=part_tag(model=request.model, part=parts[-1]) if parts else 0,
            missing_tokens=grant.missing,
            work_tokens=grant.work,
            fetch_from=next(
                (
                    each
                    for each in self._view.entries
                    if each.endpoint == grant.fetch_from
                ),
                None,
            ),
            decided_by=owner,
        )
        return self._placer.record_choice(choice=choice, request=request)


def _shard_key(*, service: ServiceName, request: HasPrompt) -> int:
    """What decides the shard: the deepest part of the prompt that others share."""
    parts = shared_parts(request=request)
    if parts:
        return part_tag(model=request.model, part=parts[-1])
    return digest(text=service)
