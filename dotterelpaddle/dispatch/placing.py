"""What is asked of placement for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.pipeline import ChatWork
from dotterelpaddle.placement.bound import MEAN_COST
from dotterelpaddle.placement.cost import request_cost
from dotterelpaddle.placement.interface import PlacementRequest

if TYPE_CHECKING:
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.pipeline import Exchange
    from dotterelpaddle.records.model import Account

DEFAULT_RANK = 100
"""Priority rank of a client account without a priority record."""


def rank_of(*, account: Account, catalog: Catalog) -> int:
    """Return the priority rank of a client account."""
    priority = catalog.priority(name=account.priority)
    return priority.rank if priority else DEFAULT_RANK


def placement_request(
    *, exchange: Exchange, catalog: Catalog, excluded: frozenset[EndpointId]
) -> PlacementRequest:
    """Return what is asked of placement for a request's next attempt."""
    assert exchange.account is not None
    assert exchange.pool is not None
    account = exchange.account
    limit = catalog.limit(name=account.limit)
    return PlacementRequest(
        request_id=exchange.request_id,
        account=account.name,
        share=account.share,
        rank=rank_of(account=account, catalog=catalog),
        max_in_flight=limit.max_in_flight if limit else 0,
        pool=exchange.pool,
        affinity=exchange.affinity,
        cost=_cost(exchange=exchange),
        prompt_tokens=exchange.prompt_tokens,
        deadline=exchange.deadline,
        excluded=excluded,
    )


def _cost(*, exchange: Exchange) -> int:
    """Estimate a request's load; short chats and service calls count as one.

    None counts as less, or more requests than a pool's `max_in_flight` could be
    in flight at an endpoint.
    """
    match exchange.work:
        case ChatWork():
            cost = request_cost(
                prompt_tokens=exchange.prompt_tokens,
                answer_tokens=exchange.answer_tokens,
            )
            return max(MEAN_COST, cost)
        case _:
            return MEAN_COST
