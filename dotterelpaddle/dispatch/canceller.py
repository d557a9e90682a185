"""Cancels at engines what nobody waits for any more.

Closing a connection cancels its request, unless the connection has gone silent:
then the engine never learns of it and goes on. So each abandoned chat attempt is
cancelled by name too, over another connection.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.endpoint.engine import EngineClient
    from dotterelpaddle.ids import RequestId
    from dotterelpaddle.records.model import Endpoint

log = get_logger(name=__name__)

MAX_WAITING = 1024
"""Cancellations that may wait; the oldest is dropped for a newer one."""

MAX_AT_ONCE = 16
"""Cancellations that are sent at a time."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Abandoned:
    endpoint: Endpoint
    request_id: RequestId


class Canceller:
    """Sends cancellations; `run` must run as a task.

    Args:
        engines: Client of engines.
    """

    def __init__(self, *, engines: EngineClient) -> None:
        self._engines = engines
        self._waiting: deque[_Abandoned] = deque(maxlen=MAX_WAITING)
        self._wake = anyio.Event()
        self._limiter = anyio.CapacityLimiter(MAX_AT_ONCE)

    def cancel_later(self, *, endpoint: Endpoint, request_id: RequestId) -> None:
        """Cancel a request at an engine it will not be sent to again."""
        self._waiting.append(_Abandoned(endpoint=endpoint, request_id=request_id))
        self._wake.set()

    async def cancel(self, *, endpoint: Endpoint, request_id: RequestId) -> None:
        """Cancel a request at an engine; a failure is logged and no more."""
        try:
            await self._engines.cancel(endpoint=endpoint, request_id=request_id)
        except EndpointError as error:
            log.debug(
                "cancel_failed",
                request_id=request_id,
                endpoint=endpoint.name,
                cause=error.message,
            )

    async def run(self) -> None:
        """Send cancellations until cancelled itself."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                while self._waiting:
                    tasks.start_soon(self._send, self._waiting.popleft())

    async def _send(self, abandoned: _Abandoned) -> None:
        async with self._limiter:
            await self.cancel(
                endpoint=abandoned.endpoint, request_id=abandoned.request_id
            )
