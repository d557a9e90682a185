"""The deployments that are known by name."""

from __future__ import annotations

from dotterelpaddle.fleet.shape import (
    PoolShape,
    Shape,
    ShapeName,
    accounts_named,
    endpoints_in,
    routers_in,
)
from dotterelpaddle.ids import FailureDomain, ModelId, PoolId, ServiceName
from dotterelpaddle.records.model import PoolKind

CHAT_SERVICE = ServiceName("chat")
"""Service name under which each client account calls its engines."""


def shape_of(*, name: ShapeName) -> Shape:
    """Return a deployment by name."""
    match name:
        case ShapeName.PRAIRIE:
            return PRAIRIE
        case ShapeName.CASCADIA:
            return CASCADIA


_HALLS = (
    FailureDomain("regina-hall"),
    FailureDomain("saskatoon-hall"),
    FailureDomain("winnipeg-hall"),
)

_SITES = (
    FailureDomain("burnaby-a"),
    FailureDomain("burnaby-b"),
    FailureDomain("surrey-c"),
    FailureDomain("richmond-d"),
)

PRAIRIE = Shape(
    name=ShapeName.PRAIRIE,
    failure_domains=_HALLS,
    routers=routers_in(domains=_HALLS, count=3),
    pools=(
        PoolShape(
            name=PoolId("booth-model"),
            kind=PoolKind.ENGINE,
            service=CHAT_SERVICE,
            model=ModelId("booth-1"),
        ),
        PoolShape(
            name=PoolId("booth-records"),
            kind=PoolKind.SERVICE,
            service=ServiceName("records"),
            model=ModelId(""),
        ),
    ),
    endpoints=(
        *endpoints_in(pool=PoolId("booth-model"), domains=_HALLS, count=5),
        *endpoints_in(pool=PoolId("booth-records"), domains=_HALLS, count=3),
    ),
    accounts=accounts_named(
        names=(
            "regina-libraries",
            "saskatoon-malls",
            "winnipeg-centres",
            "moose-jaw",
            "brandon",
            "prince-albert",
            "swift-current",
            "yorkton",
            "steinbach",
            "estevan",
        )
    ),
)
"""Three failure domains, five engines, three plain services."""

CASCADIA = Shape(
    name=ShapeName.CASCADIA,
    failure_domains=_SITES,
    routers=routers_in(domains=_SITES, count=4),
    pools=(
        PoolShape(
            name=PoolId("paddle-pool"),
            kind=PoolKind.ENGINE,
            service=CHAT_SERVICE,
            model=ModelId("netting-1"),
            load_multiple=1.25,
        ),
        PoolShape(
            name=PoolId("settle-api"),
            kind=PoolKind.SERVICE,
            service=ServiceName("settle"),
            model=ModelId(""),
            load_multiple=1.25,
        ),
    ),
    endpoints=(
        *endpoints_in(pool=PoolId("paddle-pool"), domains=_SITES, count=5),
        *endpoints_in(pool=PoolId("settle-api"), domains=_SITES, count=4),
    ),
    accounts=accounts_named(
        names=(
            "burrard-pay",
            "lions-gate-transfer",
            "fraser-clearing",
            "kitsilano-wallet",
            "howe-sound",
            "capilano",
            "steveston",
            "tsawwassen",
            "port-moody",
            "squamish",
        )
    ),
    hop=0.0015,
)
"""Four failure domains, five engines, four plain services."""
