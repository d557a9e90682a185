"""The routes of streams that led to other services while streams of today began.

A stream of unknown origin may have begun at any service to which its route led. The
versions of today's service tell nothing of the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.model import RequestKind
from dotterelpaddle.placement.rendezvous import tag
from dotterelpaddle.streams.origins import MAX_STREAM_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import FleetConfiguration, ForwardRoute
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import ServiceName


@dataclass(frozen=True, kw_only=True, order=True, slots=True)
class RouteKey:
    """What a route matches.

    Attributes:
        host: Host header, in lower case.
        prefix: Path prefix, with a slash at both ends.
    """

    host: str
    prefix: str


Targets = dict[RouteKey, frozenset["ServiceName"]]
"""Services to which each route of streams leads."""


class RouteHistory:
    """Remembers which routes of streams led to other services recently.

    Args:
        view: Provides the configuration.
        first_start: Whether this is the first start of the whole fleet, so that no
            stream is older than this router.
        clock: Monotonic clock.
    """

    def __init__(self, *, view: FleetView, first_start: bool, clock: Clock) -> None:
        self._clock = clock
        self._since = float("-inf") if first_start else float("inf")
        self._targets: Targets = {}
        self._digest: int | None = None
        self._changed_at: dict[RouteKey, float] = {}
        view.on_configuration(self._record)

    @property
    def is_complete(self) -> bool:
        """Whether the history goes back as far as any stream."""
        return self._clock() - self._since >= MAX_STREAM_SECONDS

    @property
    def digest(self) -> int | None:
        """Digest of where routes of streams lead now, None if unconfigured."""
        return self._digest

    @property
    def changed(self) -> frozenset[RouteKey]:
        """Routes that led elsewhere when streams of today began."""
        oldest = self._clock() - MAX_STREAM_SECONDS
        self._changed_at = {
            key: at for key, at in self._changed_at.items() if at >= oldest
        }
        return frozenset(self._changed_at)

    def is_steady(self, *, route: ForwardRoute, path: str) -> bool:
        """Tell whether requests for a path have always gone to a route's services.

        Args:
            route: The route to which the path leads now.
            path: The path.
        """
        return self.is_complete and not any(
            key.host == route.host
            and path.startswith(key.prefix)
            and len(key.prefix) >= len(route.prefix)
            for key in self.changed
        )

    def count_from_now(self) -> None:
        """Count as complete only later: streams may be older than this router."""
        self._since = self._clock()

    def restore(self, *, digest: int | None, changed: Iterable[RouteKey]) -> None:
        """Add what another router knew.

        Args:
            digest: Where routes of streams led when it told this.
            changed: Routes that had led elsewhere shortly before.
        """
        now = self._clock()
        self._changed_at.update(dict.fromkeys(changed, now))
        if digest is not None and digest == self._digest:
            self._since = float("-inf")

    def _record(self, configuration: FleetConfiguration) -> None:
        """Record what differs in a configuration that is now in force."""
        now = self._clock()
        earlier, targets = self._targets, _targets(routes=configuration.routes)
        if self._digest is not None:
            for key in earlier.keys() | targets.keys():
                led_to = _resolve(targets=earlier, key=key)
                if led_to and led_to != _resolve(targets=targets, key=key):
                    self._changed_at[key] = now
        self._since = min(self._since, now)
        self._targets = targets
        self._digest = tag(text=repr(sorted(map(_sortable, targets.items()))))


def _targets(*, routes: Iterable[ForwardRoute]) -> Targets:
    return {
        RouteKey(host=route.host, prefix=route.prefix): frozenset(
            each.service for each in route.services
        )
        for route in routes
        if route.kind is RequestKind.STREAM
    }


def _resolve(
    *, targets: Mapping[RouteKey, frozenset[ServiceName]], key: RouteKey
) -> frozenset[ServiceName]:
    """Return the services to which what a route matches leads, empty for none."""
    prefix = key.prefix
    while prefix:
        found = targets.get(RouteKey(host=key.host, prefix=prefix))
        if found is not None:
            return found
        prefix = prefix[: prefix.rstrip("/").rfind("/") + 1]
    return frozenset()


def _sortable(
    item: tuple[RouteKey, frozenset[ServiceName]],
) -> tuple[str, str, list[ServiceName]]:
    key, services = item
    return key.host, key.prefix, sorted(services)
