"""Calls the platform's store: reads what others write, keeps rows of the routers."""

from __future__ import annotations

import base64
from dataclasses import replace
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import anyio
import httpcore
import orjson

from dotterelpaddle.exceptions import (
    HistoryLost,
    PlatformAnswerLost,
    PlatformUnavailable,
)
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.revisions import FIRST_ERA, StoreRevision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.platform.learned import rows_of, values_of
from dotterelpaddle.platform.names import CallPath, Table
from dotterelpaddle.platform.operator_rows import OperatorRowDecoder
from dotterelpaddle.platform.rows import EntryRowDecoder, values_of_rows
from dotterelpaddle.platform.store_answers import (
    StoreAnswer,
    decode_answer,
    decode_era,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.address import Address
    from dotterelpaddle.forwarding.interface import DocumentDecoder, OperatorUpdate
    from dotterelpaddle.ids import Revision, RouterId, StoreEra
    from dotterelpaddle.links import Links
    from dotterelpaddle.peers.learned_rows import LearnedRows
    from dotterelpaddle.platform.rows import Row

log = get_logger(name=__name__)

ANSWER_TIMEOUT_SECONDS = 1.0
"""Timeout of an answer, in addition to the wait that the request asks for.

The store answers in 4 ms, and in sixty times that while it is slow. Only this timeout
detects a connection that has gone silent.
"""

MAX_PAGE_ROWS = 500
"""Maximum number of rows per answer."""

OK = 200
GONE = 410
CONDITION_FAILED = 412


class StoreSource:
    """Calls the platform's store.

    It reads the configuration and the endpoints' entries, and reads and writes the rows
    that belong to the routers.

    Args:
        address: Address of the store.
        documents: Decodes the values of rows.
        links: Links of the process to other hosts.
    """

    def __init__(
        self, *, address: Address, documents: DocumentDecoder, links: Links
    ) -> None:
        self._address = address
        self._operator_decoder = OperatorRowDecoder(documents=documents)
        self._entry_decoder = EntryRowDecoder(documents=documents)
        self._era: StoreEra | None = None
        self._pool = httpcore.AsyncConnectionPool(
            network_backend=LinkedBackend(links=links),
            max_connections=4,
            max_keepalive_connections=4,
        )

    @property
    def era(self) -> StoreEra | None:
        """Latest era that an answer has named, None before any answer."""
        return self._era

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def configuration(self) -> OperatorUpdate:
        """Read all rows of the operator."""
        rows, first = await self._read_all(table=Table.OPERATOR)
        update = self._operator_decoder.decode(
            rows=rows, revision=first.revision, is_snapshot=True
        )
        return replace(update, as_of=first.time)

    async def configuration_after(
        self, *, after: StoreRevision, wait: float
    ) -> OperatorUpdate:
        """Wait for changes of the operator's rows, at most `wait` seconds."""
        answer = await self._watch(table=Table.OPERATOR, after=after, wait=wait)
        update = self._operator_decoder.decode(
            rows=answer.rows, revision=answer.revision, is_snapshot=False
        )
        return replace(update, as_of=answer.time)

    async def endpoints(self) -> EndpointsUpdate:
        """Read all endpoints' entries."""
        rows, first = await self._read_all(table=Table.ENDPOINTS)
        entries, _ = self._entry_decoder.decode(rows=rows, era=first.revision.era)
        return EndpointsUpdate(
            revision=first.revision,
            entries=entries,
            is_snapshot=True,
            as_of=first.time,
        )

    async def endpoints_after(
        self, *, after: StoreRevision, wait: float
    ) -> EndpointsUpdate:
        """Wait for changes of endpoints' entries, at most `wait` seconds."""
        answer = await self._watch(table=Table.ENDPOINTS, after=after, wait=wait)
        entries, removed = self._entry_decoder.decode(
            rows=answer.rows, era=answer.revision.era
        )
        return EndpointsUpdate(
            revision=answer.revision,
            entries=entries,
            removed=removed,
            as_of=answer.time,
        )

    async def stream_rows(self) -> dict[str, bytes]:
        """Read all rows with records of streams, by their keys.

        Raises:
            PlatformError: If the store returns no valid answer in time.
        """
        return await self._read_values(table=Table.STREAMS)

    async def put_stream_rows(self, *, rows: Mapping[str, bytes]) -> None:
        """Write rows with records of streams, all or none.

        Raises:
            PlatformError: If the store does not confirm them in time.
        """
        await self.write_rows(table=Table.STREAMS, put=rows)

    async def learned_rows(self) -> LearnedRows:
        """Read the rows with what routers have learned of endpoints.

        Raises:
            PlatformError: If the store returns no valid answer in time.
        """
        return rows_of(values=await self._read_values(table=Table.CRASHES))

    async def put_learned_rows(self, *, rows: LearnedRows) -> None:
        """Write the given rows with what routers have learned, all or none.

        Raises:
            PlatformError: If the store does not confirm them in time.
        """
        await self.write_rows(table=Table.CRASHES, put=values_of(rows=rows))

    async def read_rows(self, *, table: str, key: str = "") -> StoreAnswer:
        """Read the rows of a table of the routers, or only the one with a key.

        Raises:
            PlatformError: If the store returns no valid answer in time.
        """
        if not key:
            rows, first = await self._read_all(table=table)
            return replace(first, rows=rows)
        query = {"table": table, "part": "", "from": key, "to": key + "\0", "limit": 1}
        answer = await self._get(path=CallPath.READ, query=query)
        return replace(
            answer, rows=[each for each in answer.rows if each["key"] == key]
        )

    async def write_rows(
        self,
        *,
        table: str,
        put: Mapping[str, bytes] | None = None,
        remove: Mapping[RouterId, Revision] | None = None,
    ) -> bool:
        """Write and remove rows of a table of the routers, all or none.

        Args:
            table: Table of the rows.
            put: New values, by key.
            remove: Keys of the rows to remove, with the revisions that they must have.

        Returns:
            Whether all of them had these revisions.

        Raises:
            PlatformError: If the store does not confirm the transaction in time.
        """
        put, remove = put or {}, remove or {}
        row = {"table": table, "part": ""}
        transaction = {
            "expectedRev": [
                {**row, "key": key, "ver": revision} for key, revision in remove.items()
            ],
            "put": [
                {**row, "key": key, "value": base64.b64encode(value).decode()}
                for key, value in put.items()
            ],
            "remove": [{**row, "key": key} for key in remove],
        }
        response = await self._request(
            method="POST", target=CallPath.WRITE, body=orjson.dumps(transaction)
        )
        if response.status not in (OK, CONDITION_FAILED):
            raise PlatformUnavailable(
                f"the store answered with status {response.status}",
                peer=str(self._address),
            )
        return response.status == OK

    async def _read_values(self, *, table: str) -> dict[str, bytes]:
        """Read the values of all rows of a table, by their keys."""
        rows, _ = await self._read_all(table=table)
        return values_of_rows(rows=rows)

    async def _read_all(self, *, table: str) -> tuple[list[Row], StoreAnswer]:
        """Read all rows of a table.

        Later pages may include later changes, which the next watch returns again.

        Returns:
            The rows, and the answer with the first of them.

        Raises:
            HistoryLost: If the store comes back from a copy between two pages.
            PlatformUnavailable: If the store returns no valid answer in time.
        """
        query = {"table": table, "part": "", "limit": MAX_PAGE_ROWS}
        first = page = await self._get(path=CallPath.READ, query=query)
        rows = page.rows
        while page.truncated and page.rows:
            query = {**query, "from": page.rows[-1]["key"] + "\0"}
            page = await self._get(path=CallPath.READ, query=query)
            self._check_same_era(era=page.revision.era, earlier=first.revision.era)
            rows = rows + page.rows
        return rows, first

    async def _watch(
        self, *, table: str, after: StoreRevision, wait: float
    ) -> StoreAnswer:
        """Wait for the changes of a table's rows after a revision.

        Raises:
            HistoryLost: If the store no longer has these changes, or has come back from
                a copy. Its numbers may have passed `after` again by then, so that an
                answer of a later era lacks the changes in between.
            PlatformUnavailable: If the store returns no valid answer in time.
        """
        query = {"table": table, "afterRev": after.number, "waitMs": round(wait * 1000)}
        answer = await self._get(path=CallPath.WATCH, query=query, wait=wait)
        self._check_same_era(era=answer.revision.era, earlier=after.era)
        return answer

    def _check_same_era(self, *, era: StoreEra, earlier: StoreEra) -> None:
        if era != earlier:
            raise HistoryLost(
                f"the store has come back from a copy: its era is {era}, not {earlier}",
                peer=str(self._address),
            )

    async def _get(
        self, *, path: str, query: Mapping[str, Any], wait: float = 0.0
    ) -> StoreAnswer:
        """Send one request to the store.

        Raises:
            HistoryLost: If the store has discarded the requested changes.
            PlatformUnavailable: If the store returns no valid answer in time.
        """
        peer = str(self._address)
        response = await self._request(
            method="GET", target=f"{path}?{urlencode(query)}", wait=wait
        )
        era = self._current_era(headers=response.headers, peer=peer)
        if response.status == GONE:
            raise HistoryLost(
                "the store has discarded the requested changes", peer=peer
            )
        if response.status != OK:
            raise PlatformUnavailable(
                f"the store answered with status {response.status}", peer=peer
            )
        return decode_answer(content=response.content, era=era, peer=peer)

    async def _request(
        self, *, method: str, target: str, body: bytes = b"", wait: float = 0.0
    ) -> httpcore.Response:
        """Send one request to the store and return the answer, whatever its status.

        Raises:
            PlatformAnswerLost: If a write may have taken effect without an answer.
            PlatformUnavailable: If the store returns no answer to a read in time.
        """
        url = httpcore.URL(
            scheme=b"http",
            host=self._address.host.encode(),
            port=self._address.port,
            target=target.encode(),
        )
        peer = str(self._address)
        headers = [(b"content-type", b"application/json")] if body else []
        failure = PlatformAnswerLost if body else PlatformUnavailable
        try:
            with anyio.fail_after(wait + ANSWER_TIMEOUT_SECONDS):
                return await self._pool.request(
                    method, url, headers=headers, content=body
                )
        except TimeoutError as error:
            await self._close_idle_connections()
            raise failure("the store did not answer in time", peer=peer) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            raise failure(
                f"the request to the store failed: {error!r}", peer=peer
            ) from error

    async def _close_idle_connections(self) -> None:
        """Close the connections that wait for a call; they may be silent as well."""
        for connection in self._pool.connections:
            if connection.is_idle():
                await connection.aclose()

    def _current_era(
        self, *, headers: Iterable[tuple[bytes, bytes]], peer: str
    ) -> StoreEra:
        """Return the era of an answer, the latest known one if it names none.

        Raises:
            PlatformUnavailable: If the era is no number, or the answer was made before
                the store came back from a copy.
        """
        known = self._era
        era = decode_era(headers=headers, peer=peer)
        if era is None:
            self._era = FIRST_ERA if known is None else known
            return self._era
        if known is not None and era < known:
            raise PlatformUnavailable(
                f"the store answered in era {era}, but has named era {known} before",
                peer=peer,
            )
        if era != known:
            log.info("store_era", era=era, earlier=known, peer=peer)
            self._era = era
        return era
