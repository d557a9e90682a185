"""Filter that refuses or ends requests for which a stopping router has no time left."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NotAccepting, RequestError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.retries.retry_after import retry_after_seconds
from dotterelpaddle.shutdown.exceptions import RouterStopped

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.filters import NextFilter
    from dotterelpaddle.shutdown.deadline import ShutdownDeadline
    from dotterelpaddle.shutdown.durations import RouteDurations

log = get_logger(name=__name__)


class ShutdownFilter:
    """Refuses what would not end before this process stops, and answers the rest.

    Another router has the whole timeout for a request that is refused; one that is cut
    may have run and leaves its caller nothing.

    Args:
        deadline: When the process ends the requests in progress.
        durations: How long requests take.
        clock: Monotonic clock.
    """

    def __init__(
        self, *, deadline: ShutdownDeadline, durations: RouteDurations, clock: Clock
    ) -> None:
        self._deadline = deadline
        self._durations = durations
        self._clock = clock

    async def __call__(
        self, exchange: ForwardExchange, next_filter: NextFilter
    ) -> None:
        """Run the next filter, until the process stops at most.

        Raises:
            NotAccepting: If requests of the route take longer than what is left.
            RouterStopped: If the time is over.
        """
        self._check_time(exchange=exchange)
        begun_at = self._clock()
        try:
            with self._deadline.limit() as scope:
                await next_filter(exchange)
        except RequestError:
            # It tells nothing of how long an answer takes.
            raise
        except BaseException:
            self._record(exchange=exchange, begun_at=begun_at)
            raise
        self._record(exchange=exchange, begun_at=begun_at)
        if scope.cancelled_caught:
            raise RouterStopped("this router stops before the endpoint has answered")

    def _check_time(self, *, exchange: ForwardExchange) -> None:
        """Check whether requests of the route end within the time that is left.

        Raises:
            NotAccepting: If they don't.
        """
        assert exchange.route is not None
        left = self._deadline.seconds_left
        expected = self._durations.expected(route=exchange.route)
        if expected <= left:
            return
        log.info(
            "request_too_late",
            request_id=exchange.request.request_id,
            route=exchange.route.name,
            seconds_left=round(left, 3),
            expected=round(expected, 3),
        )
        raise NotAccepting(
            "this router stops before it could answer; try another one",
            retry_after=retry_after_seconds(
                wait=None,
                time_left=exchange.deadline - self._clock(),
                unready_seconds=self._deadline.seconds_since,
            ),
        )

    def _record(self, *, exchange: ForwardExchange, begun_at: float) -> None:
        assert exchange.route is not None
        self._durations.record(route=exchange.route, seconds=self._clock() - begun_at)
