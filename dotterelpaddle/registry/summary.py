"""What one read of the registry tells, short enough for each report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.store_clock import StoreTime


@dataclass(frozen=True, kw_only=True, slots=True)
class RegistrySummary:
    """The registry as it was at one moment.

    Attributes:
        routers: Number of routers whose registration had not expired.
        active: Number of those that had renewed it within `ACTIVE_SECONDS`, and so ran
            a moment before.
        oldest: When the first of the routers was registered.
        as_of: When the store read them.
    """

    routers: int
    active: int
    oldest: StoreTime
    as_of: StoreTime
