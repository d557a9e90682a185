"""HTTP answers of the operator interface: reports, documents and errors."""

from __future__ import annotations

from functools import wraps
from typing import TYPE_CHECKING, Any

import orjson
from starlette.responses import Response

from dotterelpaddle.exceptions import (
    BodyTooLarge,
    DotterelpaddleError,
    MalformedRequest,
    NotAuthenticated,
    NothingAccepted,
    PlatformError,
    RecordConflict,
    RecordError,
    RecordNotFound,
    RecordOutcomeUnknown,
    RecordRefused,
    RouteNotFound,
    Step,
)
from dotterelpaddle.logs import get_logger
from dotterelpaddle.operator import wire
from dotterelpaddle.operator.clashes import ChangedByOther
from dotterelpaddle.operator.reports import ErrorReport, ErrorType

if TYPE_CHECKING:
    from starlette.requests import Request

    from dotterelpaddle.operator.interface import Document
    from dotterelpaddle.operator.operation import Handler

log = get_logger(name=__name__)

JSON_TYPE = "application/json"

STATUS_OF_TYPE = {
    ErrorType.MALFORMED: 400,
    ErrorType.NOT_AUTHENTICATED: 401,
    ErrorType.NOT_FOUND: 404,
    ErrorType.CONFLICT: 409,
    ErrorType.TOO_LARGE: 413,
    ErrorType.REFUSED: 422,
    ErrorType.INTERNAL: 500,
    ErrorType.UNAVAILABLE: 503,
    ErrorType.NOTHING_ACCEPTED: 503,
    ErrorType.OUTCOME_UNKNOWN: 504,
}
"""HTTP status of each kind of error."""

NEWLINE = b"\n"


def report_answer(*, report: Any) -> Response:
    """Answer with a report."""
    content = wire.encode_report(report=report)
    return Response(content + NEWLINE, media_type=JSON_TYPE)


def document_answer(*, document: Document) -> Response:
    """Answer with a free-form document."""
    content = orjson.dumps(
        dict(document),
        default=str,
        option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS,
    )
    return Response(content + NEWLINE, media_type=JSON_TYPE)


def error_answer(*, error: DotterelpaddleError) -> Response:
    """Answer with an error."""
    report = error_report(error=error)
    return Response(
        wire.encode_report(report=report) + NEWLINE,
        status_code=STATUS_OF_TYPE[report.type],
        media_type=JSON_TYPE,
    )


def error_report(*, error: DotterelpaddleError) -> ErrorReport:
    """Describe an error."""
    return ErrorReport(
        type=_type_of(error=error),
        message=error.message,
        step=error.step.value,
        peer=error.peer,
        field=error.field if isinstance(error, RecordError) else "",
        attempt=error.attempt if isinstance(error, RecordOutcomeUnknown) else "",
        clashes=error.clashes if isinstance(error, ChangedByOther) else (),
    )


def _type_of(*, error: DotterelpaddleError) -> ErrorType:
    match error:
        case NotAuthenticated():
            return ErrorType.NOT_AUTHENTICATED
        case BodyTooLarge():
            return ErrorType.TOO_LARGE
        case RecordNotFound() | RouteNotFound():
            return ErrorType.NOT_FOUND
        case RecordConflict():
            return ErrorType.CONFLICT
        case RecordRefused():
            return ErrorType.REFUSED
        case RecordOutcomeUnknown():
            return ErrorType.OUTCOME_UNKNOWN
        case RecordError() | MalformedRequest():
            return ErrorType.MALFORMED
        case NothingAccepted():
            return ErrorType.NOTHING_ACCEPTED
        case PlatformError():
            return ErrorType.UNAVAILABLE
        case _:
            return ErrorType.INTERNAL


def answering(handler: Handler) -> Handler:
    """Let a handler raise errors of the project; they become typed answers."""

    @wraps(handler)
    async def _call(request: Request) -> Response:
        try:
            return await handler(request)
        except DotterelpaddleError as error:
            log.info(
                "operator_request_refused",
                path=request.url.path,
                why=error.message,
                step=error.step.value,
                peer=error.peer,
            )
            return error_answer(error=error)
        except Exception as error:
            log.error("operator_request_failed", path=request.url.path, why=repr(error))
            internal = DotterelpaddleError(
                f"a fault of the router: {error!r}; its log has more",
                step=Step.CONFIGURATION,
            )
            return error_answer(error=internal)

    return _call
