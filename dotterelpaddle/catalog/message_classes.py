"""Messages between the catalogs of different routers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import Revision


class DigestKind(IntEnum):
    """What a digest asks of its receiver."""

    PLAIN = 0
    ASK = 1
    BULK = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Push:
    """Changes that the receiver probably lacks.

    Attributes:
        revision: The sender's own revision.
        age: Seconds since the sender knows the platform's state, None for never.
        relay: Whether the receiver passes it on in its failure domain.
        content: The changes as `dotterelpaddle.catalog.delta_codec` packs them.
    """

    revision: Revision
    age: float | None
    relay: bool
    content: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Digest:
    """How far the sender is.

    Attributes:
        revision: The sender's own revision.
        checksum: Digest of its live records, 0 if it is not settled.
        age: Seconds since the sender knows the platform's state, None for never.
        kind: What it asks of the receiver.
    """

    revision: Revision
    checksum: int
    age: float | None
    kind: DigestKind = DigestKind.PLAIN


@dataclass(frozen=True, kw_only=True, slots=True)
class Pull:
    """A wish for all changes after a revision, 0 for everything.

    Attributes:
        base: The revision.
        part: Which part of everything, from 0.
        parts: In how many parts everything is asked for, of several routers.
    """

    base: Revision
    part: int = 0
    parts: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Bulk:
    """The answer to a pull.

    Attributes:
        ready: Whether the sender has the records at all.
        age: Seconds since the sender knows the platform's state, None for never.
        chunks: The changes as `dotterelpaddle.catalog.chunks` packs them.
        parts: In how many parts to ask if the answer would be too long; it is
            empty then.
    """

    ready: bool
    age: float | None
    chunks: tuple[bytes, ...]
    parts: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Survey:
    """A question who has a revision in force.

    Attributes:
        revision: The revision.
        timeout: Seconds until the answer must be sent.
        routers: Further routers to ask, by the hash of their name.
    """

    revision: Revision
    timeout: float
    routers: tuple[int, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class SurveyReply:
    """The answer to a survey.

    Attributes:
        revision: The answering router's own revision.
        pending: Routers asked that answer and don't have the revision yet.
        unreachable: Routers asked that can't be heard from.
    """

    revision: Revision
    pending: tuple[int, ...] = ()
    unreachable: tuple[int, ...] = ()
