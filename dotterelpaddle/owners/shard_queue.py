"""The requests that wait for a slot of one shard, and the rate of its slots."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.admission.return_schedule import ReturnSchedule
from dotterelpaddle.admission.service_rate import ServiceRate
from dotterelpaddle.admission.slot_queue import SlotQueue, SlotRequest

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId, ServiceName
    from dotterelpaddle.owners.messages import GrantRequest
    from dotterelpaddle.owners.request_options import Admission


@dataclass(kw_only=True, eq=False, slots=True)
class WaitingRequest:
    """A request for a slot.

    Attributes:
        request: The first grant request for it.
        sender: Address of the router that waits, None for the owner itself.
        terms: What decides when it gets a slot, as of its arrival.
        arrived_at: Its arrival, seconds on the monotonic clock.
    """

    request: GrantRequest
    sender: Address | None
    terms: Admission
    arrived_at: float

    @property
    def key(self) -> tuple[RouterId, int]:
        """Identifies it among the requests that wait."""
        return self.request.report.router, self.request.number

    def is_from(self, *, request: GrantRequest) -> bool:
        """Return whether a grant request comes from the same process."""
        return self.request.report.incarnation == request.report.incarnation


@dataclass(kw_only=True, slots=True)
class ShardQueue:
    """State of the admission to one shard.

    Attributes:
        service: The service.
        shard: Failure domain of the endpoints, None for all.
        waiting: Requests for slots.
        rate: How fast the slots serve.
        returns: When refused callers come back.
        slots: Slots of all endpoints, as of the last measurement.
        in_flight: Requests in flight at them.
    """

    service: ServiceName
    shard: FailureDomain | None
    waiting: SlotQueue[WaitingRequest]
    rate: ServiceRate
    returns: ReturnSchedule
    slots: int = 0
    in_flight: int = 0

    @property
    def capacity(self) -> float | None:
        """Requests per second with all slots in use, None if unknown."""
        return self.rate.capacity(slots=self.slots) if self.slots else None

    def is_longer(self, *, ahead: float, max_wait: float) -> bool:
        """Return whether the requests ahead take longer than a wait in seconds."""
        capacity = self.capacity
        return capacity is not None and ahead > capacity * max_wait

    def record(self, *, slots: Mapping[EndpointId, int], in_flight: int) -> None:
        """Record the slots of the endpoints and the requests in flight there."""
        self.slots, self.in_flight = sum(slots.values()), in_flight
        self.rate.record(in_flight=in_flight)

    def record_ends(self, *, count: int) -> None:
        """Record requests that are no longer in flight."""
        for _ in range(count):
            self.rate.record_end()
        self.in_flight = max(0, self.in_flight - count)
        self.rate.record(in_flight=self.in_flight)

    def record_grant(self) -> None:
        """Record one more request in flight."""
        self.in_flight += 1
        self.rate.record(in_flight=self.in_flight)

    def slot_request(self, *, item: WaitingRequest, returning: bool) -> SlotRequest:
        """Return what determines the order of a request."""
        return SlotRequest(
            rank=item.terms.rank,
            account=item.terms.account,
            returning=returning,
            deadline=item.arrived_at + item.terms.max_wait,
        )

    def promise_return(self, *, item: WaitingRequest, now: float) -> float:
        """Return the seconds after which a refused request may come back."""
        return self.returns.promise(
            fingerprint=item.terms.fingerprint,
            backlog=len(self.waiting),
            capacity=self.capacity,
            time_left=max(0.0, item.terms.time_left - (now - item.arrived_at)),
        )


def new_shard_queue(
    *,
    service: ServiceName,
    shard: FailureDomain | None,
    limit: int,
    clock: Clock,
    generator: random.Random,
) -> ShardQueue:
    """Return the queue of a shard without any requests.

    Args:
        service: The service.
        shard: Failure domain of its endpoints, None for all.
        limit: Most requests that may wait.
        clock: Monotonic clock.
        generator: Source of random retry times.
    """
    return ShardQueue(
        service=service,
        shard=shard,
        waiting=SlotQueue(limit=limit),
        rate=ServiceRate(clock=clock),
        returns=ReturnSchedule(clock=clock, generator=generator),
    )
