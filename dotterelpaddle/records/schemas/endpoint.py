"""Schema versions of endpoint records.

Version 1 has a URL, from which every reader had to pick host and port, takes
all endpoints for equally strong, and can't tell prefill from decode engines.
Version 2 has a structured address, a weight and a role.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field

from dotterelpaddle.address import Address
from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import (
    AdapterId,
    EndpointId,
    FailureDomain,
    ModelId,
    PoolId,
    VersionId,
)
from dotterelpaddle.records.model import Endpoint, EndpointIntent, EndpointRole
from dotterelpaddle.records.schemas.common import Name, Spec
from dotterelpaddle.records.schemas.reference import (
    ModelReference,
    Reference,
    Target,
    parse_reference,
)

URL_SCHEME = "http"
URL_RULE = "write it as http://IP:PORT"


def _check_host(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _parse_url(*, text: str) -> Address:
    """Read ``http://IP:PORT``."""
    parts = urlsplit(text)
    bare = not (parts.path or parts.query or parts.fragment or parts.username)
    if parts.scheme != URL_SCHEME or not parts.hostname or not parts.port or not bare:
        raise ValueError(f"'{text}' is no endpoint's URL; {URL_RULE}")
    return Address(host=_check_host(parts.hostname), port=parts.port)


def _check_url(value: str) -> str:
    _parse_url(text=value)
    return value


IpNumber = Annotated[str, AfterValidator(_check_host)]
"""IP number in text form."""


class EndpointV1(Spec):
    """Schema version 1 of an endpoint.

    Attributes:
        pool: The pool it belongs to.
        url: Where it listens, ``http://IP:PORT``.
        failure_domain: Where it runs.
        drain: Whether it should get no new work.
        fencing: Whether it refuses orders with an old fencing number.
        model: ``MODEL[+ADAPTER...][@VERSION]`` that it should serve, empty for
            plain services or to leave the engine as it is.
    """

    pool: Name
    url: Annotated[str, AfterValidator(_check_url)]
    failure_domain: Name
    drain: bool = False
    fencing: bool = False
    model: Reference = ""


class EndpointAddress(Spec):
    """Where an endpoint listens, in schema version 2.

    Attributes:
        host: IP number.
        port: TCP port.
    """

    host: IpNumber
    port: Annotated[int, Field(ge=1, le=65535)]


class EndpointV2(Spec):
    """Schema version 2 of an endpoint.

    Attributes:
        pool: The pool it belongs to.
        address: Where it listens for HTTP.
        failure_domain: Where it runs.
        weight: Capacity relative to the pool's other endpoints.
        intent: Whether it serves or drains.
        checks_fencing: Whether it refuses orders with an old fencing number.
        serves: What it should serve, absent for plain services or to leave
            the engine as it is.
        role: Part of the work it should do.
    """

    pool: Name
    address: EndpointAddress
    failure_domain: Name
    weight: Annotated[float, Field(gt=0.0, le=1000.0)] = 1.0
    intent: EndpointIntent = EndpointIntent.SERVE
    checks_fencing: bool = False
    serves: Target | None = None
    role: EndpointRole = EndpointRole.MIXED


def to_internal(*, name: str, spec: EndpointV1 | EndpointV2) -> Endpoint:
    """Convert either schema version to the internal form."""
    match spec:
        case EndpointV1():
            return _from_v1(name=name, spec=spec)
        case EndpointV2():
            return _from_v2(name=name, spec=spec)


def _from_v1(*, name: str, spec: EndpointV1) -> Endpoint:
    reference = parse_reference(text=spec.model)
    return Endpoint(
        name=EndpointId(name),
        pool=PoolId(spec.pool),
        address=_parse_url(text=spec.url),
        failure_domain=FailureDomain(spec.failure_domain),
        intent=EndpointIntent.DRAIN if spec.drain else EndpointIntent.SERVE,
        checks_fencing=spec.fencing,
        model=ModelId(reference.model),
        adapters=tuple(AdapterId(adapter) for adapter in reference.adapters),
        version=VersionId(reference.version),
    )


def _from_v2(*, name: str, spec: EndpointV2) -> Endpoint:
    serves = spec.serves
    return Endpoint(
        name=EndpointId(name),
        pool=PoolId(spec.pool),
        address=Address(host=spec.address.host, port=spec.address.port),
        failure_domain=FailureDomain(spec.failure_domain),
        weight=spec.weight,
        intent=spec.intent,
        checks_fencing=spec.checks_fencing,
        model=ModelId(serves.model if serves else ""),
        adapters=tuple(AdapterId(name) for name in serves.adapters) if serves else (),
        version=VersionId(serves.version if serves else ""),
        role=spec.role,
    )


def to_v1(*, record: Endpoint) -> EndpointV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If it has a weight or role of its own.
    """
    if record.weight != 1.0:
        raise RecordError("schema 1 has no weight; set it to 1", field="spec.weight")
    if record.role is not EndpointRole.MIXED:
        raise RecordError("schema 1 has no role; set it to mixed", field="spec.role")
    reference = ModelReference(
        model=record.model, adapters=record.adapters, version=record.version
    )
    host = record.address.host
    shown = f"[{host}]" if ":" in host else host
    return EndpointV1(
        pool=record.pool,
        url=f"{URL_SCHEME}://{shown}:{record.address.port}",
        failure_domain=record.failure_domain,
        drain=record.intent is EndpointIntent.DRAIN,
        fencing=record.checks_fencing,
        model=str(reference),
    )


def to_v2(*, record: Endpoint) -> EndpointV2:
    """Write the internal form in schema version 2."""
    serves = None
    if record.model:
        serves = Target(
            model=record.model, adapters=record.adapters, version=record.version
        )
    return EndpointV2(
        pool=record.pool,
        address=EndpointAddress(host=record.address.host, port=record.address.port),
        failure_domain=record.failure_domain,
        weight=record.weight,
        intent=record.intent,
        checks_fencing=record.checks_fencing,
        serves=serves,
        role=record.role,
    )
