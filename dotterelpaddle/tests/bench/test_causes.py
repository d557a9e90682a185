"""What causes are named from routers' logs."""

from __future__ import annotations

import json
from typing import Any

import pytest

from bench.causes.causes import Cause, Verdict, judge
from bench.causes.lines import Story, read_stories

ROUTER = "router-1"


def _line(at: float, message: str, **fields: Any) -> str:
    line = json.dumps({"message_type": message, "request_id": "r", **fields})
    return f"  {at:.4f} {ROUTER} {line}\n"


def _end(**fields: Any) -> dict[str, Any]:
    return {
        "status": 200,
        "kind": "stream",
        "objective": 0.3,
        "begun": 0.05,
        "pause_objective": 0.2,
        "longest_pause": 0.1,
        "finished": True,
        "caller_gone": False,
        "error": "",
        "seconds": 1.0,
        **fields,
    }


def _choice(**fields: Any) -> dict[str, Any]:
    return {"load": 5, "mean_load": 5.0, "missing_tokens": 0, **fields}


def _story(end: dict[str, Any], **fields: Any) -> Story:
    return Story(router=ROUTER, ended_at=9.0, end=end, **fields)


def test_lines_of_one_request_are_joined() -> None:
    lines = [
        "what the bench says itself\n",
        _line(1.0, "router_started"),
        _line(2.0, "placed", **_choice()),
        _line(2.3, "attempt_failed", error="EndpointSilent"),
        _line(2.3, "placed", **_choice(load=6)),
        _line(3.5, "request_ended", **_end()),
        f"  3.6 {ROUTER} {{cut off",
    ]

    (story,) = read_stories(lines=lines)

    assert [choice["load"] for choice in story.choices] == [5, 6]
    assert [failure["error"] for failure in story.failures] == ["EndpointSilent"]
    assert story.started_before == pytest.approx(1.5)


@pytest.mark.parametrize(
    ("end", "verdict", "cause"),
    [
        (_end(), Verdict.IN_TIME, None),
        (_end(status=401), Verdict.NOT_OWED, None),
        (_end(longest_pause=0.5), Verdict.LATE, Cause.PAUSE),
        (_end(begun=0.9), Verdict.LATE, Cause.WAITED),
        (_end(status=0, caller_gone=True), Verdict.CALLER_LEFT, Cause.CALLER),
        (_end(status=503, error="NoEndpoint"), Verdict.REFUSED, Cause.NOBODY),
        (_end(status=504, error="DeadlineExceeded"), Verdict.FAILED, Cause.DEADLINE),
        (_end(finished=False, begun=0.9), Verdict.FAILED, Cause.WAITED),
    ],
)
def test_request_is_judged_by_how_it_ended(
    end: dict[str, Any], verdict: Verdict, cause: Cause | None
) -> None:
    judged = judge(story=_story(end))

    assert (judged.verdict, judged.cause) == (verdict, cause)


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"failures": [{"error": "FailedAnswer"}]}, Cause.ENDPOINT_FAILED),
        ({"failures": [{"error": "EndpointUnreachable"}]}, Cause.NOT_REACHED),
        ({"choices": [_choice(missing_tokens=5000)]}, Cause.READING),
        ({"choices": [_choice(load=20)]}, Cause.BUSY),
        ({"choices": [_choice()], "started_before": 0.2}, Cause.STARTED),
        ({"choices": [_choice()], "started_before": 20.0}, Cause.WAITED),
    ],
)
def test_late_request_has_the_cause_that_was_logged(
    fields: dict[str, Any], cause: Cause
) -> None:
    assert judge(story=_story(_end(begun=0.9), **fields)).cause is cause
