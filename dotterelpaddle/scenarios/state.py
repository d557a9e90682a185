"""What a running scenario remembers: labelled results, loads and marks."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dotterelpaddle.fleet.balancer import Balancer
    from dotterelpaddle.fleet.client import Client
    from dotterelpaddle.fleet.fleet import Fleet
    from dotterelpaddle.fleet.load import LoadRun
    from dotterelpaddle.fleet.measures import ControlMeter, SkewSampler
    from dotterelpaddle.fleet.turns import Turn
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.scenarios.steps import RecordText


class WriteOutcome(Enum):
    """How an operator's write ended."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class WriteResult:
    """The end of an operator's write.

    Attributes:
        outcome: How it ended.
        message: What the operator was told.
        revision: Its revision if it was accepted, else 0.
        records: The records that were written.
    """

    outcome: WriteOutcome
    message: str = ""
    revision: int = 0
    records: tuple[RecordText, ...] = ()


@dataclass(kw_only=True)
class Work:
    """Calls or a load, running or ended.

    Attributes:
        turns: The calls that have ended.
        run: The load tool's run, None for single calls.
        skew: Samples of the engines' load.
        ended: Set once all calls have ended.
    """

    turns: list[Turn] = field(default_factory=list)
    run: LoadRun | None = None
    skew: SkewSampler | None = None
    ended: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True, kw_only=True, slots=True)
class Mark:
    """Counts of one moment.

    Attributes:
        at: The moment, seconds on the monotonic clock.
        runs: Runs of each endpoint.
        control: Measures control traffic from that moment.
    """

    at: float
    runs: Counter[EndpointId]
    control: ControlMeter


@dataclass(kw_only=True)
class State:
    """Everything that the steps of a scenario act on.

    Attributes:
        fleet: The fleet.
        tasks: Where loads run.
        client: Sends calls.
        balancer: Knows which routers are ready.
        work: Calls and loads by label.
        marks: Marks by label.
        writes: Ends of operators' writes by label.
    """

    fleet: Fleet
    tasks: TaskGroup
    client: Client
    balancer: Balancer
    work: dict[str, Work] = field(default_factory=dict)
    marks: dict[str, Mark] = field(default_factory=dict)
    writes: dict[str, list[WriteResult]] = field(default_factory=dict)

    def runs(self) -> Counter[EndpointId]:
        """Count the runs of each endpoint."""
        return Counter(
            {
                name: sum(each.runs.total for each in self.fleet.history[name])
                for name in self.fleet.endpoints
            }
        )

    def mark(self, *, control: ControlMeter) -> Mark:
        """Remember the counts of this moment."""
        return Mark(at=time.monotonic(), runs=self.runs(), control=control)
