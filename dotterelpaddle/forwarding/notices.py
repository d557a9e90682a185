"""Heeds what endpoints say of themselves beside their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.relays import NOT_EXECUTED_STATUSES
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
    from dotterelpaddle.forwarding.interface import AnswerHead
    from dotterelpaddle.forwarding.leaving import LeavingEndpoints
    from dotterelpaddle.ids import EndpointId, RequestId

log = get_logger(name=__name__)


class EndpointNotices:
    """Passes on to whom it concerns what an endpoint says of itself.

    Args:
        leaving: Endpoints that leave.
        backoffs: Endpoints that want nothing from this router for a while.
    """

    def __init__(
        self, *, leaving: LeavingEndpoints, backoffs: EndpointBackoffs
    ) -> None:
        self._leaving = leaving
        self._quiet = backoffs

    def process(
        self, *, endpoint: EndpointId, head: AnswerHead, request_id: RequestId
    ) -> None:
        """Take in the head of an answer that is this start's own, whatever it says."""
        if head.leaving or head.retry_after is not None:
            log.info(
                "endpoint_said",
                endpoint=endpoint,
                request_id=request_id,
                status=head.status,
                leaving=head.leaving,
                retry_after=head.retry_after,
            )
        if head.leaving:
            self._leaving.record(endpoint=endpoint)
        if head.retry_after is not None and head.status in NOT_EXECUTED_STATUSES:
            self._quiet.record(endpoint=endpoint, seconds=head.retry_after)
