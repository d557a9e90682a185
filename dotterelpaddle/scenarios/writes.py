"""Steps in which operators write records."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.exceptions import (
    DotterelpaddleError,
    PlatformError,
    RecordConflict,
    RecordError,
    RecordOutcomeUnknown,
    RouterUnreachable,
    ScenarioError,
)
from dotterelpaddle.fleet.operators import (
    apply_records,
    operator_of,
    record_of_endpoint,
    retire_record,
    set_intent,
)
from dotterelpaddle.ids import EndpointId, Revision
from dotterelpaddle.records.envelope import Envelope
from dotterelpaddle.records.keys import parse_key
from dotterelpaddle.records.model import EndpointIntent
from dotterelpaddle.scenarios import steps
from dotterelpaddle.scenarios.state import WriteOutcome, WriteResult

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from dotterelpaddle.fleet.fleet import Fleet
    from dotterelpaddle.operator.reports import ChangeReport
    from dotterelpaddle.scenarios.state import State

ADDRESS_OF = "address_of"
"""Field whose value, a node's name, becomes that node's address."""

ANY_OUTCOME = "any"

WAIT_IN_FORCE = 10.0
"""Seconds until an accepted record must be in force everywhere."""


async def write(*, state: State, step: steps.Apply | steps.Retire) -> None:
    """Write or retire records and check how that ended.

    Raises:
        ScenarioError: If it ended otherwise than the step says.
    """
    result = await _write(fleet=state.fleet, step=step)
    state.writes.setdefault(step.label, []).append(result)
    if step.outcome not in (ANY_OUTCOME, result.outcome.value):
        raise ScenarioError(
            f"expected the write to be {step.outcome},"
            f" saw {result.outcome.value}: {result.message}"
        )


async def race(*, state: State, step: steps.Race) -> None:
    """Let several operators write at the same time, perhaps repeatedly."""
    results = state.writes.setdefault(step.label, [])
    for number in range(step.rounds):
        async with anyio.create_task_group() as tasks:
            for each in step.writes:
                filled = _fill(step=each, number=number)
                tasks.start_soon(
                    partial(_race_one, fleet=state.fleet, step=filled, results=results)
                )


async def drain(*, state: State, step: steps.Drain) -> None:
    """Write an endpoint's record so that it drains or serves."""
    await set_intent(
        fleet=state.fleet,
        router=step.at,
        endpoint=step.endpoint,
        intent=EndpointIntent(step.intent),
    )


async def join(*, state: State, step: steps.Join) -> None:
    """Start an endpoint and write its record."""
    fleet = state.fleet
    await fleet.start(name=step.endpoint)
    record = record_of_endpoint(fleet=fleet, endpoint=step.endpoint)
    await apply_records(fleet=fleet, router=step.at, envelopes=(record,))


async def _race_one(
    *, fleet: Fleet, step: steps.Apply, results: list[WriteResult]
) -> None:
    results.append(await _write(fleet=fleet, step=step))


async def _write(*, fleet: Fleet, step: steps.Apply | steps.Retire) -> WriteResult:
    match step:
        case steps.Apply():
            envelopes = tuple(
                _envelope(fleet=fleet, text=each) for each in step.records
            )
            expected = step.expect_revision
            result = await _outcome_of(
                change=apply_records(
                    fleet=fleet,
                    router=step.at,
                    envelopes=envelopes,
                    expected=None if expected is None else Revision(expected),
                    operator=step.at,
                ),
                records=step.records,
            )
            if step.wait and result.outcome is WriteOutcome.ACCEPTED:
                await _until_in_force(fleet=fleet, step=step, result=result)
            return result
        case steps.Retire():
            key = parse_key(text=step.record)
            if key is None:
                raise ScenarioError(f"'{step.record}' is no KIND/NAME")
            return await _outcome_of(
                change=retire_record(fleet=fleet, router=step.at, key=key)
            )


async def _until_in_force(
    *, fleet: Fleet, step: steps.Apply, result: WriteResult
) -> None:
    async with operator_of(fleet=fleet, router=step.at) as client:
        report = await client.wait_in_force(
            revision=result.revision, timeout=WAIT_IN_FORCE
        )
    if not report.complete:
        raise ScenarioError(f"not in force on {', '.join(report.pending)}")


async def _outcome_of(
    *,
    change: Awaitable[ChangeReport],
    records: tuple[steps.RecordText, ...] = (),
) -> WriteResult:
    try:
        report = await change
    except DotterelpaddleError as error:
        return WriteResult(
            outcome=_outcome(error=error), message=str(error), records=records
        )
    return WriteResult(
        outcome=WriteOutcome.ACCEPTED, revision=report.revision, records=records
    )


def _outcome(*, error: DotterelpaddleError) -> WriteOutcome:
    match error:
        case RecordConflict():
            return WriteOutcome.CONFLICT
        case RecordOutcomeUnknown():
            return WriteOutcome.UNKNOWN
        case PlatformError() | RouterUnreachable():
            return WriteOutcome.UNAVAILABLE
        case RecordError():
            return WriteOutcome.REFUSED
        case _:
            raise error


def _envelope(*, fleet: Fleet, text: steps.RecordText) -> Envelope:
    spec = {name: _value(fleet=fleet, value=value) for name, value in text.spec.items()}
    return Envelope(
        kind=text.kind, schema=text.schema_version, name=text.name, spec=spec
    )


def _value(*, fleet: Fleet, value: Any) -> Any:
    match value:
        case {"address_of": name}:
            address = fleet.endpoints[EndpointId(name)].server.address
            return {"host": address.host, "port": address.port}
        case _:
            return value


def _fill(*, step: steps.Apply, number: int) -> steps.Apply:
    """Put the number of a round into the texts of a write."""
    records = tuple(
        each.model_copy(update={"spec": _filled(value=each.spec, number=number)})
        for each in step.records
    )
    return step.model_copy(update={"records": records})


def _filled(*, value: Any, number: int) -> Any:
    match value:
        case "{round}":
            return number + 1
        case str():
            return value.replace("{round}", str(number))
        case dict():
            return {
                key: _filled(value=inner, number=number) for key, inner in value.items()
            }
        case list():
            return [_filled(value=inner, number=number) for inner in value]
        case _:
            return value
