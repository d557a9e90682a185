"""The conditions that a scenario waits for or expects, by their words."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.scenarios.conditions.fleet import (
    Engine,
    Holder,
    Idle,
    Members,
    Ready,
    Runs,
)
from dotterelpaddle.scenarios.conditions.records import InForce, Record, Status, Writes
from dotterelpaddle.scenarios.conditions.traffic import (
    Compare,
    Control,
    Metric,
    Progress,
    Result,
)

if TYPE_CHECKING:
    from dotterelpaddle.scenarios.words import Word

__all__ = [
    "CONDITIONS",
    "Compare",
    "Control",
    "Engine",
    "Holder",
    "Idle",
    "InForce",
    "Members",
    "Metric",
    "Progress",
    "Ready",
    "Record",
    "Result",
    "Runs",
    "Status",
    "Writes",
]

CONDITIONS: dict[str, type[Word]] = {
    "ready": Ready,
    "in_force": InForce,
    "members": Members,
    "result": Result,
    "progress": Progress,
    "compare": Compare,
    "runs": Runs,
    "idle": Idle,
    "engine": Engine,
    "holder": Holder,
    "control": Control,
    "metric": Metric,
    "status": Status,
    "record": Record,
    "writes": Writes,
}
"""The conditions by their words."""
