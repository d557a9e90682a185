"""Real routers while a store comes back from copies amid changes, outages and starts.

The environment variable STORE_SEEDS sets the first seed, the number of seeds and the
number of routers, such as "1 50 4".
"""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.platform.names import EVACUATION_KEY_PREFIX, Table
from dotterelpaddle.standins.runner import RunnerStandin
from dotterelpaddle.standins.store import Answering, Refusing
from dotterelpaddle.tests.forwarding.harness import (
    SERVICE,
    configuration,
    run_fleet,
    wait_until,
)

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.tests.forwarding.harness import Fleet

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

FIRST_SEED, SEED_COUNT, ROUTERS = (
    int(each) for each in os.environ.get("STORE_SEEDS", "3 2 3").split()
)
NOWHERE = Address(host="127.0.0.1", port=1)
DOMAINS = ("here", "there", "elsewhere")
STEPS = 25
MAX_PAUSE_SECONDS = 0.25
MAX_LOST_CHANGES = 12


@dataclass(kw_only=True)
class Writers:
    """The operator and the endpoints, which write again what the store has lost.

    Attributes:
        fleet: The routers and the store.
        dice: Source of the faults.
        rows: What the store has to hold, by table and key; None for removed rows.
    """

    fleet: Fleet
    dice: random.Random
    rows: dict[tuple[str, str], dict[str, Any] | None] = field(default_factory=dict)
    version: int = 1
    registered: int = 0

    @property
    def listed(self) -> dict[str, dict[str, Any]]:
        """Rows of endpoints."""
        return {
            key: row
            for (table, key), row in self.rows.items()
            if table == Table.ENDPOINTS and row is not None
        }

    @property
    def evacuated(self) -> set[str]:
        """Evacuated failure domains."""
        return {
            key.removeprefix(EVACUATION_KEY_PREFIX)
            for (table, key), row in self.rows.items()
            if table == Table.OPERATOR and row is not None
        }

    def write(self, table: str, key: str, row: dict[str, Any] | None) -> None:
        """Write or remove a row."""
        self.rows[table, key] = row
        if row is None:
            self.fleet.store.remove(table=table, key=key)
        else:
            self.fleet.store.put(table=table, key=key, value=row)

    def register(self) -> None:
        """A new endpoint registers."""
        self.registered += 1
        name = f"endpoint-{self.registered}"
        row = RunnerStandin(name=name).entry(
            address=NOWHERE, service=SERVICE, zone=self.dice.choice(DOMAINS)
        )
        self.write(Table.ENDPOINTS, name, row)

    def drain(self) -> None:
        """An endpoint reports that it is leaving."""
        name = self.dice.choice(sorted(self.listed))
        self.write(Table.ENDPOINTS, name, {**self.listed[name], "state": "draining"})

    def leave(self) -> None:
        """An endpoint's entry is removed, perhaps unannounced."""
        self.write(Table.ENDPOINTS, self.dice.choice(sorted(self.listed)), None)

    def evacuate(self) -> None:
        """The operator evacuates a failure domain, or ends that."""
        domain = self.dice.choice(DOMAINS)
        row = None if domain in self.evacuated else {"why": "power"}
        self.write(Table.OPERATOR, f"{EVACUATION_KEY_PREFIX}{domain}", row)

    def configure(self) -> None:
        """The operator writes a new configuration."""
        self.version += 1
        self.fleet.store.configure(configuration=configuration(version=self.version))

    def heartbeat(self) -> None:
        """An endpoint writes its entry again."""
        name = self.dice.choice(sorted(self.listed))
        self.write(Table.ENDPOINTS, name, self.listed[name])

    async def return_from_copy(self) -> None:
        """The store is away, loses its last changes, and gets them again."""
        store = self.fleet.store
        if self.dice.random() < 0.5:
            store.condition = Refusing(status=503)
            store.wake()
            await self.pause()
        for _ in range(self.dice.choice((1, 1, 2))):
            lost = self.dice.randint(0, MAX_LOST_CHANGES)
            store.return_from_copy(revision=max(1, store.revision - lost))
        if self.dice.random() < 0.5:
            self.register()
        store.condition = Answering()
        store.wake()
        await self.pause()
        await self.write_again()

    async def write_again(self) -> None:
        """Write all rows in any order, the configuration among them."""
        keys = sorted(self.rows)
        self.dice.shuffle(keys)
        for table, key in keys:
            self.write(table, key, self.rows[table, key])
            if self.dice.random() < 0.2:
                await self.pause()
        self.fleet.store.configure(configuration=configuration(version=self.version))

    async def pause(self) -> None:
        """Let routers read in between, or not."""
        await anyio.sleep(self.dice.uniform(0.0, MAX_PAUSE_SECONDS))

    async def step(self) -> None:
        """Make one change or fault."""
        ready = [each for each in self.listed.values() if each["state"] == "ready"]
        if len(ready) < len(DOMAINS):
            self.register()
            return
        match self.dice.randrange(10):
            case 0 | 1:
                await self.return_from_copy()
            case 2:
                self.register()
            case 3 | 4:
                self.drain()
            case 5:
                self.leave()
            case 6:
                self.evacuate()
            case 7:
                self.configure()
            case 8:
                self.fleet.store.forget_history()
            case _:
                self.heartbeat()


@dataclass(kw_only=True)
class Observed:
    """What one router has acted on, which it must not undo."""

    view: FleetView
    version: int = 0
    draining: set[str] = field(default_factory=set)

    def check(self) -> None:
        """Compare the view with all that was observed before."""
        assert self.view.version >= self.version
        self.version = self.view.version
        entries = self.view.entries
        self.draining |= {
            each.endpoint for each in entries if each.state.value == "draining"
        }
        assert not self.draining & _ready(self.view)


def _ready(view: FleetView) -> set[str]:
    return {each.endpoint for each in view.ready(service=SERVICE)}  # type: ignore[arg-type]


def _agrees(view: FleetView, writers: Writers) -> bool:
    expected = {
        name
        for name, row in writers.listed.items()
        if row["state"] == "ready" and row["zone"] not in writers.evacuated
    }
    return view.version == writers.version and _ready(view) == expected


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
async def test_routers_agree_with_a_store_that_comes_back_from_copies(
    seed: int,
) -> None:
    """Guards against routers that undo or miss what was written around a return."""
    dice = random.Random(seed)
    async with run_fleet(runners=0, routers=ROUTERS) as fleet:
        await fleet.add_router(store=NOWHERE)
        writers = Writers(fleet=fleet, dice=dice)
        observed: list[Observed] = []
        for number in range(STEPS):
            if number == STEPS // 2:
                await fleet.add_router()
            views = [each.components.state.view for each in fleet.routers]
            observed += [Observed(view=each) for each in views[len(observed) :]]
            await writers.step()
            await writers.pause()
            for each in observed:
                each.check()
        await writers.write_again()
        for each in observed:
            await wait_until(lambda each=each: _agrees(each.view, writers))  # type: ignore[misc]
            each.check()
