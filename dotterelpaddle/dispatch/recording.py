"""Keeps a copy of what a caller is sent, for a later retry of the same key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.claims import RecordedAnswer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.pipeline import CallerReply

OUTCOME_HEADER = "x-outcome"


class RecordingReply:
    """Passes everything on to another reply and keeps a copy of bounded size.

    Args:
        reply: The way back to the caller.
        limit: Bytes that are kept; a longer answer is not kept at all.
    """

    def __init__(self, *, reply: CallerReply, limit: int) -> None:
        self._reply = reply
        self._limit = limit
        self._status = 0
        self._headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._size = 0
        self._finished = False

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._reply.started

    @property
    def answer(self) -> RecordedAnswer | None:
        """The whole answer, None if it is not whole or too long."""
        if not self._finished or self._size > self._limit:
            return None
        return RecordedAnswer(
            status=self._status, headers=self._headers, body=b"".join(self._parts)
        )

    async def send_buffered(
        self, *, status: int, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a whole answer at once."""
        self._keep_head(status=status, headers=headers)
        self._keep(body)
        self._finished = True
        await self._reply.send_buffered(status=status, headers=headers, body=body)

    async def start(self, *, status: int, headers: Mapping[str, str]) -> None:
        """Send the status line and headers."""
        self._keep_head(status=status, headers=headers)
        await self._reply.start(status=status, headers=headers)

    async def write(self, *, chunk: bytes) -> None:
        """Send part of the body."""
        self._keep(chunk)
        await self._reply.write(chunk=chunk)

    async def finish(self) -> None:
        """End the body in the regular way."""
        self._finished = True
        await self._reply.finish()

    def _keep_head(self, *, status: int, headers: Mapping[str, str]) -> None:
        self._status = status
        self._headers = {
            name: value for name, value in headers.items() if name != "content-length"
        }

    def _keep(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._size > self._limit:
            self._parts.clear()
            return
        self._parts.append(chunk)
