"""Filter that lets a stream go on only at the software version that began it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.model import RequestKind
from dotterelpaddle.logs import get_logger
from dotterelpaddle.streams.exceptions import StreamNotResumable

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.filters import NextFilter
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.forwarding.model import ForwardRoute
    from dotterelpaddle.streams.finder import StreamFinder

log = get_logger(name=__name__)


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
            StreamNotResumable: If no stream of the route can.
        """
        route, request = exchange.route, exchange.request
        assert route is not None
        if route.kind is RequestKind.STREAM and request.last_event_id:
            if not route.resumable:
                raise _not_resumable(request=request, route=route)
            origin = await self._finder.find(request=request, route=route)
            exchange.service = origin.service
            exchange.stream_version = origin.version
        await next_filter(exchange)


def _not_resumable(
    *, request: ForwardRequest, route: ForwardRoute
) -> StreamNotResumable:
    log.info(
        "stream_not_resumable",
        request_id=request.request_id,
        resumes=request.resumes or "",
        route=route.name,
    )
    return StreamNotResumable(
        f"streams of route '{route.name}' can't be resumed; start it anew without a "
        "last event id"
    )
