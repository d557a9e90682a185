"""Asks engines themselves whether they are in the lifetime that this router knows.

While the platform's store is away, it can't tell whether an endpoint has started again
under its name, with another software version. An engine's answers name its start, or an
epoch that changes with each start. The start also stands in its entry. Which epoch
belongs to an entry one router reads while the store confirms the entry, and reports to
all others like a prompt part in a cache: both end with the engine's process.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.forwarding.model import UNKNOWN_INCARNATION
from dotterelpaddle.logs import get_logger
from dotterelpaddle.placement.rendezvous import tag

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.interface import CacheReader, LifetimeMark
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.use_queue import PartTag
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import CacheEpoch, EndpointId, SoftwareVersion

log = get_logger(name=__name__)


class LifetimeEvidence(Enum):
    """What an answer shows of the lifetime of the engine that gave it."""

    SAME_START = "same_start"
    SAME_EPOCH = "same_epoch"
    OTHER_START = "other_start"
    UNKNOWN_EPOCH = "unknown_epoch"
    UNKNOWN = "unknown"
    LEAVING = "leaving"

    @property
    def is_proof(self) -> bool:
        """Whether the engine is in the lifetime of its known entry, and stays."""
        return self in (LifetimeEvidence.SAME_START, LifetimeEvidence.SAME_EPOCH)


@dataclass(kw_only=True, slots=True)
class _Check:
    """The last check of one engine, for all that had asked before it began.

    Attributes:
        lock: Held during a check.
        began_at: When the last one that came to its end had begun, seconds on the
            monotonic clock.
        is_unchanged: Its result.
    """

    lock: anyio.Lock
    began_at: float = float("-inf")
    is_unchanged: bool = False


class EndpointLifetimes:
    """Tells whether engines are in the lifetimes of their known entries.

    Args:
        reader: Asks one engine.
        caches: Epochs of engines that routers have reported.
        view: The known entries.
        clock: Monotonic clock.
    """

    def __init__(
        self, *, reader: CacheReader, caches: CacheMap, view: FleetView, clock: Clock
    ) -> None:
        self._reader = reader
        self._caches = caches
        self._view = view
        self._clock = clock
        self._checks: dict[EndpointId, _Check] = defaultdict(
            lambda: _Check(lock=anyio.Lock())
        )

    async def is_unchanged(self, *, entry: EndpointEntry) -> bool:
        """Ask an engine whether it still is in the lifetime of its entry.

        Calls at the same time share a question.

        Returns:
            Whether its answer proves this; False for an endpoint that is no engine.
        """
        if not entry.models:
            return False
        since = self._clock()
        self._forget_removed()
        check = self._checks[entry.endpoint]
        async with check.lock:
            if check.began_at < since:
                began_at = self._clock()
                check.is_unchanged = await self._ask(entry=entry)
                check.began_at = began_at
            return check.is_unchanged

    async def _ask(self, *, entry: EndpointEntry) -> bool:
        try:
            cached = await self._reader.cached_parts(entry=entry)
        except EndpointError as error:
            log.warning(
                "endpoint_lifetime_unread",
                endpoint=entry.endpoint,
                cause=error.message,
            )
            return False
        if cached.leaving:
            self._view.leaving.record(endpoint=cached.endpoint)
            evidence = LifetimeEvidence.LEAVING
        else:
            evidence = self._compare(entry=entry, mark=cached.mark)
        log.info(
            "endpoint_lifetime",
            endpoint=entry.endpoint,
            software_version=entry.software_version,
            evidence=evidence.value,
        )
        return evidence.is_proof

    def _compare(self, *, entry: EndpointEntry, mark: LifetimeMark) -> LifetimeEvidence:
        if UNKNOWN_INCARNATION not in (mark.incarnation, entry.incarnation):
            is_same = mark.incarnation == entry.incarnation
            return (
                LifetimeEvidence.SAME_START if is_same else LifetimeEvidence.OTHER_START
            )
        if mark.epoch is None:
            return LifetimeEvidence.UNKNOWN
        part = epoch_tag(epoch=mark.epoch, version=entry.software_version)
        if self._caches.has_part(endpoint=entry.endpoint, part=part):
            return LifetimeEvidence.SAME_EPOCH
        return LifetimeEvidence.UNKNOWN_EPOCH

    def _forget_removed(self) -> None:
        """Forget endpoints that have no entry any more."""
        known = self._view.known_endpoints
        for endpoint in [each for each in self._checks if each not in known]:
            if not self._checks[endpoint].lock.locked():
                del self._checks[endpoint]


def epoch_tag(*, epoch: CacheEpoch, version: SoftwareVersion) -> PartTag:
    """Return the tag under which routers report an epoch of an engine.

    Args:
        epoch: The epoch.
        version: Software version of the engine in this epoch.
    """
    return tag(text=f"epoch/{version}/{epoch}")
