"""The records that put a shape in force."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from dotterelpaddle.ids import AdapterId, VersionId
from dotterelpaddle.records.codec import from_internal
from dotterelpaddle.records.envelope import Envelope
from dotterelpaddle.records.model import (
    Account,
    Endpoint,
    Model,
    Pool,
    PoolKind,
    RecordKind,
    Route,
)
from dotterelpaddle.records.tokens import digest_token

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.fleet.shape import (
        AccountShape,
        EndpointShape,
        PoolShape,
        Shape,
    )
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.records.model import InternalRecord

OLD_SCHEMA = 1
NEW_SCHEMA = 2

ROUTE_TIMEOUT = 30.0
"""Seconds after which a caller of a shape's route gets no answer any more."""

SALT_DIGITS = 32


def records(
    *, shape: Shape, addresses: Mapping[EndpointId, Address]
) -> tuple[Envelope, ...]:
    """Write the records of a shape.

    Every other client account, with its routes, is still in schema version 1.

    Args:
        shape: The deployment.
        addresses: Where each of its endpoints listens.

    Returns:
        The records, each after those that it refers to.
    """
    written = [*_models(shape=shape), *_pools(shape=shape)]
    written += [
        endpoint_record(shape=shape, endpoint=each, address=addresses[each.name])
        for each in shape.endpoints
        if each.name in addresses
    ]
    for index, account in enumerate(shape.accounts):
        schema = OLD_SCHEMA if index % 2 else NEW_SCHEMA
        written += _account_records(shape=shape, account=account, schema=schema)
    return tuple(written)


def endpoint_record(
    *, shape: Shape, endpoint: EndpointShape, address: Address
) -> Envelope:
    """Write the record of an endpoint at an address."""
    pool = shape.pool(name=endpoint.pool)
    record = Endpoint(
        name=endpoint.name,
        pool=endpoint.pool,
        address=address,
        failure_domain=endpoint.failure_domain,
        checks_fencing=endpoint.checks_fencing,
        model=pool.model,
        version=VersionId(""),
    )
    return envelope(
        kind=RecordKind.ENDPOINT, name=endpoint.name, record=record, schema=NEW_SCHEMA
    )


def envelope(
    *, kind: RecordKind, name: str, record: InternalRecord, schema: int
) -> Envelope:
    """Write a record in a schema version."""
    spec = from_internal(record=record, kind=kind, schema=schema)
    return Envelope(kind=kind.value, schema=schema, name=name, spec=spec)


def _models(*, shape: Shape) -> list[Envelope]:
    return [
        envelope(
            kind=RecordKind.MODEL,
            name=pool.model,
            record=Model(name=pool.model),
            schema=NEW_SCHEMA,
        )
        for pool in shape.pools
        if pool.kind is PoolKind.ENGINE
    ]


def _pools(*, shape: Shape) -> list[Envelope]:
    return [
        envelope(
            kind=RecordKind.POOL,
            name=pool.name,
            record=Pool(
                name=pool.name,
                kind=pool.kind,
                load_multiple=pool.load_multiple,
                max_in_flight=pool.max_in_flight,
            ),
            schema=NEW_SCHEMA,
        )
        for pool in shape.pools
    ]


def _account_records(
    *, shape: Shape, account: AccountShape, schema: int
) -> list[Envelope]:
    salt = hashlib.sha256(account.name.encode()).hexdigest()[:SALT_DIGITS]
    record = Account(
        name=account.name,
        token_salt=salt,
        token_digests=(digest_token(salt=salt, token=account.token),),
        share=account.share,
    )
    routes = [_route(account=account, pool=pool, schema=schema) for pool in shape.pools]
    return [
        envelope(
            kind=RecordKind.ACCOUNT, name=account.name, record=record, schema=schema
        ),
        *routes,
    ]


def _route(*, account: AccountShape, pool: PoolShape, schema: int) -> Envelope:
    record = Route(
        account=account.name,
        service=pool.service,
        pool=pool.name,
        model=pool.model,
        adapter=AdapterId(""),
        version=VersionId(""),
        idempotent=True,
        timeout=ROUTE_TIMEOUT,
    )
    return envelope(
        kind=RecordKind.ROUTE,
        name=f"{account.name}:{pool.service}",
        record=record,
        schema=schema,
    )
