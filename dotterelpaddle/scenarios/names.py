"""Checks that the names in a scenario mean something."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import ScenarioError
from dotterelpaddle.fleet.partitions import PLATFORM
from dotterelpaddle.records.problems import nearest
from dotterelpaddle.scenarios.roles import Role
from dotterelpaddle.scenarios.steps import ListHost, Race, RecordText, Remember
from dotterelpaddle.scenarios.words import EVERYTHING, Word

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.fleet.shape import Shape
    from dotterelpaddle.scenarios.language import Scenario, Step

NODE_FIELDS = (
    "nodes",
    "routers",
    "at",
    "between",
    "seen_by",
    "endpoint",
    "node",
    "pool",
)
"""Fields that hold names of parts or failure domains."""

ACCOUNT_FIELDS = ("account", "without")
"""Fields that hold names of client accounts."""

USE_FIELDS = ("of", "to", "since")
"""Fields that hold labels of earlier steps."""


def check_names(*, scenario: Scenario) -> None:
    """Check the names of parts, client accounts and labels.

    Raises:
        ScenarioError: If a name is unknown or a label is used before its step.
    """
    shape = scenario.fleet.sized_shape()
    nodes = _node_names(shape=shape)
    accounts = {str(account.name) for account in shape.accounts} | {""}
    aliases: set[str] = set()
    labels: set[str] = {""}
    for name in scenario.fleet.absent:
        _require(name=name, known=nodes, place=f"{scenario.source}, fleet.absent")
    for step in scenario.steps:
        place = f"{scenario.source}, step {step.number} ({step.word})"
        for word in _words(step=step):
            _check_fields(
                word=word, fields=NODE_FIELDS, known=nodes | aliases, place=place
            )
            if not _is_about_members(word=word):
                _check_fields(
                    word=word, fields=ACCOUNT_FIELDS, known=accounts, place=place
                )
            _check_fields(word=word, fields=USE_FIELDS, known=labels, place=place)
            labels.add(getattr(word, "label", ""))
            if isinstance(word, Remember):
                aliases.add(word.name)


def _node_names(*, shape: Shape) -> set[str]:
    return {
        EVERYTHING,
        PLATFORM,
        *(router.name for router in shape.routers),
        *(endpoint.name for endpoint in shape.endpoints),
        *(pool.name for pool in shape.pools),
        *shape.failure_domains,
    }


def _words(*, step: Step) -> Iterator[Word]:
    conditions = getattr(step.action, "conditions", None)
    if conditions is not None:
        yield from conditions
        return
    assert isinstance(step.action, Word)
    if isinstance(step.action, Race):
        yield from step.action.writes
    yield step.action


def _is_about_members(*, word: Word) -> bool:
    return hasattr(word, "seen_by")


def _check_fields(
    *, word: Word, fields: tuple[str, ...], known: set[str], place: str
) -> None:
    if isinstance(word, ListHost | RecordText):
        return
    for field in fields:
        value = getattr(word, field, ())
        names = (value,) if isinstance(value, str) else value
        for name in names or ():
            _require(name=name, known=known, place=f"{place}, field {field}")


def _require(*, name: str, known: set[str], place: str) -> None:
    role = Role.parse(text=name)
    if role and role.of in known:
        return
    if name not in known:
        hint = nearest(name=name, known=known - {""})
        raise ScenarioError(f"{place}: unknown name '{name}'; {hint}")
