"""Collects the log lines of placement decisions, to show some of them."""

from __future__ import annotations

import io
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.logs import Level, redirect_logs

if TYPE_CHECKING:
    from collections.abc import Iterator

ROUTED = "request_routed"
"""Event of a placement decision in the log."""

KEPT = 2000
"""Decisions that are kept; older ones are forgotten."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LoggedDecision:
    """A placement decision as the log has it.

    Attributes:
        account: Client account of the request.
        chat_key: Digest of the chat's context, empty if it has none.
        endpoint: The chosen endpoint.
        reason: Why it was chosen.
        path: Who decided: the shard's owner, the fast path or the fallback.
        decided_by: Router that decided.
        load: Load of the endpoint, as the decision saw it.
        mean_load: Mean load of the pool, as the decision saw it.
        alternatives: Endpoints passed over, and why.
    """

    account: str
    chat_key: str
    endpoint: str
    reason: str
    path: str
    decided_by: str
    load: float
    mean_load: float
    alternatives: tuple[str, ...]

    def __str__(self) -> str:
        who = f"{self.account} chat {self.chat_key}" if self.chat_key else self.account
        passed = f"; passed over {'; '.join(self.alternatives)}"
        return (
            f"{who} -> {self.endpoint}: {self.reason}, decided by {self.decided_by}"
            f" ({self.path}), load {self.load:g} of mean {self.mean_load:.3g}"
            f"{passed if self.alternatives else ''}"
        )


class DecisionLog(io.StringIO):
    """A log stream that keeps the newest placement decisions."""

    def __init__(self) -> None:
        super().__init__()
        self._decisions: deque[LoggedDecision] = deque(maxlen=KEPT)

    def write(self, text: str) -> int:
        """Take one line of the log."""
        if ROUTED in text:
            self._decisions.append(_read(message=orjson.loads(text)))
        return len(text)

    def pick(self, *, count: int) -> list[LoggedDecision]:
        """Choose decisions of chats, with as many different reasons as there are."""
        chats = [each for each in self._decisions if each.chat_key]
        by_reason = {each.reason: each for each in chats}
        picked = list(by_reason.values())[:count]
        others = [each for each in chats if each not in picked]
        return picked + others[: count - len(picked)]


def _read(*, message: dict[str, Any]) -> LoggedDecision:
    return LoggedDecision(
        account=message["account"],
        chat_key=message["chat_key"],
        endpoint=message["endpoint"],
        reason=message["reason"],
        path=message["path"],
        decided_by=message["decided_by"],
        load=message["load"],
        mean_load=message["mean_load"],
        alternatives=tuple(message["alternatives"]),
    )


@contextmanager
def collect_decisions() -> Iterator[DecisionLog]:
    """Collect the decisions of all routers in this process.

    Yields:
        The collected decisions.
    """
    decisions = DecisionLog()
    with redirect_logs(level=Level.INFO, stream=decisions):
        yield decisions
