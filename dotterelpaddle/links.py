"""Switchable network links, so that tests and scenarios can cause faults.

Every socket that leaves a process asks the links first. In production nothing
is ever cut and the question costs one attribute look-up.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.address import Address


class Links:
    """The links of one process to its peers.

    Args:
        seed: Seed of the generator that decides which datagrams are lost.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._cut: set[Address] = set()
        self._loss_ratio = 0.0
        self._random = random.Random(seed)

    @property
    def has_faults(self) -> bool:
        """Whether any fault is switched on."""
        return bool(self._cut) or self._loss_ratio > 0.0

    def is_open(self, *, peer: Address) -> bool:
        """Tell whether packets to and from a peer pass."""
        return peer not in self._cut

    def should_drop_datagram(self) -> bool:
        """Draw whether the next datagram is lost."""
        return self._loss_ratio > 0.0 and self._random.random() < self._loss_ratio

    def cut(self, *, peers: frozenset[Address]) -> None:
        """Drop all packets to and from some peers; connections go silent."""
        self._cut |= peers

    def heal(self, *, peers: frozenset[Address] | None = None) -> None:
        """Let packets pass again, for all peers by default."""
        if peers is None:
            self._cut.clear()
        else:
            self._cut -= peers

    def set_loss(self, *, ratio: float) -> None:
        """Lose a share of datagrams, from 0 to 1."""
        self._loss_ratio = ratio
