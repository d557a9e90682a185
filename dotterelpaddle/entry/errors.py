"""What callers are told when they get no answer."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from dotterelpaddle.exceptions import RequestError
    from dotterelpaddle.ids import RequestId

OUTCOME_HEADER = "x-outcome"
RETRY_AFTER_HEADER = "retry-after"
DEFAULT_RETRY_AFTER = 1.0
"""Seconds after which what did not run may be sent again, unless known better."""

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")


def error_type(*, error: RequestError) -> str:
    """Return the type of an error as callers see it."""
    return _WORD_START.sub("_", type(error).__name__).lower()


def error_body(
    *, error: RequestError, outcome: Outcome, request_id: RequestId
) -> bytes:
    """Return the JSON body that tells an error."""
    content = {
        "type": error_type(error=error),
        "message": error.message,
        "outcome": outcome.value,
        "step": error.step.value,
        "peer": error.peer,
        "request_id": request_id,
    }
    return orjson.dumps({"error": content})


def error_headers(*, error: RequestError, outcome: Outcome) -> dict[str, str]:
    """Return the headers that go with an error."""
    headers = {"content-type": "application/json", OUTCOME_HEADER: outcome.value}
    retry_after = error.retry_after
    if retry_after is None and outcome is Outcome.NOT_RUN and error.status >= 500:
        retry_after = DEFAULT_RETRY_AFTER
    if retry_after is not None:
        headers[RETRY_AFTER_HEADER] = str(max(1, math.ceil(retry_after)))
    return headers


def error_event(
    *, error: RequestError, outcome: Outcome, request_id: RequestId
) -> bytes:
    """Return the event that tells an error inside a stream."""
    body = error_body(error=error, outcome=outcome, request_id=request_id)
    return b": outcome=%s\n\nevent: error\ndata: %s\n\n" % (
        outcome.value.encode(),
        body,
    )
