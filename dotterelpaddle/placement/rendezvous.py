"""Weighted rendezvous hashing in two levels.

Nodes are cut into groups by a hash of their name. A key first ranks the groups
by weighted rendezvous, then the nodes of a group, so a choice among thousands
costs about two square roots of hash evaluations. A joining or leaving node
moves only its share of the keys, whatever the level.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Generic, TypeVar

import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

N = TypeVar("N")

GROUP_SIZE = 16
"""Nodes per group, about."""

_SCALE = 2.0**-64


def digest(*, text: str) -> int:
    """Hash a name to 64 bits."""
    return xxhash.xxh3_64_intdigest(text.encode())


def tag(*, text: str) -> int:
    """Hash a name to 32 bits, its name on the wire."""
    return xxhash.xxh32_intdigest(text.encode())


class _Nodes(Generic[N]):
    """Nodes that are ranked together by weighted rendezvous.

    A node's score for a key is its weight over the negative logarithm of a hash
    of both, taken as a number between 0 and 1. The highest score wins, and each
    node wins a share of the keys in proportion to its weight.
    """

    def __init__(self) -> None:
        self.weight = 0.0
        self._nodes: list[tuple[bytes, float, N]] = []

    def __len__(self) -> int:
        return len(self._nodes)

    def add(self, *, name: bytes, weight: float, node: N) -> None:
        """Take a node in."""
        self._nodes.append((name, weight, node))
        self.weight += weight

    def best(self, *, key: int) -> N:
        """The node with the highest score."""
        if len(self._nodes) == 1:
            return self._nodes[0][2]
        return max(self._scored(key=key))[2]

    def ranked(self, *, key: int) -> list[N]:
        """All nodes, best first."""
        scored = self._scored(key=key)
        scored.sort(reverse=True)
        return [node for _, _, node in scored]

    def _scored(self, *, key: int) -> list[tuple[float, int, N]]:
        # Positions make ties impossible, so that nodes are never compared. The
        # loop is the hot path of each decision, hence the local names.
        digest_of, log = xxhash.xxh3_64_intdigest, math.log
        return [
            (-weight / log((digest_of(name, key) + 0.5) * _SCALE), position, node)
            for position, (name, weight, node) in enumerate(self._nodes)
        ]


class Rendezvous(Generic[N]):
    """A fixed set of nodes to rank for keys.

    Args:
        nodes: The nodes.
        name: Tells a node's name.
        weight: Tells a node's capacity.
    """

    def __init__(
        self,
        *,
        nodes: Iterable[N],
        name: Callable[[N], str],
        weight: Callable[[N], float],
    ) -> None:
        members = [node for node in nodes if weight(node) > 0.0]
        members.sort(key=name)
        count = group_count(size=len(members))
        groups = [_Nodes[N]() for _ in range(count)]
        for node in members:
            label = name(node)
            group = groups[digest(text=label) % count]
            group.add(name=label.encode(), weight=weight(node), node=node)
        self._groups: _Nodes[_Nodes[N]] = _Nodes()
        for index, group in enumerate(groups):
            if len(group):
                self._groups.add(
                    name=b"group-%d" % index, weight=group.weight, node=group
                )

    def ranked(self, *, key: int) -> Iterator[N]:
        """Yield nodes for a key, best first; later groups only when asked for."""
        if not len(self._groups):
            return
        first = self._groups.best(key=key)
        yield from first.ranked(key=key)
        if len(self._groups) > 1:
            for group in self._groups.ranked(key=key)[1:]:
                yield from group.ranked(key=key)

    def home(self, *, key: int) -> N | None:
        """The best node for a key, None without nodes."""
        if not len(self._groups):
            return None
        return self._groups.best(key=key).best(key=key)


def group_count(*, size: int) -> int:
    """Tell into how many groups nodes are cut.

    A power of two that changes only when the size doubles, because each change
    moves most keys.
    """
    if size <= 2 * GROUP_SIZE:
        return 1
    return int(2 ** round(math.log2(size / GROUP_SIZE)))
