"""Log lines about the attempts for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.exceptions import RequestBlocked
from dotterelpaddle.forwarding.attempt_race import AttemptSilent
from dotterelpaddle.forwarding.caches import shared_parts
from dotterelpaddle.forwarding.exceptions import RetryObstacle, RetryWithheld
from dotterelpaddle.forwarding.slowdowns import USUAL
from dotterelpaddle.logs import get_logger
from dotterelpaddle.streams.exceptions import EndpointsUnconfirmed

if TYPE_CHECKING:
    from dotterelpaddle.exceptions import EndpointError, RequestError
    from dotterelpaddle.forwarding.attempt_race import AttemptFailed
    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.progress import AttemptProgress
    from dotterelpaddle.ids import EndpointId

log = get_logger(name=__name__)


def log_choice(*, exchange: ForwardExchange, choice: Choice) -> None:
    """Log the endpoint of an attempt, and why it was chosen."""
    source = choice.fetch_from
    slowdown: dict[str, Any] = (
        {"slowdown": round(choice.slowdown, 2)} if choice.slowdown != USUAL else {}
    )
    log.info(
        "placed",
        request_id=exchange.request.request_id,
        resumes=exchange.request.resumes or "",
        attempt=exchange.attempts.count + 1,
        service=exchange.service,
        version=exchange.configuration_version,
        endpoint=choice.entry.endpoint,
        software_version=choice.entry.software_version,
        era=choice.entry.revision.era,
        revision=choice.entry.revision.number,
        reason=choice.reason.value,
        decided_by=choice.decided_by or "",
        alone_because=choice.local_reason.value
        if choice.local_reason is not None
        else "",
        load=choice.load,
        mean_load=round(choice.mean_load, 2),
        candidates=choice.candidate_count,
        part=choice.part_tag,
        missing_tokens=choice.missing_tokens,
        fetch_from=source.endpoint if source is not None else "",
        **slowdown,
    )


def log_failed_attempt(
    *,
    exchange: ForwardExchange,
    endpoint: EndpointId,
    progress: AttemptProgress,
    error: EndpointError,
    seconds: float,
) -> None:
    """Log an attempt that brought no answer.

    Args:
        exchange: The request.
        endpoint: Where the attempt went.
        progress: How far it came.
        error: Why it failed.
        seconds: Seconds since it was sent.
    """
    log.warning(
        "attempt_failed",
        request_id=exchange.request.request_id,
        fingerprint=exchange.fingerprint or "",
        endpoint=endpoint,
        attempt=exchange.attempts.count,
        state=progress.attempt.state.value,
        error=type(error).__name__,
        cause=error.message,
        seconds=round(seconds, 4),
        streaming=exchange.reply.started,
        parts=[part.digest for part in shared_parts(request=exchange.request)],
    )


def log_silent_attempt(
    *,
    exchange: ForwardExchange,
    endpoint: EndpointId,
    progress: AttemptProgress,
    seconds: float,
) -> None:
    """Log an attempt that has brought nothing for longer than usual.

    Args:
        exchange: The request.
        endpoint: Where the attempt went.
        progress: How far it came.
        seconds: Seconds since it was sent.
    """
    log.info(
        "attempt_silent",
        request_id=exchange.request.request_id,
        endpoint=endpoint,
        attempt=exchange.attempts.count,
        state=progress.attempt.state.value,
        seconds=round(seconds, 4),
        streaming=exchange.reply.started,
    )


def log_withheld(
    *,
    exchange: ForwardExchange,
    cause: AttemptFailed | AttemptSilent,
    error: RequestError,
) -> None:
    """Log once why no attempt follows."""
    match cause, error:
        case AttemptSilent(repeated=True), _:
            return
        case _, RetryWithheld(obstacle=obstacle):
            pass
        case _, RequestBlocked():
            obstacle = RetryObstacle.BLOCKED
        case _, EndpointsUnconfirmed():
            obstacle = RetryObstacle.UNCONFIRMED
        case _:
            obstacle = RetryObstacle.NO_ENDPOINT
    log.info(
        "retry_withheld",
        request_id=exchange.request.request_id,
        service=exchange.service,
        attempt=exchange.attempts.count,
        reason=obstacle.value,
        silent=isinstance(cause, AttemptSilent),
    )
