"""Sends checked calls to running routers."""

from __future__ import annotations

import functools
import sys
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import orjson

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.options import read_address
from dotterelpaddle.fleet.shapes import ShapeName, shape_of

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.fleet.load import LoadPlan, LoadRun
    from dotterelpaddle.fleet.summary import Summary
    from dotterelpaddle.fleet.turns import Turn


def load_command(
    *,
    router: list[str],
    shape: ShapeName = ShapeName.PRAIRIE,
    requests: int = 300,
    rate: float = 100.0,
    stream_share: float = 0.5,
    service_share: float = 0.1,
    timeout: float = 15.0,
    seed: int = 0,
    json: bool = False,
) -> int:
    """Send returning chats to running routers and check every answer.

    The routers must have the records of the deployment in force, and stand-ins
    as endpoints; see 'dotterelpaddle standin records'. Exits with 1 if an answer
    is damaged or missing.

    Args:
        router: Address of a router, as IP:PORT; repeat it for several.
        shape: Deployment whose client accounts make the calls.
        requests: Number of calls.
        rate: Calls a second, on average.
        stream_share: Share of the chat turns that ask for a stream.
        service_share: Share of the calls that go to plain services.
        timeout: Seconds that a caller waits.
        seed: Seed of all generators; the same seed makes the same calls.
        json: Print the summary as one JSON line.
    """
    # Imported here so that --help stays fast.
    from dotterelpaddle.fleet.load import LoadPlan
    from dotterelpaddle.fleet.summary import summarize

    routers = {text: read_address(option="--router", text=text) for text in router}
    plan = LoadPlan(
        requests=requests,
        rate=rate,
        stream_share=stream_share,
        service_share=service_share,
        timeout=timeout,
        seed=seed,
    )
    run = anyio.run(
        functools.partial(_send, routers=routers, shape_name=shape, plan=plan)
    )
    summary = summarize(run=run)
    content = _content(summary=summary)
    if json:
        print(orjson.dumps(content).decode())
    else:
        _print_lines(content=content)
    _print_errors(turns=run.turns)
    whole = summary.completed == summary.requests
    return ExitCode.OK if whole else ExitCode.FAILED


async def _send(
    *, routers: dict[str, Address], shape_name: ShapeName, plan: LoadPlan
) -> LoadRun:
    from dotterelpaddle.fleet.balancer import run_balancer
    from dotterelpaddle.fleet.client import open_client
    from dotterelpaddle.fleet.load import LoadRun

    async with (
        run_balancer(routers=lambda: routers) as balancer,
        open_client() as client,
    ):
        run = LoadRun(
            plan=plan,
            shape=shape_of(name=shape_name),
            entries=balancer,
            client=client,
        )
        print(f"sending {plan.requests} calls", file=sys.stderr, flush=True)
        await run.run()
    return run


def _content(*, summary: Summary) -> dict[str, float]:
    return {
        "requests": summary.requests,
        "completed": summary.completed,
        "not_run": summary.not_run,
        "unknown": summary.unknown,
        "damaged": summary.damaged,
        "retried": summary.retried,
        "latency_p50": round(summary.latency.p50, 4),
        "latency_p99": round(summary.latency.p99, 4),
        "first_token_p50": round(summary.first_token.p50, 4),
        "first_token_p99": round(summary.first_token.p99, 4),
        "seconds": round(summary.seconds, 2),
    }


def _print_lines(*, content: dict[str, float]) -> None:
    width = max(map(len, content))
    for name, value in content.items():
        print(f"{name:<{width}}  {value}")


def _print_errors(*, turns: list[Turn]) -> None:
    """Print what the callers without an answer were told, most frequent first."""
    causes = Counter(
        f"{turn.outcome.value}: {turn.answer.error or turn.wholeness.value}"
        f" at step '{turn.answer.step}'"
        for turn in turns
        if not turn.completed
    )
    for cause, count in causes.most_common():
        print(f"{count} x {cause}", file=sys.stderr)
