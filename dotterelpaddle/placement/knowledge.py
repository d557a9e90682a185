"""What a router has heard of an endpoint, and what it has told an owner."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True, slots=True)
class Heard:
    """What an endpoint's owner said last.

    Attributes:
        load: All load on the endpoint, thousandths of a mean request.
        at: When, seconds on the monotonic clock.
        queued: Requests that waited at the owner.
    """

    load: int
    at: float
    queued: int = 0


@dataclass(kw_only=True, slots=True)
class Report:
    """What an owner was told last.

    Attributes:
        at: When, seconds on the monotonic clock.
        version: Version of this router's load.
        unchanged: Times that it was told the same again.
        results_at: When it was last told of results.
    """

    at: float = float("-inf")
    version: int = 0
    unchanged: int = 0
    results_at: float = float("-inf")
