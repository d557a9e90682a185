"""Keys of the rows with what routers have learned of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.peers.learned_rows import LearnedRows

if TYPE_CHECKING:
    from collections.abc import Mapping

CRASHES_KEY, BRITTLE_KEY = "causes", "brittle"


def rows_of(*, values: Mapping[str, bytes]) -> LearnedRows:
    """Return the rows among the values of a table by their keys."""
    return LearnedRows(crashes=values.get(CRASHES_KEY), brittle=values.get(BRITTLE_KEY))


def values_of(*, rows: LearnedRows) -> dict[str, bytes]:
    """Return the values of the given rows by their keys."""
    values = {CRASHES_KEY: rows.crashes, BRITTLE_KEY: rows.brittle}
    return {key: value for key, value in values.items() if value is not None}
