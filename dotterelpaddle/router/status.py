"""What a router tells operators of itself."""

from __future__ import annotations

from dataclasses import asdict
from enum import Enum
from typing import TYPE_CHECKING, Any

from dotterelpaddle import __version__
from dotterelpaddle.address import Address

if TYPE_CHECKING:
    from dotterelpaddle.operator.interface import Document
    from dotterelpaddle.router.running import RunningRouter


def describe(*, router: RunningRouter) -> Document:
    """Describe a router as a JSON document."""
    return {
        "router": router.router,
        "version": __version__,
        "failure_domain": router.membership.own.failure_domain,
        "addresses": {
            "listen": str(router.entry_address),
            "operator": str(router.operator_address),
            "control": str(router.control_address),
        },
        "ready": router.catalog.ready and router.entry.ready,
        "in_flight": router.entry.in_flight,
        "stale": router.membership.stale,
        "platform_lists_as_leaving": router.membership.asked_to_leave,
        "configuration": _plain(asdict(router.catalog.status())),
        "members": [
            {
                "router": member.router,
                "failure_domain": member.failure_domain,
                "control": str(member.address),
                "state": member.state.value,
                "incarnation": member.incarnation,
            }
            for member in router.membership.known()
        ],
        "orders": [_plain(asdict(each)) for each in router.orders.report()],
    }


def _plain(value: Any) -> Any:
    """Turn enumerations and sequences into what JSON knows."""
    match value:
        case dict():
            return {key: _plain(item) for key, item in value.items()}
        case list() | tuple():
            return [_plain(item) for item in value]
        case Enum():
            return value.value
        case Address():
            return str(value)
        case _:
            return value
