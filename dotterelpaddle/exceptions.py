"""The exception hierarchy.

Every error names the processing step that raised it and, where there is one, the
peer that was involved.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import Row


class Step(Enum):
    """Processing step that raised an error."""

    SETTINGS = "settings"
    ENTRY = "entry"
    AUTHENTICATION = "authentication"
    ROUTING = "routing"
    CLAIM = "claim"
    ADMISSION = "admission"
    PLACEMENT = "placement"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    RELAY = "relay"
    PLATFORM = "platform"
    CONFIGURATION = "configuration"
    CONTROL = "control"
    MEMBERSHIP = "membership"
    LEASE = "lease"
    ORDER = "order"
    SCENARIO = "scenario"


MALFORMED_DOCUMENT = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors of code that takes fields out of a document which may have any shape."""


class DotterelpaddleError(Exception):
    """Base class of all errors of this project.

    Attributes:
        message: What went wrong and how to fix it.
        step: The processing step that raised the error.
        peer: Name or address of the peer, empty if there is none.
    """

    default_step = Step.ENTRY

    def __init__(self, message: str, *, step: Step | None = None, peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step or self.default_step
        self.peer = peer

    def __str__(self) -> str:
        location = f"{self.step.value}, {self.peer}" if self.peer else self.step.value
        return f"{self.message} [{location}]"


class SettingsError(DotterelpaddleError):
    """A settings file can't be used without a correction."""

    default_step = Step.SETTINGS


class RecordError(DotterelpaddleError):
    """A record is malformed or conflicts with another one.

    Attributes:
        field: Dotted path of the field to correct.
    """

    default_step = Step.CONFIGURATION

    def __init__(
        self,
        message: str,
        *,
        field: str = "",
        step: Step | None = None,
        peer: str = "",
    ):
        super().__init__(message, step=step, peer=peer)
        self.field = field


class RecordConflict(RecordError):
    """Another writer changed the record first."""


class RecordSchemaUnknown(RecordError):
    """This release does not know a record's kind or schema version."""


class RecordRefused(RecordError):
    """A well-formed record conflicts with the other current records."""


class RecordNotFound(RecordError):
    """No record has the given kind and name."""


class RecordOutcomeUnknown(RecordError):
    """The platform may have accepted a change, but can't confirm it now.

    Attributes:
        attempt: Identifier for a later query of the outcome.
    """

    def __init__(self, message: str, *, attempt: str, peer: str = ""):
        super().__init__(message, peer=peer)
        self.attempt = attempt


class RouterUnreachable(DotterelpaddleError):
    """No router's operator interface is reachable; the client sent nothing."""

    default_step = Step.CONNECT


class PlatformError(DotterelpaddleError):
    """The platform service did not return a usable answer."""

    default_step = Step.PLATFORM


class PlatformUnavailable(PlatformError):
    """The platform refused a request or is unreachable; nothing took effect."""


class NothingAccepted(PlatformUnavailable):
    """The platform is unavailable, so it did not accept a change of records."""


class PlatformAnswerLost(PlatformError):
    """A write got no answer from the platform; it may have taken effect."""


class HistoryLost(PlatformError):
    """The platform no longer has the single changes; the reader needs a snapshot."""


class TableConflict(PlatformError):
    """A compare-and-set transaction found a row at another revision.

    Attributes:
        rows: The current rows, without those that never existed.
    """

    def __init__(
        self,
        message: str,
        *,
        rows: tuple[Row, ...] = (),
        step: Step | None = None,
        peer: str = "",
    ):
        super().__init__(message, step=step, peer=peer)
        self.rows = rows


class RequestError(DotterelpaddleError):
    """The router can't serve a caller's request.

    Attributes:
        status: HTTP status of the response.
        retry_after: Seconds after which the caller may retry, or None.
    """

    status = 500

    def __init__(
        self,
        message: str,
        *,
        step: Step | None = None,
        peer: str = "",
        retry_after: float | None = None,
    ):
        super().__init__(message, step=step, peer=peer)
        self.retry_after = retry_after


class MalformedRequest(RequestError):
    """The request's body or headers are malformed."""

    status = 400


class BodyTooLarge(RequestError):
    """The request's body exceeds the size limit."""

    status = 413


class NotAuthenticated(RequestError):
    """The token is missing or unknown."""

    status = 401
    default_step = Step.AUTHENTICATION


class RouteNotFound(RequestError):
    """No route record matches the client account and the service."""

    status = 404
    default_step = Step.ROUTING


class Overloaded(RequestError):
    """The router expects no free capacity before the request's deadline."""

    status = 429
    default_step = Step.ADMISSION


class NotAccepting(RequestError):
    """This router accepts no new requests at present."""

    status = 503


class ClaimUnavailable(RequestError):
    """The router can't claim the idempotency key now, so it sends nothing."""

    status = 503
    default_step = Step.CLAIM


class EarlierRunUnknown(RequestError):
    """An earlier request with the same idempotency key may have run unanswered."""

    status = 409
    default_step = Step.CLAIM


class KeyReused(RequestError):
    """Another request with different content used the same idempotency key."""

    status = 422
    default_step = Step.CLAIM


class RequestBlocked(RequestError):
    """Endpoints crashed on this request, so the router blocks it for a while."""

    status = 503
    default_step = Step.ADMISSION


class NoEndpoint(RequestError):
    """The pool has no endpoint that takes work."""

    status = 503
    default_step = Step.PLACEMENT


class EndpointError(RequestError):
    """An endpoint did not return a complete answer."""

    status = 502
    default_step = Step.RECEIVE


class EndpointRefused(EndpointError):
    """An endpoint refused the request before running it."""

    status = 503


class EndpointLeaving(EndpointRefused):
    """An endpoint refused the request because it accepts no new work at all."""


class EndpointUnreachable(EndpointError):
    """The router could not connect to the endpoint, so it sent nothing.

    Attributes:
        timed_out: Whether the connection attempt got no answer, not a refusal.
        is_local: Whether this process could open no connection to anybody, which tells
            nothing of the endpoint.
    """

    default_step = Step.CONNECT

    def __init__(
        self,
        message: str,
        *,
        timed_out: bool = False,
        is_local: bool = False,
        step: Step | None = None,
        peer: str = "",
    ):
        super().__init__(message, step=step, peer=peer)
        self.timed_out = timed_out
        self.is_local = is_local


class EndpointSilent(EndpointError):
    """An endpoint made no progress within its pool's timeout."""


class AnswerBroken(EndpointError):
    """The connection or the answer ended before the answer was complete."""


class ForeignAnswer(EndpointError):
    """An endpoint's answer carries the id of another request."""


class DeadlineExceeded(RequestError):
    """The request's deadline passed."""

    status = 504


class ControlError(DotterelpaddleError):
    """A message between routers can't be sent, decoded or authenticated."""

    default_step = Step.CONTROL


class BudgetSpent(ControlError):
    """The byte budget for control traffic is exhausted; nothing was sent."""


class LeaseLost(DotterelpaddleError):
    """Another router holds the lease, or the lease has expired."""

    default_step = Step.LEASE


class ScenarioError(DotterelpaddleError):
    """A scenario file is malformed or an expectation was not met."""

    default_step = Step.SCENARIO
