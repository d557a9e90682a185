"""Puts into a transaction what a change relies on.

Each function checks records against each other, and adds what makes the
transaction fail if another change has meanwhile made the check void:

- each record that a changed one uses must still be as it was seen;
- a record that starts to use another one also writes the other one's guard row;
- a record that starts to claim something for itself, such as an address, also
  replaces the claim's row;
- retiring a record, or changing what its users rely on, checks that its guard
  row and its users are as they were seen.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.backing.interface import Check, Write
from dotterelpaddle.operator.reports import ChangeAction
from dotterelpaddle.records.checks import (
    binds_users,
    check_claims,
    check_entry,
    check_unused,
)
from dotterelpaddle.records.codec import Understood

if TYPE_CHECKING:
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.operator.record_cache import RecordCache
    from dotterelpaddle.operator.targets import Step
    from dotterelpaddle.records.index import State
    from dotterelpaddle.records.keys import RecordKey
    from dotterelpaddle.records.relations import Claim, Entry, Reference

GUARD_VALUE = b"{}"
"""Content of guard and claim rows; only their revision matters."""


@dataclass(kw_only=True)
class Draft:
    """A transaction in the making, with one condition for each row."""

    writes: dict[str, Write] = field(default_factory=dict)
    checks: dict[str, Check] = field(default_factory=dict)

    def write(
        self, *, key: str, expected: Revision | None, value: bytes | None
    ) -> None:
        """Add a compare-and-set, in place of an earlier one of the row."""
        self.writes[key] = Write(key=key, expected=expected, value=value)

    def check(self, *, key: str, expected: Revision) -> None:
        """Add a row that must be unchanged."""
        self.checks[key] = Check(key=key, expected=expected)


def rely_on_targets(
    *, step: Step, state: State, cache: RecordCache, draft: Draft
) -> None:
    """Check what a record uses, and guard what it starts to use."""
    if step.target.envelope is None:
        return
    check_entry(key=step.target.key, state=state)
    used = {each.target for each in _references(entry=step.entry_before)}
    for reference in _references(entry=state.find(key=step.target.key)):
        target = reference.target
        stored = cache.records.get(target)
        if stored is not None:
            draft.check(key=str(target), expected=stored.revision)
        if target not in used:
            draft.write(key=target.guard, expected=None, value=GUARD_VALUE)


def rely_on_claims(
    *, step: Step, state: State, cache: RecordCache, draft: Draft
) -> None:
    """Check that nobody else has, or gets, what a record claims for itself."""
    if step.target.envelope is None:
        return
    check_claims(key=step.target.key, state=state)
    before = _claims(entry=step.entry_before)
    for claim in _claims(entry=state.find(key=step.target.key)):
        if claim not in before:
            draft.write(
                key=claim.row,
                expected=cache.revision_of(key=claim.row),
                value=GUARD_VALUE,
            )


def rely_on_users(
    *, step: Step, state: State, cache: RecordCache, draft: Draft
) -> None:
    """Check the users of a record that is retired or changes its nature."""
    key = step.target.key
    if step.action is ChangeAction.RETIRED:
        check_unused(key=key, state=state)
    elif _binds(step=step, state=state):
        for user in state.users_of(key=key):
            check_entry(key=user, state=state)
            _check_stored(key=user, cache=cache, draft=draft)
    else:
        return
    _guard_users(key=key, cache=cache, draft=draft)


def _binds(*, step: Step, state: State) -> bool:
    before = step.entry_before
    after = state.find(key=step.target.key)
    if before is None or after is None:
        return False
    match before.interpretation, after.interpretation:
        case Understood(record=old), Understood(record=new):
            return binds_users(before=old, after=new)
        case _:
            return True


def _check_stored(*, key: RecordKey, cache: RecordCache, draft: Draft) -> None:
    stored = cache.records.get(key)
    if stored is not None:
        draft.check(key=str(key), expected=stored.revision)


def _guard_users(*, key: RecordKey, cache: RecordCache, draft: Draft) -> None:
    """Make the transaction fail if another record started to use this one."""
    expected = cache.revision_of(key=key.guard)
    guard = draft.writes.get(key.guard)
    if guard is None:
        draft.check(key=key.guard, expected=expected)
    else:
        draft.write(key=key.guard, expected=expected, value=GUARD_VALUE)


def _references(*, entry: Entry | None) -> tuple[Reference, ...]:
    return entry.references if entry is not None else ()


def _claims(*, entry: Entry | None) -> tuple[Claim, ...]:
    return entry.claims if entry is not None else ()
