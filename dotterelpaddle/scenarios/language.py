"""Reads scenario files and explains what is wrong with them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import yaml
from pydantic import Field, ValidationError

from dotterelpaddle.config.options import PlacementPolicy  # noqa: TC001 - for pydantic
from dotterelpaddle.exceptions import ScenarioError
from dotterelpaddle.fleet.shape import ShapeName, resized
from dotterelpaddle.fleet.shapes import shape_of
from dotterelpaddle.placement.policies import OwnerPolicy
from dotterelpaddle.records.problems import first_problem, nearest
from dotterelpaddle.scenarios.conditions import CONDITIONS
from dotterelpaddle.scenarios.names import check_names
from dotterelpaddle.scenarios.steps import STEPS
from dotterelpaddle.scenarios.words import Seconds, Share, Word

if TYPE_CHECKING:
    from pathlib import Path

    from dotterelpaddle.fleet.shape import Shape

WAIT_UNTIL = "wait_until"
EXPECT = "expect"
WITHIN = "within"
ALL_OF = "all"

DEFAULT_PATIENCE = 20.0
"""Seconds that `wait_until` waits unless told otherwise."""


class FleetSpec(Word):
    """The fleet that a scenario runs on.

    Attributes:
        shape: The deployment.
        routers: Number of routers, the shape's own by default.
        engines: Number of engines, the shape's own by default.
        services: Number of plain services, the shape's own by default.
        absent: Parts that are not started with the fleet.
        records: Whether the shape's records are there from the start.
        load_multiple: Load multiple of the engine pool, the shape's by default.
        max_in_flight: Requests that one engine takes at a time, by the pool's
            record and by the engine itself.
        policy: How routers place requests, by name.
        control_bytes_per_second: Control traffic that a router may send.
        host_lag: Seconds until a change of the host list shows.
        step: Seconds of one step of the engines.
        cache_capacity: Tokens that fit into an engine's cache.
        load_time: Seconds that an engine takes to load a version or adapter.
        event_loss: Share of cache events that never show.
        service_latency: Seconds that a call of a plain service takes.
        lease: Seconds that a lease of orders lasts, the usual ones by default.
        seed: Seed of all generators.
    """

    shape: ShapeName = ShapeName.PRAIRIE
    routers: int | None = Field(default=None, ge=1, le=24)
    engines: int | None = Field(default=None, ge=1, le=64)
    services: int | None = Field(default=None, ge=1, le=64)
    absent: tuple[str, ...] = ()
    records: bool = True
    load_multiple: float | None = Field(default=None, gt=1.0)
    max_in_flight: int | None = Field(default=None, ge=1)
    policy: PlacementPolicy = OwnerPolicy()
    control_bytes_per_second: int = 3000
    host_lag: Seconds = 0.5
    step: Seconds = 0.004
    cache_capacity: int = Field(default=200_000, ge=1)
    load_time: Seconds = 0.0
    event_loss: Share = 0.0
    service_latency: Seconds = 0.004
    lease: float | None = Field(default=None, ge=1.0, le=60.0)
    seed: int = 0

    def sized_shape(self) -> Shape:
        """Return the deployment in the wanted size."""
        return resized(
            shape=shape_of(name=self.shape),
            routers=self.routers,
            engines=self.engines,
            services=self.services,
        )


class _Outside(Word):
    """A scenario file as a whole."""

    name: str
    about: str
    fleet: FleetSpec = FleetSpec()
    steps: tuple[dict[str, Any], ...] = Field(min_length=1)


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitUntil:
    """Wait until conditions hold together.

    Attributes:
        conditions: The conditions.
        within: Seconds after which the scenario fails.
    """

    conditions: tuple[Word, ...]
    within: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Expect:
    """Conditions must hold now.

    Attributes:
        conditions: The conditions.
    """

    conditions: tuple[Word, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Step:
    """One step of a scenario.

    Attributes:
        number: Its position, from 1.
        word: Its word.
        action: What to do.
    """

    number: int
    word: str
    action: Word | WaitUntil | Expect


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A scenario.

    Attributes:
        source: Its file.
        name: Its name.
        about: What it shows.
        fleet: The fleet that it runs on.
        steps: Its steps.
    """

    source: str
    name: str
    about: str
    fleet: FleetSpec
    steps: tuple[Step, ...]


def load_scenario(*, path: Path) -> Scenario:
    """Read a scenario file.

    Raises:
        ScenarioError: If it can't be read or a word is wrong.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: can't read the file: {error}") from error
    return parse_scenario(text=text, source=str(path))


def parse_scenario(*, text: str, source: str) -> Scenario:
    """Read a scenario from YAML.

    Raises:
        ScenarioError: If a word is wrong; the message names file, step, field
            and the nearest known word.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise ScenarioError(f"{source}: {error}") from error
    outside = _validate(model=_Outside, value=document, place=source)
    scenario = Scenario(
        source=source,
        name=outside.name,
        about=outside.about,
        fleet=outside.fleet,
        steps=tuple(
            _step(value=value, number=number, source=source)
            for number, value in enumerate(outside.steps, start=1)
        ),
    )
    check_names(scenario=scenario)
    return scenario


def _step(*, value: dict[str, Any], number: int, source: str) -> Step:
    place = f"{source}, step {number}"
    if len(value) != 1:
        words = ", ".join(map(str, value))
        raise ScenarioError(f"{place}: a step has one word, not {words or 'none'}")
    word, content = next(iter(value.items()))
    place = f"{place} ({word})"
    action = _action(word=word, content=content, place=place)
    return Step(number=number, word=word, action=action)


def _action(*, word: str, content: Any, place: str) -> Word | WaitUntil | Expect:
    match word:
        case "wait_until":
            return _wait_until(content=content, place=place)
        case "expect":
            return Expect(conditions=_conditions(content=content, place=place))
        case _ if word in STEPS:
            return _validate(model=STEPS[word], value=content, place=place)
        case _:
            known = (*STEPS, WAIT_UNTIL, EXPECT)
            hint = nearest(name=str(word), known=known)
            raise ScenarioError(f"{place}: unknown word; {hint}")


def _wait_until(*, content: Any, place: str) -> WaitUntil:
    rest = dict(content) if isinstance(content, dict) else {ALL_OF: content}
    within = rest.pop(WITHIN, DEFAULT_PATIENCE)
    if not isinstance(within, int | float) or isinstance(within, bool):
        raise ScenarioError(f"{place}, field {WITHIN}: write a number of seconds")
    conditions = _conditions(content=rest.pop(ALL_OF, rest), place=place)
    return WaitUntil(conditions=conditions, within=float(within))


def _conditions(*, content: Any, place: str) -> tuple[Word, ...]:
    entries = content if isinstance(content, list) else [content]
    conditions: list[Word] = []
    for entry in entries:
        if not isinstance(entry, dict) or not entry:
            raise ScenarioError(f"{place}: write each condition as a mapping")
        for word, value in entry.items():
            if word not in CONDITIONS:
                hint = nearest(name=str(word), known=CONDITIONS)
                raise ScenarioError(f"{place}: unknown condition '{word}'; {hint}")
            conditions.append(
                _validate(model=CONDITIONS[word], value=value, place=f"{place}, {word}")
            )
    return tuple(conditions)


def _validate(*, model: type[Word], value: Any, place: str) -> Any:
    try:
        return model.model_validate(value)
    except ValidationError as error:
        path, advice, _ = first_problem(error=error, model=model)
        where = f", field {path}" if path else ""
        raise ScenarioError(f"{place}{where}: {advice}") from error
