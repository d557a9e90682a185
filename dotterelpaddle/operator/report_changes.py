"""Describes planned and accepted changes."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.operator.record_cache import NEVER
from dotterelpaddle.operator.reports import ChangeAction, RecordChange
from dotterelpaddle.records.codec import Understood, interpret
from dotterelpaddle.records.text import unified_diff

if TYPE_CHECKING:
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.operator.targets import Step
    from dotterelpaddle.records.envelope import Envelope


def describe_steps(
    *, steps: tuple[Step, ...], revision: Revision, with_diff: bool
) -> tuple[RecordChange, ...]:
    """Describe what happens to each record.

    Args:
        steps: The planned steps.
        revision: Revision of the accepted change, 0 if nothing was written.
        with_diff: Whether to compare the contents line by line.
    """
    return tuple(
        _describe(step=step, revision=revision, with_diff=with_diff) for step in steps
    )


def _describe(*, step: Step, revision: Revision, with_diff: bool) -> RecordChange:
    old = step.before.envelope if step.before is not None else None
    new = step.target.envelope
    before = step.before.revision if step.before is not None else NEVER
    unchanged = step.action is ChangeAction.UNCHANGED
    differs = with_diff and not unchanged
    return RecordChange(
        kind=step.target.key.kind,
        name=step.target.key.name,
        action=step.action,
        revision=int(before if unchanged else revision or before),
        same_meaning=same_meaning(old=old, new=new),
        diff=_diff(old=old, new=new, before=before) if differs else "",
    )


def same_meaning(*, old: Envelope | None, new: Envelope | None) -> bool:
    """Tell whether two values of a record mean the same to routers."""
    if old is None or new is None:
        return old is new
    before = interpret(envelope=old)
    after = interpret(envelope=new)
    return isinstance(before, Understood) and before == after


def _diff(*, old: Envelope | None, new: Envelope | None, before: Revision) -> str:
    return unified_diff(
        old=without_revision(envelope=old),
        new=without_revision(envelope=new),
        old_label=f"revision {before}" if old is not None else "no record",
        new_label="this change" if new is not None else "retired",
    )


def without_revision(*, envelope: Envelope | None) -> Envelope | None:
    """Leave out the revision that a record names, as it is no content."""
    return None if envelope is None else replace(envelope, expected=None)
