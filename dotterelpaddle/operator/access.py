"""Lets only operators with the token in."""

from __future__ import annotations

import hmac
from functools import wraps
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NotAuthenticated

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.responses import Response

    from dotterelpaddle.operator.operation import Handler

SCHEME = "bearer"


class Access:
    """Checks the bearer token of requests.

    Args:
        token: The token.
    """

    def __init__(self, *, token: str) -> None:
        self._token = token.encode()

    def guard(self, handler: Handler) -> Handler:
        """Call a handler only for requests with the token."""

        @wraps(handler)
        async def _call(request: Request) -> Response:
            self._check(request=request)
            return await handler(request)

        return _call

    def _check(self, *, request: Request) -> None:
        header = request.headers.get("authorization", "")
        scheme, _, given = header.partition(" ")
        if scheme.lower() != SCHEME or not given:
            raise NotAuthenticated(
                "the operator token is missing; send it as 'Authorization: Bearer"
                " TOKEN', or give the command --token-file or --token-env",
                peer=_caller(request=request),
            )
        if not self._token or not hmac.compare_digest(given.encode(), self._token):
            raise NotAuthenticated(
                "the operator token is wrong; it is the one in the router's"
                " settings, field operator.token",
                peer=_caller(request=request),
            )


def _caller(*, request: Request) -> str:
    return f"{request.client.host}:{request.client.port}" if request.client else ""
