"""What the load tool records of each call it made."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.fleet.verify import Wholeness
from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from dotterelpaddle.fleet.client import Answer
    from dotterelpaddle.ids import AccountId


class CallKind(Enum):
    """Kinds of call."""

    CHAT = "chat"
    STREAM = "stream"
    SERVICE = "service"
    KEYED = "keyed"


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """One sending of a call.

    Attributes:
        request_id: Name that the router gave it, empty if none came back.
        outcome: What the caller was told, None for nothing.
        status: HTTP status, 0 if the connection broke first.
        error: Type of the error.
        step: Step of the error.
    """

    request_id: str
    outcome: Outcome | None
    status: int
    error: str
    step: str


@dataclass(kw_only=True, slots=True)
class Turn:
    """One call, with all its attempts.

    Attributes:
        account: The client account.
        kind: What was called.
        key: Idempotency key, empty for none.
        sent_at: When it was first sent, seconds on the monotonic clock.
        returning: Whether its chat had earlier turns.
        existing_tokens: Prompt tokens that some engine's cache held then.
        answer: The last answer.
        wholeness: What the check of the answer shows.
        attempts: All attempts in order.
    """

    account: AccountId
    kind: CallKind
    key: str = ""
    sent_at: float
    returning: bool = False
    existing_tokens: int = 0
    answer: Answer
    wholeness: Wholeness = Wholeness.NONE
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def outcome(self) -> Outcome:
        """How it ended for the caller; silence counts as unknown."""
        return self.answer.outcome or Outcome.UNKNOWN

    @property
    def completed(self) -> bool:
        """Whether the caller has the whole answer to its own request."""
        return self.wholeness is Wholeness.WHOLE
