"""Endpoints that stop in the middle of their answer's head and close."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dotterelpaddle.standins.runner import RunnerStandin
from dotterelpaddle.tests.forwarding.harness import run_fleet

if TYPE_CHECKING:
    from anyio.abc import SocketStream

    from dotterelpaddle.standins.behaviours import Behaviour
    from dotterelpaddle.standins.runner import Received

pytestmark = pytest.mark.anyio

CUTS = (b"200", b"x-dotterelpaddle-runner-seal", b"seal\r\n")
"""Texts of the head after which an endpoint closes."""


def _head(request: Received, *, framing: bytes) -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\n" + framing + b"x-dotterelpaddle-attempt-id: "
        b"%b\r\nx-dotterelpaddle-runner-seal: seal\r\n\r\n" % request.request_id
    )


# Guards against a success with an empty or short body that is framed as whole, after an
# endpoint that closed within its head.
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/again/x"])
@pytest.mark.parametrize("cut", CUTS)
async def test_answer_cut_within_its_head_is_no_success(
    cut: bytes, path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def cut_head(
        runner: RunnerStandin,
        stream: SocketStream,
        request: Received,
        behaviour: Behaviour,
    ) -> bool:
        runner.runs.append(request)
        head = _head(request, framing=b"connection: close\r\n")
        await stream.send(head[: head.rindex(cut) + len(cut)])
        return False

    monkeypatch.setattr(RunnerStandin, "_answer", cut_head)
    async with run_fleet() as fleet:
        answer = await fleet.call(path)

    assert answer.status == 502
