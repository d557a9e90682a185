"""Looks at records and at what routers tell operators."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from dotterelpaddle.backing.interface import TableName
from dotterelpaddle.fleet.operators import operator_of, read_status
from dotterelpaddle.records.keys import parse_key
from dotterelpaddle.scenarios.checks.seen import Seen, bounded, running_routers

if TYPE_CHECKING:
    from dotterelpaddle.scenarios import conditions as words
    from dotterelpaddle.scenarios.state import State

SHOWN_MESSAGES = 3
"""Messages to operators that a report lists."""


async def look_at_in_force(*, state: State, condition: words.InForce) -> Seen:
    """Look at the revisions in force."""
    head = state.fleet.platform.tables[TableName.RECORDS.value].head
    revisions = {
        name: state.fleet.running[name].catalog.revision
        for name in running_routers(state=state, names=condition.routers)
    }
    reached = [revision >= head for revision in revisions.values()]
    return Seen(
        met=bool(reached) and all(each is condition.is_ for each in reached),
        text=f"expected revision {head} in force to be {condition.is_},"
        f" saw {revisions}",
    )


async def look_at_status(*, state: State, condition: words.Status) -> Seen:
    """Look at routers' status."""
    values: dict[str, Any] = {}
    for name in running_routers(state=state, names=condition.routers):
        document = await read_status(fleet=state.fleet, router=name)
        values[name] = _dig(document=document, path=condition.field)
    if condition.value is not None:
        bound = condition.value
        met = all(
            isinstance(each, int | float) and bound.holds(number=each)
            for each in values.values()
        )
        return Seen(
            met=met, text=f"expected {condition.field} to be {bound}, saw {values}"
        )
    return Seen(
        met=all(each == condition.equals for each in values.values()),
        text=f"expected {condition.field} to be {condition.equals!r}, saw {values}",
    )


async def look_at_record(*, state: State, condition: words.Record) -> Seen:
    """Look at a record."""
    key = parse_key(text=condition.record)
    assert key
    values: dict[str, Any] = {}
    for name in running_routers(state=state, names=condition.routers):
        async with operator_of(fleet=state.fleet, router=name) as client:
            records = await client.list(kind=key.kind)
        found = [each for each in records.records if each.name == key.name]
        values[name] = (
            _dig(document=found[0].spec, path=condition.field) if found else None
        )
    if not condition.exists:
        met = all(each is None for each in values.values())
        return Seen(met=met, text=f"expected no {condition.record}, saw {values}")
    if not condition.field:
        met = all(each is not None for each in values.values())
        return Seen(met=met, text=f"expected {condition.record}, saw {values}")
    return Seen(
        met=all(each == condition.equals for each in values.values()),
        text=f"expected {condition.record} {condition.field} to be"
        f" {condition.equals!r}, saw {values}",
    )


def look_at_writes(*, state: State, condition: words.Writes) -> Seen:
    """Look how operators' writes ended."""
    ends = Counter(each.outcome.value for each in state.writes.get(condition.of, ()))
    names = ("accepted", "conflict", "refused", "unavailable")
    seen = bounded(
        what=condition.of,
        numbers={name: float(ends[name]) for name in names},
        bounds={name: getattr(condition, name) for name in names},
    )
    messages = [
        each.message for each in state.writes.get(condition.of, ()) if each.message
    ]
    return Seen(met=seen.met, text=f"{seen.text}; told: {messages[:SHOWN_MESSAGES]}")


def _dig(*, document: Any, path: str) -> Any:
    """Follow a dotted path through mappings and lists."""
    value = document
    for part in filter(None, path.split(".")):
        match value:
            case dict():
                value = value.get(part)
            case list():
                value = value[int(part)] if part.isdigit() else None
            case _:
                return None
    return value
