"""Callers that send requests and write down what became of them."""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

from http1 import Answer, exchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from fleet import Record, Router

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANTS = [{"name": "hule930", "apiKeys": [KEY]}]


class Callers:
    """Sends requests, each with an attempt id of its own.

    Attributes:
        sent: Time at which each request was sent, and its router, by attempt id.
        answers: Answer by attempt id.
    """

    def __init__(self, *, record: Record) -> None:
        self._record = record
        self._numbers = itertools.count(1)
        self.sent: dict[str, tuple[float, str]] = {}
        self.answers: dict[str, Answer] = {}

    async def send(
        self,
        *,
        router: Router,
        target: str,
        method: str = "POST",
        deadline_ms: int = 1500,
        headers: dict[str, str] | None = None,
        on_part: Callable[[bytes], None] | None = None,
        give_up: float | None = None,
    ) -> tuple[str, Answer]:
        """Send one request; return its attempt id and its answer.

        Args:
            router: Router that gets it.
            target: Path and query.
            method: Method.
            deadline_ms: Milliseconds that the caller says it waits.
            headers: Further headers.
            on_part: Is called with each part of the answer's body.
            give_up: Seconds after which the caller leaves, None for its deadline.
        """
        attempt = f"{next(self._numbers):016x}"
        self.sent[attempt] = time.monotonic(), router.name
        self._record.line(f"{attempt} {method} {target} sent to {router.name}")
        answer = await exchange(
            host=router.host,
            port=router.front,
            method=method,
            target=target,
            headers={
                "Host": HOST,
                "X-Api-Key": KEY,
                "X-Dotterelpaddle-Attempt-Id": attempt,
                "X-Dotterelpaddle-Deadline-Ms": str(deadline_ms),
                **(headers or {}),
            },
            body=b"{}" if method == "POST" else b"",
            timeout=deadline_ms / 1000 + 0.5 if give_up is None else give_up,
            on_part=on_part,
        )
        self.answers[attempt] = answer
        seal = answer.headers.get("x-dotterelpaddle-runner-seal", "none")
        self._record.line(
            f"{attempt} answered {answer.status or answer.error} seal {seal}"
            f"{'' if answer.complete else ' incomplete'}"
        )
        return attempt, answer
