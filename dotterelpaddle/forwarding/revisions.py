"""Positions in the history of the platform's store, which may come back from a copy.

A store that comes back from a copy has lost its last changes and assigns their numbers
again. It then counts a new era. Numbers of two eras can't be compared, so that a
position always names both.
"""

from __future__ import annotations

from dataclasses import dataclass

from dotterelpaddle.ids import Revision, StoreEra

FIRST_ERA = StoreEra(0)
"""Era of a store, or of a router of an earlier release, that names none."""


@dataclass(frozen=True, order=True, kw_only=True, slots=True)
class StoreRevision:
    """Position of a change in the history of the store.

    Any position of a later era is later.

    Attributes:
        era: Number of the store's returns from a copy.
        number: Number of the change, which increases within an era.
    """

    era: StoreEra = FIRST_ERA
    number: Revision
