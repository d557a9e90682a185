"""Tests what may be held in memory: the decisions, without a network."""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from typing import TYPE_CHECKING

import anyio
import pytest

from dotterelpaddle.exceptions import NotAccepting
from dotterelpaddle.ids import ServiceName
from dotterelpaddle.memory.answer_sizes import AnswerSize
from dotterelpaddle.memory.bounds import held_bytes_bound
from dotterelpaddle.memory.held_bytes import REQUEST_BYTES, HeldBytes
from dotterelpaddle.memory.holdings import Holding
from dotterelpaddle.memory.kinds import HeldKind

if TYPE_CHECKING:
    from collections.abc import Iterator

pytestmark = pytest.mark.anyio

BOUND = 1_000_000
BODY = 200_000
BULK, SOUND = ServiceName("bulk"), ServiceName("sound")


@contextmanager
def _holding(
    held: HeldBytes, *, size: int = 0, service: ServiceName | None = None
) -> Iterator[Holding]:
    """Hold bytes of a request, whatever the bound."""
    holding = Holding(ledger=held, service=service, answers=None)
    holding.add(size=size)
    try:
        yield holding
    finally:
        holding.clear()


def test_bodies_are_reserved_before_they_arrive() -> None:
    """Guards against many bodies that are all admitted and then don't fit."""
    held = HeldBytes(bound=BOUND)
    with ExitStack() as running:
        for _ in range(3):
            running.enter_context(held.request(size=BODY))
        assert held.held == 3 * (BODY + REQUEST_BYTES)

        for _ in range(2):
            with pytest.raises(NotAccepting), held.request(size=BODY):
                pass
        assert held.refused == 2
        assert held.held <= 0.75 * BOUND
    assert held.held == 0
    # Also a request that fails releases its bytes.
    with pytest.raises(ValueError), held.request(size=BODY) as holding:
        holding.add_of_new_request(size=7)
        raise ValueError
    assert held.held == 0


def test_body_beyond_the_bound_is_admitted_alone() -> None:
    """Guards against a request that no router would ever take."""
    held = HeldBytes(bound=BOUND)
    with held.request(size=2 * BOUND) as holding:
        assert holding.size > 2 * BOUND
        with pytest.raises(NotAccepting):
            holding.add_of_new_request(size=1)


async def test_answers_beyond_the_bound_wait_and_none_waits_for_good() -> None:
    """Guards against answers, half read, that wait for each other's room for good."""
    held, ended, most = HeldBytes(bound=BOUND), 0, 0

    async def read_answer() -> None:
        nonlocal ended, most
        with _holding(held) as holding, holding.answer() as part:
            for size in range(0, 6 * BODY, BODY):
                await part.grow(size=size)
                most = max(most, held.held)
                await anyio.sleep(0)
            ended += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(read_answer)
    assert ended == 20
    assert most <= BOUND + 5 * BODY
    assert held.held == 0


async def test_cancelled_answer_gives_its_room_to_the_next() -> None:
    """Guards against room that a request keeps after its deadline."""
    held = HeldBytes(bound=BOUND)
    async with anyio.create_task_group() as tasks:
        with (
            _holding(held, size=BOUND),
            _holding(held) as one,
            one.answer() as first,
        ):
            await first.grow(size=BODY)
            with (
                anyio.move_on_after(0.01),
                _holding(held) as two,
                two.answer() as late,
            ):
                await late.grow(size=BODY)
            assert held.held == BOUND + BODY
            tasks.cancel_scope.cancel()
    assert held.held == 0


async def test_without_a_limit_nothing_waits_or_is_refused() -> None:
    """Guards against a changed behaviour where no limit is set."""
    held = HeldBytes(bound=held_bytes_bound(memory_limit=None))
    with held.request(size=10**12) as holding, holding.answer() as part:
        await part.grow(size=10**12)
    assert held.refused == 0


# Guards against requests of a sound service that are refused, and answers of it that
# wait, because the answers of another service fill the bound.
async def test_service_with_large_answers_leaves_room_for_another() -> None:
    held, begun = HeldBytes(bound=BOUND), 0

    async def read_answer() -> None:
        nonlocal begun
        with _holding(held, service=BULK) as holding, holding.answer() as part:
            for size in range(0, 3 * BODY, BODY // 4):
                await part.grow(size=size)
                await anyio.sleep(0)
            begun += 1
            await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        for _ in range(20):
            tasks.start_soon(read_answer)
        await anyio.wait_all_tasks_blocked()
        assert 0 < begun < 20
        with pytest.raises(NotAccepting), held.request(size=BODY, service=BULK):
            pass

        for _ in range(3):
            with held.request(size=0, service=SOUND) as one, one.answer() as part:
                await part.grow(size=BODY // 20)
                assert held.by_use()[SOUND, HeldKind.ANSWER] == BODY // 20
        tasks.cancel_scope.cancel()
    assert held.held == 0


# Guards against answers of one service that wait behind those of another.
async def test_answer_does_not_wait_behind_those_of_another_service() -> None:
    held = HeldBytes(bound=BOUND)
    async with anyio.create_task_group() as tasks:

        async def fill() -> None:
            with _holding(held, service=BULK) as holding, holding.answer() as part:
                await part.grow(size=BOUND)
                await anyio.sleep_forever()

        for _ in range(3):
            tasks.start_soon(fill)
        await anyio.wait_all_tasks_blocked()
        assert held.waiting == 2

        with _holding(held, service=SOUND) as other, other.answer() as part:
            await part.grow(size=BODY)
        tasks.cancel_scope.cancel()
    assert held.held == 0


# Guards against requests that run and whose answers then find no room until their
# deadline: a caller that is refused before may go to another router.
def test_requests_reserve_room_for_the_answers_that_their_route_brings() -> None:
    held, answers = HeldBytes(bound=BOUND), AnswerSize()
    for _ in range(100):
        answers.record(size=BODY)
    with ExitStack() as running:
        for _ in range(3):
            running.enter_context(held.request(size=0, service=BULK, answers=answers))
        with (
            pytest.raises(NotAccepting),
            held.request(size=0, service=BULK, answers=answers),
        ):
            pass
    assert held.held == 0


async def test_answer_takes_what_its_request_has_reserved() -> None:
    """Guards against room that is counted twice, or not released."""
    held, answers = HeldBytes(bound=BOUND), AnswerSize()
    answers.record(size=8 * BODY)
    with held.request(size=0, service=BULK, answers=answers) as holding:
        before = held.held
        with pytest.raises(ValueError), holding.answer() as part:
            await part.grow(size=BODY // 2)
            assert held.held == before
            await part.grow(size=2 * BODY)
            assert held.held == before + BODY
            raise ValueError
        assert held.held == before - BODY
    assert held.held == 0


def test_request_counts_for_the_service_that_its_route_has_chosen() -> None:
    """Guards against a faulty service whose bytes count for a sound one."""
    held = HeldBytes(bound=BOUND)
    with held.request(size=BODY, service=SOUND) as holding:
        holding.assign(service=BULK)
        assert held.by_use()[SOUND, HeldKind.REQUEST] == 0
        assert held.by_use()[BULK, HeldKind.REQUEST] == BODY + REQUEST_BYTES
    assert held.held == 0
