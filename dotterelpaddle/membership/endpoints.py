"""The newest rumour of each endpoint: a join of maxima."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dotterelpaddle.membership.view import EndpointCondition

if TYPE_CHECKING:
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.membership.view import EndpointRumour

MAX_ENDPOINTS = 16_384
"""Endpoints that are remembered; the one unchanged for longest goes first."""

_PRECEDENCE = {
    EndpointCondition.OK: 0,
    EndpointCondition.EJECTED: 1,
    EndpointCondition.LEAVING: 2,
}
"""Which of two rumours of the same version wins."""


class EndpointRumours:
    """The newest rumour of each endpoint."""

    def __init__(self) -> None:
        self._newest: OrderedDict[EndpointId, EndpointRumour] = OrderedDict()

    def all(self) -> tuple[EndpointRumour, ...]:
        """The newest rumour of each endpoint."""
        return tuple(self._newest.values())

    def apply(self, *, rumour: EndpointRumour) -> bool:
        """Take in a rumour; False if it is not news."""
        known = self._newest.get(rumour.endpoint)
        if known is not None and _rank(rumour) <= _rank(known):
            return False
        self._newest[rumour.endpoint] = rumour
        self._newest.move_to_end(rumour.endpoint)
        return True

    def shrink(self) -> EndpointRumour | None:
        """Forget one rumour if there are too many, and return it."""
        if len(self._newest) <= MAX_ENDPOINTS:
            return None
        return self._newest.popitem(last=False)[1]


def _rank(rumour: EndpointRumour) -> tuple[int, int]:
    return rumour.version, _PRECEDENCE[rumour.state]
