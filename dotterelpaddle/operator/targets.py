"""What a change asks of each record."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.operator.record_cache import NEVER
from dotterelpaddle.records.codec import to_internal

if TYPE_CHECKING:
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.operator.record_cache import RecordCache, StoredRecord
    from dotterelpaddle.operator.reports import ChangeAction
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.records.keys import RecordKey
    from dotterelpaddle.records.relations import Entry


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """What one record is to become.

    Attributes:
        key: The record.
        envelope: Its new content, None to retire it.
        base: Revision that it must still have.
        knowingly: Whether the operator named that revision.
    """

    key: RecordKey
    envelope: Envelope | None
    base: Revision
    knowingly: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """What a plan does to one record.

    Attributes:
        target: What was asked.
        action: What happens.
        before: The record as it is, None if there is none.
    """

    target: Target
    action: ChangeAction
    before: StoredRecord | None

    @property
    def revision_before(self) -> Revision:
        """Revision of the record as it is, 0 if there is none."""
        return self.before.revision if self.before is not None else NEVER

    @property
    def entry_before(self) -> Entry | None:
        """What the record as it is means, None if there is none."""
        return self.before.entry if self.before is not None else None


def apply_targets(
    *, envelopes: tuple[Envelope, ...], cache: RecordCache
) -> tuple[Target, ...]:
    """Say what an apply asks for.

    Raises:
        RecordError: If a record stands twice or is malformed.
    """
    targets: dict[RecordKey, Target] = {}
    for envelope in envelopes:
        to_internal(envelope=envelope)
        if envelope.key in targets:
            raise RecordError(f"{envelope.key} stands twice; remove one", field="name")
        targets[envelope.key] = _target(
            key=envelope.key,
            envelope=envelope,
            expected=envelope.expected,
            cache=cache,
        )
    return tuple(targets.values())


def retire_targets(
    *, keys: tuple[RecordKey, ...], expected: Revision | None, cache: RecordCache
) -> tuple[Target, ...]:
    """Say what a retirement asks for.

    Raises:
        RecordNotFound: If there is no such record.
    """
    for key in keys:
        cache.find(key=key)
    return tuple(
        _target(key=key, envelope=None, expected=expected, cache=cache)
        for key in dict.fromkeys(keys)
    )


def _target(
    *,
    key: RecordKey,
    envelope: Envelope | None,
    expected: Revision | None,
    cache: RecordCache,
) -> Target:
    stored = cache.records.get(key)
    seen = stored.revision if stored is not None else NEVER
    return Target(
        key=key,
        envelope=envelope,
        base=seen if expected is None else expected,
        knowingly=expected is not None,
    )
