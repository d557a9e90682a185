"""Callers of a fleet whose endpoints end under one request."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.platform.names import Header
from dotterelpaddle.tests.forwarding.crash_world import CULPRIT, CrashWorld
from dotterelpaddle.tests.forwarding.harness import HOST, KEY

if TYPE_CHECKING:
    from collections.abc import Mapping

CALL_TIMEOUT_SECONDS = 5.0
"""Seconds that callers wait."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """What a caller got.

    Attributes:
        status: HTTP status.
        whole: Whether it is a success with its whole body.
        retry_after: Seconds after which the caller may come back, None if unsaid.
    """

    status: int
    whole: bool
    retry_after: float | None


@dataclass(kw_only=True)
class Served:
    """What became of the requests of all other callers.

    Attributes:
        sent: How many there were.
        whole: How many got a whole answer, in the end.
        refused: How often one was refused.
    """

    sent: int = 0
    whole: int = 0
    refused: int = 0

    @property
    def share(self) -> float:
        """The share that got a whole answer."""
        return self.whole / self.sent


class Callers:
    """One that sends the culprit, and all others.

    Attributes:
        statuses: What the culprit's caller got.
        others: What became of the others' requests.
        calm: Ids of tries that came in at a router without trouble of its own.
    """

    def __init__(self, *, world: CrashWorld) -> None:
        self.statuses: Counter[int] = Counter()
        self.others = Served()
        self.calm: set[bytes] = set()
        self._world = world
        self._dice = random.Random(world.seed)
        self._numbers = itertools.count(1)

    async def call(
        self, path: str, *, body: bytes = b"", router: int | None = None
    ) -> Answer:
        """Send a request as a caller does, to any router unless one is named."""
        running = [host for host in self._world.hosts if host.takes_callers]
        host = (
            self._dice.choice(running) if router is None else self._world.hosts[router]
        )
        assert host.parts is not None
        request_id = b"request-%d" % next(self._numbers)
        if self._world.is_calm(host):
            self.calm.add(request_id)
        heard: list[dict[str, Any]] = []
        incoming = iter([{"type": "http.request", "body": body, "more_body": False}])

        async def _receive() -> dict[str, Any]:
            message = next(incoming, None)
            if message is None:
                await anyio.sleep_forever()
            assert message is not None
            return message

        async def _send(message: Mapping[str, Any]) -> None:
            heard.append(dict(message))

        try:
            with anyio.move_on_after(CALL_TIMEOUT_SECONDS):
                await host.parts.app(self._scope(path, request_id), _receive, _send)
        except Exception:  # The server cuts the connection of an answer that broke.
            return Answer(status=0, whole=False, retry_after=None)
        return _read(heard)

    def _scope(self, path: str, request_id: bytes) -> dict[str, Any]:
        headers = {
            b"host": HOST.encode(),
            Header.REQUEST_ID: request_id,
            Header.TIME_LEFT_MS: b"%d" % (CALL_TIMEOUT_SECONDS * 1000),
            Header.KEY: KEY.encode(),
        }
        return {
            "method": "POST",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": list(headers.items()),
        }

    async def send_others(self, *, rate: float, seconds: float) -> None:
        """Send requests of other callers as they come."""
        until = anyio.current_time() + seconds
        paths = ("/stream/again/x", "/stream/x", "/safe/x")
        while anyio.current_time() < until:
            await anyio.sleep(self._dice.expovariate(rate))
            path = self._dice.choices(paths, (5, 3, 2))[0]
            self._world.tasks.start_soon(
                self._send_one_other, f"{path}{next(self._numbers)}"
            )

    async def _send_one_other(self, path: str) -> None:
        """Send a request, and once more if it may be repeated and has failed."""
        self.others.sent += 1
        for _ in range(2):
            answer = await self.call(path)
            if answer.whole:
                self.others.whole += 1
                return
            refused = answer.status == 503
            self.others.refused += refused
            if path.startswith("/stream/x") and not refused:
                return
            await anyio.sleep(min(answer.retry_after or 0.0, CALL_TIMEOUT_SECONDS / 3))

    async def send_culprit(
        self, *, pause: float, seconds: float, path: str = "/stream/again/"
    ) -> None:
        """Send a culprit again and again, whatever became of it before."""
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            self._world.tasks.start_soon(self._send_one_culprit, path + CULPRIT)
            await anyio.sleep(pause)

    async def _send_one_culprit(self, path: str) -> None:
        answer = await self.call(path, body=b"culprit")
        self.statuses[answer.status] += 1


def _read(heard: list[dict[str, Any]]) -> Answer:
    start = next(
        (each for each in heard if each["type"] == "http.response.start"), None
    )
    if start is None:
        return Answer(status=0, whole=False, retry_after=None)
    headers = {name.lower(): value for name, value in start["headers"]}
    ended = any(
        each["type"] == "http.response.body" and not each.get("more_body", False)
        for each in heard
    )
    wait = headers.get(b"retry-after")
    return Answer(
        status=start["status"],
        whole=ended and start["status"] == 200,
        retry_after=None if wait is None else float(wait),
    )
