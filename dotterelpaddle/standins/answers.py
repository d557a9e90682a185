"""Answers of the engine stand-in.

An answer is a function of what it answers, so that another engine can go on
where one stopped, and a load tool can check every token of its own answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson
import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

CHARACTERS_PER_TOKEN = 4
"""Mean length of a prompt token."""

TOKEN_DIGITS = 6
"""Hexadecimal digits of an answer token."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerText:
    """The text with which a model answers some messages.

    Attributes:
        seed: Digest of the model and the messages.
    """

    seed: int

    @classmethod
    def of(
        cls,
        *,
        model: str,
        version: str,
        adapter: str,
        messages: Sequence[Any],
    ) -> AnswerText:
        """Derive the text from what it answers."""
        content = orjson.dumps(
            [model, version, adapter, list(messages)], option=orjson.OPT_SORT_KEYS
        )
        return cls(seed=xxhash.xxh3_64_intdigest(content))

    def token(self, *, offset: int) -> str:
        """Return the token at an offset."""
        digest = xxhash.xxh3_64_hexdigest(offset.to_bytes(4, "big"), seed=self.seed)
        return digest[:TOKEN_DIGITS] + " "

    def text(self, *, count: int, start: int = 0) -> str:
        """Return a run of tokens as text."""
        return "".join(self.token(offset=start + index) for index in range(count))


def count_prompt_tokens(*, messages: Sequence[Any]) -> int:
    """Count the tokens of a prompt, at least one a message."""
    return sum(_message_tokens(message=message) for message in messages)


def _message_tokens(*, message: Any) -> int:
    content = message.get("content", "") if isinstance(message, dict) else message
    text = content if isinstance(content, str) else orjson.dumps(content).decode()
    return max(1, len(text) // CHARACTERS_PER_TOKEN)
