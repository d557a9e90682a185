"""What the project asks of the platform, whatever its wire format.

Nothing outside this package knows how the platform spells a request. A client
of another platform implements these protocols.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dotterelpaddle.address import Address
    from dotterelpaddle.ids import AttemptId, FailureDomain, Revision, RouterId


class TableName(Enum):
    """Tables of the project, each with revisions of its own."""

    RECORDS = "records"
    LEASES = "leases"
    CLAIMS = "claims"


@dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """One row of a table.

    Attributes:
        key: Its key.
        revision: Revision of the transaction that wrote it.
        value: Its content, or None once it is deleted.
        attempt: Name of the attempt that wrote it.
    """

    key: str
    revision: Revision
    value: bytes | None
    attempt: AttemptId


@dataclass(frozen=True, kw_only=True, slots=True)
class Write:
    """One compare-and-set of a transaction.

    Attributes:
        key: The row.
        expected: Revision the row must have, 0 if it must not exist, None if
            any will do.
        value: New content, or None to delete the row.
    """

    key: str
    expected: Revision | None
    value: bytes | None


@dataclass(frozen=True, kw_only=True, slots=True)
class Check:
    """A row that must be unchanged for a transaction to commit.

    Attributes:
        key: The row.
        expected: Revision it must have, 0 if it must not exist.
    """

    key: str
    expected: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Transaction:
    """Writes that take effect together or not at all.

    Attributes:
        attempt: Name under which a lost answer can be looked up.
        writes: The compare-and-sets.
        checks: Rows that must be unchanged.
    """

    attempt: AttemptId
    writes: tuple[Write, ...]
    checks: tuple[Check, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Commit:
    """A transaction that took effect.

    Attributes:
        revision: The table's revision that it made.
    """

    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangePage:
    """Part of a table's change log.

    Attributes:
        rows: Changed rows in order of revision, deleted ones included.
        head: Newest revision of the table.
        complete: Whether the page reaches the head.
    """

    rows: tuple[Row, ...]
    head: Revision
    complete: bool


class Table(Protocol):
    """A transactional table with a change log."""

    async def transact(self, *, transaction: Transaction) -> Commit:
        """Commit a transaction.

        Raises:
            TableConflict: If a row has another revision; nothing took effect.
            PlatformUnavailable: If nothing took effect for another reason.
            PlatformAnswerLost: If it may have taken effect.
        """

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read rows by key; rows that never existed are left out."""

    async def changes(self, *, after: Revision, limit: int) -> ChangePage:
        """Read the change log after a revision."""

    async def find_attempt(self, *, attempt: AttemptId) -> Commit | None:
        """Tell whether an attempt took effect, None if it did not.

        The platform fences the attempt when asked: one that has not taken
        effect by then never will.
        """


class ObjectStore(Protocol):
    """Whole objects by name."""

    async def put(self, *, name: str, content: bytes) -> None:
        """Write an object."""

    async def get(self, *, name: str) -> bytes | None:
        """Read an object, None if there is none."""


class HostState(Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class Host:
    """A host of the system on the platform's list.

    Attributes:
        router: Name of its router process.
        address: Its address for messages between routers.
        failure_domain: Where it is.
        state: Live or leaving.
    """

    router: RouterId
    address: Address
    failure_domain: FailureDomain
    state: HostState


class HostList(Protocol):
    """The platform's lagging list of hosts."""

    async def hosts(self) -> tuple[Host, ...]:
        """Read the list, which may be some seconds old."""

    async def register(self, *, host: Host) -> None:
        """Announce a host, or its leaving."""

    async def deregister(self, *, router: RouterId) -> None:
        """Take a host off the list."""


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def reserve(self, *, name: str, size: int) -> float:
        """Ask for a transfer.

        Returns:
            Seconds after which it may start.
        """


@dataclass(frozen=True, kw_only=True, slots=True)
class Platform:
    """All parts of the platform's service.

    Attributes:
        records: Table of operators' records.
        leases: Table of leases.
        claims: Table of idempotency claims.
        objects: Object store.
        hosts: Host list.
        weights: Weight store.
    """

    records: Table
    leases: Table
    claims: Table
    objects: ObjectStore
    hosts: HostList
    weights: WeightStore
