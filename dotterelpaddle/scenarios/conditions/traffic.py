"""Conditions of calls and their cost."""

from __future__ import annotations

from typing import Literal

from dotterelpaddle.scenarios.words import EVERYTHING, Bound, Names, Word


class Result(Word):
    """Figures of finished calls or of a load.

    Attributes:
        of: Label of the calls or the load.
        requests: Calls made.
        completed: Callers with the whole answer to their own request.
        not_run: Calls refused as not run.
        unknown: Calls of unknown outcome.
        damaged: Answers told to be complete that are not.
        doubled: Idempotency keys that ran more than once.
        false_not_run: Attempts told not to have run that did run.
        retried: Calls that their caller sent again.
        reuse: Share of turns that found their cache where one existed.
        skew_p99: 99th percentile of the largest load over the mean load.
        p99: 99th percentile of latency, seconds.
        longest: Longest latency, seconds.
        account: Client account to look at, empty for all.
        statuses: HTTP statuses that may occur, empty for any.
        errors: Types of error that must occur.
        text: What the last answer contains.
    """

    of: str
    requests: Bound = Bound()
    completed: Bound = Bound()
    not_run: Bound = Bound()
    unknown: Bound = Bound()
    damaged: Bound = Bound()
    doubled: Bound = Bound()
    false_not_run: Bound = Bound()
    retried: Bound = Bound()
    reuse: Bound = Bound()
    skew_p99: Bound = Bound()
    p99: Bound = Bound()
    longest: Bound = Bound()
    account: str = ""
    statuses: tuple[int, ...] = ()
    errors: tuple[str, ...] = ()
    text: str = ""


class Progress(Word):
    """A load has got so far.

    Attributes:
        of: Label of the load.
        started: Calls sent.
        in_flight: Calls that have not ended.
        ended: Calls that have ended.
    """

    of: str
    started: Bound = Bound()
    in_flight: Bound = Bound()
    ended: Bound = Bound()


class Compare(Word):
    """A figure of one load against the same figure of another one.

    Attributes:
        of: Label of the load.
        to: Label of the load that it is compared with.
        figure: Which figure.
        without: Client accounts that are left out.
        ratio: What the quotient has to be.
        allowance: Added to the second load's figure first, in its unit.
    """

    of: str
    to: str
    figure: Literal["p99", "p50", "reuse", "skew_p99"]
    without: tuple[str, ...] = ()
    ratio: Bound
    allowance: float = 0.0


class Control(Word):
    """Routers spend so much on control traffic, since the last mark.

    Attributes:
        bytes_per_second: Mean rate of the router that sends most.
        since: Label of the mark from which to count.
    """

    bytes_per_second: Bound
    since: str


class Metric(Word):
    """A counter or gauge of routers.

    Attributes:
        routers: The routers; the sum over them is looked at.
        name: Name of the metric, without the project's prefix.
        value: What it has to be.
    """

    routers: Names = (EVERYTHING,)
    name: str
    value: Bound
