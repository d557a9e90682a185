"""What the relays of all kinds of work share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from dotterelpaddle.dispatch.target import Result, Target, WholeAnswer
from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.endpoint.answer import Answer

OUTCOME_HEADER = "x-outcome"
OUTCOME_PENDING = "pending"
SERVER_ERROR = 500
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-outcome",
        "x-request-id",
    }
)
"""Headers that belong to one connection or are the router's own."""


class Relay(Protocol):
    """Sends attempts of one exchange."""

    async def send(self, *, target: Target) -> Result:
        """Send one attempt and bring its answer, or raise `EndpointError`."""


def failed(*, answer: Answer) -> EndpointError:
    """Return the error of an answer with a server's error status."""
    return EndpointError(f"answered with status {answer.status}", peer=answer.peer)


def whole(*, answer: Answer, body: bytes) -> WholeAnswer:
    """Return an endpoint's answer as the caller gets it."""
    outcome = Outcome.COMPLETED
    if answer.status >= SERVER_ERROR:
        outcome = Outcome.UNKNOWN
    return WholeAnswer(
        status=answer.status,
        headers=end_to_end(headers=answer.headers),
        body=body,
        outcome=outcome,
    )


def end_to_end(*, headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that are for the caller."""
    return {name: value for name, value in headers.items() if name not in HOP_HEADERS}
