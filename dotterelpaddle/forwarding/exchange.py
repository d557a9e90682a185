"""One caller's request on its way through the filters of forwarding."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.dispatch.outcome import OutcomeLog
    from dotterelpaddle.exceptions import RequestError
    from dotterelpaddle.forwarding.interface import AnswerHead, ForwardRequest
    from dotterelpaddle.forwarding.model import ClientAccount, ForwardRoute
    from dotterelpaddle.forwarding.reply import ForwardReply
    from dotterelpaddle.ids import Fingerprint, ServiceName


@dataclass(kw_only=True, slots=True)
class ForwardExchange:
    """One caller's request.

    Attributes:
        request: Its head.
        body: Its whole body.
        reply: The way back to the caller.
        received_at: When its head arrived, seconds on the monotonic clock.
        deadline: When nobody waits any more, seconds on the monotonic clock.
        attempts: Evidence of the attempts to serve it.
        configuration_version: Version of the configuration that it is served by.
        route: Its route, once found.
        service: The service that serves it, once chosen.
        account: Its client account, None on public routes.
        fingerprint: What the same request of the same caller always has, None while
            the account is not known.
        last_endpoint: The endpoint that was tried last, for the log.
        caller_disconnected: Whether the caller closed its connection before the end.
        error: What the caller was told in place of an answer.
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
    last_endpoint: str = ""
    caller_disconnected: bool = False
    error: RequestError | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class BufferedAnswer:
    """An endpoint's whole answer, not yet told to the caller.

    Attributes:
        head: Its head.
        body: Its body.
    """

    head: AnswerHead
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamedAnswer:
    """An answer that was told to the caller event by event, up to its end."""


AttemptResult = BufferedAnswer | StreamedAnswer
"""What an attempt brought."""
