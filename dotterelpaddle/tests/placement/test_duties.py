"""What owners tell those that wait."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from dotterelpaddle.ids import RouterId
from dotterelpaddle.placement.duties import OwnerDuties
from dotterelpaddle.placement.loads import Refresh
from dotterelpaddle.placement.waiters import Waiters
from dotterelpaddle.placement.wishes import Granted, Queued
from dotterelpaddle.tests.placement.builders import (
    make_endpoints,
    make_owner,
    make_pool,
    make_wish,
)

if TYPE_CHECKING:
    from dotterelpaddle.placement.owner import ShardOwner

OWN = RouterId("owner")
OTHERS = RouterId("others")


class World:
    """An owner with full endpoints, and its own callers that wait."""

    def __init__(self, *, endpoints: int) -> None:
        pool = make_pool(max_in_flight=1, queue_length=8)
        self.owner: ShardOwner = make_owner(
            endpoints=make_endpoints(endpoints), pool=pool
        )
        self.state: Any = SimpleNamespace(decider=self.owner, waiters=Waiters())
        self.duties = OwnerDuties(
            channel=SimpleNamespace(subscribe=lambda **_: None),  # type: ignore[arg-type]
            directory=None,  # type: ignore[arg-type]
            view=None,  # type: ignore[arg-type]
            own=OWN,
            settings=None,  # type: ignore[arg-type]
            meters=None,  # type: ignore[arg-type]
            clock=lambda: 1.0,
            boot=1,
        )

    def fill(self, *, load: int, sequence: int) -> None:
        """Let other routers have some requests at each endpoint."""
        loads = dict.fromkeys(self.owner.chooser.names, load)
        refresh = Refresh(sequence=sequence, loads=loads)
        self.owner.refresh(router=OTHERS, refresh=refresh, now=0.5)


def test_verdict_found_while_another_joins_the_queue_is_told() -> None:
    """A surge: the queue empties as one more request joins it.

    Without a request that waits nothing looked at the verdicts any more, and the
    caller of the first request waited until its deadline.
    """
    world = World(endpoints=2)
    world.fill(load=1000, sequence=1)
    first, second = make_wish(1, router=OWN), make_wish(2, router=OWN)
    with world.state.waiters.open(wish=first) as waiter:
        assert isinstance(world.owner.ask(wish=first, now=0.0), Queued)
        world.fill(load=0, sequence=2)
        assert isinstance(world.owner.ask(wish=second, now=0.6), Granted)
        assert world.owner.queued == 0

        world.duties.settle(state=world.state)

    assert isinstance(waiter.verdict, Granted)
    assert not world.owner.unsettled
