"""The way back to a caller of a forwarded request, over ASGI."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import Headers

    Send = Callable[[dict[str, Any]], Awaitable[None]]


class ForwardReply:
    """Sends an answer by ASGI messages; waits while the caller is slow.

    Args:
        send: The ASGI server's function.
        should_close: Tells whether the caller should open a new connection next time.
        clock: Monotonic clock.
    """

    def __init__(
        self, *, send: Send, should_close: Callable[[], bool], clock: Clock
    ) -> None:
        self._send = send
        self._should_close = should_close
        self._clock = clock
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
        """Whether the answer has ended in the regular way."""
        return self._finished

    @property
    def status(self) -> int:
        """The status that was sent, 0 before."""
        return self._status

    @property
    def started_at(self) -> float | None:
        """When its first bytes were sent, None before."""
        return self._started_at

    @property
    def longest_pause(self) -> float:
        """Longest seconds between two parts of its body."""
        return self._longest_pause

    async def send_buffered(
        self, *, status: int, headers: Headers, body: bytes
    ) -> None:
        """Send a whole answer at once."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status=status, headers=[*headers, length])
        self._finished = True
        await self._send({"type": "http.response.body", "body": body})

    async def start(self, *, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        self._status = status
        self._started_at = self._written_at = self._clock()
        if self._should_close():
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, *, chunk: bytes) -> None:
        """Send part of the body."""
        now = self._clock()
        self._longest_pause = max(self._longest_pause, now - self._written_at)
        self._written_at = now
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self) -> None:
        """End the body in the regular way."""
        self._finished = True
        await self._send({"type": "http.response.body", "body": b""})
