"""The reports that routers send each other a few times a second."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.request_totals import (
    ReplyRequest,
    RequestTotals,
)

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.crashes.note import CrashNote
    from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
    from dotterelpaddle.forwarding.leaving import LeavingNotice
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.forwarding.store_clock import StoreTime
    from dotterelpaddle.forwarding.use_queue import PartUse
    from dotterelpaddle.ids import (
        FailureDomain,
        RouterId,
    )
    from dotterelpaddle.registry.summary import RegistrySummary
    from dotterelpaddle.streams.origins import StreamRecord


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerInfo:
    """Address and link of a router.

    Attributes:
        router: Id of the router.
        failure_domain: Failure domain of its host.
        address: Address for reports.
        link: Bandwidth of its host's link, Mbit/s; it decides the router's rank.
    """

    router: RouterId
    failure_domain: FailureDomain
    address: Address
    link: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerReport:
    """State of one router.

    Attributes:
        router: Id of the sender.
        failure_domain: Failure domain of its host.
        link: Bandwidth of its host's link, Mbit/s.
        incarnation: Random number of its process.
        sequence: Number of the report, increasing within a process.
        control: Address at which it serves snapshots.
        version: Version of its configuration.
        revision: Revision up to which it knows the endpoints, -1 for none.
        configuration_as_of: When the platform confirmed this configuration to any
            router, None if unknown.
        endpoints_as_of: When the platform confirmed these endpoints to any router, None
            if unknown.
        endpoints_tag: Digest of the endpoints that it knows.
        share: Requests in flight and retries, its own or aggregated.
        ask: Reply that it requests.
        routers: Number of routers that it knows, itself included.
        domains: Failure domains of the routers whose reports it has just received.
        uses: Prompt parts with the endpoints to which it recently sent them.
        parts: Number of prompt parts of which it knows a caching endpoint; 0 until it
            has loaded the parts that endpoints cached before its start.
        peers: Routers whose reports it receives.
        owners: Routers that count the requests in flight of a failure domain.
        leaving: Whether it is stopping, so that others have to take over its roles.
        crashes: Requests during which endpoints crashed.
        leaving_endpoints: Endpoints that announced in a response that they leave.
        silent_owners: Owners that did not answer its last messages in time.
        platform_lost: Whether its own calls to the platform fail.
        evacuated: Evacuated failure domains, None if unknown.
        tunnels: Address at which it connects others to endpoints, None for none.
        endpoints_lost: Whether it reaches no endpoint itself.
        seeks_tunnels: Whether it reaches no endpoint of a service itself and needs
            tunnel servers of others or, in a report with the totals of its failure
            domain, whether any router there does. Earlier releases also set it if any
            router that reports to them sets it, and so never clear it.
        tunnel_servers: Addresses of routers that connect others to endpoints.
        streams: Where streams began whose first events have just been passed on.
        tells_streams: Whether its release records where streams began.
        service_lost: Whether it reaches no endpoint of a service itself, None if its
            release does not tell.
        registry: Its latest summary of the registry of all routers, None without any.
    """

    router: RouterId
    failure_domain: FailureDomain
    link: int = 0
    incarnation: int
    sequence: int
    control: Address
    version: int
    revision: StoreRevision
    configuration_as_of: StoreTime | None
    endpoints_as_of: StoreTime | None
    endpoints_tag: int
    share: RequestTotals
    ask: ReplyRequest = ReplyRequest.NOTHING
    routers: int = 1
    domains: tuple[FailureDomain, ...] = ()
    uses: tuple[PartUse, ...] = ()
    parts: int = 0
    peers: tuple[PeerInfo, ...] = ()
    owners: tuple[PeerInfo, ...] = ()
    leaving: bool = False
    crashes: tuple[CrashNote, ...] = ()
    leaving_endpoints: tuple[LeavingNotice, ...] = ()
    silent_owners: tuple[RouterId, ...] = ()
    platform_lost: bool = False
    evacuated: EvacuationSnapshot | None = None
    tunnels: Address | None = None
    endpoints_lost: bool = False
    seeks_tunnels: bool = False
    tunnel_servers: tuple[Address, ...] = ()
    streams: tuple[StreamRecord, ...] = ()
    tells_streams: bool = True
    service_lost: bool | None = None
    registry: RegistrySummary | None = None

    def is_repeated_after(self, known: PeerReport) -> bool:
        """Return whether a known report of the same process is as new."""
        same_process = known.incarnation == self.incarnation
        return same_process and self.sequence <= known.sequence


def sender_info(
    *, report: PeerReport, address: Address, known: PeerInfo | None
) -> PeerInfo:
    """Return the sender's address and link; an equal known object is reused."""
    info = PeerInfo(
        router=report.router,
        failure_domain=report.failure_domain,
        address=address,
        link=report.link,
    )
    return known if info == known else info
