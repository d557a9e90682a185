"""Fields that several parts of a report have: routers, points in time, the registry.

Decoding raises what malformed fields raise; `decode_report` turns it into one error.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.address import Address
from dotterelpaddle.counts import decode_count, decode_integer
from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.peers.report import PeerInfo
from dotterelpaddle.registry.summary import RegistrySummary

if TYPE_CHECKING:
    from typing import Any


def registry_fields(summary: RegistrySummary | None) -> list[Any] | None:
    """Encode a summary of the registry, None for none."""
    if summary is None:
        return None
    times = time_fields(summary.oldest), time_fields(summary.as_of)
    return [summary.routers, summary.active, *times]


def decode_registry(fields: Any) -> RegistrySummary | None:
    """Decode a summary of the registry, None for none."""
    if fields is None:
        return None
    routers, active, oldest, as_of = fields
    return RegistrySummary(
        routers=decode_count(routers),
        active=decode_count(active),
        oldest=decode_store_time(oldest),
        as_of=decode_store_time(as_of),
    )


def peer_fields(peer: PeerInfo) -> list[Any]:
    """Encode address and link of a router."""
    return [peer.router, peer.failure_domain, str(peer.address), peer.link]


def decode_peer(fields: Any) -> PeerInfo:
    """Decode address and link of a router."""
    router, domain, address, link = fields
    return PeerInfo(
        router=RouterId(str(router)),
        failure_domain=FailureDomain(str(domain)),
        address=Address.parse(text=address),
        link=decode_integer(link),
    )


def time_fields(time: StoreTime | None) -> list[Any] | None:
    """Encode a point in time on the store's clock, None if unknown."""
    return None if time is None else [time.era, round(1000 * time.seconds)]


def decode_time(fields: Any) -> StoreTime | None:
    """Decode a point in time on the store's clock, None if unknown."""
    return None if fields is None else decode_store_time(fields)


def decode_store_time(fields: Any) -> StoreTime:
    """Decode a point in time on the store's clock."""
    era, milliseconds = fields
    return StoreTime.stated(era=era, seconds=int(milliseconds) / 1000)
