"""The client of plain services."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.endpoint.caller import Call
from dotterelpaddle.endpoint.evidence import Observer, ignore

if TYPE_CHECKING:
    from collections.abc import Mapping
    from contextlib import AbstractAsyncContextManager

    from dotterelpaddle.endpoint.answer import Answer
    from dotterelpaddle.endpoint.caller import EndpointCaller
    from dotterelpaddle.endpoint.patience import KeepWaiting, Patience
    from dotterelpaddle.ids import RequestId
    from dotterelpaddle.records.model import Endpoint

KEPT_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-chat-id",
        "x-idempotent",
        "x-request-id",
        "x-timeout-ms",
    }
)
"""Headers of the caller that belong to its connection or are for the router; its
token must not reach a service."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One attempt at a plain-service request.

    Attributes:
        request_id: Name of the request.
        method: HTTP method.
        path: Path at the service, with query.
        headers: The caller's headers with lower-case names.
        body: Whole body.
        idempotency_key: The caller's key, empty for none.
        time_left: Seconds until the caller's deadline.
        patience: Deadlines on progress.
        fresh: Whether only a new connection may carry it.
        keep_waiting: Asked when a deadline on progress passes.
    """

    request_id: RequestId
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    idempotency_key: str = ""
    time_left: float
    patience: Patience
    fresh: bool = False
    keep_waiting: KeepWaiting | None = None


class ServiceClient:
    """Speaks to plain services.

    Args:
        caller: Sends calls and keeps connections.
    """

    def __init__(self, *, caller: EndpointCaller) -> None:
        self._caller = caller

    def call(
        self, *, endpoint: Endpoint, call: ServiceCall, observe: Observer = ignore
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a request; see `EndpointCaller.call` for errors."""
        sent = Call(
            method=call.method,
            path=call.path,
            headers=_headers(call=call),
            body=call.body,
            request_id=call.request_id,
            patience=call.patience,
            fresh=call.fresh,
            keep_waiting=call.keep_waiting,
        )
        return self._caller.call(endpoint=endpoint, call=sent, observe=observe)


def _headers(*, call: ServiceCall) -> dict[str, str]:
    headers = {
        name: value for name, value in call.headers.items() if name not in KEPT_HEADERS
    }
    headers["x-timeout-ms"] = str(max(1, round(call.time_left * 1000)))
    if call.idempotency_key:
        headers["idempotency-key"] = call.idempotency_key
    return headers
