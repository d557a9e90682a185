"""Looks up how much of a prompt each endpoint has cached."""

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
    """How much of one prompt each endpoint has cached.

    Attributes:
        missing_tokens: Shared tokens that each endpoint has not cached.
        holder: Endpoint with the fewest missing tokens, None if none is reachable.
        min_missing_tokens: Missing tokens of the holder.
        unique_tokens: Tokens that no other prompt shares.
        is_uncached: Whether no endpoint has any shared token.
        holder_domains: Failure domains of the candidates that have as few missing
            tokens as the holder.
    """

    missing_tokens: Mapping[EndpointId, int]
    holder: EndpointEntry | None
    min_missing_tokens: int
    unique_tokens: int
    is_uncached: bool
    holder_domains: frozenset[FailureDomain]

    def work_at(self, *, endpoint: EndpointId) -> PromptWork:
        """Return the work of an endpoint for the prompt."""
        missing_tokens = self.missing_tokens[endpoint]
        fetchable_tokens = max(0, missing_tokens - self.min_missing_tokens)
        return PromptWork(
            missing_tokens=missing_tokens,
            fetchable_tokens=fetchable_tokens,
            unique_tokens=self.unique_tokens,
        )


class CachedPrompts:
    """Looks up cached prompts among all endpoints of a service.

    Args:
        view: Current endpoints and configuration.
        health: Results of recent requests per endpoint.
        reachability: Endpoints that this router can't connect to.
        caches: Prompt parts that each endpoint has cached.
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
        """Return how much of a prompt each endpoint has cached.

        This includes endpoints that are leaving or whose entries were just removed,
        because other endpoints can still fetch from their caches.

        Args:
            request: The request.
            candidates: Endpoints that the request may go to.
            cached_at: Endpoint that has all shared parts according to its owner.
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
        missing_tokens = {
            entry.endpoint: total - cached.get(entry.endpoint, 0)
            for entry in (*holders, *candidates)
        }
        if cached_at in missing_tokens:
            missing_tokens[cached_at] = 0
        holder = min(
            holders, key=lambda entry: missing_tokens[entry.endpoint], default=None
        )
        min_missing_tokens = (
            total if holder is None else missing_tokens[holder.endpoint]
        )
        return CachedPrompt(
            missing_tokens=missing_tokens,
            holder=holder,
            min_missing_tokens=min_missing_tokens,
            unique_tokens=request.prompt[-1].tokens,
            is_uncached=min_missing_tokens == total,
            holder_domains=frozenset(
                entry.failure_domain
                for entry in candidates
                if missing_tokens[entry.endpoint] <= min_missing_tokens
            ),
        )
