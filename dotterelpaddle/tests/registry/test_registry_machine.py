"""Routers that start, end, are cut from each other and from the store, in any order.

Guards against two routers that divide one bound though one of them does not count the
other.
"""

from __future__ import annotations

import random
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dotterelpaddle.exceptions import PlatformAnswerLost, PlatformUnavailable
from dotterelpaddle.forwarding.revisions import FIRST_ERA
from dotterelpaddle.forwarding.store_clock import StoreClock, StoreTime
from dotterelpaddle.ids import Revision, RouterId
from dotterelpaddle.registry.interface import RegistryRow, RegistryRows
from dotterelpaddle.registry.known import KnownRegistry
from dotterelpaddle.registry.service import RouterRegistry

if TYPE_CHECKING:
    from collections.abc import Mapping

NAMES = [RouterId(f"r{number}") for number in range(6)]
MAX_LATE_SECONDS = 6.0
ROUNDING = 1e-9


@dataclass(kw_only=True)
class Store:
    """The registry's rows; some writes take effect late and are not answered."""

    now: float = 1000.0
    rows: dict[RouterId, RegistryRow] = field(default_factory=dict)
    late: list[tuple[float, RouterId, RegistryRow]] = field(default_factory=list)
    late_seconds: float = 0.0
    revision: int = 0

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for due in sorted(self.late, key=lambda write: write[0]):
            if due[0] <= self.now:
                self.rows[due[1]] = due[2]
                self.late.remove(due)


@dataclass(kw_only=True)
class Process:
    """A process of a router.

    Attributes:
        store: The store.
        reaches_store: Whether its calls arrive there.
    """

    name: RouterId
    store: Store
    reaches_store: bool = True

    def __post_init__(self) -> None:
        clock = StoreClock(clock=self._clock)
        self.known = KnownRegistry(store_clock=clock, clock=self._clock)
        self._registry = RouterRegistry(
            router=self.name,
            store=self,
            known=self.known,
            is_reader=lambda: True,
            store_clock=clock,
            clock=self._clock,
            generator=random.Random(1),
        )

    def _clock(self) -> float:
        return self.store.now

    def synchronize(self) -> None:
        """Do what is due; calls to the store are answered at once or fail."""
        with suppress(PlatformAnswerLost, PlatformUnavailable, StopIteration):
            self._registry.synchronize().send(None)

    def _answer(self, rows: Mapping[RouterId, RegistryRow]) -> RegistryRows:
        if not self.reaches_store:
            raise PlatformUnavailable("cut off", peer="store")
        as_of = StoreTime(era=FIRST_ERA, seconds=self.store.now)
        return RegistryRows(rows=dict(rows), as_of=as_of)

    async def router_row(self, *, router: RouterId) -> RegistryRows:
        rows = self.store.rows
        return self._answer({router: rows[router]} if router in rows else {})

    async def router_rows(self) -> RegistryRows:
        return self._answer(self.store.rows)

    async def put_router_row(self, *, router: RouterId, row: bytes) -> None:
        self._answer({})
        self.store.revision += 1
        written = RegistryRow(value=row, revision=Revision(self.store.revision))
        if self.store.late_seconds:
            due = self.store.now + self.store.late_seconds
            self.store.late.append((due, router, written))
            raise PlatformAnswerLost("late", peer="store")
        self.store.rows[router] = written

    async def remove_router_rows(self, *, rows: Mapping[RouterId, RegistryRow]) -> None:
        self._answer({})
        if all(self.store.rows.get(name) == row for name, row in rows.items()):
            for name in rows:
                del self.store.rows[name]


class RegistryMachine(RuleBasedStateMachine):
    """A fleet whose routers hear whomever chance lets them hear."""

    @initialize(size=st.integers(1, len(NAMES)), new=st.booleans())
    def begin(self, size: int, new: bool) -> None:
        self.store = Store()
        self.processes: dict[RouterId, Process] = {}
        for name in NAMES[:size]:
            self.start(name=name)
        if not new:
            for _ in range(40):
                self.pass_time(seconds=1.0)

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: RouterId) -> None:
        self.processes[name] = Process(name=name, store=self.store)

    @rule(name=st.sampled_from(NAMES))
    def end(self, name: RouterId) -> None:
        self.processes.pop(name, None)

    @rule(name=st.sampled_from(NAMES), reaches=st.booleans())
    def cut_from_store(self, name: RouterId, reaches: bool) -> None:
        if name in self.processes:
            self.processes[name].reaches_store = reaches

    @rule(seconds=st.sampled_from([0.0, 1.0, MAX_LATE_SECONDS]))
    def write_late(self, seconds: float) -> None:
        self.store.late_seconds = seconds

    @rule(sender=st.sampled_from(NAMES), recipient=st.sampled_from(NAMES))
    def tell(self, sender: RouterId, recipient: RouterId) -> None:
        if {sender, recipient} <= self.processes.keys():
            summary = self.processes[sender].known.to_tell
            self.processes[recipient].known.receive(summary=summary)

    @rule(seconds=st.sampled_from([0.2, 1.0, 5.0]))
    def pass_time(self, seconds: float) -> None:
        self.store.advance(seconds)
        for process in self.processes.values():
            process.synchronize()

    @rule(seconds=st.sampled_from([12.0, 25.0, 60.0]))
    def stand_still(self, seconds: float) -> None:
        """Let time pass in which no process does anything."""
        self.store.advance(seconds)

    @rule(seconds=st.integers(5, 40))
    def go_on(self, seconds: int) -> None:
        for _ in range(seconds):
            self.pass_time(seconds=1.0)

    @invariant()
    def parts_add_up_to_one_at_most(self) -> None:
        counts = [each.known.routers for each in self.processes.values()]
        parts = sum(1 / count for count in counts if count is not None)
        assert parts <= 1 + ROUNDING, counts


TestRegistry = RegistryMachine.TestCase
TestRegistry.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
