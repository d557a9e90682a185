"""The software versions that each service has had while streams of today began.

A stream of unknown origin may go on where a service has had one version only, for as
long as any stream lasts. A router that has just started can't tell.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.streams.origins import MAX_STREAM_SECONDS, StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointName, ServiceName, SoftwareVersion


class VersionHistory:
    """Remembers which versions of a service had endpoints recently.

    Args:
        view: The current endpoints.
        first_start: Whether this is the first start of the whole fleet, so that no
            stream is older than this router.
        clock: Monotonic clock.
    """

    def __init__(self, *, view: FleetView, first_start: bool, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._since = float("-inf") if first_start else float("inf")
        self._restored: frozenset[ServiceName] = frozenset()
        self._current: dict[EndpointName, StreamOrigin] = {}
        self._gone_at: dict[StreamOrigin, float] = {}
        view.on_entry(self._record_entry)

    def covers(self, *, service: ServiceName) -> bool:
        """Tell whether the history of a service goes back as far as any stream."""
        own_seconds = self._clock() - self._since
        return own_seconds >= MAX_STREAM_SECONDS or service in self._restored

    def recent(self, *, service: ServiceName) -> frozenset[SoftwareVersion]:
        """Return the versions of a service that may have begun a stream of today."""
        self.refresh()
        origins = (*self._current.values(), *self._gone_at)
        return frozenset(
            origin.version for origin in origins if origin.service == service
        )

    def count_from_now(self) -> None:
        """Count as complete only later: streams may be older than this router."""
        self._since = self._clock()
        self._restored = frozenset()

    def restore(
        self,
        *,
        versions: Mapping[ServiceName, frozenset[SoftwareVersion]],
        is_complete: bool,
    ) -> None:
        """Add the versions that services had before this router started.

        Args:
            versions: The versions.
            is_complete: Whether these services had no other version, so that their
                history goes back as far as that of the router which recorded them.
        """
        now = self._clock()
        for service, restored in versions.items():
            for version in restored:
                self._gone_at[StreamOrigin(service=service, version=version)] = now
        if is_complete:
            self._restored |= versions.keys()

    def refresh(self) -> None:
        """Record removed endpoints, and forget versions that are gone for long."""
        now = self._clock()
        known = {entry.name for entry in self._view.entries}
        for name in self._current.keys() - known:
            self._gone_at[self._current.pop(name)] = now
        oldest = now - MAX_STREAM_SECONDS
        self._gone_at = {
            origin: at for origin, at in self._gone_at.items() if at >= oldest
        }

    def _record_entry(self, entry: EndpointEntry) -> None:
        self._since = min(self._since, self._clock())
        origin = StreamOrigin(service=entry.service, version=entry.software_version)
        earlier = self._current.get(entry.name)
        if earlier is not None and earlier != origin:
            self._gone_at[earlier] = self._clock()
        self._current[entry.name] = origin
