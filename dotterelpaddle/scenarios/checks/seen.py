"""What a look at a condition shows."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.ids import RouterId
from dotterelpaddle.scenarios.faults import expand

if TYPE_CHECKING:
    from dotterelpaddle.scenarios.state import State
    from dotterelpaddle.scenarios.words import Bound


@dataclass(frozen=True, kw_only=True, slots=True)
class Seen:
    """What a look at a condition showed.

    Attributes:
        met: Whether the condition holds.
        text: What was expected and what was seen.
    """

    met: bool
    text: str


def bounded(*, what: str, numbers: dict[str, float], bounds: dict[str, Bound]) -> Seen:
    """Compare numbers with their bounds."""
    parts = [
        f"{name} to be {bound}, saw {numbers[name]:g}"
        for name, bound in bounds.items()
        if bound.bounded
    ]
    met = all(bound.holds(number=numbers[name]) for name, bound in bounds.items())
    return Seen(met=met, text=f"{what}: expected {'; '.join(parts)}" if parts else "")


def running_routers(*, state: State, names: tuple[str, ...]) -> list[RouterId]:
    """Find the named routers that run."""
    running = state.fleet.running
    found = expand(fleet=state.fleet, names=names)
    return [RouterId(name) for name in found if name in running]
