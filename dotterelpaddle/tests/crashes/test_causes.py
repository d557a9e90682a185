"""Which of the requests that were running causes crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import given, strategies as st

from dotterelpaddle.crashes.causes import Suspicion, find_causes
from dotterelpaddle.crashes.subjects import RequestSubject
from dotterelpaddle.ids import EndpointId, Fingerprint

if TYPE_CHECKING:
    from dotterelpaddle.crashes.subjects import CrashSubject

MIN_CRASHES = 3


def _request(name: str) -> RequestSubject:
    return RequestSubject(fingerprint=Fingerprint(name))


CULPRIT = _request("culprit")
CRASHES = st.frozensets(st.sampled_from([EndpointId(each) for each in "abcdefgh"]))


def _suspicion(names: str, begun: int = 0) -> Suspicion:
    return Suspicion(
        crashed_endpoints=frozenset(EndpointId(each) for each in names),
        begun_count=begun,
    )


def _suspicions(
    crashes: list[frozenset[EndpointId]],
) -> dict[CrashSubject, Suspicion]:
    return {
        _request(f"request-{number}"): Suspicion(crashed_endpoints=each, begun_count=0)
        for number, each in enumerate(crashes)
    }


def _strength(subject: CrashSubject, suspicion: Suspicion) -> tuple[object, ...]:
    assert isinstance(subject, RequestSubject)
    return suspicion.rank, subject.fingerprint


@given(st.lists(CRASHES, max_size=6))
def test_request_in_all_crashes_is_the_only_cause(
    others: list[frozenset[EndpointId]],
) -> None:
    """Guards against blocking streams that were retried together with the cause."""
    suspicions: dict[CrashSubject, Suspicion] = {
        _request(f"other-{number}"): Suspicion(crashed_endpoints=crashed, begun_count=0)
        for number, crashed in enumerate(others)
    }
    suspicions[CULPRIT] = _suspicion("abcdefgh", begun=1)

    assert find_causes(suspicions=suspicions, min_crashes=MIN_CRASHES) == {CULPRIT}


@given(st.lists(CRASHES, max_size=6))
def test_causes_do_not_depend_on_the_order_of_reports(
    crashes: list[frozenset[EndpointId]],
) -> None:
    """Guards against routers that block different requests on the same reports."""
    named = list(_suspicions(crashes).items())

    assert find_causes(suspicions=dict(named), min_crashes=MIN_CRASHES) == find_causes(
        suspicions=dict(reversed(named)), min_crashes=MIN_CRASHES
    )


@given(st.lists(CRASHES, max_size=6))
def test_causes_are_the_requests_with_crashes_that_no_stronger_cause_explains(
    crashes: list[frozenset[EndpointId]],
) -> None:
    """Guards against a cause that goes on because it shares crashes with another."""
    suspicions = _suspicions(crashes)
    causes = find_causes(suspicions=suspicions, min_crashes=MIN_CRASHES)

    for request, suspicion in suspicions.items():
        strength = _strength(request, suspicion)
        explained = {
            endpoint
            for cause in causes
            if _strength(cause, suspicions[cause]) > strength
            for endpoint in suspicions[cause].crashed_endpoints
        }
        crashed = suspicion.crashed_endpoints
        is_cause = len(crashed) >= MIN_CRASHES and not crashed <= explained
        assert (request in causes) is is_cause


def test_causes_with_a_shared_crash_are_all_found() -> None:
    second, beside = _request("second"), _request("beside")
    suspicions: dict[CrashSubject, Suspicion] = {
        CULPRIT: _suspicion("abc"),
        second: _suspicion("cdefg"),
        beside: _suspicion("abg"),
    }

    assert find_causes(suspicions=suspicions, min_crashes=MIN_CRASHES) == {
        CULPRIT,
        second,
    }
