"""Finds out where how much of a prompt is cached."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.caches import shared_tokens
from dotterelpaddle.forwarding.cost import PromptWork

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.health import HealthTracker
    from dotterelpaddle.forwarding.interface import HasPrompt
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedPrompt:
    """Where how much of one prompt is cached.

    Attributes:
        missing_tokens: Shared tokens that an endpoint lacks.
        holder: The endpoint that lacks the least, None if none can be reached.
        min_missing_tokens: The tokens that it lacks.
        unique_tokens: Tokens of the prompt that no other one shares.
        is_uncached: Whether nobody has any of the shared ones.
        holder_domains: Failure domains of the candidates that lack no more than it.
    """

    missing_tokens: Mapping[EndpointId, int]
    holder: EndpointEntry | None
    min_missing_tokens: int
    unique_tokens: int
    is_uncached: bool
    holder_domains: frozenset[FailureDomain]

    def work_at(self, *, endpoint: EndpointId) -> PromptWork:
        """What an endpoint has to do for the prompt."""
        lacks = self.missing_tokens[endpoint]
        elsewhere = max(0, lacks - self.min_missing_tokens)
        return PromptWork(
            missing_tokens=lacks,
            fetchable_tokens=elsewhere,
            unique_tokens=self.unique_tokens,
        )


class CachedPrompts:
    """Looks prompts up.

    Args:
        view: The endpoints in force.
        health: Results of requests.
        reachability: Where no connection can be made.
        caches: Where parts of prompts are.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        health: HealthTracker,
        reachability: Reachability,
        caches: CacheMap,
    ) -> None:
        self._view = view
        self._health = health
        self._reachability = reachability
        self._caches = caches

    def look_up(
        self,
        *,
        request: HasPrompt,
        candidates: Sequence[EndpointEntry],
        cached_at: EndpointId | None = None,
    ) -> CachedPrompt:
        """Find out where how much of a prompt is cached.

        Endpoints that are leaving count too, also those whose entries have just
        gone: they hand out what they have.

        Args:
            request: The request.
            candidates: Where it can go.
            cached_at: Endpoint that has all shared parts, as the owner of it told.
        """
        service = candidates[0].service
        holders = [entry for entry in self._view.entries if entry.service == service]
        holders += [
            entry
            for entry in self._view.last_resort(service=service)
            if self._health.is_healthy(endpoint=entry.endpoint)
        ]
        holders = self._reachability.reachable(entries=holders)
        total = shared_tokens(request=request)
        cached = self._caches.cached_tokens(request=request)
        missing = {
            entry.endpoint: total - cached.get(entry.endpoint, 0)
            for entry in (*holders, *candidates)
        }
        if cached_at in missing:
            missing[cached_at] = 0
        holder = min(holders, key=lambda entry: missing[entry.endpoint], default=None)
        least = total if holder is None else missing[holder.endpoint]
        return CachedPrompt(
            missing_tokens=missing,
            holder=holder,
            min_missing_tokens=least,
            unique_tokens=request.prompt[-1].tokens,
            is_uncached=least == total,
            holder_domains=frozenset(
                entry.failure_domain
                for entry in candidates
                if missing[entry.endpoint] <= least
            ),
        )
