"""Grants the slots of endpoints one by one, in the order of their queues.

The owner of a shard grants no more requests than its endpoints have slots. A request
for which none is free waits here until a slot becomes free, its router drops it or its
wait is over. The module sends nothing: answers to other routers go to an outbox.
"""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.forwarding.candidates import NO_ENDPOINT_RETRY_AFTER_SECONDS
from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.messages import Refusal, RefusalReason, Waiting
from dotterelpaddle.owners.shard_queue import WaitingRequest, new_shard_queue

if TYPE_CHECKING:
    import random

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId, ServiceName
    from dotterelpaddle.owners.counts import ShardCounts
    from dotterelpaddle.owners.messages import (
        Answer,
        Grant,
        GrantRequest,
        InFlightReport,
    )
    from dotterelpaddle.owners.owner import Owner
    from dotterelpaddle.owners.reporting import InFlightReporter
    from dotterelpaddle.owners.shard_queue import ShardQueue
    from dotterelpaddle.owners.shards import ShardMap

log = get_logger(name=__name__)

MAX_REPORT_AGE_SECONDS = 0.3
"""Age of a router's last report from which its requests no longer wait: a router with
waiting requests reports every 0.1 s, so three reports are missing."""

UPDATE_INTERVAL_SECONDS = 0.01
"""Time after which the owner looks after the queues again while requests wait. Routers
allow 30 ms for the refusal of a request whose wait is over."""


class SlotAdmission:
    """Queues requests for the slots of the shards that this router owns.

    Args:
        owner: Chooses endpoints with a free slot.
        counts: Requests that other routers have in flight.
        loads: Requests of this router in flight.
        shards: The shards of all services.
        limit: Most requests that may wait for one shard.
        reporter: Receives the answers to requests of this router itself.
        clock: Monotonic clock.
        generator: Source of random retry times.
    """

    def __init__(
        self,
        *,
        owner: Owner,
        counts: ShardCounts,
        loads: LoadTracker,
        shards: ShardMap,
        limit: int,
        reporter: InFlightReporter,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._owner = owner
        self._counts = counts
        self._shards = shards
        self._limit = limit
        self._reporter = reporter
        self._clock = clock
        self._generator = generator
        self._queues: dict[tuple[ServiceName, FailureDomain | None], ShardQueue] = {}
        self._waiting: dict[tuple[RouterId, int], WaitingRequest] = {}
        self._granted: dict[RouterId, dict[int, Grant]] = {}
        self._outbox: list[tuple[Address, Answer]] = []
        self._wake = anyio.Event()
        loads.on_change(self._on_own_change)

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self._waiting)

    async def wait_for_wake(self) -> None:
        """Wait until there are answers to send or requests begin to wait."""
        await self._wake.wait()
        self._wake = anyio.Event()

    def take_answers(self) -> list[tuple[Address, Answer]]:
        """Return the answers to send, with their recipients."""
        answers, self._outbox = self._outbox, []
        return answers

    def record_report(self, *, report: InFlightReport) -> None:
        """Record the report of another router, and grant the slots that it frees."""
        lowered = self._owner.record_report(report=report)
        self._forget_covered_grants(report=report)
        for item in [
            each
            for (router, _), each in self._waiting.items()
            if router == report.router and not self._is_live(each)
        ]:
            self._remove(item)
        for endpoint, count in lowered.items():
            queue = self._queue_of(endpoint)
            if queue is not None:
                queue.record_ends(count=count)
                self._grant_free_slots(queue)

    def receive(self, *, request: GrantRequest, sender: Address | None) -> None:
        """Grant a request a slot, queue it or refuse it.

        Args:
            request: The grant request, which states an admission.
            sender: Address of its router, None for this router itself.
        """
        self.record_report(report=request.report)
        self._owner.record_slowdowns(notes=request.slowdowns)
        router, number = request.report.router, request.number
        granted = self._granted.get(router, {}).get(number)
        if granted is not None:
            self._answer(granted, sender)
            return
        known = self._waiting.get((router, number))
        if known is not None and known.is_from(request=request):
            self._answer(Waiting(number=number), sender)
            return
        if known is not None:
            # It came from an earlier process of the router.
            self._remove(known)
        assert request.query.admission is not None
        item = WaitingRequest(
            request=request,
            sender=sender,
            terms=request.query.admission,
            arrived_at=self._clock(),
        )
        if self._is_live(item):
            self._admit(item)

    def update(self) -> None:
        """Remove requests that no longer wait, and grant free slots to the others."""
        for item in [
            each for each in self._waiting.values() if not self._is_live(each)
        ]:
            self._remove(item)
        for router in self._granted.keys() - self._counts.routers:
            del self._granted[router]
        now = self._clock()
        for queue in self._queues.values():
            for item in queue.waiting.expire(now=now):
                self._refuse(queue, item, RefusalReason.EXPIRED)
            if queue.waiting and not self._owner.has_endpoints(service=queue.service):
                for item in list(queue.waiting):
                    self._refuse(queue, item, RefusalReason.NO_ENDPOINT)
            self._measure(queue)
            self._grant_free_slots(queue)

    def _admit(self, item: WaitingRequest) -> None:
        """Answer a new request."""
        queue = self._queue(item)
        may_wait = item.terms.max_wait > 0.0
        # A request without a wait may come back and wait, so it keeps its promise.
        returning = may_wait and queue.returns.claim(fingerprint=item.terms.fingerprint)
        slot_request = queue.slot_request(item=item, returning=returning)
        self._grant_free_slots(queue)
        is_first = not queue.waiting
        if not may_wait and len(queue.waiting) >= self._limit:
            # It would evict a request that may wait.
            self._answer_grant(queue, item, self._owner.decline(request=item.request))
            return
        ahead = queue.waiting.requests_ahead(request=slot_request)
        too_long = queue.is_longer(ahead=ahead, max_wait=item.terms.max_wait)
        if may_wait and too_long and len(queue.waiting) >= self._limit:
            # It must not evict another request only to be refused itself.
            self._refuse(queue, item, RefusalReason.LONG_QUEUE)
            return
        self._waiting[item.key] = item
        evicted = queue.waiting.push(request=slot_request, item=item)
        if evicted is not None:
            self._refuse(queue, evicted, RefusalReason.QUEUE_FULL)
        self._grant_free_slots(queue, tries_first=is_first)
        if item not in queue.waiting:
            if not may_wait and evicted is not item:
                queue.returns.claim(fingerprint=item.terms.fingerprint)
            return
        if not may_wait or not self._owner.accepts(request=item.request):
            self._remove(item)
            self._answer_grant(queue, item, self._owner.decline(request=item.request))
            return
        if too_long:
            self._refuse(queue, item, RefusalReason.LONG_QUEUE)
            return
        self._answer(Waiting(number=item.request.number), item.sender)
        self._wake.set()
        log.info(
            "request_queued",
            service=queue.service,
            router=item.request.report.router,
            rank=item.terms.rank,
            account=item.terms.account,
            returning=returning,
            ahead=round(ahead, 1),
            waiting=len(queue.waiting),
        )

    def _grant_free_slots(
        self, queue: ShardQueue, *, tries_first: bool = False
    ) -> None:
        """Grant free slots to the first requests that can use them.

        Args:
            queue: Their queue.
            tries_first: Whether to try the first one without counting all slots, which
                saves work for requests that need not wait.
        """
        while queue.waiting and (tries_first or self._measure(queue)):
            tries_first = False
            gone: list[WaitingRequest] = []
            grants: list[Grant] = []
            item = queue.waiting.pop(
                admit=partial(self._try_grant, gone=gone, grants=grants)
            )
            for each in gone:
                self._remove(each)
            if item is not None:
                self._waiting.pop(item.key, None)
                queue.record_grant()
                self._answer_grant(queue, item, grants[0])
            elif not gone:
                return

    def _try_grant(
        self,
        item: WaitingRequest,
        *,
        gone: list[WaitingRequest],
        grants: list[Grant],
    ) -> bool:
        """Grant a waiting request a slot, unless its router has dropped it."""
        if not self._is_live(item):
            gone.append(item)
            return False
        grant = self._owner.try_grant(request=item.request)
        if grant is None:
            return False
        grants.append(grant)
        return True

    def _answer_grant(
        self, queue: ShardQueue, item: WaitingRequest, grant: Grant
    ) -> None:
        grant = replace(grant, others_wait=bool(queue.waiting))
        if grant.endpoint is not None and item.sender is not None:
            router, number = item.key
            self._granted.setdefault(router, {})[number] = grant
        self._answer(grant, item.sender)
        waited = self._clock() - item.arrived_at
        if grant.endpoint is None or not waited:
            return
        log.info(
            "request_admitted",
            service=queue.service,
            router=item.request.report.router,
            endpoint=grant.endpoint,
            waited=round(waited, 4),
            rank=item.terms.rank,
            account=item.terms.account,
            waiting=len(queue.waiting),
        )

    def _refuse(
        self, queue: ShardQueue, item: WaitingRequest, reason: RefusalReason
    ) -> None:
        self._remove(item)
        retry_after = (
            NO_ENDPOINT_RETRY_AFTER_SECONDS
            if reason is RefusalReason.NO_ENDPOINT
            else queue.promise_return(item=item, now=self._clock())
        )
        number = item.request.number
        self._answer(
            Refusal(number=number, retry_after=retry_after, reason=reason), item.sender
        )
        log.info(
            "request_refused",
            service=queue.service,
            router=item.request.report.router,
            reason=reason.value,
            retry_after=round(retry_after, 3),
            rank=item.terms.rank,
            account=item.terms.account,
            waiting=len(queue.waiting),
        )

    def _answer(self, message: Answer, recipient: Address | None) -> None:
        if recipient is None:
            self._reporter.receive(answer=message)
        else:
            self._outbox.append((recipient, message))
            self._wake.set()

    def _measure(self, queue: ShardQueue) -> bool:
        """Record the requests in flight at a shard.

        Returns:
            Whether a slot is free.
        """
        slots = self._owner.slots(service=queue.service, shard=queue.shard)
        loads = self._owner.loads(
            service=queue.service, shard=queue.shard, for_slots=True
        )
        queue.record(slots=slots, in_flight=sum(loads[each] for each in slots))
        return any(loads[each] < count for each, count in slots.items())

    def _remove(self, item: WaitingRequest) -> None:
        """Remove a request from its queue, if it is still there."""
        if self._waiting.get(item.key) is item:
            del self._waiting[item.key]
        self._queue(item).waiting.remove(item=item)

    def _is_live(self, item: WaitingRequest) -> bool:
        """Return whether the router of a request still waits for an answer."""
        if item.sender is None:
            return self._reporter.is_pending(item.request.number)
        return self._counts.is_pending(
            report=item.request.report,
            number=item.request.number,
            max_age=MAX_REPORT_AGE_SECONDS,
        )

    def _forget_covered_grants(self, *, report: InFlightReport) -> None:
        """Forget grants that a report covers, so that none is sent for them again."""
        granted = self._granted.get(report.router, {})
        for number in [
            number
            for number in granted
            if not self._counts.is_granted(report=report, number=number)
        ]:
            del granted[number]

    def _queue(self, item: WaitingRequest) -> ShardQueue:
        query = item.request.query
        key = query.service, query.shard
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = new_shard_queue(
                service=query.service,
                shard=query.shard,
                limit=self._limit,
                clock=self._clock,
                generator=self._generator,
            )
        return queue

    def _queue_of(self, endpoint: EndpointId) -> ShardQueue | None:
        """Return the queue for the slots of an endpoint, if there is one."""
        service = self._shards.service(endpoint=endpoint)
        if service is None:
            return None
        single = None in self._shards.shards(service=service)
        domain = self._shards.owning_domain(endpoint=endpoint)
        return self._queues.get((service, None if single else domain))

    def _on_own_change(self, endpoint: EndpointId, count: int) -> None:
        """Grant the slot of a request of this router that has ended."""
        queue = self._queue_of(endpoint)
        if queue is not None and count < 0:
            queue.record_ends(count=-count)
            self._grant_free_slots(queue)
