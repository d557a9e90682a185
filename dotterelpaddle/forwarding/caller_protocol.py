"""Callers' connections, within the limits of the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from dotterelpaddle.forwarding.model import CallerLimits

log = get_logger(name=__name__)

DEFAULT_IDLE_SECONDS = 15.0
"""Seconds that a connection may stay idle while no configuration says otherwise.

Longer than uvicorn's five: a request that crosses the close of a connection costs
its caller a retry.
"""

HEADERS_TOO_LARGE_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


def caller_protocol(
    *, limits: Callable[[], CallerLimits | None]
) -> type[asyncio.Protocol]:
    """Make the class of callers' connections.

    Args:
        limits: Tells the limits in force, None while there are none.
    """

    class CallerProtocol(HttpToolsProtocol):
        """One connection: uvicorn's, with bounds on a request's head."""

        def __init__(self, *args: Any, **kwargs: Any) -> None:
            super().__init__(*args, **kwargs)
            self._head_bytes = 0
            self._head_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            """Start to serve; a caller that sends nothing is idle."""
            super().connection_made(transport)
            bounds = limits()
            self.timeout_keep_alive = (
                bounds.idle_timeout if bounds else DEFAULT_IDLE_SECONDS  # type: ignore[assignment]
            )
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

        def data_received(self, data: bytes) -> None:
            """Take in bytes, unless a head grows over its limit."""
            bounds = limits()
            if bounds is not None and self._reads_head:
                self._head_bytes += len(data)
                if self._head_timer is None:
                    self._head_timer = self.loop.call_later(
                        bounds.header_timeout, self._give_up
                    )
            super().data_received(data)
            too_long = bounds is not None and self._head_bytes > bounds.max_header_bytes
            if too_long and self._reads_head and not self.transport.is_closing():
                log.warning("head_too_large", received=self._head_bytes)
                self.transport.write(HEADERS_TOO_LARGE_ANSWER)
                self.transport.close()

        def on_headers_complete(self) -> None:
            """Go on to the body."""
            self._end_head()
            super().on_headers_complete()

        def connection_lost(self, exc: Exception | None) -> None:
            """Forget the connection."""
            self._end_head()
            self._unset_keepalive_if_required()
            super().connection_lost(exc)

        @property
        def _reads_head(self) -> bool:
            """Whether the next bytes belong to the head of a request."""
            return self.cycle is None or self.cycle.response_complete

        def _end_head(self) -> None:
            self._head_bytes = 0
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _give_up(self) -> None:
            """Close a connection whose caller does not finish its head."""
            self._head_timer = None
            log.warning("head_too_slow", received=self._head_bytes)
            self.transport.close()

    return CallerProtocol
