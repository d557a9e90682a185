"""The result of a placement decision and its reason."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import PartTag
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import RouterId


class ChoiceReason(Enum):
    """Why the placer chose an endpoint."""

    CACHED = "cached"
    LEAST_COST = "least_cost"
    LEAST_LOADED = "least_loaded"


class LocalChoiceReason(Enum):
    """Why a router chose from reported loads instead of asking a shard owner."""

    FEW_ENDPOINTS = "few_endpoints"
    NO_OWNER = "no_owner"
    OWNER_SILENT = "owner_silent"
    NOTHING_GRANTED = "nothing_granted"


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """The endpoint chosen for a request, and the figures behind the choice.

    Attributes:
        entry: The chosen endpoint.
        reason: Why the placer chose it.
        load: Requests in flight at the endpoint, without this request.
        mean_load: Mean requests in flight over the candidates.
        candidate_count: Number of candidates.
        part_tag: Tag of the longest shared part of the prompt, 0 if it has none.
        missing_tokens: Shared prompt tokens that the endpoint has not cached.
        work_tokens: Work before the endpoint can answer, in prompt tokens that it
            could read in the same time.
        fetch_from: Endpoint whose cache has more of the missing tokens, None if a fetch
            would save fewer than MIN_FETCH_TOKENS.
        new_parts: Prompt parts that were not recorded at the endpoint before.
        slowdown: Factor on the usual time of work at the endpoint, as known here.
        decided_by: Shard owner that made the choice, None if this router did.
        local_reason: Why this router made the choice, None if an owner did.
    """

    entry: EndpointEntry
    reason: ChoiceReason
    load: int
    mean_load: float
    candidate_count: int
    part_tag: int = 0
    missing_tokens: int = 0
    work_tokens: int = 0
    fetch_from: EndpointEntry | None = None
    new_parts: tuple[PartTag, ...] = ()
    slowdown: float = 1.0
    decided_by: RouterId | None = None
    local_reason: LocalChoiceReason | None = None
