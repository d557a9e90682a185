"""Reads answers of routers: heads, bodies, errors and events of a stream."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    import httpcore

    from dotterelpaddle.fleet.client import Answer

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE = b"[DONE]"
ERROR_EVENT = b"event: error"
OUTCOME_COMMENT = b": outcome="


def _outcome(*, text: str) -> Outcome | None:
    try:
        return Outcome(text)
    except ValueError:
        return None


def read_head(*, answer: Answer, response: httpcore.Response) -> None:
    """Read status and headers."""
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in response.headers
    }
    answer.status = response.status
    answer.request_id = headers.get("x-request-id", "")
    answer.outcome = _outcome(text=headers.get("x-outcome", ""))
    answer.retry_after = float(headers.get("retry-after", 0.0))


def read_body(*, answer: Answer, content: bytes) -> None:
    """Read a whole body."""
    answer.ended = True
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError:
        answer.text = content.decode(errors="replace")
        return
    if isinstance(document, dict) and "error" in document:
        _read_error(answer=answer, document=document)
    elif isinstance(document, dict) and "choices" in document:
        answer.text = document["choices"][0]["message"]["content"]
        _read_usage(answer=answer, document=document)
    else:
        answer.text = content.decode()


def _read_error(*, answer: Answer, document: dict[str, Any]) -> None:
    error = document["error"]
    answer.error = error.get("type", "error")
    answer.step = error.get("step", "")
    answer.peer = error.get("peer", "")
    answer.outcome = answer.outcome or _outcome(text=error.get("outcome", ""))


def _read_usage(*, answer: Answer, document: dict[str, Any]) -> None:
    answer.fingerprint = document.get("system_fingerprint", answer.fingerprint)
    usage = document.get("usage")
    if not usage:
        return
    answer.prompt_tokens = usage["prompt_tokens"]
    details = usage.get("prompt_tokens_details") or {}
    answer.cached_tokens = details.get("cached_tokens", 0)


async def read_events(
    *, answer: Answer, response: httpcore.Response, started: float
) -> None:
    """Read a stream of events to its end."""
    pieces: list[str] = []
    buffer = b""
    async for chunk in response.aiter_stream():
        buffer += chunk
        *events, buffer = buffer.split(EVENT_END)
        for event in events:
            _read_event(answer=answer, event=event, pieces=pieces)
            if pieces and not answer.first_token:
                answer.first_token = time.monotonic() - started
    answer.text = "".join(pieces)


def _read_event(*, answer: Answer, event: bytes, pieces: list[str]) -> None:
    failed = False
    for line in event.split(b"\n"):
        if line.startswith(OUTCOME_COMMENT):
            text = line.removeprefix(OUTCOME_COMMENT).decode()
            answer.outcome = _outcome(text=text.strip())
        elif line == ERROR_EVENT:
            failed = True
        elif line.startswith(DATA_PREFIX):
            data = line.removeprefix(DATA_PREFIX)
            _read_data(answer=answer, data=data, failed=failed, pieces=pieces)


def _read_data(*, answer: Answer, data: bytes, failed: bool, pieces: list[str]) -> None:
    if data == DONE:
        answer.ended = True
        return
    document = orjson.loads(data)
    if failed or "error" in document:
        _read_error(answer=answer, document=document)
        return
    if "outcome" in document:
        answer.outcome = _outcome(text=document["outcome"])
    _read_usage(answer=answer, document=document)
    for choice in document.get("choices", ()):
        content = choice.get("delta", {}).get("content")
        if content:
            pieces.append(content)
            answer.offsets.append(document.get("token_offset", -1))
