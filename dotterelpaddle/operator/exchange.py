"""HTTP exchanges with the operator interface of one of several routers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.exceptions import (
    DotterelpaddleError,
    RecordOutcomeUnknown,
    RouterUnreachable,
    Step,
)
from dotterelpaddle.links import Links
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.operator import wire
from dotterelpaddle.operator.remote_errors import raise_report
from dotterelpaddle.operator.reports import ErrorReport
from dotterelpaddle.send_progress import SendProgress

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HTTP_OK = 200

CONNECT_TIMEOUT = 2.0
"""Seconds after which a router counts as unreachable."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorRequest:
    """One request to the operator interface.

    Attributes:
        method: HTTP method.
        path: Path with query.
        body: Whole body.
        attempt: Name of the change that it asks for, empty if it changes nothing.
        timeout: Seconds for the answer, None for the connection's timeout.
    """

    method: str
    path: str
    body: bytes = b""
    attempt: str = ""
    timeout: float | None = None


class _NotSent(Exception):
    """Nothing of a request left this host."""


class OperatorConnection:
    """Sends requests to the first router that can be reached.

    Args:
        pool: Connections of httpcore.
        routers: Operator addresses of routers.
        headers: Headers of each request.
        timeout: Seconds for an answer.
    """

    def __init__(
        self,
        *,
        pool: httpcore.AsyncConnectionPool,
        routers: tuple[str, ...],
        headers: list[tuple[bytes, bytes]],
        timeout: float,
    ) -> None:
        self._pool = pool
        self._routers = tuple(router.rstrip("/") for router in routers)
        self._headers = headers
        self._timeout = timeout
        self._peer = self._routers[0] if self._routers else ""

    @property
    def peer(self) -> str:
        """The router that was asked last."""
        return self._peer

    async def exchange(self, *, request: OperatorRequest) -> bytes:
        """Send a request and return the body of a good answer.

        Raises:
            RouterUnreachable: If nothing could be sent to any router.
            RecordOutcomeUnknown: If a change was sent and no answer came.
            DotterelpaddleError: Whatever error the router answered.
        """
        reasons = []
        for router in self._routers:
            self._peer = router
            try:
                response = await self._send(router=router, request=request)
            except _NotSent as error:
                reasons.append(f"{router}: {error}")
                continue
            if response.status == HTTP_OK:
                return response.content
            self._raise(response=response)
        raise RouterUnreachable(
            f"no router can be reached, so nothing was sent ({'; '.join(reasons)});"
            " give the operator address of a running router with --router",
            peer=self._peer,
        )

    async def _send(
        self, *, router: str, request: OperatorRequest
    ) -> httpcore.Response:
        timeout = request.timeout or self._timeout
        progress = SendProgress()
        try:
            # The scope also bounds answers that come a byte at a time.
            with anyio.fail_after(timeout + CONNECT_TIMEOUT):
                return await self._pool.request(
                    request.method,
                    f"{router}{request.path}",
                    headers=self._headers,
                    content=request.body,
                    extensions={
                        "timeout": {"connect": CONNECT_TIMEOUT, "read": timeout},
                        "trace": progress.trace,
                    },
                )
        except httpcore.UnsupportedProtocol as error:
            raise DotterelpaddleError(
                f"'{router}' is no router's operator address; write it as"
                " http://IP:PORT",
                step=Step.CONNECT,
            ) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise self._lost(request=request, progress=progress, why=error) from error
        except (httpcore.TimeoutException, TimeoutError) as error:
            raise self._lost(request=request, progress=progress, why=error) from error

    def _lost(
        self, *, request: OperatorRequest, progress: SendProgress, why: Exception
    ) -> Exception:
        reason = str(why) or type(why).__name__
        if not progress.may_have_sent:
            return _NotSent(reason)
        if request.attempt:
            return RecordOutcomeUnknown(
                f"the change may or may not have been accepted: no answer came"
                f" ({reason}); find out with `dotterelpaddle record attempt"
                f" {request.attempt}` before you apply it again",
                attempt=request.attempt,
                peer=self._peer,
            )
        return RouterUnreachable(
            f"no answer came ({reason}); ask again, or another router with --router",
            step=Step.RECEIVE,
            peer=self._peer,
        )

    def _raise(self, *, response: httpcore.Response) -> None:
        report = wire.decode_report(
            content=response.content, report=ErrorReport, peer=self._peer
        )
        raise_report(report=report, router=self._peer)


@asynccontextmanager
async def open_connection(
    *,
    routers: tuple[str, ...],
    token: str,
    timeout: float,
    operator: str,
    links: Links | None,
) -> AsyncIterator[OperatorConnection]:
    """Open the way to some routers; see `client.open_operator`."""
    headers = [
        (b"authorization", f"Bearer {token}".encode()),
        (wire.OPERATOR_HEADER.encode(), operator.encode("ascii", "replace")),
    ]
    backend = LinkedBackend(links=links or Links())
    async with httpcore.AsyncConnectionPool(network_backend=backend) as pool:
        yield OperatorConnection(
            pool=pool, routers=routers, headers=headers, timeout=timeout
        )
