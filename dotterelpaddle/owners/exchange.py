"""Exchanges grant requests, grants and reports with the owners of shards."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.admission import UPDATE_INTERVAL_SECONDS
from dotterelpaddle.owners.counts import REPORT_INTERVAL_SECONDS
from dotterelpaddle.owners.failover import failover_order
from dotterelpaddle.owners.handover import Handover
from dotterelpaddle.owners.inquiry import Inquiry, InquiryEnd
from dotterelpaddle.owners.messages import (
    Grant,
    GrantRequest,
    InFlightReport,
    Refusal,
    Waiting,
    decode,
    encode,
)
from dotterelpaddle.owners.replies import OWNER_TIMEOUT_SECONDS, OwnerReplies

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.slowdowns import Slowdowns
    from dotterelpaddle.ids import FailureDomain, RouterId
    from dotterelpaddle.owners.admission import SlotAdmission
    from dotterelpaddle.owners.handovers import Handovers
    from dotterelpaddle.owners.messages import Answer, PlacementQuery
    from dotterelpaddle.owners.owner import Owner
    from dotterelpaddle.owners.reporting import InFlightReporter, PendingGrant
    from dotterelpaddle.owners.slot_lease import SlotLease
    from dotterelpaddle.peers.datagrams import DatagramSocket
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.peers.report import PeerInfo

log = get_logger(name=__name__)

REPORT_BATCH_SECONDS = 0.02
"""Seconds for which a router collects changes before it sends a report."""


class OwnerExchange:
    """Requests grants from owners, answers as an owner, and reports what is in flight.

    Args:
        directory: Lists the owner of each failure domain.
        reporter: Reports this router's requests in flight.
        owner: Decides on the grant requests that this router receives.
        admission: Queues those that need a slot.
        lease: Tells whether this router alone grants slots.
        handovers: Passes counts on to the next owner, and takes over those of others.
        slowdowns: Slowdowns that endpoints report to this router.
        metrics: Counts requests that wait.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        directory: PeerDirectory,
        reporter: InFlightReporter,
        owner: Owner,
        admission: SlotAdmission,
        lease: SlotLease,
        handovers: Handovers,
        slowdowns: Slowdowns,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._reporter = reporter
        self._owner = owner
        self._admission = admission
        self._lease = lease
        self._handovers = handovers
        self._slowdowns = slowdowns
        self._metrics = metrics
        self._clock = clock
        self._datagrams: DatagramSocket | None = None
        self._replies = OwnerReplies(clock=clock)
        self._overdue: dict[Address, FailureDomain] = {}
        directory.on_owner_change(self._on_owner_change)

    @property
    def unresponsive(self) -> tuple[RouterId, ...]:
        """Owners that answer late, or not at all."""
        return self._replies.unresponsive(owners=self._directory.owners().values())

    async def run(self, datagrams: DatagramSocket) -> None:
        """Report to owners what is in flight, and answer routers, until cancelled.

        Args:
            datagrams: Socket that sends the messages.
        """
        self._datagrams = datagrams
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve_queues)
            await self._report_regularly()

    async def _report_regularly(self) -> None:
        while True:
            self._lease.update()
            await self._hand_over()
            await self._send_echo()
            if not self._directory.owners():
                # Nobody counts requests, so changes need no report.
                self._reporter.take_due_domains()
                await anyio.sleep(REPORT_INTERVAL_SECONDS)
                continue
            with anyio.move_on_after(REPORT_INTERVAL_SECONDS / 2):
                await self._reporter.wait_for_change()
                with anyio.move_on_after(REPORT_BATCH_SECONDS):
                    await self._reporter.wait_for_urgency()
            await self._send_reports(self._reporter.take_due_domains())

    async def _hand_over(self) -> None:
        """Pass the counts on to the owners that have followed this one."""
        for address, handover in self._handovers.take_due():
            await self._send(encode(message=handover), address)

    async def _send_echo(self) -> None:
        """Send a report to this router itself, which tells how late it handles them."""
        if self._datagrams is None or not self._lease.owns_any:
            return
        if self._directory.needs_lease:
            report = self._reporter.build_report()
            self._lease.record_echo_sent(number=report.sequence)
            await self._send(encode(message=report), self._datagrams.address)

    async def _serve_queues(self) -> None:
        """Answer the routers whose requests wait for a slot."""
        updated_at = self._clock()
        while True:
            waiting = self._admission.has_waiting
            with anyio.move_on_after(UPDATE_INTERVAL_SECONDS if waiting else None):
                await self._admission.wait_for_wake()
            # Each answer wakes this task, and an update looks at all queues.
            if self._clock() - updated_at >= UPDATE_INTERVAL_SECONDS:
                updated_at = self._clock()
                self._admission.update()
            await self._send_answers()

    async def _send_answers(self) -> None:
        for recipient, message in self._admission.take_answers():
            await self._send(encode(message=message), recipient)

    async def request_grant(
        self, *, domain: FailureDomain, query: PlacementQuery
    ) -> PendingGrant | None:
        """Ask the owner of a failure domain, or its fallback owners, for an endpoint.

        Args:
            domain: The failure domain.
            query: The request to place.

        Returns:
            The grant with its request, None if no owner answered in time. The caller
            must count the request, or abandon the grant, before it awaits again.
        """
        arrived_at = self._clock()
        silent: set[RouterId] = set()
        while True:
            owner = self._next_owner(
                domain=domain, silent=silent, only_first=query.brittle
            )
            if owner is None:
                return None
            inquiry = Inquiry(
                owner=owner,
                domain=domain,
                query=query,
                arrived_at=arrived_at,
                pending=self._reporter.open_request(
                    owner=owner.router,
                    service=query.service if query.admission is not None else None,
                ),
            )
            match await self._inquire(inquiry):
                case InquiryEnd.ANSWERED:
                    return inquiry.pending
                case InquiryEnd.SILENT:
                    silent.add(owner.router)

    def _next_owner(
        self, *, domain: FailureDomain, silent: set[RouterId], only_first: bool
    ) -> PeerInfo | None:
        """Return the first owner to ask that has not been silent.

        Args:
            domain: The failure domain.
            silent: Owners that have not answered.
            only_first: Whether to ask no fallback owner, which would grant slots that
                a late owner has granted too.
        """
        if only_first:
            # Those that the lease goes by, as others grant nothing.
            owners = failover_order(domain=domain, owners=self._directory.slot_owners())
            return next(
                (each for each in owners[:1] if each.router not in silent), None
            )
        owners = failover_order(domain=domain, owners=self._directory.owners())
        return next(
            (
                owner
                for owner in owners
                if owner.router not in silent
                and not self._replies.is_cooling_down(router=owner.router)
            ),
            None,
        )

    async def _inquire(self, inquiry: Inquiry) -> InquiryEnd:
        """Ask one owner until it grants or refuses, or another one has to be asked."""
        pending = inquiry.pending
        try:
            end = await self._await_answer(inquiry)
        except BaseException:
            self._reporter.abandon(pending=pending)
            self._report_soon(inquiry)
            raise
        if end is InquiryEnd.ANSWERED:
            return end
        self._reporter.abandon(pending=pending)
        self._report_soon(inquiry)
        return end

    async def _await_answer(self, inquiry: Inquiry) -> InquiryEnd:
        """Send the grant request, and again each 0.1 s while it waits at the owner.

        A request that may go to no other owner waits for a late one, too.
        """
        pending, owner = inquiry.pending, inquiry.owner
        named = self._directory.owners().get(inquiry.domain)
        must_reply = not inquiry.keeps_owner
        while True:
            pending.replied = anyio.Event()
            await self._ask(inquiry)
            if must_reply:
                timeout = self._reply_timeout(inquiry)
                with anyio.move_on_after(timeout):
                    await pending.replied.wait()
                if not pending.replied.is_set():
                    self._replies.record_timeout(owner=owner, seconds=timeout)
                    return InquiryEnd.SILENT
            if not pending.is_answered:
                await self._wait(inquiry)
            if pending.is_answered:
                return InquiryEnd.ANSWERED
            if self._clock() >= inquiry.ends_at:
                self._reporter.refuse(refusal=inquiry.expire())
                self._report_soon(inquiry)
                return InquiryEnd.ANSWERED
            if self._is_replaced(inquiry, named=named):
                return InquiryEnd.OWNER_REPLACED
            # After two questions in a row without a reply an owner counts as silent.
            replied = pending.replied.is_set()
            must_reply = not replied and not inquiry.keeps_owner

    def _reply_timeout(self, inquiry: Inquiry) -> float:
        """Return the seconds within which the owner must reply."""
        if not inquiry.may_wait:
            return OWNER_TIMEOUT_SECONDS
        time_left = max(0.0, inquiry.ends_at - self._clock())
        return min(time_left, self._replies.timeout(owner=inquiry.owner.address))

    def _is_replaced(self, inquiry: Inquiry, *, named: PeerInfo | None) -> bool:
        """Return whether another owner has to be asked than the one first named."""
        domain = inquiry.domain
        if inquiry.keeps_owner:
            first = self._next_owner(domain=domain, silent=set(), only_first=True)
            return first != inquiry.owner
        return self._directory.owners().get(domain) != named

    async def _wait(self, inquiry: Inquiry) -> None:
        """Wait until a request is answered or has to be sent again."""
        service = inquiry.query.service
        now = self._clock()
        self._metrics.add_waiting(service=service, count=1)
        try:
            with anyio.move_on_after(max(0.0, inquiry.next_question_at(now=now) - now)):
                await inquiry.pending.answered.wait()
        finally:
            self._metrics.add_waiting(service=service, count=-1)

    async def _ask(self, inquiry: Inquiry) -> None:
        request = GrantRequest(
            number=inquiry.pending.number,
            report=self._reporter.build_report(domain=inquiry.domain),
            query=inquiry.query_at(now=self._clock()),
        )
        owner = inquiry.owner
        inquiry.pending.asked_at = self._clock()
        if owner.router != self._directory.own.router:
            notes = self._slowdowns.take_unreported(recipient=owner.router)
            request = replace(request, slowdowns=notes)
            if inquiry.may_wait:
                self._replies.record_question(owner=owner.address)
            await self._send(encode(message=request), owner.address)
        elif request.query.admission is None:
            self._reporter.resolve(grant=self._owner.decide(request=request))
        else:
            self._admission.receive(request=request, sender=None)

    def _report_soon(self, inquiry: Inquiry) -> None:
        """Report at once to an owner that may count or queue a dropped request."""
        if inquiry.query.admission is None:
            return
        if inquiry.owner.router == self._directory.own.router:
            self._admission.update()
            return
        self._overdue[inquiry.owner.address] = inquiry.domain
        self._reporter.mark_urgent()

    def _on_owner_change(self, domain: FailureDomain) -> None:
        """Report at once to a new owner, which has to know the slots in use."""
        if self._directory.grants_slots:
            self._reporter.mark_due(domain=domain)

    async def receive(self, *, datagram: bytes, address: Address) -> None:
        """Handle a message from another router."""
        try:
            message = decode(datagram=datagram)
        except ControlError as error:
            log.warning("message_dropped", peer=str(address), cause=error.message)
            return
        match message:
            case GrantRequest() if message.query.admission is not None:
                self._admission.receive(request=message, sender=address)
                await self._send_answers()
            case GrantRequest():
                grant = self._owner.decide(request=message)
                await self._send(encode(message=grant), address)
            case Grant() | Waiting() | Refusal():
                asked_at = self._reporter.asked_at(number=message.number)
                self._replies.record_reply(owner=address, asked_at=asked_at)
                awaited = self._reporter.receive(answer=message)
                if not awaited and _takes_slot(message):
                    await self._report_to(address)
            case Handover():
                self._handovers.receive(handover=message)
                self._admission.update()
                await self._send_answers()
            case InFlightReport(router=router) if router == self._directory.own.router:
                self._lease.record_echo(number=message.sequence)
            case InFlightReport():
                self._admission.record_report(report=message)
                await self._send_answers()

    async def _report_to(self, address: Address) -> None:
        """Report to an owner that grants or queues a request which is gone."""
        report = self._reporter.build_report()
        await self._send(encode(message=report), address)

    async def _send_reports(self, domains: set[FailureDomain]) -> None:
        reported = {self._directory.own.router}
        overdue, self._overdue = self._overdue, {}
        for address, domain in overdue.items():
            report = self._reporter.build_report(domain=domain)
            await self._send(encode(message=report), address)
        for domain in sorted(domains):
            report = self._reporter.build_report(domain=domain)
            for owner in self._counting_owners(domain=domain):
                if owner.router not in reported:
                    reported.add(owner.router)
                    await self._send(encode(message=report), owner.address)

    def _counting_owners(self, *, domain: FailureDomain) -> Iterator[PeerInfo]:
        """Owners that need reports for a failure domain.

        An owner in cooldown gets them too, because it may still answer other routers.
        """
        for owner in failover_order(domain=domain, owners=self._directory.owners()):
            yield owner
            if not self._replies.is_cooling_down(router=owner.router):
                return

    async def _send(self, message: bytes, target: Address) -> None:
        if self._datagrams is not None:
            await self._datagrams.send(message, target)


def _takes_slot(answer: Answer) -> bool:
    """Return whether an owner takes the request for granted or waiting.

    Grants without a flag are not reported, as before.
    """
    return not isinstance(answer, Grant) or answer.others_wait is not None
