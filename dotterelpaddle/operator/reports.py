"""What the operator interface answers, as typed messages of its wire format.

The server and the client share these classes; pydantic turns them into JSON
and back.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any


class ChangeAction(Enum):
    """What a change does to a record."""

    CREATED = "created"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    RETIRED = "retired"


@dataclass(frozen=True, kw_only=True)
class RecordDocument:
    """A record as it stands in the table.

    Attributes:
        kind: Its kind.
        schema: Schema version of its content.
        name: Its name.
        spec: Its content.
        revision: Revision of the change that wrote it.
        writer: Who wrote it, empty if unknown.
        written_at: When, in ISO 8601 and UTC, empty if unknown.
        problem: Why the router asked can't use it, empty if it can.
    """

    kind: str
    schema: int
    name: str
    spec: dict[str, Any]
    revision: int = 0
    writer: str = ""
    written_at: str = ""
    problem: str = ""


@dataclass(frozen=True, kw_only=True)
class RecordList:
    """Records of the table.

    Attributes:
        revision: Revision of the table that they were read at.
        records: The records, sorted by kind and name.
    """

    revision: int
    records: tuple[RecordDocument, ...]


@dataclass(frozen=True, kw_only=True)
class RecordChange:
    """What a change does, or would do, to one record.

    Attributes:
        kind: Its kind.
        name: Its name.
        action: What happens to it.
        revision: Its revision afterwards; of a dry run the one it has now.
        same_meaning: Whether both contents mean the same to routers, as in a
            migration to another schema version.
        diff: Unified diff of the record's YAML, of a dry run only.
    """

    kind: str
    name: str
    action: ChangeAction
    revision: int
    same_meaning: bool = False
    diff: str = ""


@dataclass(frozen=True, kw_only=True)
class ChangeReport:
    """An accepted change, or what it would be.

    Attributes:
        revision: Revision to wait for: the change's own, or of a change
            without effect the newest among its records.
        changes: What happens to each record.
        dry_run: Whether nothing was written.
        attempt: Name of the attempt that wrote it, empty if nothing was written.
        answer_recovered: Whether the platform's answer got lost and the
            outcome was looked up.
        warnings: What an operator should know.
    """

    revision: int
    changes: tuple[RecordChange, ...]
    dry_run: bool = False
    attempt: str = ""
    answer_recovered: bool = False
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AttemptReport:
    """What became of an attempt whose answer got lost.

    Attributes:
        attempt: Its name.
        accepted: Whether it took effect; if not, it never will.
        revision: Its revision, 0 if it did not take effect.
    """

    attempt: str
    accepted: bool
    revision: int = 0


class ValueState(Enum):
    """What became of one value of a record."""

    NEWEST = "newest"
    PAST = "past"
    RETIRED = "retired"


@dataclass(frozen=True, kw_only=True)
class HistoryEntry:
    """One value that a record had.

    Attributes:
        revision: Revision of the change that wrote it.
        state: Whether it is the newest one, a past one or a retirement.
        record: The value, None for a retirement.
    """

    revision: int
    state: ValueState
    record: RecordDocument | None = None


@dataclass(frozen=True, kw_only=True)
class HistoryReport:
    """The recent values of a record.

    Attributes:
        kind: Its kind.
        name: Its name.
        entries: The values, newest first.
        complete: Whether no older value was left out or lost.
    """

    kind: str
    name: str
    entries: tuple[HistoryEntry, ...]
    complete: bool = True


@dataclass(frozen=True, kw_only=True)
class DiffReport:
    """How two values of a record differ.

    Attributes:
        kind: Its kind.
        name: Its name.
        old: Revision of the older value.
        new: Revision of the newer value.
        same_meaning: Whether both mean the same to routers.
        diff: Unified diff of the record's YAML.
    """

    kind: str
    name: str
    old: int
    new: int
    same_meaning: bool
    diff: str


@dataclass(frozen=True, kw_only=True)
class Clash:
    """A record that another writer changed first.

    Attributes:
        kind: Its kind.
        name: Its name.
        expected: Revision that the refused change expected, 0 for none.
        yours: What the refused change would have written, None to retire it.
        theirs: What stands in the table, None if it is retired.
        revision: Revision of what stands in the table.
    """

    kind: str
    name: str
    expected: int
    yours: RecordDocument | None
    theirs: RecordDocument | None
    revision: int


class ErrorType(Enum):
    """Kinds of error of the operator interface."""

    MALFORMED = "malformed"
    REFUSED = "refused"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    NOT_AUTHENTICATED = "not_authenticated"
    UNAVAILABLE = "unavailable"
    NOTHING_ACCEPTED = "nothing_accepted"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TOO_LARGE = "too_large"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class ErrorReport:
    """Why something was not done.

    Attributes:
        type: Kind of error.
        message: What went wrong and what to change.
        step: Where it arose.
        peer: The other side, empty if there is none.
        field: Dotted path of the field to change, empty if there is none.
        attempt: Name to ask for the outcome with, empty if it is known.
        clashes: Records that another writer changed first.
    """

    type: ErrorType
    message: str
    step: str
    peer: str = ""
    field: str = ""
    attempt: str = ""
    clashes: tuple[Clash, ...] = ()
