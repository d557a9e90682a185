"""What may crash endpoints: one request, or one part of many prompts."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.caches import shared_parts
from dotterelpaddle.ids import PartKey

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.ids import Fingerprint, ServiceName

KEY_BYTES = 12
"""Length of a part's key, 96 bits: nobody finds another part with the same key."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestSubject:
    """A request, with all retries by its caller.

    Attributes:
        fingerprint: Fingerprint of the request.
    """

    fingerprint: Fingerprint


@dataclass(frozen=True, kw_only=True, slots=True)
class PartSubject:
    """A part of the prompts of any requests.

    Attributes:
        part: Key of the part.
        position: Position in the prompt where it was seen first. Parts that come later
            are in fewer prompts.
    """

    part: PartKey
    position: int = field(default=0, compare=False)


CrashSubject = RequestSubject | PartSubject


def fingerprint_text(subject: CrashSubject) -> str:
    """Return the fingerprint of a request for the log, empty for a part."""
    return subject.fingerprint if isinstance(subject, RequestSubject) else ""


def part_text(subject: CrashSubject) -> str:
    """Return the key of a part for the log, empty for a request."""
    return subject.part if isinstance(subject, PartSubject) else ""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnySubject:
    """Whatever an endpoint was running, whether or not it is suspected any more."""


def part_subjects(
    *, request: ForwardRequest, service: ServiceName
) -> tuple[PartSubject, ...]:
    """Return the parts of a request's prompt that other requests may share."""
    return tuple(
        PartSubject(
            part=_part_key(f"{service}/{request.model}/{part.digest}"),
            position=position,
        )
        for position, part in enumerate(shared_parts(request=request))
    )


def _part_key(text: str) -> PartKey:
    digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES)
    return PartKey(digest.hexdigest())
