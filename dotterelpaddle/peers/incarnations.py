"""Names of endpoints as routers tell them to each other.

A message names an endpoint as it registered, and its start in a list of its own:
routers of releases that know of no starts read the names and pass over the list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.model import (
    UNKNOWN_INCARNATION,
    endpoint_id,
    split_endpoint_id,
)
from dotterelpaddle.ids import EndpointName, Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dotterelpaddle.ids import EndpointId


class LatestIncarnations:
    """The latest start of each endpoint that a message tells of.

    Args:
        endpoints: All that it tells of; earlier starts of an endpoint are left out,
            as nothing of them matters any more.
    """

    def __init__(self, *, endpoints: Iterable[EndpointId]) -> None:
        self._incarnations: dict[EndpointName, Incarnation] = {}
        for endpoint in endpoints:
            name, incarnation = split_endpoint_id(endpoint=endpoint)
            known = self._incarnations.get(name, UNKNOWN_INCARNATION)
            self._incarnations[name] = max(known, incarnation)

    @property
    def encoded(self) -> list[int]:
        """Starts in the order of the names; empty if no endpoint tells its start."""
        if not any(self._incarnations.values()):
            return []
        return [self._incarnations[name] for name in sorted(self._incarnations)]

    def name(self, *, endpoint: EndpointId) -> EndpointName | None:
        """Name to tell an endpoint by, None for an earlier start of it."""
        name, incarnation = split_endpoint_id(endpoint=endpoint)
        return name if incarnation == self._incarnations[name] else None


def decode_endpoints(
    *, names: Iterable[str], incarnations: Sequence[int]
) -> dict[str, EndpointId]:
    """Return the endpoints that a message tells of, by their names in it.

    Args:
        names: All names in it.
        incarnations: Its list of starts, empty from a router that knows of none.

    Raises:
        ValueError: If there are starts, but not one for each name.
    """
    distinct = sorted(set(names))
    told = incarnations or [UNKNOWN_INCARNATION] * len(distinct)
    return {
        name: endpoint_id(name=EndpointName(name), incarnation=Incarnation(int(start)))
        for name, start in zip(distinct, told, strict=True)
    }
