"""Raises again, in an operator's process, what a router answered as an error."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

from dotterelpaddle.exceptions import (
    DotterelpaddleError,
    NotAuthenticated,
    NothingAccepted,
    PlatformUnavailable,
    RecordConflict,
    RecordError,
    RecordNotFound,
    RecordOutcomeUnknown,
    RecordRefused,
    RouteNotFound,
    Step,
)
from dotterelpaddle.operator.clashes import ChangedByOther
from dotterelpaddle.operator.reports import ErrorType

if TYPE_CHECKING:
    from dotterelpaddle.operator.reports import ErrorReport


def raise_report(*, report: ErrorReport, router: str) -> NoReturn:
    """Raise the error that a report describes.

    Args:
        report: The report.
        router: The router that answered it, named where the report has no peer.
    """
    step = Step(report.step)
    peer = report.peer or router
    match report.type:
        case ErrorType.CONFLICT if report.clashes:
            raise ChangedByOther(clashes=report.clashes)
        case ErrorType.CONFLICT:
            raise RecordConflict(report.message, step=step, peer=peer)
        case ErrorType.REFUSED:
            raise RecordRefused(
                report.message, field=report.field, step=step, peer=peer
            )
        case ErrorType.NOT_FOUND if step is Step.ROUTING:
            raise RouteNotFound(report.message, step=step, peer=peer)
        case ErrorType.NOT_FOUND:
            raise RecordNotFound(
                report.message, field=report.field, step=step, peer=peer
            )
        case ErrorType.MALFORMED | ErrorType.TOO_LARGE:
            raise RecordError(report.message, field=report.field, step=step, peer=peer)
        case ErrorType.NOT_AUTHENTICATED:
            raise NotAuthenticated(report.message, step=step, peer=router)
        case ErrorType.NOTHING_ACCEPTED:
            raise NothingAccepted(report.message, step=step, peer=peer)
        case ErrorType.UNAVAILABLE:
            raise PlatformUnavailable(report.message, step=step, peer=peer)
        case ErrorType.OUTCOME_UNKNOWN:
            raise RecordOutcomeUnknown(
                report.message, attempt=report.attempt, peer=peer
            )
        case ErrorType.INTERNAL:
            raise DotterelpaddleError(report.message, step=step, peer=peer)
