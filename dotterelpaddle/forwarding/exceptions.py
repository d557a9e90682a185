"""Errors of attempts that only forwarding distinguishes.

They are not part of the exceptions that callers of the package see. Forwarding uses
them to decide whether to retry and which endpoint caused a failure.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import (
    AnswerBroken,
    EndpointError,
    EndpointRefused,
    EndpointUnreachable,
    RequestError,
)

if TYPE_CHECKING:
    from dotterelpaddle.exceptions import Step
    from dotterelpaddle.forwarding.exchange import BufferedAnswer


class RetryObstacle(Enum):
    """Why no retry follows a failed or silent attempt."""

    DEADLINE = "deadline"
    MAY_HAVE_RUN = "may_have_run"
    ANSWER_STARTED = "answer_started"
    MAX_ATTEMPTS = "max_attempts"
    BUDGET = "budget"
    NO_ENDPOINT = "no_endpoint"
    BLOCKED = "blocked"
    UNCONFIRMED = "unconfirmed"


class RetryWithheld(RequestError):
    """No retry may follow an attempt that failed or fell silent.

    Attributes:
        obstacle: Why none may follow.
    """

    def __init__(self, *, obstacle: RetryObstacle) -> None:
        super().__init__(f"no retry may follow: {obstacle.value}")
        self.obstacle = obstacle


class EndpointReplaced(EndpointRefused):
    """Another endpoint now has the address; it refused the request."""


class ConnectionLimitReached(EndpointUnreachable):
    """All connections that this router may open to the endpoint are in use.

    This is no fault of the endpoint. Nothing was sent.
    """


class IdleConnectionLost(AnswerBroken):
    """A request failed on a reused connection that was no longer usable.

    The endpoint had closed the connection, or a late answer to an earlier request
    arrived on it. This is no fault: endpoints may close idle connections.
    """


class UnreadAnswerBroken(AnswerBroken):
    """An answer broke off, and the router had paused reading it before.

    Endpoints cut off answers that stay unread, so this is no fault of theirs.
    """


class FailedAnswer(EndpointError):
    """An endpoint ran the request and answered that it failed.

    Attributes:
        answer: The answer, which the caller receives if no retry succeeds.
    """

    def __init__(
        self,
        message: str,
        *,
        answer: BufferedAnswer,
        step: Step | None = None,
        peer: str = "",
    ):
        super().__init__(message, step=step, peer=peer)
        self.answer = answer
