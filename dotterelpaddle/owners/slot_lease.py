"""Tells for which failure domains this router alone grants slots.

Two routers that grant the slots of one endpoint fill it twice. So a router grants them
only once it has been the owner for longer than any earlier owner may go on, and stops
as soon as it is not named any more. It grants none after its process has stood still,
while it handles messages late, or while it hears less than half of the fleet: there may
be another owner that it does not know.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.owners.failover import failover_order

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import FailureDomain
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.peers.report import PeerInfo
    from dotterelpaddle.registry.fleet_size import FleetSize

log = get_logger(name=__name__)

TAKEOVER_SECONDS = 0.8
"""Seconds for which a new owner grants nothing: an earlier one that no report names
stops before (`SLOT_OWNER_EXPIRY_SECONDS`), and all routers report to the new one."""

MAX_PAUSE_SECONDS = 0.7
"""Longest time without an update; after a longer one the process has stood still, and
another owner may have taken over."""

HANDOVER_TTL_SECONDS = 0.5
"""Seconds for which a handover counts that arrives before this router is named; the
earlier owner might have been named again and have taken over later."""

MIN_FLEET_SHARE = 0.5
"""Share of the fleet that a router must hear more than."""


class LeaseObstacle(Enum):
    """Why an owner grants no slots."""

    NEW = "new"
    LATE = "late"
    HEARS_FEW = "hears_few"


class SlotLease:
    """Tracks since when this router is the owner of failure domains.

    Args:
        directory: Lists the owners.
        heard: Returns the number of routers that reported recently, this one included.
        fleet_size: Number of routers of the fleet; those lost lately count.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        directory: PeerDirectory,
        heard: Callable[[], int],
        fleet_size: FleetSize,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._heard = heard
        self._fleet_size = fleet_size
        self._clock = clock
        self._updated_at = clock()
        self._asked: set[FailureDomain] = set()
        self._owned_since: dict[FailureDomain, float] = {}
        self._handed_over_at: dict[FailureDomain, float] = {}
        self._obstacles: dict[FailureDomain, LeaseObstacle | None] = {}
        self._successors: dict[FailureDomain, PeerInfo] = {}
        self._echoes: dict[int, float] = {}
        directory.on_owner_change(lambda _: self.update())

    def holds(self, *, domain: FailureDomain) -> bool:
        """Return whether this router alone grants the slots of a failure domain."""
        self._asked.add(domain)
        self.update()
        since = self._owned_since.get(domain)
        if since is None:
            return False
        obstacle = self._obstacle(since=since)
        if obstacle is not self._obstacles.get(domain):
            self._obstacles[domain] = obstacle
            log.info(
                "lease_changed",
                failure_domain=domain,
                held=obstacle is None,
                obstacle="" if obstacle is None else obstacle.value,
            )
        return obstacle is None

    def _obstacle(self, *, since: float) -> LeaseObstacle | None:
        """Return why an owner must not grant slots, None if it may."""
        if self._clock() - since < TAKEOVER_SECONDS:
            return LeaseObstacle.NEW
        if self._is_late():
            return LeaseObstacle.LATE
        if not self._hears_most():
            return LeaseObstacle.HEARS_FEW
        return None

    @property
    def owns_any(self) -> bool:
        """Whether this router is the owner of any failure domain."""
        return bool(self._owned_since)

    def record_echo_sent(self, *, number: int) -> None:
        """Record that this router sends a message to itself."""
        self._echoes[number] = self._clock()

    def record_echo(self, *, number: int) -> None:
        """Record that this router has received a message that it sent to itself."""
        self._echoes = {
            each: sent_at for each, sent_at in self._echoes.items() if each > number
        }

    def receive_handover(self, *, domain: FailureDomain) -> None:
        """Record that the earlier owner of a failure domain has stopped granting."""
        self._handed_over_at[domain] = self._clock()
        self.update()

    def take_successors(self) -> dict[FailureDomain, PeerInfo]:
        """Return the owners that have followed this one since the last call."""
        successors, self._successors = self._successors, {}
        return successors

    def update(self) -> None:
        """Update what this router owns; call it at least three times a second."""
        now = self._clock()
        paused, self._updated_at = now - self._updated_at, now
        if paused > MAX_PAUSE_SECONDS and self._owned_since:
            log.warning("owner_paused", seconds=round(paused, 3))
            self._owned_since.clear()
            self._handed_over_at.clear()
        owners = self._directory.slot_owners()
        for domain in owners.keys() | self._asked:
            order = failover_order(domain=domain, owners=owners)
            first = order[0] if order else None
            if first is None:
                self._owned_since.pop(domain, None)
            elif first.router == self._directory.own.router:
                self._begin(domain)
            else:
                self._end(domain, successor=first)

    def _begin(self, domain: FailureDomain) -> None:
        now = self._clock()
        if domain not in self._owned_since:
            self._owned_since[domain] = now
            log.info("ownership_began", failure_domain=domain)
        handed_over_at = self._handed_over_at.pop(domain, -math.inf)
        if now - handed_over_at <= HANDOVER_TTL_SECONDS:
            self._owned_since[domain] = -math.inf

    def _end(self, domain: FailureDomain, *, successor: PeerInfo) -> None:
        since = self._owned_since.pop(domain, None)
        if since is None:
            return
        held = self._obstacle(since=since) is None
        log.info(
            "ownership_ended",
            failure_domain=domain,
            successor=successor.router,
            hands_over=held,
        )
        if held:
            self._successors[domain] = successor

    def _is_late(self) -> bool:
        """Return whether this router has not yet handled what it was sent lately.

        A lost echo does not count: the one after it tells as much.
        """
        oldest = min(self._echoes.values(), default=math.inf)
        return self._clock() - oldest > MAX_PAUSE_SECONDS

    def _hears_most(self) -> bool:
        count = self._fleet_size.count
        return count is not None and self._heard() > MIN_FLEET_SHARE * count
