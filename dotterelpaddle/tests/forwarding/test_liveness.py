"""Requests that wait at slow endpoints, and those that were lost there.

The pattern: two engines have the load of eight and read most prompts anew. A request
waits there for a second beside others that wait as long, and is not sent to the other
engine as well. An engine that fails part of its requests answers later ones meanwhile.
"""

from __future__ import annotations

import httpcore
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.liveness import (
    MAX_SILENCE_SECONDS,
    MIN_OVERTAKING_ANSWERS,
    EndpointLiveness,
)
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.links import Links
from dotterelpaddle.network import LinkedStream

ENGINE = EndpointId("engine-1")


class World:
    """One router and its clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.signs = EndpointLiveness(clock=lambda: self.now)


def test_engine_that_answers_in_order_is_slow_for_all() -> None:
    world = World()
    for number in range(20):
        world.now = 1.0 + number / 100
        world.signs.record_answer_start(endpoint=ENGINE, sent_at=number / 100)

    assert world.signs.is_slow(endpoint=ENGINE, sent_at=0.2)


def test_request_that_later_ones_overtook_is_lost() -> None:
    world = World()
    world.now = 1.0
    for number in range(MIN_OVERTAKING_ANSWERS):
        world.signs.record_answer_start(endpoint=ENGINE, sent_at=0.5 + number / 100)

    assert not world.signs.is_slow(endpoint=ENGINE, sent_at=0.4)
    assert world.signs.is_slow(endpoint=ENGINE, sent_at=0.51)


def test_engine_that_sends_nothing_to_anybody_is_not_waited_for() -> None:
    world = World()
    world.signs.record_bytes(endpoint=ENGINE)
    world.now = MAX_SILENCE_SECONDS + 0.01

    assert not world.signs.is_slow(endpoint=ENGINE, sent_at=0.0)


def test_engine_that_was_never_heard_is_not_waited_for() -> None:
    assert not World().signs.is_slow(endpoint=ENGINE, sent_at=0.0)


def test_engines_that_are_gone_are_forgotten() -> None:
    world = World()
    world.signs.record_bytes(endpoint=ENGINE)
    world.signs.retain(endpoints=frozenset())

    assert not world.signs.is_slow(endpoint=ENGINE, sent_at=0.0)


class LateStream(httpcore.AsyncNetworkStream):
    """A connection on which some reads come to nothing in their time."""

    def __init__(self, *, late: int) -> None:
        self.late = late
        self.timeouts: list[float | None] = []

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        self.timeouts.append(timeout)
        if len(self.timeouts) > self.late:
            return b"answer"
        raise httpcore.ReadTimeout


def _linked(stream: LateStream) -> LinkedStream:
    peer = Address(host="10.0.0.1", port=80)
    linked = LinkedStream(stream=stream, peer=peer, links=Links())
    linked.read_timeout = 0.3
    return linked


@pytest.mark.anyio
async def test_read_goes_on_while_there_is_more_time() -> None:
    late = LateStream(late=2)
    linked = _linked(late)
    linked.read_extension = lambda: 0.1

    assert await linked.read(100) == b"answer"
    assert late.timeouts == [0.3, 0.1, 0.1]


@pytest.mark.anyio
async def test_read_ends_when_there_is_no_more_time() -> None:
    late = LateStream(late=9)
    linked = _linked(late)
    more = [0.1, -0.02]
    linked.read_extension = lambda: more.pop(0)

    with pytest.raises(httpcore.ReadTimeout):
        await linked.read(100)
    assert late.timeouts == [0.3, 0.1]


@pytest.mark.anyio
async def test_read_that_nobody_extends_ends_in_its_time() -> None:
    late = LateStream(late=1)

    with pytest.raises(httpcore.ReadTimeout):
        await _linked(late).read(100)
    assert late.timeouts == [0.3]
