"""Which member is probed when, and when a probe has failed.

Each interval one member is probed. A probe that gets no answer is tried again,
directly and through relays, before it counts as failed. All of it costs the
same whatever the number of members.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.membership.settings import MembershipSettings

SEQUENCE_BITS = 32
"""Size of a probe's number on the wire."""


FIRST_RELAYED = 3
"""Attempt from which on relays are asked as well.

A lost datagram is far more common than a lost path, and relays cost six times as
much as a second ping.
"""


def sequences_from(*, first: int) -> Iterator[int]:
    """Count up, and from zero again where the wire's numbers end."""
    number = first
    while True:
        number = (number + 1) % (1 << SEQUENCE_BITS)
        yield number


@dataclass(kw_only=True, slots=True)
class Probe:
    """A probe that waits for an answer.

    Attributes:
        sequence: Matches the answer to the probe.
        target: Who is probed.
        attempt: Number of the newest attempt, from 1.
        next_at: When to try again or give up, seconds on the monotonic clock.
        incarnation: The target's incarnation when it was first pinged.
    """

    sequence: int
    target: RouterId
    incarnation: int = 0
    attempt: int = 0
    next_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class SendPing:
    """Ping a member.

    Attributes:
        probe: The probe that it is part of.
    """

    probe: Probe


@dataclass(frozen=True, kw_only=True, slots=True)
class AskRelays:
    """Ask other members to ping a member.

    Attributes:
        probe: The probe that it is part of.
    """

    probe: Probe


@dataclass(frozen=True, kw_only=True, slots=True)
class ProbeFailed:
    """A probe got no answer at all.

    Attributes:
        probe: The probe.
    """

    probe: Probe


Action = SendPing | AskRelays | ProbeFailed
"""What a prober wants done."""


class Ring:
    """Goes through members in random order, each once before any twice.

    Args:
        source: Random numbers.
    """

    def __init__(self, *, source: random.Random) -> None:
        self._source = source
        self._left: list[RouterId] = []

    def next(self, *, candidates: frozenset[RouterId]) -> RouterId | None:
        """Choose the next one of the candidates, None if there are none."""
        while self._left:
            router = self._left.pop()
            if router in candidates:
                return router
        self._left = sorted(candidates)
        self._source.shuffle(self._left)
        return self._left.pop() if self._left else None


class Prober:
    """Runs the probes of one member.

    Args:
        settings: Intervals and attempts.
        source: Random numbers.
        sequences: Numbers for probes.
        now: Seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        settings: MembershipSettings,
        source: random.Random,
        sequences: Iterator[int],
        now: float,
    ) -> None:
        self._settings = settings
        self._ring = Ring(source=source)
        self._probes: dict[int, Probe] = {}
        self._patience = 1.0
        self._sequences = sequences
        self._next_at = now + source.random() * settings.probe_interval

    @property
    def patience(self) -> float:
        """Times the usual time that a probe waits; more while this process lags."""
        return self._patience

    @patience.setter
    def patience(self, patience: float) -> None:
        self._patience = patience

    def tick(self, *, candidates: frozenset[RouterId], now: float) -> list[Action]:
        """Tell what has to be done now.

        Args:
            candidates: Members that this one has to probe.
            now: Seconds on the monotonic clock.
        """
        actions: list[Action] = []
        for probe in list(self._probes.values()):
            if probe.next_at <= now:
                actions.extend(self._continue(probe=probe, now=now))
        if now < self._next_at:
            return actions
        self._next_at = max(self._next_at + self._settings.probe_interval, now)
        target = self._ring.next(candidates=candidates)
        if target is not None:
            actions.extend(self.start(target=target, now=now))
        return actions

    def start(self, *, target: RouterId, now: float) -> list[Action]:
        """Start to probe a member out of turn."""
        probe = Probe(sequence=next(self._sequences), target=target)
        self._probes[probe.sequence] = probe
        return self._continue(probe=probe, now=now)

    def not_sent(self, *, sequence: int) -> None:
        """Note that a ping was not sent; the attempt does not count then."""
        probe = self._probes.get(sequence)
        if probe is not None:
            probe.attempt -= 1

    def answered(self, *, sequence: int) -> RouterId | None:
        """Note an answer.

        Returns:
            Who was probed, None if the probe is over.
        """
        probe = self._probes.pop(sequence, None)
        return None if probe is None else probe.target

    def postpone(self, *, seconds: float) -> None:
        """Give all probes more time, after this process was slow."""
        for probe in self._probes.values():
            probe.next_at += seconds

    def cancel(self) -> None:
        """Drop all probes, whose answers a paused process can't have seen."""
        self._probes.clear()

    def _continue(self, *, probe: Probe, now: float) -> list[Action]:
        if probe.attempt >= self._settings.probe_attempts:
            del self._probes[probe.sequence]
            return [ProbeFailed(probe=probe)]
        probe.attempt += 1
        probe.next_at = now + self._settings.probe_timeout * self._patience
        if probe.attempt < FIRST_RELAYED:
            return [SendPing(probe=probe)]
        return [SendPing(probe=probe), AskRelays(probe=probe)]
