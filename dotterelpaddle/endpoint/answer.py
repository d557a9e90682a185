"""An answer of an endpoint as it comes in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore
import orjson

from dotterelpaddle.endpoint.evidence import Evidence, Observer
from dotterelpaddle.exceptions import AnswerBroken, EndpointSilent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from dotterelpaddle.endpoint.pool import Connection

MAX_ANSWER = 8 * 1024 * 1024
"""Bytes of an answer that is read whole."""

MAX_REFUSAL = 4096
"""Bytes of a refusal that are read for the log."""

LEAVING_REASONS = frozenset({"draining", "loading"})
"""Types of refusal by an endpoint that takes no new work of any kind."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why an endpoint refused.

    Attributes:
        reason: Type of its error, empty if it gave none.
        message: The whole refusal, for the log.
    """

    reason: str
    message: str


class Answer:
    """An answer whose head is there and whose body is read as it comes.

    Args:
        response: The answer of httpcore.
        connection: The connection it comes on.
        peer: The endpoint's name, for errors.
        observe: Is told when the answer is complete.
    """

    def __init__(
        self,
        *,
        response: httpcore.Response,
        connection: Connection,
        peer: str,
        observe: Observer,
    ) -> None:
        self._response = response
        self._connection = connection
        self._peer = peer
        self._observe = observe
        self._headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in response.headers
        }

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers with lower-case names."""
        return self._headers

    @property
    def peer(self) -> str:
        """The endpoint's name."""
        return self._peer

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body part by part; nothing is read ahead.

        Raises:
            EndpointSilent: If no part came within the patience.
            AnswerBroken: If the body ended before its stated end.
        """
        try:
            async for chunk in self._response.aiter_stream():
                yield chunk
        except httpcore.ReadTimeout as error:
            raise EndpointSilent("the answer stopped", peer=self._peer) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise AnswerBroken(
                f"the answer was cut off: {error}", peer=self._peer
            ) from error
        if not self._has_stated_end():
            raise AnswerBroken(
                "the answer states no length, so its end is no proof that it is whole",
                peer=self._peer,
            )

    async def read(self, *, limit: int = MAX_ANSWER) -> bytes:
        """Read the whole body.

        Raises:
            EndpointSilent: If no part came within the patience.
            AnswerBroken: If the body is cut off or over the limit.
        """
        content = await self._collect(limit=limit)
        self._observe(Evidence.ANSWER_COMPLETE)
        return content

    async def refusal(self) -> Refusal:
        """Read why the endpoint refused, as far as it can be read in time."""
        # That it refused is known, and what comes of the reason is for the log.
        self._connection.http.keep_waiting = None
        try:
            content = await self._collect(limit=MAX_REFUSAL)
        except (EndpointSilent, AnswerBroken):
            content = b""
        text = content.decode(errors="replace")
        return Refusal(
            reason=_refusal_type(content=content),
            message=f"refused with status {self.status}: {text}",
        )

    async def _collect(self, *, limit: int) -> bytes:
        parts: list[bytes] = []
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > limit:
                raise AnswerBroken(f"the answer is over {limit} bytes", peer=self._peer)
            parts.append(chunk)
        return b"".join(parts)

    def _has_stated_end(self) -> bool:
        headers = self._headers
        return (
            "content-length" in headers
            or "chunked" in headers.get("transfer-encoding", "")
            or self.status in (204, 304)
        )


def _refusal_type(*, content: bytes) -> str:
    try:
        return str(orjson.loads(content)["error"]["type"])
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return ""
