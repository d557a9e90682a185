"""Looks at the parts of the fleet."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import httpcore

from dotterelpaddle.fleet.balancer import is_ready
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.scenarios.checks.seen import Seen, bounded, running_routers
from dotterelpaddle.scenarios.faults import expand, standins
from dotterelpaddle.scenarios.roles import find_holder, player_of

if TYPE_CHECKING:
    from dotterelpaddle.scenarios import conditions as words
    from dotterelpaddle.scenarios.state import State


async def look_at_ready(*, state: State, condition: words.Ready) -> Seen:
    """Look whether routers say that they take requests."""
    answers = {}
    async with httpcore.AsyncConnectionPool() as pool:
        for name in running_routers(state=state, names=condition.routers):
            address = state.fleet.entry_of(router=name)
            answers[name] = await is_ready(pool=pool, address=address)
    return Seen(
        met=bool(answers) and all(each is condition.is_ for each in answers.values()),
        text=f"expected ready to be {condition.is_}, saw {answers}",
    )


async def look_at_members(*, state: State, condition: words.Members) -> Seen:
    """Look at routers' lists of members."""
    lists = {
        router: sorted(
            member.router for member in state.fleet.running[router].membership.members()
        )
        for router in running_routers(state=state, names=condition.seen_by)
    }
    met = bool(lists) and all(
        condition.alive.holds(number=len(members))
        and not set(condition.without) & set(members)
        and set(condition.including) <= set(members)
        for members in lists.values()
    )
    wanted = f"{condition.alive} members"
    if condition.without:
        wanted += f" without {', '.join(condition.without)}"
    if condition.including:
        wanted += f" including {', '.join(condition.including)}"
    return Seen(met=met, text=f"expected {wanted}, saw {lists}")


def look_at_runs(*, state: State, condition: words.Runs) -> Seen:
    """Look at what endpoints have run."""
    names = expand(fleet=state.fleet, names=condition.nodes)
    if condition.key:
        total = sum(
            each.runs.by_key[condition.key]
            for name in names
            for each in state.fleet.history.get(EndpointId(name), ())
        )
    else:
        now = state.runs()
        before = state.marks[condition.since].runs if condition.since else Counter()
        counted = [EndpointId(name) for name in names]
        total = sum(now[name] - before[name] for name in counted)
    return bounded(
        what=", ".join(condition.nodes),
        numbers={"runs": float(total)},
        bounds={"runs": condition.total},
    )


def look_at_idle(*, state: State, condition: words.Idle) -> Seen:
    """Look whether endpoints have nothing in flight."""
    busy = [
        each.name
        for each in standins(fleet=state.fleet, names=condition.nodes)
        if not each.idle
    ]
    return Seen(met=not busy, text=f"expected nothing in flight, saw work on {busy}")


def look_at_engine(*, state: State, condition: words.Engine) -> Seen:
    """Look at what an engine has loaded."""
    engine = state.fleet.engines[EndpointId(condition.node)]
    loaded = {
        "model": engine.state.model,
        "version": engine.state.version,
        "adapters": tuple(engine.state.adapters),
        "draining": engine.draining,
    }
    wanted = {
        "model": condition.model,
        "version": condition.version,
        "adapters": condition.adapters,
        "draining": condition.draining,
    }
    wanted = {name: value for name, value in wanted.items() if value is not None}
    same = all(loaded[name] == value for name, value in wanted.items())
    counts = bounded(
        what=condition.node,
        numbers={
            "fencing": float(engine.state.fencing),
            "refused": float(len(engine.orders_refused)),
            "obeyed": float(len(engine.orders_obeyed)),
        },
        bounds={
            "fencing": condition.fencing,
            "refused": condition.refused,
            "obeyed": condition.obeyed,
        },
    )
    text = f"{condition.node}: expected {wanted}, saw {loaded} {counts.text}"
    return Seen(met=same and counts.met, text=text)


def look_at_holder(*, state: State, condition: words.Holder) -> Seen:
    """Look at who holds a lease."""
    held_by = find_holder(fleet=state.fleet, pool=condition.pool)
    wanted = player_of(state.fleet, condition.is_) if condition.is_ else held_by
    unwanted = player_of(state.fleet, condition.is_not) if condition.is_not else ""
    return Seen(
        met=bool(held_by) and held_by == wanted and held_by != unwanted,
        text=f"expected the lease of {condition.pool} to be held by"
        f" {condition.is_ or 'anybody'} but {unwanted or 'nobody'}, saw"
        f" '{held_by}'",
    )
