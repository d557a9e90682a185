"""What a stopping router takes and what it ends, by the clock of the test."""

from __future__ import annotations

from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from dotterelpaddle.exceptions import AnswerBroken, NotAccepting
from dotterelpaddle.shutdown.deadline import ShutdownDeadline
from dotterelpaddle.shutdown.durations import REMEMBERED_REQUESTS, RouteDurations
from dotterelpaddle.shutdown.exceptions import RouterStopped
from dotterelpaddle.shutdown.filter import ShutdownFilter
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.model import ForwardRoute

GRACE_SECONDS = 8.0
SLOW_SECONDS = 5.0


def _route(*, retryable: bool = True, prefix: str = "/slow") -> ForwardRoute:
    route = SimpleNamespace(host="", prefix=prefix, name=prefix, retryable=retryable)
    return cast("ForwardRoute", route)


def _exchange(route: ForwardRoute) -> ForwardExchange:
    request = SimpleNamespace(request_id="request")
    deadline = anyio.current_time() + 15.0
    fields: dict[str, Any] = {"route": route, "request": request, "deadline": deadline}
    return cast("ForwardExchange", SimpleNamespace(**fields))


async def _work(_: ForwardExchange, *, seconds: float) -> None:
    await anyio.sleep(seconds)


async def _fail(_: ForwardExchange) -> None:
    raise AnswerBroken("broken", peer="endpoint")


class _Router:
    """A router of which only the filter is there."""

    def __init__(self) -> None:
        self.deadline = ShutdownDeadline()
        self._filter = ShutdownFilter(
            deadline=self.deadline,
            durations=RouteDurations(),
            clock=anyio.current_time,
        )

    async def send(self, seconds: float, *, route: ForwardRoute | None = None) -> None:
        """Send a request whose work takes so long."""
        exchange = _exchange(route or _route())
        await self._filter(exchange, partial(_work, seconds=seconds))

    async def fail(self) -> None:
        """Send a request whose attempt fails at once."""
        await self._filter(_exchange(_route()), _fail)


def _run(scene: Callable[[_Router], Awaitable[None]]) -> None:
    async def main() -> None:
        await scene(_Router())

    run_in_virtual_time(main)


# Guards against passing a request on whose work won't end within the grace; another
# router has the whole timeout for it, and may be asked at once, as it has not run.
def test_request_that_takes_longer_than_the_rest_of_the_grace_is_refused() -> None:
    async def scene(router: _Router) -> None:
        for _ in range(10):
            await router.send(SLOW_SECONDS)
        router.deadline.set(seconds=GRACE_SECONDS)
        await anyio.sleep(GRACE_SECONDS - SLOW_SECONDS + 0.1)

        with pytest.raises(NotAccepting) as refused:
            await router.send(SLOW_SECONDS)
        assert refused.value.retry_after is not None

    _run(scene)


# Guards against refusals of what the grace can hold.
def test_request_that_the_grace_can_hold_is_taken() -> None:
    async def scene(router: _Router) -> None:
        for _ in range(10):
            await router.send(SLOW_SECONDS)
            await router.send(0.1, route=_route(prefix="/usual"))
        router.deadline.set(seconds=GRACE_SECONDS)
        await router.send(SLOW_SECONDS)
        await router.send(0.1, route=_route(prefix="/usual"))
        await router.send(0.1, route=_route(prefix="/unknown"))

    _run(scene)


# Guards against a request that may not be repeated, and that runs and is then ended.
def test_request_that_must_not_run_twice_has_time_for_the_longest() -> None:
    async def scene(router: _Router) -> None:
        once = _route(retryable=False, prefix="/once")
        for route in (once, _route()):
            await router.send(SLOW_SECONDS, route=route)
            for _ in range(REMEMBERED_REQUESTS - 1):
                await router.send(0.1, route=route)
        router.deadline.set(seconds=1.0)

        await router.send(0.1)
        with pytest.raises(NotAccepting):
            await router.send(0.1, route=once)

    _run(scene)


# Guards against connections that are cut without an answer at the end of a grace, also
# of requests that were in progress as it began.
def test_requests_in_progress_are_answered_before_the_end_of_the_grace() -> None:
    async def scene(router: _Router) -> None:
        ended: list[float] = []

        async def send() -> None:
            with pytest.raises(RouterStopped):
                await router.send(2 * GRACE_SECONDS)
            ended.append(anyio.current_time())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(1.0)
            router.deadline.set(seconds=GRACE_SECONDS)
            stopped_at = anyio.current_time()
            tasks.start_soon(send)
        assert ended == pytest.approx([stopped_at + GRACE_SECONDS] * 2)

    _run(scene)


# Guards against failures at once that make a slow route look fast.
def test_failed_requests_tell_nothing_of_a_route() -> None:
    async def scene(router: _Router) -> None:
        for _ in range(10):
            await router.send(SLOW_SECONDS)
        for _ in range(REMEMBERED_REQUESTS):
            with pytest.raises(AnswerBroken):
                await router.fail()
        router.deadline.set(seconds=1.0)

        with pytest.raises(NotAccepting):
            await router.send(SLOW_SECONDS)

    _run(scene)
