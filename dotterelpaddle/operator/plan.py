"""Plans the transaction of a change: pure decisions on the cached table.

What a plan relies on becomes part of its transaction, so that it holds under
races as well:

- each record that it changes must still have the revision that was seen;
- `reliance` adds what holds the checks between records.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordError, RecordRefused
from dotterelpaddle.operator.clashes import ChangedByOther, clash_of
from dotterelpaddle.operator.reliance import (
    Draft,
    rely_on_claims,
    rely_on_targets,
    rely_on_users,
)
from dotterelpaddle.operator.reports import ChangeAction
from dotterelpaddle.operator.targets import Step, Target
from dotterelpaddle.records.codec import Understood, convert
from dotterelpaddle.records.envelope import Provenance, encode
from dotterelpaddle.records.index import State
from dotterelpaddle.records.relations import Entry, entry_of

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Check, Write
    from dotterelpaddle.operator.record_cache import RecordCache


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """A transaction and what it does.

    Attributes:
        steps: What happens to each record.
        writes: The compare-and-sets.
        checks: Rows that must be unchanged.
    """

    steps: tuple[Step, ...]
    writes: tuple[Write, ...]
    checks: tuple[Check, ...]

    @property
    def active(self) -> tuple[Step, ...]:
        """The steps that change something."""
        return tuple(
            step for step in self.steps if step.action is not ChangeAction.UNCHANGED
        )


def make_plan(
    *, targets: tuple[Target, ...], cache: RecordCache, writer: str, written_at: str
) -> Plan:
    """Plan the transaction that gives records their new contents.

    Args:
        targets: What the records are to become.
        cache: The table as it is known.
        writer: Who asks.
        written_at: Now, in ISO 8601.

    Raises:
        RecordRefused: If the records would not fit each other, or content
            would be lost unseen.
        ChangedByOther: If a record isn't at its base revision.
    """
    steps = tuple(_step(target=target, cache=cache) for target in targets)
    _check_bases(steps=steps)
    active = tuple(step for step in steps if step.action is not ChangeAction.UNCHANGED)
    state = _state_after(steps=active, cache=cache)
    draft = Draft()
    for step in active:
        _check_loss(step=step)
        _write_record(step=step, draft=draft, writer=writer, written_at=written_at)
    for step in active:
        rely_on_targets(step=step, state=state, cache=cache, draft=draft)
        rely_on_claims(step=step, state=state, cache=cache, draft=draft)
    # Only now are all guard rows known that the change itself writes.
    for step in active:
        rely_on_users(step=step, state=state, cache=cache, draft=draft)
    checks = (each for key, each in draft.checks.items() if key not in draft.writes)
    return Plan(steps=steps, writes=tuple(draft.writes.values()), checks=tuple(checks))


def _step(*, target: Target, cache: RecordCache) -> Step:
    before = cache.records.get(target.key)
    if target.envelope is None:
        # A retirement whose record is gone already has nothing left to do.
        action = ChangeAction.RETIRED if before else ChangeAction.UNCHANGED
    elif before is None:
        action = ChangeAction.CREATED
    elif before.envelope == target.envelope:
        action = ChangeAction.UNCHANGED
    else:
        action = ChangeAction.CHANGED
    return Step(target=target, action=action, before=before)


def _check_bases(*, steps: tuple[Step, ...]) -> None:
    moved = tuple(
        step
        for step in steps
        if step.action is not ChangeAction.UNCHANGED
        and step.target.base != step.revision_before
    )
    if moved:
        raise ChangedByOther(
            clashes=tuple(
                clash_of(target=step.target, stored=step.before) for step in moved
            )
        )


def _state_after(*, steps: tuple[Step, ...], cache: RecordCache) -> State:
    changes = {step.target.key: _entry_after(target=step.target) for step in steps}
    return State(index=cache.index, changes=changes)


def _entry_after(*, target: Target) -> Entry | None:
    return None if target.envelope is None else entry_of(envelope=target.envelope)


def _check_loss(*, step: Step) -> None:
    """Refuse to drop what only the newer schema version of a record can hold."""
    envelope = step.target.envelope
    if envelope is None or step.before is None or step.target.knowingly:
        return
    old = step.before.envelope
    if old.schema <= envelope.schema:
        return
    advice = (
        f"; apply it in schema {old.schema}, or with --expect-revision"
        f" {step.before.revision} to drop that knowingly"
    )
    start = (
        f"{step.target.key}, field schema: the record in force has schema {old.schema}"
    )
    if not isinstance(step.before.entry.interpretation, Understood):
        raise RecordRefused(
            f"{start}, which this release can't read{advice}", field="schema"
        )
    try:
        convert(envelope=old, schema=envelope.schema)
    except RecordError as error:
        raise RecordRefused(
            f"{start} and holds in {error.field} what schema {envelope.schema}"
            f" can't{advice}",
            field="schema",
        ) from error


def _write_record(*, step: Step, draft: Draft, writer: str, written_at: str) -> None:
    target = step.target
    value = None
    if target.envelope is not None:
        sequence = step.before.envelope.provenance.sequence + 1 if step.before else 0
        provenance = Provenance(sequence=sequence, writer=writer, written_at=written_at)
        value = encode(envelope=replace(target.envelope, provenance=provenance))
    draft.write(key=str(target.key), expected=step.revision_before, value=value)
