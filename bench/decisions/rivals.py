"""Ways to decide where a request goes, and what each of them knows."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Reports:
    """Each router decides on what was in flight everywhere a while ago.

    Attributes:
        least_age: Seconds that the news is old at least.
        most_age: Seconds that it is old at most.
        sampled: Endpoints that are compared, beside those with the prompt.
    """

    least_age: float = 0.2
    most_age: float = 0.6
    sampled: int = 6


@dataclass(frozen=True, kw_only=True, slots=True)
class Predicted:
    """The same, with old loads moved towards the mean by their age.

    Attributes:
        reports: What is known.
        forget_time: Seconds after which the difference to the mean is a third.
    """

    reports: Reports
    forget_time: float = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class Probes:
    """Each router asks a few endpoints for their load before it decides.

    Attributes:
        reports: What is known of prompts.
        asked: Endpoints that are asked.
        round_trip: Seconds until they have answered.
    """

    reports: Reports
    asked: int = 2
    round_trip: float = 0.003


@dataclass(frozen=True, kw_only=True, slots=True)
class Owners:
    """One router of each failure domain counts what is in flight there, and decides.

    Attributes:
        reports: What is known where it does not answer.
        one_way: Seconds to it.
        lost: Share of the questions without an answer.
        patience: Seconds until a router decides by itself.
    """

    reports: Reports
    one_way: float = 0.0015
    lost: float = 0.001
    patience: float = 0.03


ALL_COMPARED = "reports, all compared"
"""The rival of which each decision looks at all endpoints."""

Rival = Reports | Predicted | Probes | Owners


def rivals() -> dict[str, Rival]:
    """All of them by name."""
    reports = Reports()
    return {
        "reports": reports,
        ALL_COMPARED: Reports(sampled=10_000),
        "predicted": Predicted(reports=reports),
        "two probes": Probes(reports=reports),
        "four probes": Probes(reports=reports, asked=4),
        "owners": Owners(reports=reports),
        "owners, 5 % lost": Owners(reports=reports, lost=0.05),
    }


def datagrams(*, rival: Rival, rate: float, routers: int, domains: int) -> float:
    """Datagrams a second that the busiest router sends and gets for decisions.

    Reports go out five times a second in all rivals and are left out.
    """
    match rival:
        case Probes(asked=asked):
            return 2 * asked * rate / routers
        case Owners():
            # A question, an answer, and a notice of the end.
            return 3 * rate / domains + 3 * rate / routers
        case Reports() | Predicted():
            return 0.0
