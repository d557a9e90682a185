"""Returning chats whose conversations grow with each turn."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio
import xxhash

from dotterelpaddle.fleet.client import Message

if TYPE_CHECKING:
    from dotterelpaddle.fleet.shape import AccountShape

WORD_LENGTH = 4
"""Characters of a word, the engine stand-in's length of a token."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ConversationSizes:
    """How long conversations are.

    Attributes:
        first_prompt: Tokens of the first message.
        next_prompt: Tokens of each later message.
        answer: Tokens of each answer.
        max_turns: Turns after which a chat starts again under another name.
    """

    first_prompt: int = 200
    next_prompt: int = 20
    answer: int = 16
    max_turns: int = 12


@dataclass(kw_only=True)
class Chat:
    """A chat of one client account.

    Attributes:
        account: The client account.
        index: Its rank by popularity, from 0.
        sizes: How long its conversation is.
        generation: How often it has started again.
        messages: The conversation so far.
        turns: Turns completed since it started.
        lock: Held while a turn is in flight.
    """

    account: AccountShape
    index: int
    sizes: ConversationSizes
    generation: int = 0
    messages: tuple[Message, ...] = ()
    turns: int = 0
    lock: anyio.Lock = field(default_factory=anyio.Lock)

    @property
    def name(self) -> str:
        """Name that the caller gives the chat."""
        return f"{self.account.name}-{self.index}-{self.generation}"

    @property
    def returning(self) -> bool:
        """Whether an earlier turn has completed."""
        return self.turns > 0

    def next_messages(self) -> tuple[Message, ...]:
        """Return the conversation with the user's next message."""
        length = self.sizes.next_prompt if self.messages else self.sizes.first_prompt
        seed = f"{self.name}-{self.turns}"
        content = words(seed=seed, count=length)
        return (*self.messages, Message(role="user", content=content))

    def complete(self, *, messages: tuple[Message, ...], answer: str) -> None:
        """Add a turn and its answer to the conversation."""
        self.messages = (*messages, Message(role="assistant", content=answer))
        self.turns += 1
        if self.turns >= self.sizes.max_turns:
            self.generation += 1
            self.messages = ()
            self.turns = 0


def words(*, seed: str, count: int) -> str:
    """Make text of some tokens that depends on a seed alone."""
    digests = (
        xxhash.xxh3_64_hexdigest(seed.encode(), seed=index)[: WORD_LENGTH - 1]
        for index in range(count)
    )
    return " ".join(digests)
