"""Reads from model engines which prompt parts they have cached."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.exceptions import EndpointError, EndpointSilent, RecordError
from dotterelpaddle.forwarding.caches import part_tag
from dotterelpaddle.forwarding.interface import CachedParts, LifetimeMark, PromptPart
from dotterelpaddle.forwarding.model import endpoint_id
from dotterelpaddle.ids import CacheEpoch, ModelId
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.platform.decoding import parse_object
from dotterelpaddle.platform.endpoints import decode_incarnation
from dotterelpaddle.platform.names import CallPath, Field
from dotterelpaddle.platform.protocols import announces_leaving

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.use_queue import PartTag
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.links import Links

ANSWER_TIMEOUT_SECONDS = 0.5
"""Timeout of an engine's answer; a list that arrives later is out of date."""

MAX_LIST_BYTES = 4 * 1024 * 1024
"""Maximum size of a cache list; one with 10,000 parts takes less than 1 MB."""

MAX_EPOCH_LENGTH = 200
"""Characters of an epoch that are compared."""

OK = 200


class EngineCacheReader:
    """Reads the lists of cached prompt parts from engines.

    Args:
        links: Links of the process to other hosts.
    """

    def __init__(self, *, links: Links) -> None:
        self._backend = LinkedBackend(links=links)

    async def cached_parts(self, *, entry: EndpointEntry) -> CachedParts:
        """Return the prompt parts that an engine has cached.

        Raises:
            EndpointError: If the engine returns no valid answer in time.
        """
        url = httpcore.URL(
            scheme=b"http",
            host=entry.address.host.encode(),
            port=entry.address.port,
            target=CallPath.CACHE_LIST.encode(),
        )
        peer = entry.endpoint
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_SECONDS):
                async with (
                    httpcore.AsyncConnectionPool(network_backend=self._backend) as pool,
                    pool.stream("GET", url) as response,
                ):
                    content = await _read_bounded(response=response, peer=peer)
        except TimeoutError as error:
            raise EndpointSilent(
                "the engine returned no cache list in time", peer=peer
            ) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise EndpointError(
                f"reading the cache list failed: {error!r}", peer=peer
            ) from error
        if response.status != OK:
            raise EndpointError(
                f"the request for the cache list returned status {response.status}",
                peer=peer,
            )
        return decode_cached_parts(
            content=content,
            entry=entry,
            leaving=announces_leaving(headers=response.headers),
        )


async def _read_bounded(*, response: httpcore.Response, peer: EndpointId) -> bytes:
    """Read the body of an answer.

    Raises:
        EndpointError: If it is longer than any list.
    """
    parts, size = [], 0
    async for part in response.aiter_stream():
        size += len(part)
        if size > MAX_LIST_BYTES:
            raise EndpointError(
                f"the cache list exceeds {MAX_LIST_BYTES} bytes", peer=peer
            )
        parts.append(part)
    return b"".join(parts)


def decode_cached_parts(
    *, content: bytes, entry: EndpointEntry, leaving: bool = False
) -> CachedParts:
    """Decode a cache list; a row has an unused string, digest, tokens and model.

    Args:
        content: Body of the answer.
        entry: Endpoint that the router asked; another incarnation may have answered.
        leaving: Whether the answer announces that its endpoint leaves. This is
            ignored without an incarnation in the answer, since another endpoint at
            the address may have sent it.

    Raises:
        EndpointError: If the list can't be decoded.
    """
    try:
        document = parse_object(content)
        incarnation = decode_incarnation(document, f"{entry.endpoint}.")
        parts = tuple(
            _decode_part(digest=part, tokens=tokens, model=model)
            for _, part, tokens, model in document["held"]
        )
    except (RecordError, KeyError, TypeError, ValueError) as error:
        raise EndpointError(
            f"the cache list can't be decoded: {error!r}", peer=entry.endpoint
        ) from error
    # An answer without an incarnation counts as one from the endpoint asked.
    answered_by = incarnation or entry.incarnation
    endpoint = endpoint_id(name=entry.name, incarnation=answered_by)
    return CachedParts(
        endpoint=endpoint,
        parts=parts,
        leaving=leaving and bool(incarnation),
        mark=LifetimeMark(
            incarnation=incarnation, epoch=_decode_epoch(document.get(Field.EPOCH))
        ),
    )


def _decode_epoch(epoch: object) -> CacheEpoch | None:
    """Decode the epoch of a cache list, None if it is neither a number nor a text."""
    match epoch:
        case bool():
            return None
        case int() | str():
            return CacheEpoch(str(epoch)[:MAX_EPOCH_LENGTH])
    return None


def _decode_part(*, digest: object, tokens: object, model: object) -> PartTag:
    """Decode one row of a cache list.

    Raises:
        ValueError: If a field has another type.
    """
    if not isinstance(digest, str) or not isinstance(model, str):
        raise ValueError("a digest and a model must be strings")
    if not isinstance(tokens, int):
        raise ValueError("a number of tokens must be an integer")
    return part_tag(model=ModelId(model), part=PromptPart(digest=digest, tokens=tokens))
