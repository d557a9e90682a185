"""Counts of how often an endpoint stand-in has run what."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from dotterelpaddle.ids import RequestId


class RunCounts:
    """Runs by request and by idempotency key.

    Attributes:
        by_request: Runs from the beginning, by request.
        by_key: The same, by idempotency key.
        resumed: Runs that go on where another stopped, by request.
    """

    def __init__(self) -> None:
        self.by_request: Counter[RequestId] = Counter()
        self.by_key: Counter[str] = Counter()
        self.resumed: Counter[RequestId] = Counter()

    @property
    def total(self) -> int:
        """All runs, resumed ones left out."""
        return self.by_request.total()

    def add(self, *, request_id: RequestId, key: str = "") -> None:
        """Count a run."""
        self.by_request[request_id] += 1
        if key:
            self.by_key[key] += 1

    def add_resumed(self, *, request_id: RequestId) -> None:
        """Count a run that goes on where another stopped."""
        self.resumed[request_id] += 1

    def content(self) -> dict[str, Any]:
        """Spell the counts."""
        return {
            "by_request": dict(self.by_request),
            "by_key": dict(self.by_key),
            "resumed": dict(self.resumed),
        }
