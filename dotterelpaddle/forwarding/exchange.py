"""State of one forwarded request as it passes the filters."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.memory.held_bytes import unbounded_holding

if TYPE_CHECKING:
    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.dispatch.outcome import OutcomeLog
    from dotterelpaddle.exceptions import RequestError
    from dotterelpaddle.forwarding.interface import AnswerHead, ForwardRequest
    from dotterelpaddle.forwarding.model import ClientAccount, ForwardRoute
    from dotterelpaddle.forwarding.reply import ForwardReply
    from dotterelpaddle.ids import Fingerprint, ServiceName, SoftwareVersion
    from dotterelpaddle.memory.holdings import Holding


@dataclass(kw_only=True, slots=True)
class ForwardExchange:
    """State of one caller's request.

    Attributes:
        request: Head of the request.
        body: Complete body of the request.
        reply: Sends the answer to the caller.
        received_at: Arrival of the head, seconds on the monotonic clock.
        deadline: When the caller stops waiting, seconds on the monotonic clock.
        attempts: Evidence from the attempts of how far the request got.
        configuration_version: Version of the configuration used for the request.
        route: Its route, None until found.
        service: The selected service, None until selected.
        account: Its client account, None on public routes.
        fingerprint: Digest, equal for equal requests of one caller; None until the
            account is known.
        crash_subjects: What may crash endpoints in it: the request and the parts of its
            prompt that others share; empty until its service is known.
        stream_version: Software version that brought the first event of its stream,
            None before; no other version continues the stream.
        last_endpoint: Endpoint of the last attempt, for the log.
        caller_disconnected: Whether the caller closed its connection before the end.
        error: Error that the caller received instead of an answer.
        holding: What is held in memory for it.
    """

    request: ForwardRequest
    reply: ForwardReply
    received_at: float
    deadline: float
    attempts: OutcomeLog
    body: bytes = b""
    configuration_version: int = 0
    route: ForwardRoute | None = None
    service: ServiceName | None = None
    account: ClientAccount | None = None
    fingerprint: Fingerprint | None = None
    crash_subjects: tuple[CrashSubject, ...] = ()
    stream_version: SoftwareVersion | None = None
    last_endpoint: str = ""
    caller_disconnected: bool = False
    error: RequestError | None = None
    holding: Holding = field(default_factory=unbounded_holding)


@dataclass(frozen=True, kw_only=True, slots=True)
class BufferedAnswer:
    """An endpoint's complete answer, not yet sent to the caller.

    Attributes:
        head: Status and headers.
        body: Complete body.
    """

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamedAnswer:
    """An answer whose events the caller has received up to its end."""


AttemptResult = BufferedAnswer | StreamedAnswer
"""Result of a successful attempt."""
