"""Fault injection for network links, for tests and scenarios.

Every outgoing socket of a process consults the links first. In production no link
is ever cut, and the check costs one attribute look-up.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.address import Address


class Links:
    """The links of one process to its peers.

    Args:
        seed: Seed of the random generator that selects the datagrams to drop.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._cut: set[Address] = set()
        self._refused: set[Address] = set()
        self._loss_ratio = 0.0
        self._random = random.Random(seed)

    @property
    def has_faults(self) -> bool:
        """Whether any fault is active."""
        return bool(self._cut or self._refused) or self._loss_ratio > 0.0

    def is_open(self, *, peer: Address) -> bool:
        """Return whether packets to and from a peer pass."""
        return peer not in self._cut

    def is_refused(self, *, peer: Address) -> bool:
        """Return whether new connections to a peer are refused."""
        return peer in self._refused

    def should_drop_datagram(self) -> bool:
        """Decide at random whether to drop the next datagram."""
        return self._loss_ratio > 0.0 and self._random.random() < self._loss_ratio

    def cut(self, *, peers: frozenset[Address]) -> None:
        """Drop all packets to and from some peers; open connections stall."""
        self._cut |= peers

    def refuse(self, *, peers: frozenset[Address]) -> None:
        """Refuse new connections to some peers; open ones live on."""
        self._refused |= peers

    def heal(self, *, peers: frozenset[Address] | None = None) -> None:
        """Restore the links to some peers, or to all peers by default."""
        if peers is None:
            self._cut.clear()
            self._refused.clear()
        else:
            self._cut -= peers
            self._refused -= peers

    def set_loss(self, *, ratio: float) -> None:
        """Drop a ratio of datagrams, from 0 to 1."""
        self._loss_ratio = ratio
