"""Which requests have the same fingerprint."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from dotterelpaddle.forwarding.fingerprints import fingerprint_of
from dotterelpaddle.forwarding.model import ClientAccount
from dotterelpaddle.ids import AccountId, RequestId
from dotterelpaddle.tests.forwarding.entries import make_request

ACCOUNT = ClientAccount(name=AccountId("acme"))
REQUEST = replace(make_request(), target=b"/safe/1?page=2")


def _fingerprint(**fields: Any) -> str:
    return fingerprint_of(
        **{"request": REQUEST, "account": ACCOUNT, "body": b"body", **fields}
    )


def test_retry_of_a_caller_has_the_same_fingerprint() -> None:
    retry = replace(
        REQUEST, request_id=RequestId("again"), time_left=1.0, last_event_id="3"
    )

    assert _fingerprint(request=retry) == _fingerprint()


@pytest.mark.parametrize(
    "fields",
    [
        {"body": b"other"},
        {"account": ClientAccount(name=AccountId("other"))},
        {"account": None},
        {"request": replace(REQUEST, target=b"/safe/1?page=3")},
        {"request": replace(REQUEST, target=b"/safe/1")},
        {"request": replace(REQUEST, host="b.example")},
        {"request": replace(REQUEST, method="GET")},
    ],
    ids=str,
)
def test_another_request_has_another_fingerprint(fields: dict[str, Any]) -> None:
    assert _fingerprint(**fields) != _fingerprint()


def test_bytes_that_move_between_fields_change_the_fingerprint() -> None:
    account = ClientAccount(name=AccountId("acm"))

    assert _fingerprint(account=account, body=b"ebody") != _fingerprint()
