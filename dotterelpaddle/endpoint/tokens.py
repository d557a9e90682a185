"""Token events of an engine's stream and the check that none is missing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.endpoint.sse import (
    DONE,
    END_OF_EVENT,
    ERROR_EVENT,
    MAX_EVENT_BYTES,
    EventBuffer,
    data_of,
)
from dotterelpaddle.exceptions import AnswerBroken, ForeignAnswer

if TYPE_CHECKING:
    from dotterelpaddle.ids import RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenBatch:
    """Events that arrived together and continue the answer.

    Attributes:
        raw: The events as they are passed on, without the end marker.
        tokens: How many tokens they carry.
    """

    raw: bytes
    tokens: int


class TokenChecker:
    """Lets each token of an answer through once and in order.

    One checker goes with the request over all its attempts. An engine that
    starts again below the offset repeats tokens; these are dropped. One that
    starts above it leaves a gap, which is an error.

    Args:
        request_id: Name that each event must carry.
    """

    def __init__(self, *, request_id: RequestId) -> None:
        self._request_id = request_id
        self._next_offset = 0
        self._finished = False
        self._cached_tokens = 0
        self._repeats = 0
        self._fingerprint: str | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the first token that is still missing."""
        return self._next_offset

    @property
    def finished(self) -> bool:
        """Whether the last token's event was seen."""
        return self._finished

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens that the engine found in its cache, as it says."""
        return self._cached_tokens

    @property
    def repeats(self) -> int:
        """Tokens dropped because they had come before."""
        return self._repeats

    def accept(self, *, event: bytes, peer: str) -> bytes:
        """Check one event.

        Returns:
            The bytes to pass on, empty if there is nothing to pass on.

        Raises:
            ForeignAnswer: If the event belongs to another request.
            AnswerBroken: If it can't be read or leaves a gap.
        """
        if event.startswith(ERROR_EVENT):
            text = event.decode(errors="replace")
            raise AnswerBroken(f"the engine gave up: {text}", peer=peer)
        data = data_of(event=event)
        if data is None or data == DONE:
            return b""
        content = _parse(data=data, peer=peer)
        if content.get("id") != self._request_id:
            raise ForeignAnswer(
                f"the stream holds an event of request '{content.get('id')}'",
                peer=peer,
            )
        self._check_fingerprint(content, peer)
        return event + END_OF_EVENT if self._advance(content, peer) else b""

    def _check_fingerprint(self, content: dict[str, Any], peer: str) -> None:
        """Refuse to go on with an answer of other weights."""
        fingerprint = content.get("system_fingerprint") or ""
        if self._fingerprint is None:
            self._fingerprint = fingerprint
        elif fingerprint != self._fingerprint:
            raise AnswerBroken(
                f"the answer was begun by '{self._fingerprint}' and can't be "
                f"ended by '{fingerprint}'",
                peer=peer,
            )

    def _advance(self, content: dict[str, Any], peer: str) -> bool:
        if self._finished:
            return False
        choices = content.get("choices")
        if not choices:
            return False
        offset = content.get("token_offset", self._next_offset)
        if offset > self._next_offset:
            raise AnswerBroken(
                f"tokens {self._next_offset} to {offset - 1} are missing", peer=peer
            )
        finished = choices[0].get("finish_reason") is not None
        has_token = bool(choices[0].get("delta", {}).get("content"))
        if has_token and offset < self._next_offset:
            self._repeats += 1
            return False
        if has_token:
            self._next_offset += 1
        if finished:
            self._finished = True
            self._cached_tokens = cached_tokens(content=content)
        return True


class TokenReader:
    """Reads one attempt's stream into checked batches.

    Args:
        checker: The request's checker.
        peer: The engine's name, for errors.
    """

    def __init__(self, *, checker: TokenChecker, peer: str) -> None:
        self._checker = checker
        self._peer = peer
        self._buffer = EventBuffer(peer=peer)
        self._bytes_without_token = 0

    def feed(self, *, chunk: bytes) -> TokenBatch:
        """Check the events that a chunk completes.

        Raises:
            ForeignAnswer: If an event belongs to another request.
            AnswerBroken: If an event can't be read or leaves a gap, or if too much
                comes without a token.
        """
        checker = self._checker
        before, repeats_before = checker.next_offset, checker.repeats
        accept = checker.accept
        events = self._buffer.feed(chunk=chunk).split(END_OF_EVENT)
        raw = b"".join([accept(event=event, peer=self._peer) for event in events])
        tokens = checker.next_offset - before
        has_token = tokens > 0 or checker.repeats > repeats_before
        self._count_bytes(size=len(chunk), has_token=has_token)
        return TokenBatch(raw=raw, tokens=tokens)

    def _count_bytes(self, *, size: int, has_token: bool) -> None:
        """Count what came since the last token.

        Raises:
            AnswerBroken: If it is more than any event.
        """
        self._bytes_without_token = 0 if has_token else self._bytes_without_token + size
        if self._bytes_without_token > MAX_EVENT_BYTES:
            raise AnswerBroken(
                f"no token came in {MAX_EVENT_BYTES} bytes", peer=self._peer
            )


def cached_tokens(*, content: dict[str, Any]) -> int:
    """Return how many prompt tokens an answer says were cached."""
    usage = content.get("usage") or {}
    details = usage.get("prompt_tokens_details") or {}
    return int(details.get("cached_tokens") or 0)


def _parse(*, data: bytes, peer: str) -> dict[str, Any]:
    try:
        content = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise AnswerBroken(f"an event is no JSON: {error}", peer=peer) from error
    if not isinstance(content, dict):
        raise AnswerBroken("an event is no JSON object", peer=peer)
    return content
