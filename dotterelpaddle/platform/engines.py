"""Asks model engines for what they have cached."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.exceptions import EndpointError, EndpointSilent, RecordError
from dotterelpaddle.forwarding.caches import part_tag
from dotterelpaddle.forwarding.interface import CachedParts, PromptPart
from dotterelpaddle.forwarding.model import endpoint_id
from dotterelpaddle.ids import ModelId
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.platform.decoding import parse_object
from dotterelpaddle.platform.endpoints import decode_incarnation
from dotterelpaddle.platform.names import CallPath
from dotterelpaddle.platform.protocols import announces_leaving

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.links import Links

ANSWER_TIMEOUT_SECONDS = 0.5
"""Seconds that an engine gets for its list; it is of use only at once."""

OK = 200


class EngineCacheReader:
    """Reads the lists of parts that engines keep.

    Args:
        links: The process's links.
    """

    def __init__(self, *, links: Links) -> None:
        self._backend = LinkedBackend(links=links)

    async def cached_parts(self, *, entry: EndpointEntry) -> CachedParts:
        """Return the parts of prompts that an engine has cached.

        Raises:
            EndpointError: If it gives no usable answer in time.
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
                async with httpcore.AsyncConnectionPool(
                    network_backend=self._backend
                ) as pool:
                    response = await pool.request("GET", url)
        except TimeoutError as error:
            raise EndpointSilent("no list of its cache in time", peer=peer) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise EndpointError(
                f"no list of its cache: {error!r}", peer=peer
            ) from error
        if response.status != OK:
            raise EndpointError(
                f"answered {response.status} when asked for its cache", peer=peer
            )
        return decode_cached_parts(
            content=response.content,
            entry=entry,
            leaving=announces_leaving(headers=response.headers),
        )


def decode_cached_parts(
    *, content: bytes, entry: EndpointEntry, leaving: bool = False
) -> CachedParts:
    """Decode a list; each row is an unused text, a part, its tokens, a model.

    Args:
        content: The list.
        entry: The endpoint that was asked; another start of it may have answered.
        leaving: Whether the answer says that its endpoint leaves. One that does not
            name its start may be another one at the address, and says nothing.

    Raises:
        EndpointError: If it can't be read.
    """
    try:
        document = parse_object(content)
        incarnation = decode_incarnation(document, f"{entry.endpoint}.")
        parts = tuple(
            part_tag(
                model=ModelId(model), part=PromptPart(digest=part, tokens=int(tokens))
            )
            for _, part, tokens, model in document["held"]
        )
    except (RecordError, KeyError, TypeError, ValueError) as error:
        raise EndpointError(
            f"a list of its cache that can't be read: {error!r}", peer=entry.endpoint
        ) from error
    # An answer that names no start is of the one that was asked.
    start = incarnation or entry.incarnation
    endpoint = endpoint_id(name=entry.name, incarnation=start)
    return CachedParts(
        endpoint=endpoint, parts=parts, leaving=leaving and bool(incarnation)
    )
