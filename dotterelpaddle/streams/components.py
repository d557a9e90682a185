"""Builds the components with which a router finds where streams began."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.streams.archive import StreamArchive
from dotterelpaddle.streams.finder import StreamFinder
from dotterelpaddle.streams.lookup import StreamLookup

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.settings import ForwardSettings
    from dotterelpaddle.forwarding.shared_state import SharedState
    from dotterelpaddle.peers.plan import ReportPlan
    from dotterelpaddle.streams.archive import StreamStore
    from dotterelpaddle.streams.confirmation import EndpointsConfirmation


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamComponents:
    """Components that know where streams began.

    Attributes:
        lookup: Asks other routers, and answers them.
        archive: Keeps records in the platform's store.
        finder: Finds where a stream that a caller resumes began.
    """

    lookup: StreamLookup
    archive: StreamArchive
    finder: StreamFinder


def build_stream_components(
    *,
    settings: ForwardSettings,
    store: StreamStore | None,
    state: SharedState,
    plan: ReportPlan,
    confirmation: EndpointsConfirmation,
    is_writer: Callable[[], bool],
    metrics: ForwardMetrics,
    clock: Clock,
) -> StreamComponents:
    """Build the components of a router that deal with streams.

    Args:
        settings: Settings of the router.
        store: Keeps records of streams, None to keep none.
        state: State that its components share.
        plan: Chooses the routers to ask.
        confirmation: Confirms which endpoints the store has.
        is_writer: Returns whether this router writes for all.
        metrics: Counts streams that go on.
        clock: Monotonic clock.
    """
    lookup = StreamLookup(
        origins=state.stream_origins,
        history=state.version_history,
        directory=state.directory,
        plan=plan,
        clock=clock,
    )
    archive = StreamArchive(
        store=store,
        origins=state.stream_origins,
        history=state.version_history,
        routes=state.route_history,
        view=state.view,
        first_start=settings.first_start,
        is_writer=is_writer,
        store_clock=state.store_clock,
        clock=clock,
    )
    finder = StreamFinder(
        origins=state.stream_origins,
        lookup=lookup,
        archive=archive,
        history=state.version_history,
        routes=state.route_history,
        confirmation=confirmation,
        metrics=metrics,
        clock=clock,
    )
    return StreamComponents(lookup=lookup, archive=archive, finder=finder)
