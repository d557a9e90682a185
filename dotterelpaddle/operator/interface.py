"""What the operator interface asks of the router that it is part of."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

# Reports are read from JSON by their annotations, so these exist at run time.
from dotterelpaddle.ids import Revision, RouterId  # noqa: TC001

MAX_WAIT = 300.0
"""Longest wait for a revision to be in force, seconds."""

Document = Mapping[str, Any]
"""Content of a JSON answer that only people and scripts of theirs read."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ForceReport:
    """Where a revision is in force.

    Attributes:
        revision: The revision asked about.
        in_force: Live routers that have it, or a newer one, in force.
        pending: Live routers that answer and don't have it yet.
        unreachable: Routers on the list of members that can't be heard from.
    """

    revision: Revision
    in_force: tuple[RouterId, ...]
    pending: tuple[RouterId, ...] = ()
    unreachable: tuple[RouterId, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether all routers that can be heard from have it in force."""
        return not self.pending


class ForceWatch(Protocol):
    """Tells when a revision is in force on the fleet."""

    async def wait_in_force(self, *, revision: Revision, timeout: float) -> ForceReport:
        """Wait until a revision is in force on every live router.

        Args:
            revision: The revision.
            timeout: Seconds after which the report comes as it stands.

        Returns:
            Where it is in force. It comes early once each router either has it
            in force or can't be heard from.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class ExplainQuery:
    """A question why a request went, or would go, where it went.

    Attributes:
        request_id: Name of a recent request, empty to ask about a chat.
        account: Client account of the chat.
        service: Service name of the chat.
        chat: The chat's id.
    """

    request_id: str = ""
    account: str = ""
    service: str = ""
    chat: str = ""


StatusSource = Callable[[], Document]
"""Describes the router: membership, configuration, placement, leases."""

ExplainSource = Callable[[ExplainQuery], Awaitable[Document]]
"""Explains a placement; raises RouteNotFound if the chat has no route."""

MetricsSource = Callable[[], bytes]
"""Renders all metrics as Prometheus text."""

ReadySource = Callable[[], bool]
"""Tells whether the router takes callers' requests."""
