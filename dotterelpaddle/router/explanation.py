"""Why a request or a chat went where it went."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.entry.affinity import affinity_key
from dotterelpaddle.exceptions import RouteNotFound
from dotterelpaddle.ids import AccountId, RequestId, ServiceName

if TYPE_CHECKING:
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.operator.interface import Document, ExplainQuery
    from dotterelpaddle.placement.history import PastDecision
    from dotterelpaddle.placement.service import PlacementService


class Explainer:
    """Answers operators' questions about placements of this router.

    Args:
        router: This router.
        catalog: The records in force.
        placement: Remembers its last decisions.
    """

    def __init__(
        self, *, router: RouterId, catalog: Catalog, placement: PlacementService
    ) -> None:
        self._router = router
        self._catalog = catalog
        self._placement = placement

    async def explain(self, query: ExplainQuery) -> Document:
        """Answer a question.

        Raises:
            RouteNotFound: If the request is not known here or the chat has no
                route.
        """
        if query.request_id:
            return self._explain_request(request_id=RequestId(query.request_id))
        return self._explain_chat(query=query)

    def _explain_request(self, *, request_id: RequestId) -> Document:
        past = self._placement.explain_request(request_id=request_id)
        if not past:
            raise RouteNotFound(
                f"router '{self._router}' remembers no request '{request_id}'; ask "
                "the router that answered it, soon after"
            )
        return {
            "router": self._router,
            "request_id": request_id,
            "decisions": [describe_decision(past=each) for each in past],
        }

    def _explain_chat(self, *, query: ExplainQuery) -> Document:
        route = self._catalog.route(
            account=AccountId(query.account), service=ServiceName(query.service)
        )
        if route is None:
            raise RouteNotFound(
                f"client account '{query.account}' has no route for "
                f"'{query.service}'; see 'record list --kind route'"
            )
        affinity = affinity_key(route=route, chat_id=query.chat, messages=())
        past = self._placement.explain(affinity=affinity)
        return {
            "router": self._router,
            "chat_key": f"{affinity:016x}",
            "pool": route.pool,
            "decisions": [describe_decision(past=each) for each in past],
        }


def describe_decision(*, past: PastDecision) -> Document:
    """Write a decision as a JSON document."""
    decision = past.decision
    return {
        "request_id": past.request_id,
        "account": past.account,
        "pool": past.pool,
        "endpoint": decision.endpoint.name,
        "reason": decision.reason.value,
        "path": decision.path.value,
        "decided_by": decision.decided_by,
        "load": decision.load,
        "mean_load": decision.mean_load,
        "waited": decision.waited,
        "alternatives": [
            {"endpoint": each.endpoint, "load": each.load, "why": each.why}
            for each in decision.alternatives
        ],
    }
