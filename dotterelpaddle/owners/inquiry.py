"""A router's inquiry for an endpoint at one owner."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.owners.messages import Refusal, RefusalReason
from dotterelpaddle.owners.placement_request import MIN_WAIT_SECONDS
from dotterelpaddle.retries.retry_after import DEFAULT_RETRY_AFTER_SECONDS

if TYPE_CHECKING:
    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.owners.messages import PlacementQuery
    from dotterelpaddle.owners.reporting import PendingGrant
    from dotterelpaddle.peers.report import PeerInfo

RESEND_SECONDS = 0.1
"""Seconds after which a router sends a grant request again that waits at its owner."""

REFUSAL_GRACE_SECONDS = 0.03
"""Time after the longest wait in which the owner's refusal, which names a better time
to retry, may still arrive."""


class InquiryEnd(Enum):
    """Why a router stops asking an owner."""

    ANSWERED = "answered"
    SILENT = "silent"
    OWNER_REPLACED = "owner_replaced"


@dataclass(kw_only=True, slots=True)
class Inquiry:
    """A request that an owner has to place.

    Attributes:
        owner: The owner.
        domain: Failure domain of the shard.
        query: The request to place, as of its arrival.
        arrived_at: Its arrival, seconds on the monotonic clock.
        pending: The grant request.
    """

    owner: PeerInfo
    domain: FailureDomain
    query: PlacementQuery
    arrived_at: float
    pending: PendingGrant

    @property
    def may_wait(self) -> bool:
        """Whether the request may wait for a slot."""
        admission = self.query.admission
        return admission is not None and admission.max_wait > 0

    @property
    def keeps_owner(self) -> bool:
        """Whether it waits for a late owner instead of asking another one."""
        return self.query.brittle and self.may_wait

    @property
    def ends_at(self) -> float:
        """When the router gives up, seconds on the monotonic clock."""
        admission = self.query.admission
        max_wait = 0.0 if admission is None else admission.max_wait
        return self.arrived_at + max_wait + REFUSAL_GRACE_SECONDS

    def next_question_at(self, *, now: float) -> float:
        """Return when to ask again, or when to give up if the wait is over by then."""
        again_at = now + RESEND_SECONDS
        over = again_at >= self.ends_at - REFUSAL_GRACE_SECONDS
        return self.ends_at if over else again_at

    def query_at(self, *, now: float) -> PlacementQuery:
        """Return the query with the time that is left.

        Args:
            now: Seconds on the monotonic clock.
        """
        admission = self.query.admission
        if admission is None:
            return self.query
        elapsed = now - self.arrived_at
        max_wait = 0.0
        if admission.max_wait:
            max_wait = max(MIN_WAIT_SECONDS, admission.max_wait - elapsed)
        return replace(
            self.query,
            admission=replace(
                admission,
                max_wait=max_wait,
                time_left=max(0.0, admission.time_left - elapsed),
            ),
        )

    def expire(self) -> Refusal:
        """Return the refusal of a request whose wait is over without an answer."""
        return Refusal(
            number=self.pending.number,
            retry_after=DEFAULT_RETRY_AFTER_SECONDS,
            reason=RefusalReason.EXPIRED,
        )
