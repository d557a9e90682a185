"""Model runners that crash as they begin to write an answer on one part of prompts."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from runners import ModelRunner

if TYPE_CHECKING:
    from deployment import Deployment
    from playing import Record
    from wire import Request

BACK_SECONDS = 2.0
"""Seconds until a runner that has crashed is back, with a new id."""


class Models:
    """The model runners of a deployment, each of which may crash and come back.

    Args:
        deployment: What runs; its model runners become such ones.
        deadly_part: The part that crashes them.
        event_seconds: Seconds between two events of a stream.
        record: Receives the crashes.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        deadly_part: str,
        event_seconds: float,
        record: Record,
    ) -> None:
        self._deployment = deployment
        self._deadly_part = deadly_part
        self._event_seconds = event_seconds
        self._record = record
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self.crashes: list[float] = []
        self.deadly_arrivals: list[float] = []
        for runner in deployment.models:
            runner.before_answer = self._before_answer(runner)

    def _before_answer(self, runner: ModelRunner):  # noqa: ANN202
        def _check(request: Request) -> None:
            prefix = request.headers.get("x-dotterelpaddle-prompt-prefix", "")
            if self._deadly_part not in prefix.split(",")[:-1]:
                return
            now = time.monotonic()
            self.deadly_arrivals.append(now)
            if runner.crashed:
                return
            self.crashes.append(now)
            self._record.say(f"{runner.name} crashes under {request.attempt}")
            runner.crash()
            task = asyncio.create_task(self._come_back(runner))
            self._tasks.add(task)

        return _check

    async def _come_back(self, ended: ModelRunner) -> None:
        await asyncio.sleep(BACK_SECONDS)
        runner = ModelRunner(
            store=self._deployment.store,
            name=f"i-again-{next(self._numbers)}",
            service=ended.service,
            zone=ended.zone,
            slots=ended.slots,
            event_seconds=self._event_seconds,
        )
        runner.before_answer = self._before_answer(runner)
        await runner.start()
        self._deployment.models.append(runner)
        ended.forget_entry()
