"""Processes the notices about themselves that endpoints add to their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.relays import NOT_EXECUTED_STATUSES
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.brittle import BrittleEndpoints
    from dotterelpaddle.forwarding.interface import AnswerHead
    from dotterelpaddle.forwarding.leaving import LeavingEndpoints
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.slowdowns import Slowdowns
    from dotterelpaddle.ids import RequestId

log = get_logger(name=__name__)


class EndpointNotices:
    """Passes the notices in an answer's head to the trackers concerned.

    Args:
        leaving: Tracks leaving endpoints.
        backoffs: Tracks endpoints that asked for a backoff.
        brittle: Tracks endpoints that end if they reject too many requests.
        slowdowns: Tracks the slowdowns that endpoints report, None to ignore them.
    """

    def __init__(
        self,
        *,
        leaving: LeavingEndpoints,
        backoffs: EndpointBackoffs,
        brittle: BrittleEndpoints,
        slowdowns: Slowdowns | None = None,
    ) -> None:
        self._leaving = leaving
        self._brittle = brittle
        self._backoffs = backoffs
        self._slowdowns = slowdowns

    def process(
        self, *, entry: EndpointEntry, head: AnswerHead, request_id: RequestId
    ) -> None:
        """Process the head of an answer that comes from this incarnation."""
        endpoint = entry.endpoint
        if head.leaving or head.retry_after is not None:
            log.info(
                "endpoint_said",
                endpoint=endpoint,
                request_id=request_id,
                status=head.status,
                leaving=head.leaving,
                retry_after=head.retry_after,
            )
        self._brittle.record_answer(
            entry=entry, limit=head.rejection_limit, rejected=head.not_executed
        )
        slowdown = None if head.load is None else head.load.slowdown
        if self._slowdowns is not None and slowdown is not None:
            self._slowdowns.record_told(endpoint=endpoint, slowdown=slowdown)
        if head.leaving:
            self._leaving.record(endpoint=endpoint)
        if head.retry_after is not None and head.status in NOT_EXECUTED_STATUSES:
            self._backoffs.record(endpoint=endpoint, seconds=head.retry_after)
