"""One operation of the operator interface."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response

Handler = Callable[[Request], Awaitable[Response]]
"""Answers a request."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """What the operator interface does for one kind of request.

    Attributes:
        method: HTTP method.
        path: Path, with its parameters in braces.
        handler: Answers the request.
    """

    method: str
    path: str
    handler: Handler
