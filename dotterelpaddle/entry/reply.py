"""The way back to a caller over ASGI."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from dotterelpaddle.ids import RequestId

    Send = Callable[[dict[str, Any]], Awaitable[None]]


class AsgiReply:
    """Sends an answer by ASGI messages; waits while the caller is slow.

    Args:
        send: The ASGI server's function.
        request_id: Name of the request, sent with each answer.
        closing: Whether the connection ends with an answer that is sent at once.
    """

    def __init__(self, *, send: Send, request_id: RequestId, closing: bool) -> None:
        self._send = send
        self._request_id = request_id
        self._closing = closing
        self._started = False
        self._finished = False
        self._status = 0

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the answer has ended in the regular way."""
        return self._finished

    @property
    def status(self) -> int:
        """The status that was sent, 0 before."""
        return self._status

    async def send_buffered(
        self, *, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a whole answer at once."""
        headers = {**headers, "content-length": str(len(body))}
        if self._closing:
            headers["connection"] = "close"
        await self.start(status=status, headers=headers)
        self._finished = True
        await self._send({"type": "http.response.body", "body": body})

    async def start(self, *, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers.

        Only an answer that ends at once announces the end of its connection: what
        arrives behind it until its end would be dropped with the connection.
        """
        self._started = True
        self._status = status
        pairs = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
        ]
        pairs.append((b"x-request-id", self._request_id.encode()))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": pairs}
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
