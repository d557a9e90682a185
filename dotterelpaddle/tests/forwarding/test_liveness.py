"""Requests that wait at slow endpoints, and requests that are lost.

Guards against retries that add load: two engines have the load of eight and read most
prompts anew. All requests wait for a second there, and a request that is retried at
the other engine would run twice. An engine that loses some requests still answers
later ones.
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
    """A router and its clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.liveness = EndpointLiveness(clock=lambda: self.now)


def test_engine_that_answers_in_order_is_slow() -> None:
    world = World()
    for number in range(20):
        world.now = 1.0 + number / 100
        world.liveness.record_answer_start(endpoint=ENGINE, sent_at=number / 100)

    assert world.liveness.is_slow(endpoint=ENGINE, sent_at=0.2)


def test_request_overtaken_by_later_ones_is_lost() -> None:
    world = World()
    world.now = 1.0
    for number in range(MIN_OVERTAKING_ANSWERS):
        world.liveness.record_answer_start(endpoint=ENGINE, sent_at=0.5 + number / 100)

    assert not world.liveness.is_slow(endpoint=ENGINE, sent_at=0.4)
    assert world.liveness.is_slow(endpoint=ENGINE, sent_at=0.51)


def test_silent_engine_is_not_slow() -> None:
    world = World()
    world.liveness.record_bytes(endpoint=ENGINE)
    world.now = MAX_SILENCE_SECONDS + 0.01

    assert not world.liveness.is_slow(endpoint=ENGINE, sent_at=0.0)


def test_engine_without_any_bytes_is_not_slow() -> None:
    assert not World().liveness.is_slow(endpoint=ENGINE, sent_at=0.0)


def test_removed_engines_are_dropped() -> None:
    world = World()
    world.liveness.record_bytes(endpoint=ENGINE)
    world.liveness.retain(endpoints=frozenset())

    assert not world.liveness.is_slow(endpoint=ENGINE, sent_at=0.0)


class LateStream(httpcore.AsyncNetworkStream):
    """A connection whose first reads time out."""

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
async def test_read_continues_while_its_timeout_is_extended() -> None:
    late = LateStream(late=2)
    linked = _linked(late)
    linked.read_extension = lambda: 0.1

    assert await linked.read(100) == b"answer"
    assert late.timeouts == [0.3, 0.1, 0.1]


@pytest.mark.anyio
async def test_read_ends_when_its_timeout_is_not_extended() -> None:
    late = LateStream(late=9)
    linked = _linked(late)
    more = [0.1, -0.02]
    linked.read_extension = lambda: more.pop(0)

    with pytest.raises(httpcore.ReadTimeout):
        await linked.read(100)
    assert late.timeouts == [0.3, 0.1]


@pytest.mark.anyio
async def test_read_without_extension_times_out() -> None:
    late = LateStream(late=1)

    with pytest.raises(httpcore.ReadTimeout):
        await _linked(late).read(100)
    assert late.timeouts == [0.3]
