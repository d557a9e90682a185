"""Factories of endpoint entries and requests for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.backoffs import EndpointBackoffs
from dotterelpaddle.forwarding.brittle import BrittleEndpoints
from dotterelpaddle.forwarding.cold import ColdEndpoints
from dotterelpaddle.forwarding.interface import ForwardRequest, PromptPart
from dotterelpaddle.forwarding.model import EndpointEntry, EndpointState
from dotterelpaddle.ids import (
    EndpointId,
    FailureDomain,
    ModelId,
    RequestId,
    RouterId,
    ServiceName,
)
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.view import FleetView


def make_entry(name: str, **fields: Any) -> EndpointEntry:
    """Return an entry with default values for the fields that are not given."""
    return EndpointEntry(
        **{
            "endpoint": EndpointId(name),
            "service": ServiceName("engines"),
            "address": Address(host="10.0.0.1", port=80),
            "failure_domain": FailureDomain("here"),
            "slots": 8,
            "state": EndpointState.READY,
            "revision": revision_at(1),
            **fields,
        }
    )


def unbounded_cold_endpoints(*, view: FleetView) -> ColdEndpoints:
    """Return a `ColdEndpoints` that does not limit cold endpoints."""
    return ColdEndpoints(
        router=RouterId("own"),
        bounds=None,
        view=view,
        router_count=lambda: 1,
        clock=lambda: 0.0,
    )


def make_brittle(**fields: Any) -> BrittleEndpoints:
    """Return limits of a router that is alone, but for the given fields."""
    return BrittleEndpoints(
        **{
            "backoffs": EndpointBackoffs(clock=lambda: 0.0),
            "router_count": lambda: 1,
            "has_owners": lambda: False,
            **fields,
        }
    )


def make_request(*parts: tuple[str, int]) -> ForwardRequest:
    """Return a request whose prompt has these shared parts and one unique part."""
    unique = PromptPart(digest="own", tokens=100)
    shared = [PromptPart(digest=part, tokens=tokens) for part, tokens in parts]
    return ForwardRequest(
        request_id=RequestId("request"),
        method="POST",
        host="a.example",
        path="/",
        target=b"/",
        headers=[],
        model=ModelId("m"),
        prompt=(*shared, unique) if shared else (),
    )
