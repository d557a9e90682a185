"""What routers report to each other of what ran when endpoints crashed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.crashes.subjects import AnySubject, CrashSubject
    from dotterelpaddle.ids import EndpointId


class NoteKind(Enum):
    """Kind of event that a note reports."""

    ENDED = "ended"
    TRIED = "tried"
    SERVED = "served"


@dataclass(frozen=True, kw_only=True, slots=True)
class CrashNote:
    """An event of a request or a prompt part, as one router reports it to others.

    Attributes:
        kind: Kind of event.
        subject: The request or the part, or any that ran.
        endpoint: Incarnation that crashed or runs an attempt; None if served.
        age: Seconds since the event.
        attempt_seconds: Seconds from the start of the attempt to the event; 0 for
            requests, which are known by their answers alone.
        begun: Whether the answer had begun at the endpoint, without any output yet.
    """

    kind: NoteKind
    subject: CrashSubject | AnySubject
    endpoint: EndpointId | None = None
    age: float = 0.0
    attempt_seconds: float = 0.0
    begun: bool = False
