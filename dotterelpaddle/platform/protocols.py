"""Decodes and encodes HTTP heads of callers' requests and endpoints' answers."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from dotterelpaddle.counts import parse_count
from dotterelpaddle.exceptions import MalformedRequest
from dotterelpaddle.forwarding.interface import (
    AnswerHead,
    EndpointLoad,
    ForwardRequest,
    Headers,
    PromptPart,
    RequestMetadata,
    TokenCount,
)
from dotterelpaddle.ids import ModelId, RequestId
from dotterelpaddle.platform.names import (
    HOP_BY_HOP_HEADERS,
    ROUTER_ONLY_HEADERS,
    Header,
)
from dotterelpaddle.platform.retry_after import decode_retry_after

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MISDIRECTED_STATUS = 421
LOWEST_PRIORITY = 9

TRUE_VALUE = "1"
"""Value of a boolean header that is true."""

_TOKEN_COUNT = re.compile(r"([0-9]{1,18})\s*,\s*([0-9]{1,18})")
_PART = re.compile(r"\s*([0-9a-fA-F]+):([0-9]+)\s*")
_FIGURE = r"\s*(\d{1,9})\s*"
_LOAD = re.compile(f"{_FIGURE},{_FIGURE},{_FIGURE}(?:,{_FIGURE})?", re.ASCII)


class PlatformCodec:
    """Decodes and encodes heads of requests and answers on the platform's wire."""

    def decode_request(self, *, scope: Mapping[str, Any]) -> ForwardRequest:
        """Decode the head of a caller's request.

        Raises:
            MalformedRequest: If it has no id or an invalid deadline.
        """
        raw: Sequence[tuple[bytes, bytes]] = scope["headers"]
        headers = dict(raw)
        request_id = _text(headers, Header.REQUEST_ID)
        if not request_id:
            raise MalformedRequest(
                f"the header {Header.REQUEST_ID.decode()} with a request id is missing"
            )
        dropped = HOP_BY_HOP_HEADERS | _connection_headers(headers)
        query = scope["query_string"]
        raw_path = scope["raw_path"]
        return ForwardRequest(
            request_id=RequestId(request_id),
            method=scope["method"],
            host=_host(headers),
            path=scope["path"],
            target=raw_path + b"?" + query if query else raw_path,
            headers=[
                (name, value)
                for name, value in raw
                if name not in dropped and name not in ROUTER_ONLY_HEADERS
            ],
            key=_text(headers, Header.KEY),
            time_left=_time_left(headers),
            model=ModelId(_text(headers, Header.MODEL)),
            prompt=_prompt(_text(headers, Header.PROMPT_PREFIX)),
            last_event_id=_text(headers, Header.LAST_EVENT_ID),
            resumes=_resumes(headers),
            token_count=_token_count(_text(headers, Header.TOKEN_COUNT)),
        )

    def encode_headers(
        self, *, request: ForwardRequest, metadata: RequestMetadata, time_left: float
    ) -> Headers:
        """Return the headers of a request to an endpoint."""
        headers = list(request.headers)
        headers.append((Header.EXPECTED_ENDPOINT, metadata.endpoint.encode()))
        headers.append((Header.TIME_LEFT_MS, b"%d" % (time_left * 1000)))
        if metadata.account is not None:
            headers.append((Header.ACCOUNT, metadata.account.name.encode()))
        if metadata.priority is not None and request.prompt:
            headers.append(
                (Header.PRIORITY, b"%d" % min(metadata.priority, LOWEST_PRIORITY))
            )
        if metadata.last_event_id:
            headers.append(
                (Header.LAST_EVENT_ID, metadata.last_event_id.encode("latin-1"))
            )
        if metadata.fetch_from is not None:
            headers.append((Header.FETCH_FROM, str(metadata.fetch_from).encode()))
        return headers

    def decode_answer(
        self, *, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> AnswerHead:
        """Decode the head of an endpoint's answer."""
        lowered = [(name.lower(), value) for name, value in headers]
        by_name = dict(lowered)
        dropped = HOP_BY_HOP_HEADERS | _connection_headers(by_name)
        return AnswerHead(
            status=status,
            headers=[(name, value) for name, value in lowered if name not in dropped],
            request_id=_text(by_name, Header.REQUEST_ID),
            has_origin_proof=Header.ORIGIN_PROOF in by_name,
            not_executed=Header.NOT_EXECUTED in by_name,
            wrong_endpoint=status == MISDIRECTED_STATUS,
            has_unexpected_encoding=b"content-encoding" in by_name,
            leaving=announces_leaving(headers=lowered),
            retry_after=decode_retry_after(headers=by_name),
            rejection_limit=_rejection_limit(by_name),
            load=_load(by_name),
        )


def announces_leaving(*, headers: Sequence[tuple[bytes, bytes]]) -> bool:
    """Tell whether an answer's headers announce that its endpoint leaves."""
    by_name = {name.lower(): value for name, value in headers}
    return _text(by_name, Header.LEAVING) == TRUE_VALUE


def _rejection_limit(headers: Mapping[bytes, bytes]) -> int | None:
    """Decode the number of rejections that an endpoint bears; None if it names none."""
    text = _text(headers, Header.REJECTION_LIMIT)
    return parse_count(digits=text) if text.isascii() and text.isdigit() else None


def _load(headers: Mapping[bytes, bytes]) -> EndpointLoad | None:
    """Decode the load that an endpoint reports; None if it is absent or malformed."""
    match = _LOAD.fullmatch(_text(headers, Header.LOAD))
    if match is None:
        return None
    running, waiting, slots, percent = match.groups()
    # Work that takes no time at all is a fault of the writer.
    if percent is not None and int(percent) == 0:
        return None
    return EndpointLoad(
        running=int(running),
        waiting=int(waiting),
        slots=int(slots),
        slowdown=None if percent is None else int(percent) / 100,
    )


def _text(headers: Mapping[bytes, bytes], name: bytes) -> str:
    return headers.get(name, b"").decode("latin-1").strip()


def _resumes(headers: Mapping[bytes, bytes]) -> RequestId | None:
    """Decode which attempt of the caller began the stream that it resumes."""
    text = _text(headers, Header.RESUMES)
    return RequestId(text) if text else None


def _host(headers: Mapping[bytes, bytes]) -> str:
    return _text(headers, b"host").rpartition(":")[0].lower() or (
        _text(headers, b"host").lower()
    )


def _connection_headers(headers: Mapping[bytes, bytes]) -> frozenset[bytes]:
    names = headers.get(b"connection", b"").lower().split(b",")
    return frozenset(name.strip() for name in names)


def _time_left(headers: Mapping[bytes, bytes]) -> float | None:
    text = _text(headers, Header.TIME_LEFT_MS)
    if not text:
        return None
    try:
        return max(0.0, float(text)) / 1000
    except ValueError as error:
        raise MalformedRequest(
            f"{Header.TIME_LEFT_MS.decode()} must be milliseconds, not {text!r}"
        ) from error


def _prompt(text: str) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt; skip invalid ones, and bound their tokens."""
    parts = []
    for entry in text.split(",") if text else ():
        match = _PART.fullmatch(entry)
        if match is not None:
            tokens = parse_count(digits=match[2])
            parts.append(PromptPart(digest=match[1], tokens=tokens))
    return tuple(parts)


def _token_count(text: str) -> TokenCount | None:
    """Decode the tokens that a request states, None if they can't be read."""
    match = _TOKEN_COUNT.fullmatch(text)
    if match is None:
        return None
    return TokenCount(prompt=int(match[1]), max_output=int(match[2]))
