"""Sums up a run of the load tool."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.fleet.measures import Skew, quantile
from dotterelpaddle.fleet.verify import DAMAGED
from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.fleet.fleet import Standin
    from dotterelpaddle.fleet.load import LoadRun
    from dotterelpaddle.fleet.turns import Turn
    from dotterelpaddle.ids import RouterId

REUSED_SHARE = 0.5
"""Share of the existing tokens that a turn must find cached to count as reused."""

NO_SKEW = Skew(mean=0.0, p99=0.0, samples=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Latency:
    """Seconds that calls took.

    Attributes:
        p50: Median.
        p99: 99th percentile.
        longest: Longest.
    """

    p50: float
    p99: float
    longest: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """Figures of one run.

    Attributes:
        requests: Calls made.
        completed: Calls whose caller has its own whole answer.
        not_run: Calls that were refused as not run.
        unknown: Calls of which the caller does not know whether they ran.
        damaged: Answers that were told to be complete and are not.
        doubled: Idempotency keys under which more than one run happened.
        false_not_run: Attempts told not to have run that did run.
        retried: Calls that were sent more than once by the caller.
        returning: Turns whose chat's cache existed somewhere when sent.
        reuse: Share of these that found it.
        reused_tokens: Share of these turns' cached tokens that they found.
        skew: How unevenly the engines were loaded.
        latency: Seconds to the end of completed calls.
        first_token: Seconds to the first content of completed chat turns.
        seconds: Length of the run.
        control: Control bytes a second that each router sent.
    """

    requests: int
    completed: int
    not_run: int
    unknown: int
    damaged: int
    doubled: int
    false_not_run: int
    retried: int
    returning: int
    reuse: float
    reused_tokens: float
    skew: Skew
    latency: Latency
    first_token: Latency
    seconds: float
    control: Mapping[RouterId, float]

    @property
    def control_bytes_per_second(self) -> float:
        """Control bytes a second of the router that sent most."""
        return max(self.control.values(), default=0.0)


def summarize(
    *,
    run: LoadRun,
    standins: Iterable[Standin] = (),
    skew: Skew = NO_SKEW,
    control: Mapping[RouterId, float] | None = None,
) -> Summary:
    """Sum up a run.

    Args:
        run: The run of the load tool.
        standins: All endpoints that may have run something, stopped ones too.
        skew: How unevenly the engines were loaded.
        control: Control bytes a second that each router sent.
    """
    return sum_up(
        turns=run.turns,
        standins=standins,
        skew=skew,
        seconds=run.seconds,
        control=control,
    )


def sum_up(
    *,
    turns: list[Turn],
    standins: Iterable[Standin],
    skew: Skew,
    seconds: float,
    control: Mapping[RouterId, float] | None = None,
) -> Summary:
    """Sum up any calls.

    Args:
        turns: The calls.
        standins: All endpoints that may have run something, stopped ones too.
        skew: How unevenly the engines were loaded.
        seconds: How long it took.
        control: Control bytes a second that each router sent.
    """
    outcomes = Counter(turn.outcome for turn in turns if not turn.completed)
    existing = [turn for turn in turns if turn.existing_tokens and turn.completed]
    done = [turn for turn in turns if turn.completed]
    runs = _Runs(standins=standins)
    return Summary(
        requests=len(turns),
        completed=len(done),
        not_run=outcomes[Outcome.NOT_RUN],
        unknown=outcomes[Outcome.UNKNOWN],
        damaged=sum(turn.wholeness in DAMAGED for turn in turns),
        doubled=sum(count > 1 for count in runs.by_key.values()),
        false_not_run=sum(runs.falsely_not_run(turn=turn) for turn in turns),
        retried=sum(len(turn.attempts) > 1 for turn in turns),
        returning=len(existing),
        reuse=_share(part=sum(map(_reused, existing)), whole=len(existing)),
        reused_tokens=_share(
            part=sum(min(_cached(turn), turn.existing_tokens) for turn in existing),
            whole=sum(turn.existing_tokens for turn in existing),
        ),
        skew=skew,
        latency=latency_of(seconds=[turn.answer.latency for turn in done]),
        first_token=latency_of(
            seconds=[turn.answer.first_token for turn in done if turn.answer.offsets]
        ),
        seconds=seconds,
        control=control or {},
    )


def latency_of(*, seconds: Iterable[float]) -> Latency:
    """Sum up durations."""
    ordered = sorted(seconds)
    return Latency(
        p50=quantile(ordered=ordered, share=0.5),
        p99=quantile(ordered=ordered, share=0.99),
        longest=ordered[-1] if ordered else 0.0,
    )


class _Runs:
    """What the stand-ins say they ran."""

    def __init__(self, *, standins: Iterable[Standin]) -> None:
        self.by_key: Counter[str] = Counter()
        self.by_request: Counter[str] = Counter()
        for standin in standins:
            self.by_key.update(standin.runs.by_key)
            self.by_request.update(standin.runs.by_request)

    def falsely_not_run(self, *, turn: Turn) -> int:
        """Count the attempts of a call that ran although told otherwise."""
        return sum(
            attempt.outcome is Outcome.NOT_RUN
            and self.by_request[attempt.request_id] > 0
            for attempt in turn.attempts
        )


def _cached(turn: Turn) -> int:
    return turn.answer.cached_tokens


def _reused(turn: Turn) -> bool:
    return _cached(turn) >= REUSED_SHARE * turn.existing_tokens


def _share(*, part: float, whole: float) -> float:
    return part / whole if whole else 1.0
