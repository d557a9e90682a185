"""What counts as one whole answer on a connection, and what must not."""

from __future__ import annotations

from typing import Any

import anyio
import httpcore
import pytest
from hypothesis import given, strategies as st

from dotterelpaddle.endpoint.http_connection import MAX_FRAMING_BYTES, HttpConnection

HEAD = b"HTTP/1.1 200 OK\r\nX-Name: value\r\n"
CHUNKED = (
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
)
SIZED = HEAD + b"Content-Length: 11\r\n\r\nhello world"
UNSIZED = HEAD + b"\r\nhello world"
WHOLE = [CHUNKED, SIZED, UNSIZED]


class Stream:
    """A connection on which some bytes come, and then its end."""

    def __init__(
        self, *parts: bytes, error: Exception | None = None, more: bool = False
    ) -> None:
        self.parts = list(parts)
        self.error = error
        self.more = more
        self.written = b""
        self.closed = False

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self.written += buffer

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if self.parts:
            return self.parts.pop(0)
        if self.error is not None:
            raise self.error
        assert not self.more, "read beyond the answer"
        return b""

    async def aclose(self) -> None:
        self.closed = True

    def get_extra_info(self, info: str) -> Any:
        return bool(self.parts)


def _request(method: str = "POST", **headers: str) -> httpcore.Request:
    return httpcore.Request(
        method=method,
        url="http://10.0.0.1:80/a?b",
        headers=[("host", "a.example"), ("content-length", "4"), *headers.items()],
        content=b"body",
    )


async def _exchange(
    connection: HttpConnection, request: httpcore.Request
) -> tuple[httpcore.Response, bytes]:
    response = await connection.handle_async_request(request)
    try:
        return response, b"".join([part async for part in response.aiter_stream()])
    finally:
        await response.aclose()


def _run(stream: Any, request: httpcore.Request | None = None) -> tuple[Any, ...]:
    connection = HttpConnection(stream=stream)
    response, body = anyio.run(_exchange, connection, request or _request())
    return connection, response, body


@given(
    answer=st.sampled_from(WHOLE),
    cuts=st.lists(st.integers(1, 100), max_size=6).map(sorted),
)
def test_answer_is_the_same_however_it_is_cut(answer: bytes, cuts: list[int]) -> None:
    places = [0, *cuts, len(answer)]
    parts = [answer[a:b] for a, b in zip(places, places[1:], strict=False)]
    stream = Stream(*[part for part in parts if part])
    connection, response, body = _run(stream)

    assert response.status == 200
    assert (b"X-Name", b"value") in response.headers
    assert body == b"hello world"
    assert connection.is_idle() == (answer != UNSIZED)


def test_request_is_sent_as_it_is() -> None:
    stream = Stream(SIZED, more=True)
    _run(stream)

    assert stream.written == (
        b"POST /a?b HTTP/1.1\r\nhost: a.example\r\ncontent-length: 4\r\n\r\nbody"
    )


@pytest.mark.parametrize(
    "header", [{"x": "a\r\nhost: b"}, {"x\r\ny": "a"}, {"x": "a\x00"}, {"x y": "a"}]
)
def test_header_that_would_be_another_request_is_not_sent(
    header: dict[str, str],
) -> None:
    """Guards against requests that are smuggled inside another one."""
    stream = Stream(SIZED)
    with pytest.raises(httpcore.LocalProtocolError):
        _run(stream, _request(**header))

    assert stream.written == b""


@pytest.mark.parametrize("answer", [CHUNKED, SIZED])
def test_answer_that_ends_early_is_not_whole(answer: bytes) -> None:
    """Guards against a cut answer that callers take for a whole one."""
    for length in range(1, len(answer)):
        stream = Stream(answer[:length])
        with pytest.raises(httpcore.RemoteProtocolError):
            _run(stream)
        assert stream.closed


def test_answer_without_length_that_ends_within_its_head_is_not_whole() -> None:
    """Guards against a cut head that callers take for an answer without a body."""
    for length in range(1, UNSIZED.index(b"hello")):
        stream = Stream(UNSIZED[:length])
        with pytest.raises(httpcore.RemoteProtocolError):
            _run(stream)
        assert stream.closed


def test_answer_without_length_that_is_reset_is_not_whole() -> None:
    with pytest.raises(httpcore.ReadError):
        _run(Stream(UNSIZED, error=httpcore.ReadError("reset")))


@pytest.mark.parametrize("extra", [b"HTTP/1.1 200 OK\r\n\r\n", b"garbage", b"\x00"])
@pytest.mark.parametrize("answer", [CHUNKED, SIZED])
def test_bytes_after_an_answer_belong_to_no_request(
    answer: bytes, extra: bytes
) -> None:
    """Guards against an answer that is taken for that of the next request."""
    connection, _, body = _run(Stream(answer + extra))

    assert body == b"hello world"
    assert not connection.is_idle()


def test_bytes_that_come_while_idle_end_the_connection() -> None:
    stream = Stream(SIZED, SIZED, more=True)
    connection, _, _ = _run(stream)

    assert connection.is_idle()
    assert connection.has_expired()


@pytest.mark.parametrize(
    "answer",
    [
        b"garbage\r\n\r\n",
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        HEAD + b"X: " + MAX_FRAMING_BYTES * b"x" + b"\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ],
)
def test_bytes_that_are_no_answer_are_refused(answer: bytes) -> None:
    with pytest.raises(httpcore.RemoteProtocolError):
        _run(Stream(answer))


def test_word_that_the_answer_is_coming_is_not_the_answer() -> None:
    connection, response, body = _run(
        Stream(b"HTTP/1.1 100 Continue\r\n\r\n" + SIZED, more=True)
    )

    assert (response.status, body) == (200, b"hello world")
    assert connection.is_idle()


def test_answer_to_head_has_no_body() -> None:
    connection, response, body = _run(
        Stream(HEAD + b"Content-Length: 11\r\n\r\n", more=True), _request("HEAD")
    )

    assert (response.status, body) == (200, b"")
    assert not connection.is_idle()


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_answer_without_body_needs_no_length(status: bytes) -> None:
    connection, _, body = _run(Stream(b"HTTP/1.1 " + status + b"\r\n\r\n", more=True))

    assert body == b""
    assert connection.is_idle()


@pytest.mark.parametrize(
    "answer",
    [SIZED.replace(HEAD, HEAD + b"Connection: close\r\n"), b"HTTP/1.0" + SIZED[8:]],
)
def test_connection_that_the_other_end_closes_is_not_kept(answer: bytes) -> None:
    connection, _, body = _run(Stream(answer))

    assert body == b"hello world"
    assert not connection.is_idle()


def test_connection_carries_one_exchange_after_the_other() -> None:
    async def _twice() -> list[bytes]:
        connection = HttpConnection(stream=stream)  # type: ignore[arg-type]
        bodies = []
        for answer in (SIZED, CHUNKED):
            stream.parts.append(answer)
            bodies.append((await _exchange(connection, _request()))[1])
        return bodies

    stream = Stream(more=True)

    assert anyio.run(_twice) == [b"hello world", b"hello world"]
    assert not stream.closed
