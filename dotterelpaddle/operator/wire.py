"""Paths, parameters and bodies of the operator interface's HTTP form."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from dotterelpaddle.exceptions import DotterelpaddleError, Step
from dotterelpaddle.operator.interface import ForceReport
from dotterelpaddle.operator.reports import (
    AttemptReport,
    ChangeReport,
    DiffReport,
    ErrorReport,
    HistoryReport,
    RecordDocument,
    RecordList,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

RECORDS_PATH = "/v1/records"
ATTEMPTS_PATH = "/v1/attempts"
IN_FORCE_PATH = "/v1/in-force"
STATUS_PATH = "/v1/status"
EXPLAIN_PATH = "/v1/explain"
METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"

SOURCE_PARAMETER = "source"
DRY_RUN_PARAMETER = "dry_run"
EXPECT_PARAMETER = "expect_revision"
ATTEMPT_PARAMETER = "attempt"
RECORD_PARAMETER = "record"
KIND_PARAMETER = "kind"
OLD_PARAMETER = "from"
NEW_PARAMETER = "to"
REVISION_PARAMETER = "revision"
TIMEOUT_PARAMETER = "timeout"
REQUEST_PARAMETER = "request"
ACCOUNT_PARAMETER = "account"
SERVICE_PARAMETER = "service"
CHAT_PARAMETER = "chat"

OPERATOR_HEADER = "x-operator"
"""Says who asks, for the history."""

_ADAPTERS: Mapping[type[Any], TypeAdapter[Any]] = {
    each: TypeAdapter(each)
    for each in (
        AttemptReport,
        ChangeReport,
        DiffReport,
        ErrorReport,
        ForceReport,
        HistoryReport,
        RecordDocument,
        RecordList,
    )
}


def encode_report(*, report: Any) -> bytes:
    """Turn a report into JSON."""
    return _ADAPTERS[type(report)].dump_json(report)


def decode_report(*, content: bytes, report: type[T], peer: str) -> T:
    """Read a report from JSON.

    Raises:
        DotterelpaddleError: If it is no such report.
    """
    try:
        decoded: T = _ADAPTERS[report].validate_json(content)
    except ValidationError as error:
        raise DotterelpaddleError(
            f"the answer is no {report.__name__}; is that a router's operator"
            " address, and of a fitting release?",
            step=Step.RECEIVE,
            peer=peer,
        ) from error
    return decoded
