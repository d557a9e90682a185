"""Wire format of endpoint ids in the messages between routers.

A message holds the registered names of its endpoints, and their incarnations in a
separate list: releases without incarnations read the names and ignore the list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.counts import decode_integer
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
    """The latest incarnation of each endpoint in a message.

    Args:
        endpoints: Ids of all endpoints in the message. The message leaves out earlier
            incarnations of an endpoint: their processes have ended.
    """

    def __init__(self, *, endpoints: Iterable[EndpointId]) -> None:
        self._incarnations: dict[EndpointName, Incarnation] = {}
        for endpoint in endpoints:
            name, incarnation = split_endpoint_id(endpoint=endpoint)
            known = self._incarnations.get(name, UNKNOWN_INCARNATION)
            self._incarnations[name] = max(known, incarnation)

    @property
    def encoded(self) -> list[int]:
        """Incarnations in the order of the names; empty if none of them is known."""
        if not any(self._incarnations.values()):
            return []
        return [self._incarnations[name] for name in sorted(self._incarnations)]

    def name(self, *, endpoint: EndpointId) -> EndpointName | None:
        """Return an endpoint's name, None if the message has a later incarnation."""
        name, incarnation = split_endpoint_id(endpoint=endpoint)
        return name if incarnation == self._incarnations[name] else None


def decode_endpoints(
    *, names: Iterable[str], incarnations: Sequence[int]
) -> dict[str, EndpointId]:
    """Return the ids of the endpoints in a message, by their names in it.

    Args:
        names: All endpoint names in the message.
        incarnations: The message's list of incarnations, in the order of the distinct
            names; empty from a release without incarnations.

    Raises:
        ValueError: If the list is not empty and its length differs from the number of
            distinct names.
    """
    distinct = sorted(set(names))
    padded = incarnations or [UNKNOWN_INCARNATION] * len(distinct)
    return {
        name: endpoint_id(
            name=EndpointName(name), incarnation=Incarnation(decode_integer(number))
        )
        for name, number in zip(distinct, padded, strict=True)
    }
