"""What was seen of one attempt at an endpoint."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class Evidence(Enum):
    """One thing that was seen of an attempt, in the order of a whole attempt."""

    CONNECTED = "connected"
    SENT = "sent"
    REFUSED = "refused"
    ANSWER_BEGUN = "answer_begun"
    OUTPUT = "output"
    ANSWER_COMPLETE = "answer_complete"


Observer = Callable[[Evidence], None]
"""Is told each piece of evidence as soon as it is there."""


def ignore(evidence: Evidence) -> None:
    """Take no note of the evidence, for calls that need no outcome."""
