"""Claims: who runs a request that must run at most once, and what came of it.

A claim is a row of the platform's table, made before anything is sent. This
module knows its content and judges one that another request has made; it does
no I/O.
"""

from __future__ import annotations

import base64
import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.exceptions import PlatformError
from dotterelpaddle.ids import RequestId, RouterId

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.ids import AccountId, ServiceName
    from dotterelpaddle.pipeline import CallerRequest

DIGEST_BYTES = 16


class ClaimState(Enum):
    """What is known of the run."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordedAnswer:
    """The answer of a run, as its caller got it.

    Attributes:
        status: HTTP status.
        headers: Headers, the request id left out.
        body: Whole body.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """One claim. Times are seconds since the epoch, as hosts must agree on them.

    Attributes:
        state: What is known of the run.
        router: Router that made the claim.
        request_id: Name of the request that made it.
        digest: Digest of the request, to notice a key used for another one.
        running_until: When the run has ended at the latest.
        expires_at: When the key is forgotten.
        answer: The answer, once there is one.
    """

    state: ClaimState
    router: RouterId
    request_id: RequestId
    digest: str
    running_until: float
    expires_at: float
    answer: RecordedAnswer | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Expired:
    """The claim is forgotten: its row may be taken over."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OtherRequest:
    """The key was used for a request with other content."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The run's answer can be given again.

    Attributes:
        answer: The answer.
    """

    answer: RecordedAnswer


@dataclass(frozen=True, kw_only=True, slots=True)
class StillRunning:
    """The run may still be going on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost:
    """The run may have happened, and its answer will never be known."""


Judgement = Expired | OtherRequest | Answered | StillRunning | Lost
"""What a claim means for another request with the same key."""


def judge(*, claim: Claim, digest: str, now: float) -> Judgement:
    """Decide what a claim means for another request with the same key.

    Args:
        claim: The claim that was met.
        digest: Digest of the other request.
        now: Seconds since the epoch.
    """
    if now >= claim.expires_at:
        return Expired()
    if claim.digest != digest:
        return OtherRequest()
    if claim.answer is not None:
        return Answered(answer=claim.answer)
    if claim.state is ClaimState.RUNNING and now < claim.running_until:
        return StillRunning()
    return Lost()


def claim_key(*, account: AccountId, service: ServiceName, key: str) -> str:
    """Return the row's key of an idempotency key."""
    return f"{account}/{service}/{_digest(key.encode())}"


def request_digest(*, request: CallerRequest) -> str:
    """Digest what a request asks for."""
    head = f"{request.method} {request.path}?{request.query}\n"
    return _digest(head.encode() + request.body)


def encode_claim(*, claim: Claim) -> bytes:
    """Write a claim for the table."""
    content: dict[str, object] = {
        "state": claim.state.value,
        "router": claim.router,
        "request_id": claim.request_id,
        "digest": claim.digest,
        "running_until": claim.running_until,
        "expires_at": claim.expires_at,
    }
    if claim.answer is not None:
        content["answer"] = {
            "status": claim.answer.status,
            "headers": dict(claim.answer.headers),
            "body": base64.b64encode(claim.answer.body).decode(),
        }
    return orjson.dumps(content)


def decode_claim(*, content: bytes) -> Claim:
    """Read a claim from the table.

    Raises:
        PlatformError: If it can't be read.
    """
    try:
        fields = orjson.loads(content)
        return Claim(
            state=ClaimState(fields["state"]),
            router=RouterId(fields["router"]),
            request_id=RequestId(fields["request_id"]),
            digest=fields["digest"],
            running_until=float(fields["running_until"]),
            expires_at=float(fields["expires_at"]),
            answer=_decode_answer(fields=fields.get("answer")),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise PlatformError(f"a claim can't be read: {error!r}") from error


def _decode_answer(*, fields: dict[str, object] | None) -> RecordedAnswer | None:
    if fields is None:
        return None
    headers = fields["headers"]
    assert isinstance(headers, dict)
    return RecordedAnswer(
        status=int(str(fields["status"])),
        headers=headers,
        body=base64.b64decode(str(fields["body"])),
    )


def _digest(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
