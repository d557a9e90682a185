"""Log lines of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import Level, get_logger

if TYPE_CHECKING:
    from dotterelpaddle.dispatch.outcome import AttemptState
    from dotterelpaddle.exceptions import EndpointError
    from dotterelpaddle.pipeline import Exchange
    from dotterelpaddle.placement.interface import Decision
    from dotterelpaddle.records.model import Endpoint

log = get_logger(name=__name__)


def log_decision(*, exchange: Exchange, decision: Decision) -> None:
    """Write where an attempt goes, and why."""
    if not log.enabled(level=Level.INFO):
        return
    assert exchange.account is not None
    assert exchange.pool is not None
    affinity = exchange.affinity
    log.info(
        "request_routed",
        request_id=exchange.request_id,
        account=exchange.account.name,
        chat_key="" if affinity is None else f"{affinity:016x}",
        pool=exchange.pool.name,
        endpoint=decision.endpoint.name,
        reason=decision.reason.value,
        path=decision.path.value,
        decided_by=decision.decided_by,
        load=decision.load,
        mean_load=decision.mean_load,
        waited=decision.waited,
        alternatives=[f"{each.endpoint}: {each.why}" for each in decision.alternatives],
    )


def log_failure(
    *, exchange: Exchange, state: AttemptState, error: EndpointError
) -> None:
    """Write why an attempt brought no answer."""
    log.warning(
        "attempt_failed",
        request_id=exchange.request_id,
        endpoint=error.peer,
        step=error.step.value,
        cause=type(error).__name__,
        message=error.message,
        state=state.value,
    )


def log_silence(
    *, exchange: Exchange, endpoint: Endpoint, begun: bool, retried: bool
) -> None:
    """Write that an endpoint has sent nothing for longer than usual.

    Args:
        exchange: The request.
        endpoint: The silent endpoint.
        begun: Whether its answer had begun.
        retried: Whether a retry follows; the attempt goes on otherwise.
    """
    log.info(
        "attempt_silent",
        request_id=exchange.request_id,
        endpoint=endpoint.name,
        begun=begun,
        retried=retried,
    )
