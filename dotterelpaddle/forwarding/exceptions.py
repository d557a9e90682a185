"""Errors of attempts that only forwarding tells apart.

They stand apart from the tree that the product's own callers are told of: here they
decide whether another attempt may follow, and which endpoint is to blame.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import AnswerBroken, EndpointError, EndpointRefused

if TYPE_CHECKING:
    from dotterelpaddle.exceptions import Step
    from dotterelpaddle.forwarding.exchange import BufferedAnswer


class EndpointReplaced(EndpointRefused):
    """Another endpoint has the address, which refused the request."""


class IdleConnectionLost(AnswerBroken):
    """A kept connection was of no use when the request was sent on it.

    It was closed, or a late answer to an earlier request came. It says nothing of
    the endpoint, which may drop idle connections.
    """


class FailedAnswer(EndpointError):
    """An endpoint answered that it failed on the request, which has run.

    Attributes:
        answer: The answer, for the caller if no other one comes.
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
