"""What a stand-in for an endpoint does with a request."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Serve:
    """The endpoint runs the request and answers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Refuse:
    """The endpoint rejects the request without running it.

    Attributes:
        status: HTTP status of the answer.
        retry_after: Value of the Retry-After header, empty for none.
    """

    status: int = 503
    retry_after: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class WrongEndpoint:
    """Another endpoint than the expected one has the address."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Fail:
    """The endpoint runs the request and answers that it failed.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int = 500


@dataclass(frozen=True, kw_only=True, slots=True)
class CutAnswer:
    """The endpoint runs the request and closes the connection within the answer.

    Attributes:
        events: Complete events of a stream before that.
    """

    events: int = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class LoseAnswer:
    """The endpoint runs the request and closes the connection without an answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Endless:
    """The endpoint sends bytes until the connection is closed.

    Attributes:
        beginning: Bytes before that, in which `REQUEST_ID` stands for that id.
        chunk: Bytes that it repeats.
    """

    beginning: bytes = b""
    chunk: bytes = b"x" * 16384


@dataclass(frozen=True, kw_only=True, slots=True)
class Bulk:
    """The endpoint runs the request and sends a large body at a rate.

    Attributes:
        size: Bytes of the body, None to send until the connection is closed.
        declared: Length that the head declares, None to send the body in chunks.
        bytes_per_second: Rate of the body.
        status: HTTP status of the answer.
        part_bytes: Bytes of the body that it sends at a time.
    """

    size: int | None = None
    declared: int | None = None
    bytes_per_second: float = math.inf
    status: int = 200
    part_bytes: int = 32 * 1024


@dataclass(frozen=True, kw_only=True, slots=True)
class Garbage:
    """The endpoint sends bytes that are not HTTP."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Foreign:
    """The endpoint answers another request.

    Attributes:
        request_id: Request id in the answer, empty for none.
    """

    request_id: bytes = b"another"


@dataclass(frozen=True, kw_only=True, slots=True)
class ExtraAnswer:
    """The endpoint sends a second answer after the first.

    Attributes:
        request_id: Request id in the second answer, empty for none.
    """

    request_id: bytes = b"late"


@dataclass(frozen=True, kw_only=True, slots=True)
class Unsealed:
    """The endpoint answers with success but without a proof of origin."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Unframed:
    """The answer has no length and ends with the connection.

    Attributes:
        events: Complete events of a stream before its end within the next one, None for
            a whole stream.
        reset: Whether the connection is reset within an answer that is no stream.
    """

    events: int | None = None
    reset: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Hang:
    """The endpoint runs the request and never completes the answer.

    Attributes:
        events: Events of a stream before that.
    """

    events: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class FallSilent:
    """The endpoint runs the request, sends nothing for a while, and goes on.

    Attributes:
        seconds: How long it sends nothing.
        events: Events of a stream before that.
    """

    seconds: float
    events: int = 0


Behaviour = (
    Serve
    | FallSilent
    | Refuse
    | WrongEndpoint
    | Fail
    | CutAnswer
    | LoseAnswer
    | Endless
    | Bulk
    | Garbage
    | Foreign
    | ExtraAnswer
    | Unsealed
    | Unframed
    | Hang
)
"""What the endpoint does with one request."""


def pause_before(events: int, behaviour: Behaviour, pause: float) -> float:
    """Return the seconds before the next event of a stream, after some events."""
    match behaviour:
        case FallSilent(seconds=seconds, events=events_before) if (
            events == events_before
        ):
            return seconds
    return pause
