"""The records in force, in their internal form, with the indexes for look-ups.

A record that this version of the program can't read leaves what was in force
before; only a readable newer record or a retirement replaces it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from sys import intern
from typing import TYPE_CHECKING, Any, TypeVar, cast

from sortedcontainers import SortedDict

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.logs import get_logger
from dotterelpaddle.records.codec import (
    Interpretation,
    NotUnderstood,
    Obstacle,
    Understood,
    interpret,
)
from dotterelpaddle.records.envelope import decode
from dotterelpaddle.records.model import (
    Adapter,
    Endpoint,
    InternalRecord,
    Model,
    Pool,
    Route,
    Version,
    type_of_kind,
)
from dotterelpaddle.records.schemas.route import NAME_SEPARATOR

if TYPE_CHECKING:
    from dotterelpaddle.catalog.delta import Entry
    from dotterelpaddle.ids import AccountId, PoolId, Revision, ServiceName

log = get_logger(name=__name__)

R = TypeVar("R")
S = TypeVar("S", bound=str)

KIND_OF_TYPE = {record_type: kind.value for kind, record_type in type_of_kind.items()}
"""Kind, as it stands in row keys, of each type of record."""

LISTED_TYPES = (Pool, Model, Adapter, Version)
"""Types of record of which all are asked for."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Unreadable:
    """A record that can't be read here, such as one of a newer schema.

    Attributes:
        key: Key of its row.
        revision: Its revision.
        reason: Why it can't be read.
        in_force: Revision of the record that stays in force, None for none.
    """

    key: str
    revision: Revision
    reason: str
    in_force: Revision | None


class Index:
    """Records in force by what they are looked up by."""

    def __init__(self) -> None:
        self._in_force: dict[str, InternalRecord] = {}
        self._unreadable: dict[str, Unreadable] = {}
        self._kept: dict[str, Entry] = {}
        self._listed: dict[type, SortedDict] = {
            record_type: SortedDict() for record_type in LISTED_TYPES
        }
        self._pool_endpoints: dict[PoolId, SortedDict] = {}
        self._lists: dict[tuple[type, str], tuple[Any, ...]] = {}

    @property
    def unreadable(self) -> tuple[Unreadable, ...]:
        """Records that can't be read here."""
        return tuple(self._unreadable.values())

    def apply(self, *, entry: Entry, replaced: Entry | None) -> None:
        """Bring one key's newer content into force, if it can be read.

        Args:
            entry: The newer content.
            replaced: The content that it replaces, None if there was none.
        """
        if entry.value is None:
            self._unreadable.pop(entry.key, None)
            self._remove(key=entry.key)
            return
        match _interpret(value=entry.value):
            case Understood(record=record):
                self._unreadable.pop(entry.key, None)
                self._remove(key=entry.key)
                self._add(key=entry.key, record=_share_strings(record))
            case NotUnderstood(message=reason):
                self._keep(entry=entry, replaced=replaced, reason=reason)

    def kept(self) -> tuple[Entry, ...]:
        """Older contents in force because the newest can't be read."""
        return tuple(self._kept.values())

    def named(self, *, record_type: type[R], name: str) -> R | None:
        """Find a record by type and name."""
        record = self._in_force.get(f"{KIND_OF_TYPE[record_type]}/{name}")
        return cast("R | None", record)

    def all_of(self, *, record_type: type[R]) -> tuple[R, ...]:
        """All records of a type in order of name."""
        return self._list(
            record_type=record_type, group="", records=self._listed[record_type]
        )

    def route(self, *, account: AccountId, service: ServiceName) -> Route | None:
        """Find the route of an account's service."""
        return self.named(record_type=Route, name=f"{account}{NAME_SEPARATOR}{service}")

    def endpoints(self, *, pool: PoolId) -> tuple[Endpoint, ...]:
        """All endpoints of a pool in order of name."""
        endpoints = self._pool_endpoints.get(pool)
        if endpoints is None:
            return ()
        return self._list(record_type=Endpoint, group=pool, records=endpoints)

    def _list(
        self, *, record_type: type[R], group: str, records: SortedDict
    ) -> tuple[R, ...]:
        listed = self._lists.get((record_type, group))
        if listed is None:
            listed = tuple(records.values())
            self._lists[record_type, group] = listed
        return listed

    def _keep(self, *, entry: Entry, replaced: Entry | None, reason: str) -> None:
        """Leave in force what was, and say so."""
        is_in_force = entry.key in self._in_force
        if is_in_force and entry.key not in self._kept and replaced is not None:
            self._kept[entry.key] = replaced
        kept = self._kept.get(entry.key)
        self._unreadable[entry.key] = Unreadable(
            key=entry.key,
            revision=entry.revision,
            reason=reason,
            in_force=None if kept is None else kept.revision,
        )

    def _add(self, *, key: str, record: InternalRecord) -> None:
        self._in_force[key] = record
        match record:
            case Endpoint():
                endpoints = self._pool_endpoints.setdefault(record.pool, SortedDict())
                endpoints[record.name] = record
                self._lists.pop((Endpoint, record.pool), None)
            case Pool() | Model() | Adapter() | Version():
                self._listed[type(record)][record.name] = record
                self._lists.pop((type(record), ""), None)

    def _remove(self, *, key: str) -> None:
        self._kept.pop(key, None)
        record = self._in_force.pop(key, None)
        match record:
            case Endpoint():
                endpoints = self._pool_endpoints[record.pool]
                del endpoints[record.name]
                if not endpoints:
                    del self._pool_endpoints[record.pool]
                self._lists.pop((Endpoint, record.pool), None)
            case Pool() | Model() | Adapter() | Version():
                del self._listed[type(record)][record.name]
                self._lists.pop((type(record), ""), None)


def _share_strings(record: InternalRecord) -> InternalRecord:
    """Let records that name the same things share the names' memory."""
    match record:
        case Endpoint():
            return replace(
                record,
                pool=_shared(record.pool),
                failure_domain=_shared(record.failure_domain),
                model=_shared(record.model),
                version=_shared(record.version),
            )
        case Route():
            return replace(
                record,
                service=_shared(record.service),
                pool=_shared(record.pool),
                model=_shared(record.model),
                adapter=_shared(record.adapter),
                version=_shared(record.version),
            )
    return record


def _shared(text: S) -> S:
    return cast("S", intern(text))


def _interpret(*, value: bytes) -> Interpretation:
    try:
        return interpret(envelope=decode(value=value))
    except RecordError as error:
        return NotUnderstood(obstacle=Obstacle.MALFORMED, message=error.message)
    # One record must not stop a router, whatever is wrong with it.
    except Exception as error:
        log.error("catalog_record_failed", error=repr(error))
        return NotUnderstood(obstacle=Obstacle.MALFORMED, message=repr(error))
