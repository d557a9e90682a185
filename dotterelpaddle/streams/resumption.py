"""Filter that lets a stream go on only at the software version that began it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.model import RequestKind

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.filters import NextFilter
    from dotterelpaddle.streams.finder import StreamFinder


class ResumptionFilter:
    """Fixes service and software version of a stream that its caller resumes.

    Args:
        finder: Finds where the first event of a stream came from.
    """

    def __init__(self, *, finder: StreamFinder) -> None:
        self._finder = finder

    async def __call__(
        self, exchange: ForwardExchange, next_filter: NextFilter
    ) -> None:
        """Set the service and the version, and run the next filter.

        Raises:
            StreamOriginUnknown: If the stream can't go on.
        """
        route = exchange.route
        assert route is not None
        resumes = route.kind is RequestKind.STREAM and route.resumable
        if resumes and exchange.request.last_event_id:
            origin = await self._finder.find(request=exchange.request, route=route)
            exchange.service = origin.service
            exchange.stream_version = origin.version
        await next_filter(exchange)
