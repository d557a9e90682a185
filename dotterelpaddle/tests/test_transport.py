"""Deadlines of reads, of which many share one timer."""

from __future__ import annotations

import asyncio

import httpcore
import pytest

from dotterelpaddle.tests.virtual_time import run_in_virtual_time
from dotterelpaddle.transport import TcpStream, _Protocol


async def _read(stream: TcpStream, *, timeout: float) -> bytes:
    return await stream.read(100, timeout)


def _come_later(protocol: _Protocol, data: bytes, *, seconds: float) -> None:
    asyncio.get_running_loop().call_later(seconds, protocol.data_received, data)


def test_timer_of_an_earlier_read_does_not_end_a_later_one() -> None:
    """Guards against answers that are given up because a read before was in a hurry."""

    async def _run() -> None:
        protocol = _Protocol()
        stream = TcpStream(protocol=protocol)
        _come_later(protocol, b"early", seconds=0.1)
        assert await _read(stream, timeout=0.2) == b"early"
        _come_later(protocol, b"late", seconds=1.0)
        assert await _read(stream, timeout=5.0) == b"late"

    run_in_virtual_time(_run)


def test_read_with_a_shorter_deadline_ends_at_its_own() -> None:
    """Guards against a read that waits as long as the one before it might have."""

    async def _run() -> None:
        protocol = _Protocol()
        stream = TcpStream(protocol=protocol)
        _come_later(protocol, b"early", seconds=0.1)
        assert await _read(stream, timeout=5.0) == b"early"
        began_at = asyncio.get_running_loop().time()
        with pytest.raises(httpcore.ReadTimeout):
            await _read(stream, timeout=0.5)
        assert asyncio.get_running_loop().time() - began_at == pytest.approx(0.5)
        _come_later(protocol, b"more", seconds=2.0)
        assert await _read(stream, timeout=5.0) == b"more"

    run_in_virtual_time(_run)
