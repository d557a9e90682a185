"""Asks model engines for what they have cached."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import httpcore
import orjson

from dotterelpaddle.exceptions import EndpointError, EndpointSilent
from dotterelpaddle.forwarding.caches import part_tag
from dotterelpaddle.forwarding.interface import PromptPart
from dotterelpaddle.ids import ModelId
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.platform.names import Call

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import PartTag
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.links import Links

ANSWER_TIME = 0.5
"""Seconds that an engine gets for its list; it is of use only at once."""

OK = 200


class EngineCaches:
    """Reads the lists of parts that engines keep.

    Args:
        links: The process's links.
    """

    def __init__(self, *, links: Links) -> None:
        self._backend = LinkedBackend(links=links)

    async def cached_parts(self, *, entry: EndpointEntry) -> list[PartTag]:
        """Return the parts of prompts that an engine has cached.

        Raises:
            EndpointError: If it gives no usable answer in time.
        """
        url = httpcore.URL(
            scheme=b"http",
            host=entry.address.host.encode(),
            port=entry.address.port,
            target=Call.CACHE_LIST.encode(),
        )
        peer = entry.endpoint
        try:
            with anyio.fail_after(ANSWER_TIME):
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
        return _parts(content=response.content, peer=peer)


def _parts(*, content: bytes, peer: str) -> list[PartTag]:
    """Decode a list; each entry is an unused text, a part, its tokens, a model."""
    try:
        return [
            part_tag(
                model=ModelId(model), part=PromptPart(part=part, tokens=int(tokens))
            )
            for _, part, tokens, model in orjson.loads(content)["held"]
        ]
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise EndpointError(
            f"a list of its cache that can't be read: {error!r}", peer=peer
        ) from error
