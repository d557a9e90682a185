"""Members and rumours as pycapnp structures."""

from __future__ import annotations

import ipaddress
from functools import lru_cache
from typing import TYPE_CHECKING, Any, TypeVar

from dotterelpaddle.address import Address
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.membership.rumours import DomainReport, Rumour
from dotterelpaddle.membership.view import (
    EndpointCondition,
    EndpointRumour,
    Member,
    MemberState,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")

_STATES = (
    MemberState.ALIVE,
    MemberState.SUSPECT,
    MemberState.LEAVING,
    MemberState.DEAD,
)
"""Numbers of states on the wire; only ever add to the end."""

_CONDITIONS = (
    EndpointCondition.OK,
    EndpointCondition.EJECTED,
    EndpointCondition.LEAVING,
)
"""Numbers of conditions on the wire; only ever add to the end."""


@lru_cache(maxsize=8192)
def _pack_host(host: str) -> bytes:
    return ipaddress.ip_address(host).packed


@lru_cache(maxsize=8192)
def _unpack_host(packed: bytes) -> str:
    return str(ipaddress.ip_address(packed))


def write_member(builder: Any, member: Member) -> None:
    """Write a member into a pycapnp builder."""
    builder.router = member.router
    builder.host = _pack_host(member.address.host)
    builder.port = member.address.port
    builder.failureDomain = member.failure_domain
    builder.state = _STATES.index(member.state)
    builder.incarnation = member.incarnation


def read_member(reader: Any) -> Member:
    """Read a member from a pycapnp reader."""
    return Member(
        router=RouterId(reader.router),
        address=Address(host=_unpack_host(reader.host), port=reader.port),
        failure_domain=FailureDomain(reader.failureDomain),
        state=_STATES[reader.state],
        incarnation=reader.incarnation,
    )


def write_rumours(builder: Any, rumours: tuple[Rumour, ...]) -> None:
    """Write rumours into a pycapnp builder."""
    members = [rumour for rumour in rumours if isinstance(rumour, Member)]
    endpoints = [rumour for rumour in rumours if isinstance(rumour, EndpointRumour)]
    reports = [rumour for rumour in rumours if isinstance(rumour, DomainReport)]
    # An empty list takes a word, so it is left out.
    if members:
        for target, member in _slots(builder, "members", members):
            write_member(target, member)
    if endpoints:
        for target, endpoint in _slots(builder, "endpoints", endpoints):
            _write_endpoint(target, endpoint)
    if reports:
        for target, report in _slots(builder, "reports", reports):
            _write_report(target, report)


def _slots(builder: Any, field: str, items: list[T]) -> Iterator[tuple[Any, T]]:
    return zip(builder.init(field, len(items)), items, strict=True)


def _write_endpoint(builder: Any, rumour: EndpointRumour) -> None:
    builder.endpoint = rumour.endpoint
    builder.state = _CONDITIONS.index(rumour.state)
    builder.version = rumour.version


def _write_report(builder: Any, report: DomainReport) -> None:
    builder.bridge = report.bridge
    builder.failureDomain = report.failure_domain
    builder.reachable = report.reachable
    builder.version = report.version


def read_rumours(reader: Any) -> tuple[Rumour, ...]:
    """Read rumours from a pycapnp reader."""
    rumours: list[Rumour] = [read_member(member) for member in reader.members]
    rumours.extend(
        EndpointRumour(
            endpoint=EndpointId(endpoint.endpoint),
            state=_CONDITIONS[endpoint.state],
            version=endpoint.version,
        )
        for endpoint in reader.endpoints
    )
    rumours.extend(
        DomainReport(
            bridge=RouterId(report.bridge),
            failure_domain=FailureDomain(report.failureDomain),
            reachable=report.reachable,
            version=report.version,
        )
        for report in reader.reports
    )
    return tuple(rumours)
