"""What a placer chose, and why."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import PartTag
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.ids import RouterId


class ChoiceReason(Enum):
    """Why an endpoint was chosen."""

    CACHED = "cached"
    LEAST_COST = "least_cost"
    LEAST_LOADED = "least_loaded"


class LocalChoiceReason(Enum):
    """Why a router chose by itself, on reports, instead of an owner."""

    FEW_ENDPOINTS = "few_endpoints"
    NO_OWNER = "no_owner"
    OWNER_SILENT = "owner_silent"
    NOTHING_GRANTED = "nothing_granted"


@dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """An endpoint chosen for a request, with the reasons.

    Attributes:
        entry: The endpoint.
        reason: Why it was chosen.
        load: Its requests in flight, this one excluded.
        mean_load: The mean over the candidates.
        candidate_count: Endpoints that it was chosen from.
        part_tag: Tag of the deepest shared part of the prompt, 0 without one.
        missing_tokens: Shared prompt tokens that it does not have.
        work_tokens: Time that it takes until it can answer, in tokens read.
        fetch_from: Endpoint from whose cache it may fetch them, None if none
            has more of them.
        new_parts: Parts that it was not known to have before this choice.
        decided_by: The owner that chose it, None for this router itself.
        local_reason: Why this router chose it itself, None where an owner did.
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
    decided_by: RouterId | None = None
    local_reason: LocalChoiceReason | None = None
