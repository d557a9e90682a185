"""The way back to a caller of a forwarded request, over ASGI."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.forwarding.interface import Headers

    Send = Callable[[dict[str, Any]], Awaitable[None]]


class ForwardReply:
    """Sends an answer by ASGI messages; waits while the caller is slow.

    Args:
        send: The ASGI server's function.
        closing: Tells whether the caller should open a new connection next time.
    """

    def __init__(self, *, send: Send, closing: Callable[[], bool]) -> None:
        self._send = send
        self._closing = closing
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

    async def whole(self, *, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer at once."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status=status, headers=[*headers, length])
        self._finished = True
        await self._send({"type": "http.response.body", "body": body})

    async def start(self, *, status: int, headers: Headers) -> None:
        """Send the status line and headers."""
        self._status = status
        if self._closing():
            headers = [*headers, (b"connection", b"close")]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, *, chunk: bytes) -> None:
        """Send part of the body."""
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self) -> None:
        """End the body in the regular way."""
        self._finished = True
        await self._send({"type": "http.response.body", "body": b""})
