"""Finds the service and software version at which a caller's stream may go on."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger
from dotterelpaddle.streams.exceptions import StreamOriginUnknown
from dotterelpaddle.streams.origins import StreamOrigin

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.model import ForwardRoute
    from dotterelpaddle.ids import SoftwareVersion
    from dotterelpaddle.streams.archive import StreamArchive
    from dotterelpaddle.streams.confirmation import EndpointsConfirmation
    from dotterelpaddle.streams.lookup import OpenQuestion, StreamLookup
    from dotterelpaddle.streams.origins import StreamOrigins
    from dotterelpaddle.streams.route_history import RouteHistory
    from dotterelpaddle.streams.version_history import VersionHistory

log = get_logger(name=__name__)

LOOKUP_SECONDS = 0.5
"""Seconds within which a record of a stream reaches this router, if any router that it
hears has one: two rounds of reports and an answer."""

UNKNOWN_RETRY_AFTER_SECONDS = 0.3
"""Retry-after for a stream of unknown origin; another router may know it."""


class OriginSource(Enum):
    """What tells the origin of a stream."""

    RECORD = "record"
    PEER = "peer"
    ARCHIVE = "archive"
    SOLE_VERSION = "sole_version"
    UNKNOWN = "unknown"


class StreamFinder:
    """Finds the origin of a stream that a caller resumes.

    Args:
        origins: Known origins of streams.
        lookup: Asks other routers.
        archive: Reads what the platform's store keeps.
        history: Versions that this router has seen.
        routes: Routes of streams that led elsewhere recently.
        confirmation: Confirms the endpoints with the platform's store.
        metrics: Counts resumed streams.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        origins: StreamOrigins,
        lookup: StreamLookup,
        archive: StreamArchive,
        history: VersionHistory,
        routes: RouteHistory,
        confirmation: EndpointsConfirmation,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._origins = origins
        self._lookup = lookup
        self._archive = archive
        self._history = history
        self._routes = routes
        self._confirmation = confirmation
        self._metrics = metrics
        self._clock = clock

    async def find(
        self, *, request: ForwardRequest, route: ForwardRoute
    ) -> StreamOrigin:
        """Return the origin of the stream that a request resumes.

        Args:
            request: The request.
            route: Its route.

        Raises:
            StreamOriginUnknown: If nobody knows it and several versions may have begun
                the stream, or if the route no longer leads to its service.
        """
        started_at = self._clock()
        origin, source = await self._look_up(request=request, route=route)
        self._metrics.count_resumed_stream(source=source.value)
        log.info(
            "stream_origin",
            request_id=request.request_id,
            resumes=request.resumes or "",
            service=origin.service,
            software_version=origin.version,
            source=source.value,
            seconds=round(self._clock() - started_at, 4),
        )
        if all(each.service != origin.service for each in route.services):
            raise StreamOriginUnknown(
                f"route '{route.name}' no longer leads to service '{origin.service}', "
                "which began this stream; start it anew",
                retry_after=UNKNOWN_RETRY_AFTER_SECONDS,
            )
        return origin

    async def _look_up(
        self, *, request: ForwardRequest, route: ForwardRoute
    ) -> tuple[StreamOrigin, OriginSource]:
        stream = request.resumes
        histories: list[frozenset[SoftwareVersion]] = []
        if stream is not None:
            known = self._origins.find(stream=stream)
            if known is not None:
                return known, OriginSource.RECORD
            service = route.services[0].service
            with self._lookup.open_question(stream=stream, service=service) as question:
                known = await self._ask(question)
            if known is not None:
                return known, OriginSource.PEER
            histories = question.histories
        reaches_store = await self._archive.read()
        known = None if stream is None else self._origins.find(stream=stream)
        if known is not None:
            return known, OriginSource.ARCHIVE
        sole = self._sole_version(request=request, route=route, histories=histories)
        # A router with older endpoints may not know a version that has begun streams.
        if sole is None or not reaches_store or not await self._confirmation.confirm():
            raise self._unknown(request=request, route=route)
        if sole != self._sole_version(
            request=request, route=route, histories=histories
        ):
            raise self._unknown(request=request, route=route)
        return sole, OriginSource.SOLE_VERSION

    async def _ask(self, question: OpenQuestion) -> StreamOrigin | None:
        with anyio.move_on_after(LOOKUP_SECONDS):
            await self._lookup.ask(question=question)
        return self._origins.find(stream=question.question.stream)

    def _sole_version(
        self,
        *,
        request: ForwardRequest,
        route: ForwardRoute,
        histories: list[frozenset[SoftwareVersion]],
    ) -> StreamOrigin | None:
        """Return the only origin that a stream of the route can have, if there is one.

        Args:
            request: The request that resumes it.
            route: The route.
            histories: Versions that other routers with a complete history have seen.
        """
        if len(route.services) > 1:
            return None
        if not self._routes.is_steady(route=route, path=request.path):
            return None
        service = route.services[0].service
        versions = self._history.recent(service=service).union(*histories)
        if not (self._history.covers(service=service) or histories):
            return None
        if len(versions) != 1:
            return None
        return StreamOrigin(service=service, version=next(iter(versions)))

    def _unknown(
        self, *, request: ForwardRequest, route: ForwardRoute
    ) -> StreamOriginUnknown:
        service = route.services[0].service
        self._metrics.count_resumed_stream(source=OriginSource.UNKNOWN.value)
        log.warning(
            "stream_origin_unknown",
            request_id=request.request_id,
            resumes=request.resumes or "",
            service=service,
            versions=sorted(self._history.recent(service=service)),
            history_complete=self._history.covers(service=service),
            route_steady=self._routes.is_steady(route=route, path=request.path),
        )
        return StreamOriginUnknown(
            "no router knows which software version began this stream; start it anew",
            retry_after=UNKNOWN_RETRY_AFTER_SECONDS,
        )
