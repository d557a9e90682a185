"""Switches for the faults of a stand-in."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import Enum


class FaultKind(Enum):
    """What can be made to go wrong.

    The first group concerns requests to engines and services, the second orders
    to engines, the third the platform; `SILENT` concerns all.
    """

    REFUSE = "refuse"
    DROP_BEFORE = "drop_before"
    DROP_WHILE = "drop_while"
    DROP_AFTER = "drop_after"
    SILENT_AFTER = "silent_after"
    LATE = "late"
    FOREIGN = "foreign"
    TRUNCATED = "truncated"
    DUPLICATED = "duplicated"
    REORDERED = "reordered"

    ORDER_LOST = "order_lost"
    ORDER_LATE = "order_late"
    ORDER_ANSWER_LOST = "order_answer_lost"

    OUTAGE = "outage"
    WRITE_LOST = "write_lost"
    ANSWER_LOST = "answer_lost"
    SLOW = "slow"

    SILENT = "silent"


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A fault that is switched on.

    Attributes:
        kind: What goes wrong.
        share: Share of the requests that it hits, from 0 to 1.
        remaining: How many requests it still hits, None for no end.
        seconds: How long a slow or late answer takes longer.
    """

    kind: FaultKind
    share: float = 1.0
    remaining: int | None = None
    seconds: float = 0.0


class Faults:
    """The fault switches of one stand-in.

    Args:
        seed: Seed of the generator that decides which requests are hit.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._faults: dict[FaultKind, Fault] = {}
        self._hits: dict[FaultKind, int] = {}

    @property
    def hits(self) -> dict[FaultKind, int]:
        """How many requests each kind has hit."""
        return dict(self._hits)

    def switch_on(
        self,
        *,
        kind: FaultKind,
        share: float = 1.0,
        count: int | None = None,
        seconds: float = 0.0,
    ) -> None:
        """Switch a fault on, for a share or a number of requests."""
        self._faults[kind] = Fault(
            kind=kind, share=share, remaining=count, seconds=seconds
        )

    def switch_off(self, *, kind: FaultKind | None = None) -> None:
        """Switch one fault off, or all."""
        if kind is None:
            self._faults.clear()
        else:
            self._faults.pop(kind, None)

    def is_on(self, *, kind: FaultKind) -> bool:
        """Tell whether a fault hits every request without an end."""
        fault = self._faults.get(kind)
        return fault is not None and fault.remaining is None and fault.share >= 1.0

    def draw(self, *, kinds: tuple[FaultKind, ...]) -> Fault | None:
        """Decide whether one of some kinds of fault hits the next request."""
        for kind in kinds:
            fault = self._faults.get(kind)
            if fault is not None and self._random.random() < fault.share:
                self._count(fault=fault)
                return fault
        return None

    def _count(self, *, fault: Fault) -> None:
        self._hits[fault.kind] = self._hits.get(fault.kind, 0) + 1
        if fault.remaining is None:
            return
        if fault.remaining <= 1:
            del self._faults[fault.kind]
            return
        self._faults[fault.kind] = replace(fault, remaining=fault.remaining - 1)
