"""Optional fields of grant requests: admission, and slowdowns that endpoints report."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.counts import bounded_count, decode_count
from dotterelpaddle.forwarding.slowdowns import SlowdownNote
from dotterelpaddle.ids import AccountId, EndpointId, Fingerprint

if TYPE_CHECKING:
    from typing import Any

PERCENT = 100
MS_PER_SECOND = 1000


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """What decides when a request gets a slot.

    Attributes:
        rank: Priority, 0 is the most urgent.
        account: The client account, empty on public routes.
        fingerprint: Digest by which the owner recognizes the request when it returns.
        max_wait: Longest wait for a slot in seconds; without one the owner answers at
            once whether a slot is free.
        time_left: Seconds until the caller's deadline.
    """

    rank: int
    account: AccountId
    fingerprint: Fingerprint
    max_wait: float
    time_left: float


def encode_admission(*, admission: Admission | None) -> list[Any] | None:
    """Encode what decides when a request gets a slot."""
    if admission is None:
        return None
    return [
        admission.rank,
        admission.account,
        admission.fingerprint,
        bounded_count(value=admission.max_wait * MS_PER_SECOND),
        bounded_count(value=admission.time_left * MS_PER_SECOND),
    ]


def decode_admission(*, fields: Any) -> Admission | None:
    """Decode what decides when a request gets a slot; ignore fields added later.

    Args:
        fields: The encoded field, None if there is none.
    """
    if fields is None:
        return None
    rank, account, fingerprint, max_wait, time_left, *_ = fields
    return Admission(
        rank=decode_count(rank),
        account=AccountId(str(account)),
        fingerprint=Fingerprint(str(fingerprint)),
        max_wait=float(max_wait) / MS_PER_SECOND,
        time_left=float(time_left) / MS_PER_SECOND,
    )


def encode_slowdowns(*, notes: tuple[SlowdownNote, ...]) -> list[Any]:
    """Encode slowdowns."""
    # Ages are rounded up: zero stands for a value that the endpoint told the reader.
    return [
        [
            note.endpoint,
            bounded_count(value=note.slowdown * PERCENT),
            max(1, bounded_count(value=math.ceil(note.age * MS_PER_SECOND))),
        ]
        for note in notes
    ]


def decode_slowdowns(*, fields: Any) -> tuple[SlowdownNote, ...]:
    """Decode slowdowns.

    Args:
        fields: The encoded field, None if there is none.
    """
    return tuple(
        SlowdownNote(
            endpoint=EndpointId(str(endpoint)),
            slowdown=decode_count(percent) / PERCENT,
            age=max(1, decode_count(age_ms)) / MS_PER_SECOND,
        )
        for endpoint, percent, age_ms in fields or ()
    )
