"""JSON forms of the platform's requests and answers.

Only this module and `dotterelpaddle.backing.http` know the platform's paths
and field names.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import orjson

from dotterelpaddle.address import Address
from dotterelpaddle.backing.interface import (
    ChangePage,
    Commit,
    Host,
    HostState,
    Row,
)
from dotterelpaddle.ids import AttemptId, FailureDomain, Revision, RouterId

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import TableName, Transaction

HOSTS_PATH = "/v1/hosts"
RESERVATIONS_PATH = "/v1/weights/reservations"


def table_path(*, table: TableName, action: str) -> str:
    """Path of an action on a table."""
    return f"/v1/tables/{table.value}/{action}"


def attempt_path(*, table: TableName, attempt: AttemptId) -> str:
    """Path under which an attempt is looked up."""
    return table_path(table=table, action=f"attempts/{quote(attempt, safe='')}")


def changes_path(*, table: TableName, after: Revision, limit: int) -> str:
    """Path of a part of a table's change log."""
    return table_path(table=table, action=f"changes?after={after}&limit={limit}")


def object_path(*, name: str) -> str:
    """Path of an object; slashes in its name are part of the path."""
    return f"/v1/objects/{quote(name)}"


def host_path(*, router: RouterId) -> str:
    """Path of one entry of the host list."""
    return f"{HOSTS_PATH}/{quote(router, safe='')}"


def encode_transaction(*, transaction: Transaction) -> bytes:
    """Write a transaction as a request body."""
    return orjson.dumps(
        {
            "attempt": transaction.attempt,
            "writes": [
                {
                    "key": write.key,
                    "expected": write.expected,
                    "value": _encode_value(write.value),
                }
                for write in transaction.writes
            ],
            "checks": [
                {"key": check.key, "expected": check.expected}
                for check in transaction.checks
            ],
        }
    )


def encode_keys(*, keys: tuple[str, ...]) -> bytes:
    """Write the body of a read by key."""
    return orjson.dumps({"keys": keys})


def encode_host(*, host: Host) -> bytes:
    """Write an entry of the host list."""
    return orjson.dumps(
        {
            "host": host.address.host,
            "port": host.address.port,
            "failure_domain": host.failure_domain,
            "state": host.state.value,
        }
    )


def encode_reservation(*, name: str, size: int) -> bytes:
    """Write the body of a weight transfer's reservation."""
    return orjson.dumps({"name": name, "size": size})


def decode_commit(body: bytes) -> Commit:
    """Read the answer to a committed transaction."""
    return Commit(revision=Revision(orjson.loads(body)["revision"]))


def decode_attempt(body: bytes) -> Commit | None:
    """Read the answer to a look-up of an attempt."""
    revision = orjson.loads(body)["revision"]
    return None if revision is None else Commit(revision=Revision(revision))


def decode_conflicts(body: bytes) -> tuple[Row, ...]:
    """Read the rows that a refused transaction met."""
    return _decode_rows(orjson.loads(body)["conflicts"])


def decode_rows(body: bytes) -> tuple[Row, ...]:
    """Read the answer to a read by key."""
    return _decode_rows(orjson.loads(body)["rows"])


def decode_changes(body: bytes) -> ChangePage:
    """Read a part of the change log."""
    page = orjson.loads(body)
    return ChangePage(
        rows=_decode_rows(page["rows"]),
        head=Revision(page["head"]),
        complete=page["complete"],
    )


def decode_hosts(body: bytes) -> tuple[Host, ...]:
    """Read the host list."""
    return tuple(
        Host(
            router=RouterId(host["router"]),
            address=Address(host=host["host"], port=host["port"]),
            failure_domain=FailureDomain(host["failure_domain"]),
            state=HostState(host["state"]),
        )
        for host in orjson.loads(body)["hosts"]
    )


def decode_reservation(body: bytes) -> float:
    """Read in how many seconds a weight transfer may start."""
    return float(orjson.loads(body)["start_in"])


def _decode_rows(rows: list[dict[str, Any]]) -> tuple[Row, ...]:
    return tuple(
        Row(
            key=row["key"],
            revision=Revision(row["revision"]),
            value=None if row["value"] is None else b64decode(row["value"]),
            attempt=AttemptId(row["attempt"]),
        )
        for row in rows
    )


def _encode_value(value: bytes | None) -> str | None:
    return None if value is None else b64encode(value).decode()
