"""Failures while requests wait for a slot, one at a time.

Three routers in a mesh fleet grant the six slots of one endpoint. No slot may be lost
and no request may wait for longer than it may, whatever fails.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from dotterelpaddle.owners.counts import REPORT_TTL_SECONDS
from dotterelpaddle.owners.messages import GrantRequest, decode
from dotterelpaddle.tests.forwarding.brittle_world import REJECTION_LIMIT
from dotterelpaddle.tests.owners.hosts import DOMAINS
from dotterelpaddle.tests.owners.slot_world import (
    OBJECTIVE_SECONDS,
    ONE_WAY_SECONDS,
    SLOTS,
    WORK_SECONDS,
    SlotWorld,
    run_slots,
    share,
)

if TYPE_CHECKING:
    from dotterelpaddle.tests.owners.hosts import Router

FILL_SECONDS = 0.15
"""Work of the requests that take all slots at first."""

ONE_ENDPOINT: dict[str, Any] = {"router_count": 3, "endpoint_count": 1}
TWO_DOMAINS: dict[str, Any] = {"router_count": 4, "domains": DOMAINS[:2]}


async def _settle(world: SlotWorld, *, seconds: float = 0.5) -> None:
    """Wait until all requests have ended and reports have arrived."""
    await anyio.sleep(seconds)
    assert world.counted() == {}
    assert not +world.endpoints


def _others(world: SlotWorld) -> list[Router]:
    return [router for router in world.routers if router is not world.owner]


# Guards against slots that stay idle, and routers that poll, while requests wait.
@pytest.mark.parametrize("at_owner", [True, False])
def test_waiting_request_gets_the_slot_that_becomes_free(at_owner: bool) -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.fill(first, work=FILL_SECONDS)
        waiter = world.owner if at_owner else second
        result = await world.request(waiter)
        assert result.seconds is not None
        assert result.seconds < FILL_SECONDS + WORK_SECONDS + 0.01
        await _settle(world)

    assert run_slots(script=script, **ONE_ENDPOINT).rejections == 0


# Guards against slots that are granted to callers which have disconnected.
@pytest.mark.parametrize("at_owner", [True, False])
def test_request_of_a_caller_that_leaves_is_removed_at_once(at_owner: bool) -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.fill(first, work=FILL_SECONDS)
        with anyio.move_on_after(0.05):
            await world.request(world.owner if at_owner else second)
        assert world.queued() <= 1
        await anyio.sleep(5 * ONE_WAY_SECONDS)
        assert world.queued() == 0
        await _settle(world)

    run_slots(script=script, **ONE_ENDPOINT)


# Guards against a lost grant that leaves its slot idle until the request expires, and
# against a second slot that is granted instead.
def test_lost_grant_is_sent_again() -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.fill(first, work=1.0, but=1)
        world.tasks.start_soon(partial(world.request, first, work=0.06))
        await anyio.sleep(0.02)
        lost = list[bytes]()

        def _lose(datagram: bytes, _: Router, target: Router) -> bool:
            is_grant = target is second and datagram.startswith(b'["grant"')
            if is_grant and not lost:
                lost.append(datagram)
                return True
            return False

        world.dropped = _lose
        result = await world.request(second)
        assert lost
        assert result.seconds is not None
        assert result.seconds < 0.06 + 0.1 + WORK_SECONDS + 0.03
        await _settle(world, seconds=1.0)

    assert run_slots(script=script, **ONE_ENDPOINT).rejections == 0


# Guards against slots that stay granted to nobody: a grant arrives after its caller
# has left, or a second time.
@pytest.mark.parametrize("leaves", [True, False])
def test_late_or_duplicate_grant_takes_no_slot(leaves: bool) -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.fill(first, work=0.06)
        owner, copies = world.owner, list[bytes]()

        def _keep(datagram: bytes, _: Router, target: Router) -> bool:
            if target is second and datagram.startswith(b'["grant"'):
                copies.append(datagram)
                return leaves
            return False

        world.dropped = _keep
        with anyio.move_on_after(0.08 if leaves else None):
            await world.request(second)
        assert copies
        world.dropped = lambda *_: False
        assert second.parts is not None
        for datagram in copies:
            await second.parts.owners.receive(datagram=datagram, address=owner.address)
        await anyio.sleep(5 * ONE_WAY_SECONDS)
        assert world.counted() == {}
        await _settle(world)

    run_slots(script=script, **ONE_ENDPOINT)


# Guards against callers that wait for an owner which does not answer any more, or
# whose answers are lost, and against its slots being lost when it is back.
@pytest.mark.parametrize("one_way", [True, False])
def test_routers_ask_the_fallback_owner_when_the_owner_is_silent(
    one_way: bool,
) -> None:
    async def script(world: SlotWorld) -> None:
        owner = world.owner
        callers = [each for each in world.routers if each.domain != owner.domain]
        await world.fill(callers[0], work=0.3)
        waits: list[Any] = []
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(partial(world.request, callers[1], max_wait=0.5))
            await anyio.sleep(0.05)
            assert world.queued() == 4
            if one_way:
                world.dropped = lambda _, sender, __: sender is owner
            else:
                world.frozen.add(owner)
            waits = world.results[-4:]
        assert all(each.seconds is not None for each in waits)
        assert max(each.seconds or 9.0 for each in waits) < 0.3 + 0.23 + WORK_SECONDS
        world.dropped = lambda *_: False
        world.thaw()
        await anyio.sleep(0.5)
        await _settle(world)

    assert run_slots(script=script, **TWO_DOMAINS).rejections == 0


# Guards against a new owner that grants slots which are in use: routers learn of a
# planned stop within 0.2 s, and until then some still ask the old owner.
def test_new_owner_grants_few_slots_that_are_in_use() -> None:
    async def script(world: SlotWorld) -> None:
        world.tasks.start_soon(partial(world.load, share=0.9, seconds=5.0))
        await anyio.sleep(2.0)
        owner = world.owner
        assert owner.parts is not None
        owner.parts.start_draining(seconds=math.inf)
        await anyio.sleep(1.5)
        assert world.owner is not owner
        await anyio.sleep(2.5)
        await _settle(world)

    world = run_slots(script=script, router_count=4)
    assert max(world.rejected.values(), default=0) <= REJECTION_LIMIT
    assert share(world.results, lambda each: each.in_time) >= 0.9


# Guards against requests that lose their time in the queue of an owner that stops.
def test_waiting_request_moves_to_the_successor_of_its_owner() -> None:
    async def script(world: SlotWorld) -> None:
        owner, (first, second) = world.owner, _others(world)
        assert owner.parts is not None
        await world.fill(first, work=0.4)
        world.tasks.start_soon(partial(world.request, second, max_wait=1.0))
        await anyio.sleep(0.05)
        assert owner.parts.owners._admission.has_waiting
        owner.parts.start_draining(seconds=math.inf)
        await anyio.sleep(0.15)
        assert not owner.parts.owners._admission.has_waiting
        assert world.queued() == 1
        await _settle(world, seconds=0.4 + REPORT_TTL_SECONDS)
        assert world.results[-1].seconds is not None

    assert run_slots(script=script, **ONE_ENDPOINT).rejections == 0


# Guards against two routers that take themselves for the owner and each grant all
# slots, because they do not receive each other's reports.
def test_two_owners_grant_few_slots_twice() -> None:
    async def script(world: SlotWorld) -> None:
        first, second = world.routers[:2]

        def _is_cut(datagram: bytes, sender: Router, target: Router) -> bool:
            is_peer_report = not datagram.startswith(b'["')
            return is_peer_report and {sender, target} == {first, second}

        world.tasks.start_soon(partial(world.load, share=0.5, seconds=4.0))
        await anyio.sleep(1.0)
        world.dropped = _is_cut
        await anyio.sleep(1.5)
        world.dropped = lambda *_: False
        await anyio.sleep(2.0)
        await _settle(world)

    world = run_slots(script=script, router_count=4)
    assert max(world.rejected.values(), default=0) <= REJECTION_LIMIT
    assert share(world.results, lambda each: each.in_time) >= 0.97


# Guards against routers that fail with an owner of the last release, which has no
# queue and sends grants without a flag.
def test_owner_of_the_last_release_grants_without_a_queue() -> None:
    async def script(world: SlotWorld) -> None:
        owner, (first, second) = world.owner, _others(world)
        assert owner.parts is not None
        exchange = owner.parts.owners
        receive = exchange.receive

        async def _receive(*, datagram: bytes, address: Any) -> None:
            message = decode(datagram=datagram)
            if isinstance(message, GrantRequest):
                fields = datagram[: datagram.rindex(b",[")] + b"]"
                assert b'"f' not in fields
                datagram = fields
            await receive(datagram=datagram, address=address)

        exchange.receive = _receive  # type: ignore[method-assign]
        result = await world.request(first)
        assert result.seconds is not None
        for router in (first, second):
            assert router.parts is not None
            entry = router.parts.state.view.entries[0]
            router.parts.state.brittle.record_answer(
                entry=entry, limit=4, rejected=False
            )
        await world.fill(first, work=FILL_SECONDS)
        result = await world.request(second, max_wait=OBJECTIVE_SECONDS)
        assert result.seconds is not None
        assert result.seconds < OBJECTIVE_SECONDS
        await _settle(world)

    assert run_slots(script=script, **ONE_ENDPOINT).rejections == 0


# Guards against requests that wait until their deadline for a service that is gone.
def test_requests_for_a_removed_service_are_refused_at_once() -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.fill(first, work=0.5)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(partial(world.request, second, max_wait=0.4))
            await anyio.sleep(0.05)
            world.announce(names=[])
            began = anyio.current_time()
        result = world.results[-1]
        assert anyio.current_time() - began < 0.03
        assert result.retry_after is not None
        # Reports name no endpoint that has gone, so its counts expire.
        await _settle(world, seconds=0.5 + REPORT_TTL_SECONDS)

    run_slots(script=script, **ONE_ENDPOINT)


# Guards against requests that wait for the slots of an endpoint that has gone while
# another one joins.
def test_waiting_requests_use_an_endpoint_that_joins() -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.fill(first, work=0.5)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(partial(world.request, second, max_wait=0.4))
            await anyio.sleep(0.05)
            world.endpoint_count = 2
            world.announce(names=world.names()[1:])
        result = world.results[-1]
        assert result.seconds is not None
        assert result.seconds < 0.05 + WORK_SECONDS + 0.03
        # Reports name no endpoint that has gone, so its counts expire.
        await _settle(world, seconds=0.5 + REPORT_TTL_SECONDS)

    run_slots(script=script, **ONE_ENDPOINT)


# Guards against slots granted to a router that has frozen, while others wait.
def test_requests_of_a_frozen_router_count_as_waiting_no_more() -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.fill(first, work=0.5)
        for _ in range(SLOTS):
            world.tasks.start_soon(partial(world.request, second, max_wait=2.0))
        await anyio.sleep(0.05)
        assert world.queued() == SLOTS
        world.frozen.add(second)
        await anyio.sleep(0.35)
        assert world.queued() == 0
        result = await world.request(first, max_wait=0.4)
        assert result.seconds is not None
        assert result.seconds < 0.15 + WORK_SECONDS
        world.thaw()
        await anyio.sleep(REPORT_TTL_SECONDS)
        await _settle(world)

    run_slots(script=script, **ONE_ENDPOINT)


# Guards against requests that wait without end when no owner decides.
def test_request_without_any_owner_is_placed_by_its_router() -> None:
    async def script(world: SlotWorld) -> None:
        owner, (first, _) = world.owner, _others(world)
        world.dropped = lambda _, sender, __: sender is owner
        result = await world.request(first)
        assert result.seconds is not None
        assert result.seconds < WORK_SECONDS + 0.05

    run_slots(script=script, **ONE_ENDPOINT)


# Guards against a router without peers that grants no slots.
def test_single_router_is_its_own_owner() -> None:
    async def script(world: SlotWorld) -> None:
        (router,) = world.routers
        await world.fill(router, work=FILL_SECONDS)
        result = await world.request(router)
        assert result.seconds is not None
        await _settle(world)

    world = run_slots(script=script, router_count=1, endpoint_count=1)
    assert world.rejections == 0


# Guards against refusals without a time to return, and against callers that wait until
# their deadline for a slot that can't become free in time.
def test_request_that_can_not_be_served_in_time_is_refused_at_once() -> None:
    async def script(world: SlotWorld) -> None:
        first, second = _others(world)
        await world.load(share=0.9, seconds=2.0)
        await world.fill(first, work=WORK_SECONDS)
        for _ in range(4 * SLOTS):
            world.tasks.start_soon(partial(world.request, first, max_wait=5.0))
        await anyio.sleep(0.01)
        began = anyio.current_time()
        result = await world.request(second, rank=2, max_wait=0.1)
        assert anyio.current_time() - began < 0.01
        assert result.retry_after is not None
        await anyio.sleep(1.0)
        await _settle(world)

    run_slots(script=script, **ONE_ENDPOINT)


# Guards against a fleet without admission whose messages change, and against slots of
# brittle endpoints that are divided evenly among routers with uneven load.
def test_small_fleet_without_admission_has_owners_for_brittle_endpoints_only() -> None:
    async def script(world: SlotWorld) -> None:
        states = [each.parts.state for each in world.routers if each.parts is not None]
        assert not any(state.directory.owners() for state in states)
        for state in states:
            state.brittle.record_answer(
                entry=state.view.entries[0], limit=4, rejected=False
            )
        await anyio.sleep(0.3)
        assert {state.directory.owners()[DOMAINS[0]] for state in states} == {
            states[0].directory.own
        }
        await world.fill(world.routers[2], work=FILL_SECONDS)
        result = await world.request(world.routers[1])
        assert result.seconds is not None

    assert run_slots(script=script, admission=None, **ONE_ENDPOINT).rejections == 0
