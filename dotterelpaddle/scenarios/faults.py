"""Steps that cause faults or take them back."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.backing.interface import Host, HostState
from dotterelpaddle.exceptions import ScenarioError
from dotterelpaddle.fleet.balancer import until_ready
from dotterelpaddle.fleet.partitions import PLATFORM
from dotterelpaddle.ids import RouterId
from dotterelpaddle.scenarios import steps
from dotterelpaddle.scenarios.roles import player_of
from dotterelpaddle.scenarios.words import EVERYTHING
from dotterelpaddle.standins.faults import FaultKind

if TYPE_CHECKING:
    from dotterelpaddle.fleet.fleet import Fleet
    from dotterelpaddle.scenarios.words import Word

ABSENT = "absent"

PLATFORM_FAULTS = {
    steps.LoseAnswers: FaultKind.ANSWER_LOST,
    steps.LoseWrites: FaultKind.WRITE_LOST,
}


async def act_on_nodes(*, fleet: Fleet, step: steps.NodeStep) -> None:
    """Start, stop, pause or otherwise handle parts of a fleet."""
    names = expand(fleet=fleet, names=step.nodes)
    match step:
        case steps.Start():
            await _together(function=fleet.start, names=names)
        case steps.Stop():
            await _together(function=fleet.stop, names=names)
        case steps.Kill():
            await _together(function=fleet.kill, names=names)
        case steps.Restart():
            await restart(fleet=fleet, names=names, ready_within=step.ready_within)
        case steps.Pause():
            await _together(function=fleet.pause, names=names)
        case steps.Resume():
            await _together(function=fleet.resume, names=names)
        case steps.Silence():
            for standin in standins(fleet=fleet, names=names):
                standin.connections.go_silent()
        case steps.Drop():
            for standin in standins(fleet=fleet, names=names):
                standin.connections.drop()
        case steps.Mend():
            for standin in standins(fleet=fleet, names=names):
                standin.faults.switch_off()


def cause(*, fleet: Fleet, step: Word) -> None:
    """Switch a fault of the network, the platform or an endpoint."""
    faults = fleet.platform.faults
    match step:
        case steps.Cut(between=(one, other)):
            fleet.partitions.cut(one=one, other=other)
        case steps.Heal(between=str()):
            fleet.partitions.heal_all()
        case steps.Heal(between=(one, other)):
            fleet.partitions.heal(one=one, other=other)
        case steps.Lose():
            names = expand(fleet=fleet, names=step.routers)
            routers = tuple(RouterId(name) for name in names if name in fleet.routers)
            fleet.partitions.lose(routers=routers, share=step.share)
        case steps.Outage(down=True):
            faults.switch_on(kind=FaultKind.OUTAGE)
        case steps.Outage():
            faults.switch_off(kind=FaultKind.OUTAGE)
        case steps.LoseAnswers() | steps.LoseWrites():
            kind = PLATFORM_FAULTS[type(step)]
            faults.switch_on(kind=kind, share=step.share, count=step.count)
        case steps.Slow():
            _slow(fleet=fleet, step=step)
        case steps.Fault():
            for standin in standins(fleet=fleet, names=step.nodes):
                standin.faults.switch_on(
                    kind=step.kind,
                    share=step.share,
                    count=step.count,
                    seconds=step.seconds,
                )
        case steps.Lag():
            _lag(fleet=fleet, step=step)
        case steps.ListHost():
            _list_host(fleet=fleet, step=step)


async def restart(*, fleet: Fleet, names: tuple[str, ...], ready_within: float) -> None:
    """Stop parts gracefully and start them again, one after another."""
    for name in names:
        await fleet.stop(name=name)
        await fleet.start(name=name)
        if name in fleet.routers:
            with anyio.move_on_after(ready_within) as scope:
                await until_ready(router=partial(fleet.entry_of, router=name))
            if scope.cancelled_caught:
                raise ScenarioError(f"{name} is not ready after {ready_within:g} s")


def expand(*, fleet: Fleet, names: tuple[str, ...]) -> tuple[str, ...]:
    """Replace failure domains, pools, roles and `all` by the parts they mean."""
    found: list[str] = []
    for name in map(partial(player_of, fleet), names):
        meant = [each for each in fleet.names() if _means(fleet, name, each)]
        if not meant:
            raise ScenarioError(f"'{name}' is no part of the fleet")
        found += meant
    return tuple(dict.fromkeys(found))


def standins(*, fleet: Fleet, names: tuple[str, ...]) -> list[Any]:
    """Find running endpoints and the platform by name."""
    running: dict[str, Any] = {PLATFORM: fleet.platform}
    running.update((str(name), each) for name, each in fleet.engines.items())
    running.update((str(name), each) for name, each in fleet.services.items())
    return [
        running[name] for name in expand(fleet=fleet, names=names) if name in running
    ]


def _means(fleet: Fleet, name: str, node: str) -> bool:
    if name == node:
        return True
    if name == EVERYTHING:
        return node != PLATFORM
    shape = fleet.shape
    return name in (shape.failure_domain_of(name=node), shape.pool_of(name=node))


async def _together(*, function: Any, names: tuple[str, ...]) -> None:
    async with anyio.create_task_group() as tasks:
        for name in names:
            tasks.start_soon(partial(function, name=name))


def _slow(*, fleet: Fleet, step: steps.Slow) -> None:
    for standin in standins(fleet=fleet, names=step.nodes):
        if standin is not fleet.platform:
            standin.speed = 1.0 / step.factor
        elif step.seconds:
            standin.faults.switch_on(kind=FaultKind.SLOW, seconds=step.seconds)
        else:
            standin.faults.switch_off(kind=FaultKind.SLOW)


def _lag(*, fleet: Fleet, step: steps.Lag) -> None:
    if step.hosts is not None:
        fleet.platform.hosts.lag = step.hosts
    for engine in fleet.engines.values():
        if step.events is not None:
            engine.events.lag = step.events
        if step.event_loss is not None:
            engine.events.loss = step.event_loss


def _list_host(*, fleet: Fleet, step: steps.ListHost) -> None:
    router = RouterId(step.router)
    host = None
    if step.state != ABSENT:
        shape = next(each for each in fleet.shape.routers if each.name == router)
        host = Host(
            router=router,
            address=fleet.routers[router].server.control_address,
            failure_domain=shape.failure_domain,
            state=HostState(step.state),
        )
    fleet.platform.hosts.put(router=router, host=host, now=time.monotonic())
