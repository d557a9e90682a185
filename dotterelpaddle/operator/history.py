"""Past values of records, kept in the platform's object store.

Before a change replaces a value, that value is put into the object store. Each
record has a fixed number of slots that its values take in turn, so the space
stays bounded, and racing writers that replace the same value put the same
content. The newest value is in the table itself. Nothing here decides whether
a change is accepted: a value that could not be kept is reported as missing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import orjson

from dotterelpaddle.exceptions import PlatformError, RecordError
from dotterelpaddle.ids import Revision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.records.envelope import Envelope, decode

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import ObjectStore
    from dotterelpaddle.operator.record_cache import StoredRecord
    from dotterelpaddle.records.keys import RecordKey

log = get_logger(name=__name__)

SLOTS = 16
"""Past values kept of each record."""

PARALLEL = 16
"""Objects written or read at a time."""

OBJECT_PREFIX = "record-history"


@dataclass(frozen=True, kw_only=True, slots=True)
class PastValue:
    """A value that a record had.

    Attributes:
        revision: Revision of the change that wrote it.
        envelope: The value.
    """

    revision: Revision
    envelope: Envelope


class HistoryStore:
    """Keeps and finds past values.

    Args:
        objects: The object store.
    """

    def __init__(self, *, objects: ObjectStore) -> None:
        self._objects = objects

    async def keep(self, *, records: tuple[StoredRecord, ...]) -> tuple[str, ...]:
        """Keep values that are about to be replaced.

        Returns:
            A warning for each value that could not be kept.
        """
        warnings: list[str] = []
        limiter = anyio.CapacityLimiter(PARALLEL)

        async def _keep(stored: StoredRecord) -> None:
            try:
                async with limiter:
                    await self._put(stored=stored)
            except PlatformError as error:
                key = str(stored.envelope.key)
                log.warning("record_history_lost", record=key, why=str(error))
                warnings.append(
                    f"{key}: its value of revision {stored.revision}"
                    " could not be kept for the history"
                )

        async with anyio.create_task_group() as tasks:
            for stored in records:
                tasks.start_soon(_keep, stored)
        return tuple(sorted(warnings))

    async def past(self, *, key: RecordKey) -> tuple[PastValue, ...]:
        """Find the kept values of a record, newest first.

        Raises:
            PlatformError: If the object store can't be read.
        """
        found: list[PastValue] = []
        limiter = anyio.CapacityLimiter(PARALLEL)

        async def _get(slot: int) -> None:
            async with limiter:
                content = await self._objects.get(name=_name(key=key, slot=slot))
            if content is not None and (value := _read(content=content)) is not None:
                found.append(value)

        try:
            async with anyio.create_task_group() as tasks:
                for slot in range(SLOTS):
                    tasks.start_soon(_get, slot)
        except* PlatformError as group:
            raise group.exceptions[0] from None
        return tuple(sorted(found, key=lambda value: -value.revision))

    async def _put(self, *, stored: StoredRecord) -> None:
        slot = stored.envelope.provenance.sequence % SLOTS
        content = orjson.dumps(
            {"revision": stored.revision, "value": stored.value.decode()}
        )
        await self._objects.put(
            name=_name(key=stored.envelope.key, slot=slot), content=content
        )


def _name(*, key: RecordKey, slot: int) -> str:
    return f"{OBJECT_PREFIX}/{key}/{slot}"


def _read(*, content: bytes) -> PastValue | None:
    try:
        document = orjson.loads(content)
        return PastValue(
            revision=Revision(int(document["revision"])),
            envelope=decode(value=document["value"].encode()),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecordError) as error:
        log.warning("record_history_unreadable", why=str(error))
        return None
