"""The routers that a report lists, so that routers learn of each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.peers.messages import MAX_LISTED_PEERS

if TYPE_CHECKING:
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.peers.report import PeerInfo

PEER_LIST_INTERVAL_ROUNDS = 8
"""After its first rounds, a router lists its peers in one of this many rounds of
reports. With nine routers the list is half of a report, and new routers are rare."""

MAX_FIXED_PEERS = 4
"""Best ranked routers that every list of peers contains; the others take turns."""


class PeerList:
    """Chooses the routers to list.

    Args:
        directory: The other routers.
    """

    def __init__(self, *, directory: PeerDirectory) -> None:
        self._directory = directory

    def take_due(self, *, number: int) -> tuple[PeerInfo, ...]:
        """Return the routers to list in a round of reports, none in most rounds.

        Args:
            number: Number of the round, from 1.
        """
        is_first = number <= PEER_LIST_INTERVAL_ROUNDS
        if is_first or number % PEER_LIST_INTERVAL_ROUNDS == 1:
            return self.take(number=number)
        return ()

    def take(self, *, number: int) -> tuple[PeerInfo, ...]:
        """Return routers to list: always the best ranked ones, the others in turn."""
        alive = sorted(
            (peer.info for peer in self._directory.alive),
            key=lambda info: self._directory.rank(router=info.router),
        )
        fixed, rest = alive[:MAX_FIXED_PEERS], alive[MAX_FIXED_PEERS:]
        room = MAX_LISTED_PEERS - MAX_FIXED_PEERS
        if len(rest) > room:
            offset = (number // PEER_LIST_INTERVAL_ROUNDS * room) % len(rest)
            rest = (rest + rest)[offset : offset + room]
        return (*fixed, *rest)
