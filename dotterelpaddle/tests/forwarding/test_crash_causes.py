"""Which of the requests that were there is the cause of endpoints' ends."""

from __future__ import annotations

from hypothesis import given, strategies as st

from dotterelpaddle.forwarding.crash_causes import Suspicion, find_causes
from dotterelpaddle.ids import EndpointId, Fingerprint

LEAST = 3
CULPRIT = Fingerprint("culprit")
ENDS = st.frozensets(st.sampled_from([EndpointId(each) for each in "abcdefgh"]))


def _suspicion(names: str, begun: int = 0) -> Suspicion:
    return Suspicion(
        crashed_endpoints=frozenset(EndpointId(each) for each in names),
        begun_count=begun,
    )


@given(st.lists(ENDS, max_size=6))
def test_request_that_was_there_at_all_ends_is_the_only_cause(
    others: list[frozenset[EndpointId]],
) -> None:
    """Guards against blame for streams that were sent on beside the cause."""
    suspicions = {
        Fingerprint(f"other-{number}"): Suspicion(
            crashed_endpoints=ended, begun_count=0
        )
        for number, ended in enumerate(others)
    }
    suspicions[CULPRIT] = _suspicion("abcdefgh", begun=1)

    assert find_causes(suspicions=suspicions, min_crashes=LEAST) == {CULPRIT}


@given(st.lists(ENDS, max_size=6))
def test_causes_do_not_depend_on_the_order_of_the_news(
    ends: list[frozenset[EndpointId]],
) -> None:
    """Guards against routers that heard the same and block different requests."""
    named = [
        (
            Fingerprint(f"request-{number}"),
            Suspicion(crashed_endpoints=each, begun_count=0),
        )
        for number, each in enumerate(ends)
    ]

    assert find_causes(suspicions=dict(named), min_crashes=LEAST) == find_causes(
        suspicions=dict(reversed(named)), min_crashes=LEAST
    )


@given(st.lists(ENDS, max_size=6))
def test_each_cause_has_ends_that_no_other_explains(
    ends: list[frozenset[EndpointId]],
) -> None:
    suspicions = {
        Fingerprint(f"request-{number}"): Suspicion(
            crashed_endpoints=each, begun_count=0
        )
        for number, each in enumerate(ends)
    }
    causes = find_causes(suspicions=suspicions, min_crashes=LEAST)
    all_ended = {
        name for cause in causes for name in suspicions[cause].crashed_endpoints
    }

    assert len(all_ended) >= LEAST * len(causes)


def test_separate_causes_are_all_found() -> None:
    second, beside = Fingerprint("second"), Fingerprint("beside")
    suspicions = {
        CULPRIT: _suspicion("abc"),
        second: _suspicion("cdefg"),
        beside: _suspicion("abg"),
    }
    assert find_causes(suspicions=suspicions, min_crashes=LEAST) == {second}

    suspicions[CULPRIT] = _suspicion("abch")

    assert find_causes(suspicions=suspicions, min_crashes=LEAST) == {CULPRIT, second}
