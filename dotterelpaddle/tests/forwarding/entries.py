"""Endpoints' entries for tests."""

from __future__ import annotations

from typing import Any

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.model import EndpointEntry, EndpointState
from dotterelpaddle.ids import EndpointId, FailureDomain, Revision, ServiceName


def make_entry(name: str, **fields: Any) -> EndpointEntry:
    """Return an entry that is like any other but for the fields that are given."""
    return EndpointEntry(
        **{
            "endpoint": EndpointId(name),
            "service": ServiceName("engines"),
            "address": Address(host="10.0.0.1", port=80),
            "failure_domain": FailureDomain("here"),
            "slots": 8,
            "state": EndpointState.READY,
            "revision": Revision(1),
            **fields,
        }
    )
