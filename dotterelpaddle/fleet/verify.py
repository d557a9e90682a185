"""Checks that an answer is whole and answers its own request."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.standins.answers import AnswerText

if TYPE_CHECKING:
    from dotterelpaddle.fleet.client import Answer, ChatCall


class Wholeness(Enum):
    """What a look at an answer's content shows.

    `NONE` is no answer at all, which the caller was told.
    """

    WHOLE = "whole"
    NONE = "none"
    TRUNCATED = "truncated"
    REPEATED = "repeated"
    FOREIGN = "foreign"


DAMAGED = frozenset({Wholeness.TRUNCATED, Wholeness.REPEATED, Wholeness.FOREIGN})
"""What a caller must never get under the name of a completed answer."""


def check_chat(*, answer: Answer, call: ChatCall, model: str) -> Wholeness:
    """Compare a chat's answer with the text that it must have."""
    if not answer.completed:
        return Wholeness.NONE
    expected = expected_text(answer=answer, call=call, model=model)
    if answer.text != expected:
        return _damage(text=answer.text, expected=expected)
    if call.stream and answer.offsets != list(range(call.max_tokens)):
        return Wholeness.REPEATED
    return Wholeness.WHOLE


def expected_text(*, answer: Answer, call: ChatCall, model: str) -> str:
    """Compute the answer that an engine of the model gives to a call."""
    version = answer.fingerprint.partition("/")[2]
    messages = [{"role": each.role, "content": each.content} for each in call.messages]
    text = AnswerText.of(model=model, version=version, adapter="", messages=messages)
    return text.text(count=call.max_tokens)


def check_service(*, answer: Answer, path: str, first_run: bool) -> Wholeness:
    """Check that a plain service's answer is whole and names its request.

    Args:
        answer: The answer.
        path: The called path, which no other call has.
        first_run: Whether it can only be this request's own run, and not the
            recorded answer of an earlier attempt.
    """
    if not answer.completed:
        return Wholeness.NONE
    try:
        document = orjson.loads(answer.text)
    except orjson.JSONDecodeError:
        return Wholeness.TRUNCATED
    own_id = not first_run or document.get("request_id") == answer.request_id
    own_path = str(document.get("path", "")).endswith(path)
    return Wholeness.WHOLE if own_id and own_path else Wholeness.FOREIGN


def _damage(*, text: str, expected: str) -> Wholeness:
    if expected.startswith(text):
        return Wholeness.TRUNCATED
    if text.startswith(expected[: len(expected) // 2]):
        return Wholeness.REPEATED
    return Wholeness.FOREIGN
