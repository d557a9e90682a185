"""Deadlines on progress, learnt for each pool.

Like TCP's retransmission timeout: a smoothed mean and a smoothed deviation of
what was seen, some deviations above the mean, between a floor and a cap.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.endpoint.patience import Patience
from dotterelpaddle.pipeline import ChatWork

if TYPE_CHECKING:
    from dotterelpaddle.dispatch.options import Bounds, DispatchOptions
    from dotterelpaddle.ids import PoolId
    from dotterelpaddle.pipeline import Exchange

MEAN_GAIN = 1 / 16
DEVIATION_GAIN = 1 / 8
DEVIATIONS = 8.0
"""Smoothed deviations above the smoothed mean; progress varies more than a
network's round trips, and giving up too soon costs a second run."""


HEDGE_DEVIATIONS = 4.0
"""Smoothed deviations above the mean after which an answer is called late."""

HEDGE_FLOOR = 0.05
"""Seconds before which no answer is called late."""

ANSWER_UNIT = 64
"""Tokens of an answer that take about as long as anything short does."""

PROMPT_UNIT = 512
"""Tokens of a prompt that take about as long as anything short does."""


class AnswerForm(Enum):
    """Kinds of answer whose progress differs."""

    WHOLE = "whole"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitKind:
    """What is waited for.

    Attributes:
        pool: The pool.
        form: The kind of answer.
        scale: How many times as long as a short one it may take to begin.
    """

    pool: PoolId
    form: AnswerForm
    scale: float = 1.0


def wait_kind(*, exchange: Exchange) -> WaitKind:
    """Return what a request waits for.

    A whole answer begins when its last token is there, a stream when the
    prompt has been read.
    """
    assert exchange.pool is not None
    prompt = exchange.prompt_tokens / PROMPT_UNIT
    match exchange.work:
        case ChatWork(stream=True):
            form, scale = AnswerForm.STREAM, max(1.0, prompt)
        case ChatWork():
            form = AnswerForm.WHOLE
            scale = max(1.0, prompt + exchange.answer_tokens / ANSWER_UNIT)
        case _:
            form, scale = AnswerForm.WHOLE, 1.0
    return WaitKind(pool=exchange.pool.name, form=form, scale=scale)


class Estimate:
    """A smoothed mean and deviation of one kind of wait.

    Args:
        bounds: Range of the deadline.
    """

    def __init__(self, *, bounds: Bounds) -> None:
        self._bounds = bounds
        self._mean = 0.0
        self._deviation = 0.0
        self._known = False
        self._factor = 1.0

    @property
    def known(self) -> bool:
        """Whether anything was observed yet."""
        return self._known

    def limit(self, *, scale: float = 1.0) -> float:
        """Return the seconds to wait before giving up.

        Args:
            scale: How many times as long as a short one this wait may be.
        """
        bounds = self._bounds
        wanted = bounds.initial
        if self._known:
            wanted = self._mean + DEVIATIONS * self._deviation
        wanted = max(bounds.floor, wanted) * self._factor * scale
        return min(bounds.cap * scale, wanted)

    def late(self, *, scale: float = 1.0) -> float:
        """Return the seconds after which few waits still end."""
        wanted = self._mean + HEDGE_DEVIATIONS * self._deviation
        return max(HEDGE_FLOOR, wanted * scale)

    def back_off(self) -> None:
        """Be more patient until the next observation, after giving up too soon.

        Waits that were given up are never observed, so without this a pool that
        has grown slower would be given up on for ever.
        """
        self._factor *= 2

    def observe(self, *, seconds: float) -> None:
        """Take in how long one wait was."""
        self._factor = 1.0
        if not self._known:
            self._known = True
            self._mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self._mean
        self._mean += MEAN_GAIN * error
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)


class _PoolEstimates:
    def __init__(self, *, options: DispatchOptions) -> None:
        self.connect = Estimate(bounds=options.connect)
        self.first_byte = Estimate(bounds=options.first_byte)
        self.gap = Estimate(bounds=options.gap)


class PatienceBook:
    """What was learnt of the progress of each pool's answers.

    Args:
        options: Ranges of the deadlines.
    """

    def __init__(self, *, options: DispatchOptions) -> None:
        self._options = options
        self._estimates: dict[tuple[PoolId, AnswerForm], _PoolEstimates] = {}

    def patience(
        self, *, kind: WaitKind, idempotent: bool, time_left: float
    ) -> Patience:
        """Return the deadlines of the next attempt.

        A request that may not be sent again gains nothing from giving up
        early, so once it is sent only its own deadline ends it.
        """
        known = self._of(kind)
        connect = min(known.connect.limit(), time_left)
        if not idempotent:
            return Patience(connect=connect, first_byte=time_left, gap=time_left)
        return Patience(
            connect=connect,
            first_byte=min(known.first_byte.limit(scale=kind.scale), time_left),
            gap=min(known.gap.limit(), time_left),
        )

    def late(self, *, kind: WaitKind) -> float | None:
        """Return the seconds after which an answer is late, None if unknown."""
        estimate = self._of(kind).first_byte
        return estimate.late(scale=kind.scale) if estimate.known else None

    def connected(self, *, kind: WaitKind, seconds: float) -> None:
        """Take in how long a connection took."""
        self._of(kind).connect.observe(seconds=seconds)

    def begun(self, *, kind: WaitKind, seconds: float) -> None:
        """Take in how long an answer took to begin."""
        self._of(kind).first_byte.observe(seconds=seconds / kind.scale)

    def continued(self, *, kind: WaitKind, seconds: float) -> None:
        """Take in the longest gap between two parts of an answer."""
        self._of(kind).gap.observe(seconds=seconds)

    def gave_up(self, *, kind: WaitKind, begun: bool) -> None:
        """Take in that an endpoint that lives was given up on.

        Args:
            kind: What was waited for.
            begun: Whether the answer had begun.
        """
        known = self._of(kind)
        estimate = known.gap if begun else known.first_byte
        estimate.back_off()

    def _of(self, kind: WaitKind) -> _PoolEstimates:
        key = (kind.pool, kind.form)
        estimates = self._estimates.get(key)
        if estimates is None:
            estimates = self._estimates[key] = _PoolEstimates(options=self._options)
        return estimates
