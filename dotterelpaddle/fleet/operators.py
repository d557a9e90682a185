"""Changes of records by the operator interface of a fleet's routers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.fleet.options import OPERATOR_TOKEN
from dotterelpaddle.fleet.records import endpoint_record
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.operator.client import ChangeRequest, open_operator
from dotterelpaddle.records.model import EndpointIntent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.fleet.fleet import Fleet
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.operator.client import OperatorClient
    from dotterelpaddle.operator.interface import Document
    from dotterelpaddle.operator.reports import ChangeReport
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.records.keys import RecordKey

TIMEOUT = 5.0
"""Seconds for an operator's call."""


@asynccontextmanager
async def operator_of(
    *, fleet: Fleet, router: str, operator: str = "fleet"
) -> AsyncIterator[OperatorClient]:
    """Open an operator's client of one router.

    Yields:
        The client.
    """
    address = fleet.operator_of(router=router)
    async with open_operator(
        routers=(f"http://{address}",),
        token=OPERATOR_TOKEN,
        timeout=TIMEOUT,
        operator=operator,
    ) as client:
        yield client


async def apply_records(
    *,
    fleet: Fleet,
    router: str,
    envelopes: tuple[Envelope, ...],
    expected: Revision | None = None,
    operator: str = "fleet",
) -> ChangeReport:
    """Write records by a router; raises as the operator's client does."""
    text = orjson.dumps([_document(envelope=each) for each in envelopes]).decode()
    change = ChangeRequest(expected=expected)
    async with operator_of(fleet=fleet, router=router, operator=operator) as client:
        return await client.apply(text=text, source="scenario", change=change)


async def retire_record(*, fleet: Fleet, router: str, key: RecordKey) -> ChangeReport:
    """Retire a record by a router; raises as the operator's client does."""
    async with operator_of(fleet=fleet, router=router) as client:
        return await client.retire(keys=(key,))


async def set_intent(
    *, fleet: Fleet, router: str, endpoint: str, intent: EndpointIntent
) -> ChangeReport:
    """Write an endpoint's record with an intent."""
    written = record_of_endpoint(fleet=fleet, endpoint=endpoint)
    spec = {**written.spec, "intent": intent.value}
    if intent is EndpointIntent.DRAIN:
        fleet.leaving.add(EndpointId(endpoint))
    else:
        fleet.leaving.discard(EndpointId(endpoint))
    return await apply_records(
        fleet=fleet, router=router, envelopes=(replace(written, spec=spec),)
    )


def record_of_endpoint(*, fleet: Fleet, endpoint: str) -> Envelope:
    """Write the record of an endpoint as it runs now."""
    shape = next(each for each in fleet.shape.endpoints if each.name == endpoint)
    address = fleet.endpoints[EndpointId(endpoint)].server.address
    return endpoint_record(shape=fleet.shape, endpoint=shape, address=address)


async def read_status(*, fleet: Fleet, router: str) -> Document:
    """Read what a router tells operators about itself."""
    async with operator_of(fleet=fleet, router=router) as client:
        return await client.status()


def _document(*, envelope: Envelope) -> dict[str, Any]:
    return {
        "kind": envelope.kind,
        "schema": envelope.schema,
        "name": envelope.name,
        "spec": dict(envelope.spec),
    }
