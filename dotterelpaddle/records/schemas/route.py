"""Schema versions of route records.

A route's name is ``ACCOUNT:SERVICE``, so the table itself keeps two operators
from making two routes for one service of a client account.

Version 1 names model, adapter and version in one text, which operators could
not search or check by field, and says with ``retry`` what the router does
rather than what the request is. Version 2 has a field for each part and says
whether requests are idempotent; what may be repeated follows from that.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import (
    AccountId,
    AdapterId,
    ModelId,
    PoolId,
    ServiceName,
    VersionId,
)
from dotterelpaddle.records.model import Route
from dotterelpaddle.records.schemas.common import Name, OptionalName, Spec, check_name
from dotterelpaddle.records.schemas.reference import (
    ModelReference,
    RouteReference,
    parse_reference,
)

NAME_SEPARATOR = ":"
"""Stands between client account and service in a route's name."""

MAX_TIMEOUT = 3600.0
"""Longest timeout of a route, seconds."""


class RouteV1(Spec):
    """Schema version 1 of a route.

    Attributes:
        pool: Where requests go.
        model: ``MODEL[+ADAPTER][@VERSION]``, empty for plain services.
        retry: Whether a request may be sent again after a failure.
        timeout_ms: Milliseconds after which a caller gets no answer any more.
    """

    pool: Name
    model: RouteReference = ""
    retry: bool = True
    timeout_ms: Annotated[int, Field(ge=1, le=int(MAX_TIMEOUT * 1000))] = 60_000


class RouteTarget(Spec):
    """What a route asks of an engine in schema version 2.

    Attributes:
        model: The model.
        adapter: Adapter of the model, empty for none.
        version: Version of its weights, empty for any.
    """

    model: Name
    adapter: OptionalName = ""
    version: OptionalName = ""


class RouteV2(Spec):
    """Schema version 2 of a route.

    Attributes:
        pool: Where requests go.
        target: What is asked of the engine, absent for plain services.
        idempotent: Whether a request may run more than once.
        timeout: Seconds after which a caller gets no answer any more.
    """

    pool: Name
    target: RouteTarget | None = None
    idempotent: bool = True
    timeout: Annotated[float, Field(gt=0.0, le=MAX_TIMEOUT)] = 60.0


def split_name(*, name: str) -> tuple[AccountId, ServiceName]:
    """Read client account and service from a route's name.

    Raises:
        ValueError: If the name isn't ``ACCOUNT:SERVICE``.
    """
    account, separator, service = name.partition(NAME_SEPARATOR)
    if not separator:
        raise ValueError(f"'{name}' is no route's name; write it as ACCOUNT:SERVICE")
    return AccountId(check_name(account)), ServiceName(check_name(service))


def to_internal(*, name: str, spec: RouteV1 | RouteV2) -> Route:
    """Convert either schema version to the internal form."""
    account, service = split_name(name=name)
    match spec:
        case RouteV1():
            reference = parse_reference(text=spec.model)
            return Route(
                account=account,
                service=service,
                pool=PoolId(spec.pool),
                model=ModelId(reference.model),
                adapter=AdapterId("".join(reference.adapters)),
                version=VersionId(reference.version),
                idempotent=spec.retry,
                timeout=spec.timeout_ms / 1000,
            )
        case RouteV2():
            target = spec.target
            return Route(
                account=account,
                service=service,
                pool=PoolId(spec.pool),
                model=ModelId(target.model if target else ""),
                adapter=AdapterId(target.adapter if target else ""),
                version=VersionId(target.version if target else ""),
                idempotent=spec.idempotent,
                timeout=spec.timeout,
            )


def to_v1(*, record: Route) -> RouteV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If the timeout is no whole number of milliseconds.
    """
    timeout_ms = round(record.timeout * 1000)
    if timeout_ms / 1000 != record.timeout:
        raise RecordError(
            "schema 1 holds whole milliseconds; round the timeout",
            field="spec.timeout",
        )
    reference = ModelReference(
        model=record.model,
        adapters=(record.adapter,) if record.adapter else (),
        version=record.version,
    )
    return RouteV1(
        pool=record.pool,
        model=str(reference),
        retry=record.idempotent,
        timeout_ms=timeout_ms,
    )


def to_v2(*, record: Route) -> RouteV2:
    """Write the internal form in schema version 2."""
    target = None
    if record.model:
        target = RouteTarget(
            model=record.model, adapter=record.adapter, version=record.version
        )
    return RouteV2(
        pool=record.pool,
        target=target,
        idempotent=record.idempotent,
        timeout=record.timeout,
    )
