"""Exchanges reports with the other routers."""

from __future__ import annotations

import secrets
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.caches import UseOrigin
from dotterelpaddle.forwarding.request_totals import (
    ReplyRequest,
    RequestTotals,
    TotalsScope,
)
from dotterelpaddle.forwarding.revisions import StoreRevision
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.messages import DATAGRAM_PREFIX
from dotterelpaddle.peers.messages import decode_report, encode_report
from dotterelpaddle.peers.peer_list import PeerList
from dotterelpaddle.peers.report import PeerReport
from dotterelpaddle.streams.messages import (
    DATAGRAM_PREFIX as STREAM_DATAGRAM_PREFIX,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.crashes.tracker import CrashTracker
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.follower import Follower
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.forwarding.startup import Startup
    from dotterelpaddle.forwarding.use_queue import PartUse
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.owners.exchange import OwnerExchange
    from dotterelpaddle.peers.datagrams import DatagramSocket
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.peers.plan import Recipient, ReportPlan
    from dotterelpaddle.peers.report import PeerInfo
    from dotterelpaddle.peers.tunnel_server import TunnelServer
    from dotterelpaddle.peers.tunnel_servers import TunnelServers
    from dotterelpaddle.registry.known import KnownRegistry
    from dotterelpaddle.retries.budget import RetryBudget
    from dotterelpaddle.streams.lookup import StreamLookup
    from dotterelpaddle.streams.origins import StreamOrigins, StreamRecord
    from dotterelpaddle.supervision import TaskSupervisor

log = get_logger(name=__name__)

REPORT_INTERVAL_SECONDS = 0.2
"""Time between reports: at a few requests a second for each router, the known loads are
off by a handful of requests over all endpoints."""

ORIGINS_BY_SCOPE = {
    TotalsScope.ROUTER: (UseOrigin.LOCAL,),
    TotalsScope.DOMAIN: (UseOrigin.LOCAL, UseOrigin.SAME_DOMAIN),
    TotalsScope.OTHERS: (
        UseOrigin.LOCAL,
        UseOrigin.SAME_DOMAIN,
        UseOrigin.OTHER_DOMAIN,
    ),
}
"""Origins of the uses of prompt parts in a report: those that its recipient receives
from no other router."""

UNKNOWN_REVISION = StoreRevision(number=Revision(-1))
"""Revision in the report of a router that knows no endpoints yet."""


class PeerExchange:
    """Sends reports to other routers and processes received ones.

    Args:
        view: Configuration and endpoints in force.
        loads: Requests in flight of this router.
        retry_budget: Retries of this router.
        totals: Totals that other routers sent.
        caches: Prompt parts that endpoints have cached.
        crashes: Requests during which endpoints crashed.
        introduction: Ends once another router has told what it knows.
        directory: The other routers.
        registry: What is known of the registry of all routers; None without one.
        plan: Chooses the recipients of reports.
        follower: Tells as of when the platform confirmed the data.
        owners: Processes messages between routers and owners.
        reachability: Endpoints that this router can't connect to.
        tunnel_server: Connects other routers to endpoints.
        tunnel_servers: Tunnel servers of the other routers.
        stream_origins: Where streams began.
        stream_lookup: Answers other routers that ask for streams.
        supervisor: Logs unexpected errors of one datagram.
        generator: Source of jitter.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        loads: LoadTracker,
        retry_budget: RetryBudget,
        totals: TotalsTracker,
        caches: CacheMap,
        crashes: CrashTracker,
        introduction: Startup,
        directory: PeerDirectory,
        registry: KnownRegistry | None,
        plan: ReportPlan,
        follower: Follower,
        owners: OwnerExchange,
        reachability: Reachability,
        tunnel_server: TunnelServer,
        tunnel_servers: TunnelServers,
        stream_origins: StreamOrigins,
        stream_lookup: StreamLookup,
        supervisor: TaskSupervisor,
        generator: random.Random,
    ) -> None:
        self._own = directory.own
        self._view = view
        self._loads = loads
        self._retry_budget = retry_budget
        self._totals = totals
        self._caches = caches
        self._crashes = crashes
        self._introduction = introduction
        self._directory = directory
        self._peer_list = PeerList(directory=directory)
        self._registry = registry
        self._plan = plan
        self._follower = follower
        self._owners = owners
        self._reachability = reachability
        self._tunnel_server = tunnel_server
        self._tunnel_servers = tunnel_servers
        self._stream_origins = stream_origins
        self._stream_lookup = stream_lookup
        self._supervisor = supervisor
        self._generator = generator
        self._incarnation = secrets.randbits(53)
        self._sequence = 0
        self._rounds = 0
        self._dropped = 0

    async def run(self, socket: DatagramSocket, control: Address) -> None:
        """Exchange reports until cancelled.

        Args:
            socket: Socket for reports.
            control: Address at which this router serves snapshots.
        """
        self._stream_lookup.connect(datagrams=socket)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._receive, socket, control)
            tasks.start_soon(self._send_regularly, socket, control)

    async def _send_regularly(self, socket: DatagramSocket, control: Address) -> None:
        try:
            while True:
                await self._send_reports(socket, control)
                interval = REPORT_INTERVAL_SECONDS * self._generator.uniform(0.9, 1.1)
                with anyio.move_on_after(interval):
                    await self._directory.wait_for_handover()
        finally:
            # Without a final report, observations since the last one would be lost.
            with anyio.CancelScope(shield=True):
                await self._send_reports(socket, control)

    async def _send_reports(self, socket: DatagramSocket, control: Address) -> None:
        self._rounds += 1
        recipients = self._plan.recipients()
        peers = self._peer_list.take_due(number=self._rounds)
        base = replace(
            self._build_report(control=control, peers=peers),
            crashes=tuple(self._crashes.take_due_notes()),
            leaving_endpoints=self._view.leaving.take_due_notices(),
        )
        uses = {
            origin: self._caches.take_pending(origin=origin) for origin in UseOrigin
        }
        own_streams = self._stream_origins.take_own()
        streams = {
            TotalsScope.ROUTER: own_streams,
            TotalsScope.DOMAIN: own_streams + self._stream_origins.take_forwarded(),
        }
        encoded: dict[tuple[TotalsScope, ReplyRequest], bytes] = {}
        for recipient in recipients:
            # Recipients of one kind share a report, except for totals of all others.
            kind = (recipient.scope, recipient.reply_request)
            content = encoded.get(kind)
            if content is None:
                report = self._report_for(
                    report=base, recipient=recipient, uses=uses, streams=streams
                )
                content = encode_report(report=report)
            if recipient.scope is not TotalsScope.OTHERS:
                encoded[kind] = content
            await socket.send(content, recipient.address)

    def _report_for(
        self,
        *,
        report: PeerReport,
        recipient: Recipient,
        uses: Mapping[UseOrigin, list[PartUse]],
        streams: Mapping[TotalsScope, tuple[StreamRecord, ...]],
    ) -> PeerReport:
        """Fill in the fields that depend on the recipient.

        Members of a large fleet ask for the few streams that their callers resume.
        """
        return replace(
            report,
            ask=recipient.reply_request,
            share=self._totals_for(own=report.share, recipient=recipient),
            owners=self._owners_for(recipient=recipient),
            uses=tuple(
                use
                for origin in ORIGINS_BY_SCOPE[recipient.scope]
                for use in uses[origin]
            ),
            streams=streams.get(recipient.scope, ()),
            seeks_tunnels=report.seeks_tunnels
            or self._tunnel_servers.sought_for(recipient=recipient),
            tunnel_servers=self._tunnel_servers.to_name(recipient=recipient),
        )

    def _build_report(
        self, *, control: Address, peers: tuple[PeerInfo, ...]
    ) -> PeerReport:
        """Build a report of this router's own state."""
        self._sequence += 1
        revision = self._view.endpoints_revision
        service_lost = self._reachability.service_lost
        return PeerReport(
            router=self._own.router,
            failure_domain=self._own.failure_domain,
            link=self._own.link,
            incarnation=self._incarnation,
            sequence=self._sequence,
            control=control,
            version=self._view.version,
            revision=UNKNOWN_REVISION if revision is None else revision,
            configuration_as_of=self._follower.configuration_as_of,
            endpoints_as_of=self._follower.endpoints_as_of,
            endpoints_tag=self._view.endpoints_tag,
            share=RequestTotals(
                loads=self._loads.own,
                queued_tokens=self._loads.own_queued_tokens,
                retries=self._retry_budget.counts(),
            ),
            routers=self._plan.router_count,
            domains=tuple(
                {peer.info.failure_domain for peer in self._directory.recently_active()}
            ),
            parts=self._caches.part_count if self._caches.is_populated else 0,
            peers=peers,
            leaving=self._directory.leaving,
            silent_owners=self._owners.unresponsive,
            platform_lost=self._follower.failing,
            evacuated=self._view.evacuations.snapshot,
            tunnels=self._tunnel_server.address,
            endpoints_lost=self._reachability.endpoints_lost,
            seeks_tunnels=service_lost,
            service_lost=service_lost,
            registry=None if self._registry is None else self._registry.to_tell,
        )

    def _totals_for(self, *, own: RequestTotals, recipient: Recipient) -> RequestTotals:
        match recipient.scope:
            case TotalsScope.DOMAIN:
                return self._totals.domain_totals(own=own)
            case TotalsScope.OTHERS if recipient.router is not None:
                return self._totals.totals_except(own=own, router=recipient.router)
        return own

    def _owners_for(self, *, recipient: Recipient) -> tuple[PeerInfo, ...]:
        """Return the owners to report: of the own failure domain, of all, or none."""
        owners = self._directory.owners()
        if self._directory.needs_lease:
            # Who passes on an old name keeps an owner in office that has gone.
            owners = self._directory.slot_owners()
        match recipient.scope:
            case TotalsScope.DOMAIN:
                own = owners.get(self._own.failure_domain)
                return () if own is None else (own,)
            case TotalsScope.OTHERS:
                return tuple(owners.values())
            case TotalsScope.ROUTER if self._names_owner_to(recipient):
                own = owners.get(self._own.failure_domain)
                return () if own is None else (own,)
        return ()

    def _names_owner_to(self, recipient: Recipient) -> bool:
        """Return whether a recipient is an aggregator that may follow this router."""
        asks_aggregator = recipient.reply_request is ReplyRequest.AGGREGATE
        return asks_aggregator and self._directory.names_owner

    async def _receive(self, socket: DatagramSocket, control: Address) -> None:
        while True:
            datagram, address = await socket.receive()
            # What others wrote must not end the exchange with all others.
            with self._supervisor.contained(task="datagrams"):
                await self._handle(socket, control, datagram, address)

    async def _handle(
        self,
        socket: DatagramSocket,
        control: Address,
        datagram: bytes,
        address: Address,
    ) -> None:
        """Process one datagram of another router."""
        if datagram.startswith(STREAM_DATAGRAM_PREFIX):
            await self._stream_lookup.receive(datagram=datagram, address=address)
            return
        if datagram.startswith(DATAGRAM_PREFIX):
            await self._owners.receive(datagram=datagram, address=address)
            return
        try:
            report = decode_report(
                datagram=datagram,
                current_endpoint_id=self._view.current_endpoint_id,
            )
        except ControlError as error:
            self._dropped += 1
            log.warning(
                "report_dropped",
                peer=str(address),
                cause=error.message,
                dropped=self._dropped,
            )
            return
        if self._apply_report(report=report, address=address):
            await self._send_answer(socket, control, address)
        if report.streams:
            await self._stream_lookup.answer_waiting()

    async def _send_answer(
        self, socket: DatagramSocket, control: Address, address: Address
    ) -> None:
        """Send a router a report at once, with what a router lacks after its start."""
        answer = replace(
            self._build_report(
                control=control, peers=self._peer_list.take(number=self._rounds)
            ),
            crashes=tuple(self._crashes.notes_for_new_router()),
            leaving_endpoints=self._view.leaving.notices_for_new_router(),
        )
        await socket.send(encode_report(report=answer), address)

    def _apply_report(self, *, report: PeerReport, address: Address) -> bool:
        """Process a report.

        Returns:
            Whether to answer: the sender requests it, or its process is new.
        """
        if report.router == self._own.router:
            return False
        known = self._directory.knows_process(report=report)
        if not self._directory.receive(report=report, address=address):
            return False
        self._totals.receive(
            router=report.router,
            failure_domain=report.failure_domain,
            totals=report.share,
            reply_request=report.ask,
        )
        origin = self._origin(report=report)
        self._caches.receive(uses=report.uses, forward_as=origin)
        self._crashes.receive(notes=report.crashes, forward=origin is not None)
        self._introduction.end()
        if self._registry is not None:
            self._registry.receive(summary=report.registry)
        self._tunnel_servers.receive(report=report)
        self._stream_origins.receive(
            records=report.streams, forward=origin is UseOrigin.SAME_DOMAIN
        )
        self._view.leaving.receive(notices=report.leaving_endpoints)
        if report.evacuated is not None:
            self._view.evacuations.apply_snapshot(snapshot=report.evacuated)
        return not known or report.ask is ReplyRequest.ANSWER

    def _origin(self, *, report: PeerReport) -> UseOrigin | None:
        """Return the origin for forwarding a report's uses, None to forward nothing."""
        if report.ask is ReplyRequest.AGGREGATE:
            return UseOrigin.SAME_DOMAIN
        if report.share.scope is TotalsScope.DOMAIN:
            return UseOrigin.OTHER_DOMAIN
        return None
