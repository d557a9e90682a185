"""How the engine stand-in spells chat requests, answers and events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field

if TYPE_CHECKING:
    from dotterelpaddle.standins.batching import Run
    from dotterelpaddle.standins.prefix_cache import CacheEvent

DEFAULT_TOKENS = 16
"""Length of an answer unless the request says otherwise."""

END_OF_STREAM = b"data: [DONE]\n\n"


class ChatBody(BaseModel):
    """Body of a chat request; unknown fields are ignored.

    Attributes:
        model: Model asked for.
        adapter: Adapter asked for, empty for none.
        messages: The conversation.
        max_tokens: Length of the answer.
        stream: Whether to answer by events.
        priority: Lower values run first.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    model: str = ""
    adapter: str | None = ""
    messages: list[Any] = Field(min_length=1)
    max_tokens: int = Field(default=DEFAULT_TOKENS, ge=1)
    stream: bool = False
    priority: int = 0


class ChatHeaders(BaseModel):
    """Headers of a chat request that matter to an engine.

    Attributes:
        request_id: The caller's name for the request.
        cache_key: Key of the chat's prefix, empty for none.
        timeout_ms: Milliseconds after which nobody waits any more.
        resume_offset: Tokens that another engine has generated before.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    request_id: str = Field(default="", alias="x-request-id")
    cache_key: str = Field(default="", alias="x-cache-key")
    timeout_ms: float = Field(default=float("inf"), alias="x-timeout-ms")
    resume_offset: int = Field(default=0, alias="x-resume-offset", ge=0)


class CancelBody(BaseModel):
    """Body of a call that cancels a request."""

    request_id: str


class KeyBody(BaseModel):
    """Body of a call that names a cache key."""

    key: str


def cache_event_content(*, event: CacheEvent) -> dict[str, Any]:
    """Spell a cache event."""
    return {
        "sequence": event.sequence,
        "kind": event.kind.value,
        "key": event.key,
        "tokens": event.tokens,
    }


def answer_content(*, run: Run, answer_id: str, fingerprint: str) -> dict[str, Any]:
    """Spell a whole answer."""
    text = run.answer.text(count=run.generated)
    message = {"role": "assistant", "content": text}
    return {
        "id": answer_id,
        "object": "chat.completion",
        "system_fingerprint": fingerprint,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": _usage(run=run),
    }


def event(*, run: Run, answer_id: str, fingerprint: str, offset: int) -> bytes:
    """Spell the event of one token."""
    last = offset + 1 >= run.max_tokens
    choice = {
        "index": 0,
        "delta": {"content": run.answer.token(offset=offset)},
        "finish_reason": "stop" if last else None,
    }
    content: dict[str, Any] = {
        "id": answer_id,
        "object": "chat.completion.chunk",
        "system_fingerprint": fingerprint,
        "token_offset": offset,
        "choices": [choice],
    }
    if last:
        content["usage"] = _usage(run=run)
    return b"data: " + orjson.dumps(content) + b"\n\n"


def _usage(*, run: Run) -> dict[str, Any]:
    return {
        "prompt_tokens": run.prompt_tokens,
        "completion_tokens": run.generated,
        "prompt_tokens_details": {"cached_tokens": run.cached_tokens},
    }
