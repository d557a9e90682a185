"""Sends the answer of a forwarded request to its caller over ASGI."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import Headers

    Send = Callable[[dict[str, Any]], Awaitable[None]]


MAX_WRITE_BYTES = 64 * 1024
"""Bytes of a complete answer that are passed to the server at a time where memory is
limited. The server holds them until the caller reads them, also after the request."""


class ForwardReply:
    """Sends an answer as ASGI messages, with backpressure from a slow caller.

    Args:
        send: ASGI send callable of the server.
        should_close: Returns whether to close the connection after an answer.
        clock: Monotonic clock.
        max_write: Bytes of a complete answer to send at a time, None for all.
    """

    def __init__(
        self,
        *,
        send: Send,
        should_close: Callable[[], bool],
        clock: Clock,
        max_write: int | None = None,
    ) -> None:
        self._send = send
        self._should_close = should_close
        self._clock = clock
        self._max_write = max_write
        self._started_at: float | None = None
        self._written_at = 0.0
        self._longest_pause = 0.0
        self._finished = False
        self._status = 0

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return bool(self._status)

    @property
    def finished(self) -> bool:
        """Whether the answer is complete."""
        return self._finished

    @property
    def status(self) -> int:
        """The sent status, 0 before the start of the answer."""
        return self._status

    @property
    def started_at(self) -> float | None:
        """Start of the answer, seconds on the monotonic clock; None before it."""
        return self._started_at

    @property
    def longest_pause(self) -> float:
        """Longest pause before a chunk of the body, in seconds."""
        return self._longest_pause

    async def send_buffered(
        self, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a complete answer, as fast as the caller reads it."""
        headers = [*headers, (b"content-length", str(len(body)).encode())]
        limit = self._max_write
        is_sent_at_once = limit is None or len(body) <= limit
        if is_sent_at_once and self._should_close():
            headers.append((b"connection", b"close"))
        await self.start(status=status, headers=headers)
        if limit is not None and len(body) > limit:
            rest = memoryview(body)
            while len(rest) > limit:
                part, rest = bytes(rest[:limit]), rest[limit:]
                await self._send(
                    {"type": "http.response.body", "body": part, "more_body": True}
                )
            body = bytes(rest)
        self._finished = True
        await self._send({"type": "http.response.body", "body": body})

    async def start(self, *, status: int, headers: Headers) -> None:
        """Send the status line and headers.

        Only an answer that ends at once may announce that its connection closes: what
        arrives behind it until its end would be read and dropped with the connection.
        """
        self._status = status
        self._started_at = self._written_at = self._clock()
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, *, chunk: bytes) -> None:
        """Send a chunk of the body."""
        now = self._clock()
        self._longest_pause = max(self._longest_pause, now - self._written_at)
        self._written_at = now
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self) -> None:
        """End the body, which completes the answer."""
        self._finished = True
        await self._send({"type": "http.response.body", "body": b""})
