"""Plays the load of a fleet against one way to decide, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench.decisions.fleets import (
    ANSWER_TIME,
    FETCH_SPEED,
    PROMPT_TOKENS,
    READING_SPEED,
    SLOWING,
    ZIPF,
)
from bench.decisions.rivals import Owners, Predicted, Probes, Reports
from dotterelpaddle.forwarding.cost import FETCH_COST_RATIO, REQUEST_LOAD_TOKENS
from dotterelpaddle.forwarding.herding import (
    LARGE_FLEET_ROUTERS,
    LOAD_ALLOWANCE,
    LOAD_MULTIPLE,
    MIN_BOUND_FRACTION,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bench.decisions.fleets import FleetSize
    from bench.decisions.rivals import Rival

SNAPSHOT_PAUSE = 0.05
"""Seconds between the states that old news is taken from."""

WARM_UP = 1.0
"""Seconds that are not counted; the load stands after three answers' time."""

HARD_MULTIPLE = 2.0
"""Times the mean that an endpoint may hold, and HARD_ALLOWANCE more."""

HARD_ALLOWANCE = 3.0


@dataclass(kw_only=True)
class Result:
    """What one play gave.

    Attributes:
        requests: Requests that were counted.
        over: Those that reached an endpoint over the bound.
        reads: Shared tokens read that some endpoint had.
        first_reads: Shared tokens read that none had.
        fetched: Shared tokens fetched from another endpoint.
        waited: Seconds added by deciding, in all.
    """

    requests: int = 0
    over: int = 0
    reads: int = 0
    first_reads: int = 0
    fetched: int = 0
    waited: float = 0.0


@dataclass(order=True, slots=True)
class _Event:
    at: float
    number: int
    endpoint: int = field(compare=False)


@dataclass(frozen=True, slots=True)
class _Decision:
    """Where a request goes.

    Attributes:
        endpoint: Number of the endpoint.
        added: Seconds that the decision took.
        age: Seconds that what is known of prompts is old; the mean of reports.
    """

    endpoint: int
    added: float = 0.0
    age: float = 0.4


class Play:
    """One play.

    Args:
        size: The fleet and its load.
        rival: How it decides.
        seed: Of arrivals and choices.
    """

    def __init__(self, *, size: FleetSize, rival: Rival, seed: int) -> None:
        self._size = size
        self._rival = rival
        self._dice = random.Random(seed)
        self._loads = [0] * size.endpoints
        self._total = 0
        self._holders: dict[int, dict[int, float]] = {}
        self._states: deque[tuple[float, list[int]]] = deque()
        self._ends: list[_Event] = []
        self._numbers = itertools.count()
        weights = [(rank + 1) ** -ZIPF for rank in range(size.subjects)]
        self._subjects = list(range(size.subjects))
        self._weights = list(itertools.accumulate(weights))
        self.result = Result()

    def run(self, *, seconds: float) -> Result:
        """Play some seconds of load."""
        now, snapshot_at = 0.0, 0.0
        while now < seconds:
            now += self._dice.expovariate(self._size.rate)
            self._end_until(now)
            while snapshot_at <= now:
                self._states.append((snapshot_at, list(self._loads)))
                snapshot_at += SNAPSHOT_PAUSE
            while len(self._states) > 2 / SNAPSHOT_PAUSE:
                self._states.popleft()
            self._arrive(now)
        return self.result

    def _end_until(self, now: float) -> None:
        while self._ends and self._ends[0].at <= now:
            endpoint = heapq.heappop(self._ends).endpoint
            self._loads[endpoint] -= 1
            self._total -= 1

    def _arrive(self, now: float) -> None:
        subject = self._dice.choices(self._subjects, cum_weights=self._weights)[0]
        self._begin(now, subject, self._decide(now, subject))

    def _decide(self, now: float, subject: int) -> _Decision:
        match self._rival:
            case Reports() as reports:
                return _Decision(self._by_reports(now, subject, reports))
            case Predicted(reports=reports, forget_time=forget_time):
                return _Decision(self._by_reports(now, subject, reports, forget_time))
            case Probes(reports=reports, asked=asked, round_trip=round_trip):
                choice = self._by_probes(now, subject, reports, asked)
                return _Decision(choice, added=round_trip)
            case Owners() as owners:
                if self._dice.random() < owners.lost:
                    choice = self._by_reports(now, subject, owners.reports)
                    return _Decision(choice, added=owners.patience)
                choice = self._by_owner(subject)
                return _Decision(choice, added=2 * owners.one_way, age=0.0)

    def _by_reports(
        self,
        now: float,
        subject: int,
        reports: Reports,
        forget_time: float = math.inf,
    ) -> int:
        if self._size.routers <= LARGE_FLEET_ROUTERS:
            return self._best(range(self._size.endpoints), self._loads, subject, now)
        age = self._dice.uniform(reports.least_age, reports.most_age)
        keep = math.exp(-age / forget_time)
        told = self._loads_at(now - age)
        mean = sum(told) / len(told)
        loads = [mean + (load - mean) * keep for load in told]
        known = now - age
        sampled = min(reports.sampled, len(loads))
        compared = set(self._dice.sample(range(len(loads)), sampled))
        compared |= self._known_holders(subject, known) or {self._home(subject)}
        nearness = self._dice.uniform(MIN_BOUND_FRACTION, 1.0)
        return self._best(compared, loads, subject, known, nearness=nearness)

    def _by_probes(self, now: float, subject: int, reports: Reports, asked: int) -> int:
        age = self._dice.uniform(reports.least_age, reports.most_age)
        known = now - age
        holders = self._known_holders(subject, known) or {self._home(subject)}
        compared = set(sorted(holders)[: max(1, asked - 1)])
        while len(compared) < min(asked, self._size.endpoints):
            compared.add(self._dice.randrange(self._size.endpoints))
        return self._best(compared, self._loads, subject, known)

    def _by_owner(self, subject: int) -> int:
        domains = self._size.domains
        first, second = self._dice_of(subject).sample(range(domains), 2)
        for domain in (first, second):
            shard = range(domain, self._size.endpoints, domains)
            if self._within(shard, self._loads, 1.0):
                break
        return self._best(shard, self._loads, subject, math.inf)

    def _best(
        self,
        compared: Iterable[int],
        loads: Sequence[float],
        subject: int,
        known: float,
        *,
        nearness: float = 1.0,
    ) -> int:
        """The best one, or the least loaded if all are over their bound."""
        compared = list(compared)
        within = self._within(compared, loads, nearness)
        if not within:
            return min(compared, key=lambda each: (loads[each], self._dice.random()))
        holders = self._known_holders(subject, known)
        lacks = PROMPT_TOKENS * (FETCH_COST_RATIO if holders else 1.0)
        return min(
            within,
            key=lambda each: (
                REQUEST_LOAD_TOKENS * loads[each] + lacks * (each not in holders),
                self._dice.random(),
            ),
        )

    def _within(
        self, compared: Sequence[int], loads: Sequence[float], nearness: float
    ) -> list[int]:
        mean = self._total / self._size.endpoints
        by_mean = LOAD_MULTIPLE * mean + LOAD_ALLOWANCE
        bound = min(by_mean, max(self._size.slots, mean + LOAD_ALLOWANCE))
        bound -= (1.0 - nearness) * (bound - mean - 1)
        return [each for each in compared if loads[each] + 1 <= bound]

    def _loads_at(self, at: float) -> list[int]:
        for when, loads in reversed(self._states):
            if when <= at:
                return loads
        return self._states[0][1] if self._states else self._loads

    def _known_holders(self, subject: int, known: float) -> set[int]:
        holders = self._holders.get(subject, {})
        return {each for each, since in holders.items() if since <= known}

    def _home(self, subject: int) -> int:
        return self._dice_of(subject).randrange(self._size.endpoints)

    def _dice_of(self, subject: int) -> random.Random:
        return random.Random(subject)

    def _begin(self, now: float, subject: int, decision: _Decision) -> None:
        endpoint, added = decision.endpoint, decision.added
        holders = self._holders.setdefault(subject, {})
        reading = 0.0
        counted = now >= WARM_UP
        result = self.result
        if endpoint not in holders:
            known = self._known_holders(subject, now - decision.age)
            reading = PROMPT_TOKENS / (FETCH_SPEED if known else READING_SPEED)
            if counted and known:
                result.fetched += PROMPT_TOKENS
            elif counted and holders:
                result.reads += PROMPT_TOKENS
            elif counted:
                result.first_reads += PROMPT_TOKENS
            holders[endpoint] = now
        if counted:
            mean = self._total / self._size.endpoints
            result.requests += 1
            result.over += self._loads[endpoint] > HARD_MULTIPLE * mean + HARD_ALLOWANCE
            result.waited += added
        load = self._loads[endpoint]
        self._loads[endpoint] += 1
        self._total += 1
        busy = min(load, self._size.slots)
        answer = ANSWER_TIME * (1 + SLOWING * busy) * self._dice.uniform(0.5, 1.5)
        queued = max(0, load + 1 - self._size.slots) * ANSWER_TIME / self._size.slots
        at = now + added + reading + queued + answer
        heapq.heappush(self._ends, _Event(at, next(self._numbers), endpoint))
