"""YAML as records use it: no aliases, tags or repeated keys, no guessed dates.

Both reading and writing use libyaml where PyYAML has been built with it, since
a router serves callers while it reads what an operator sends.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import yaml

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_DEPTH = 20
"""Levels of mappings and lists inside each other, far more than records have."""

TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"

_SafeLoader: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_SafeDumper: Any = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


class _Loader(_SafeLoader):
    """A loader that refuses mappings in which a key stands twice."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        seen: set[str] = set()
        for key_node, _ in node.value:
            if not isinstance(key_node, yaml.ScalarNode):
                continue
            if key_node.value in seen:
                raise _error(
                    message=f"'{key_node.value}' stands twice; remove one",
                    mark=key_node.start_mark,
                )
            seen.add(key_node.value)
        mapping: dict[Any, Any] = super().construct_mapping(node, deep=deep)
        return mapping


# A version named 2026-11-30 is a name, no date.
_Loader.yaml_implicit_resolvers = {
    first: [entry for entry in resolvers if entry[0] != TIMESTAMP_TAG]
    for first, resolvers in _SafeLoader.yaml_implicit_resolvers.items()
}


def load_documents(*, text: str) -> Iterator[Any]:
    """Read all documents of a text, one after the other.

    Raises:
        yaml.YAMLError: If it is no YAML, or uses what records do without.
    """
    _check_events(text=text)
    yield from yaml.load_all(text, Loader=_Loader)  # noqa: S506


def dump_document(*, document: dict[str, Any]) -> str:
    """Write one document, with its keys in the order given."""
    text: str = yaml.dump(
        document,
        Dumper=_SafeDumper,
        sort_keys=False,
        allow_unicode=True,
        default_flow_style=False,
    )
    return text


def _check_events(*, text: str) -> None:
    """Refuse what could hide a mistake, or take much memory, before building it."""
    depth = 0
    for event in yaml.parse(text, Loader=_SafeLoader):
        match event:
            case yaml.AliasEvent():
                raise _error(
                    message="aliases are not allowed; write the value out",
                    mark=event.start_mark,
                )
            case yaml.ScalarEvent(tag=str()) | yaml.CollectionStartEvent(tag=str()):
                raise _error(
                    message=f"tags such as {event.tag} are not allowed; leave it out",
                    mark=event.start_mark,
                )
            case yaml.CollectionStartEvent():
                depth += 1
            case yaml.CollectionEndEvent():
                depth -= 1
        if depth > MAX_DEPTH:
            raise _error(
                message=f"more than {MAX_DEPTH} levels inside each other",
                mark=event.start_mark,
            )


def _error(*, message: str, mark: Any) -> yaml.YAMLError:
    return yaml.constructor.ConstructorError(None, None, message, mark)
