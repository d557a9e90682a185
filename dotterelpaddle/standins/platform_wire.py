"""How the platform stand-in spells its requests and answers."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

from pydantic import BaseModel, ConfigDict

from dotterelpaddle.address import Address
from dotterelpaddle.backing.interface import (
    Check,
    Host,
    HostState,
    Transaction,
    Write,
)
from dotterelpaddle.ids import AttemptId, FailureDomain, Revision, RouterId

if TYPE_CHECKING:
    from dotterelpaddle.backing.interface import ChangePage, Row


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class WriteBody(_Body):
    """One compare-and-set; the value is in base64."""

    key: str
    expected: int | None = None
    value: str | None = None


class CheckBody(_Body):
    """A row that must be unchanged."""

    key: str
    expected: int


class TransactionBody(_Body):
    """Body of a transaction."""

    attempt: str
    writes: tuple[WriteBody, ...]
    checks: tuple[CheckBody, ...] = ()

    def transaction(self) -> Transaction:
        """Return the platform interface's form."""
        return Transaction(
            attempt=AttemptId(self.attempt),
            writes=tuple(_write(body=body) for body in self.writes),
            checks=tuple(
                Check(key=body.key, expected=Revision(body.expected))
                for body in self.checks
            ),
        )


class ReadBody(_Body):
    """Body of a read by keys."""

    keys: tuple[str, ...]


class HostBody(_Body):
    """Body of an announcement of a host."""

    host: str
    port: int
    failure_domain: str
    state: HostState = HostState.LIVE

    def entry(self, *, router: RouterId) -> Host:
        """Return the platform interface's form."""
        return Host(
            router=router,
            address=Address(host=self.host, port=self.port),
            failure_domain=FailureDomain(self.failure_domain),
            state=self.state,
        )


class ReservationBody(_Body):
    """Body of a reservation at the weight store."""

    name: str
    size: int


def row_content(*, row: Row) -> dict[str, Any]:
    """Spell a row."""
    value = None if row.value is None else base64.b64encode(row.value).decode()
    return {
        "key": row.key,
        "revision": row.revision,
        "value": value,
        "attempt": row.attempt,
    }


def page_content(*, page: ChangePage) -> dict[str, Any]:
    """Spell a page of the change log."""
    return {
        "rows": [row_content(row=row) for row in page.rows],
        "head": page.head,
        "complete": page.complete,
    }


def host_content(*, host: Host) -> dict[str, Any]:
    """Spell an entry of the host list."""
    return {
        "router": host.router,
        "host": host.address.host,
        "port": host.address.port,
        "failure_domain": host.failure_domain,
        "state": host.state.value,
    }


def _write(*, body: WriteBody) -> Write:
    value = None if body.value is None else base64.b64decode(body.value)
    expected = None if body.expected is None else Revision(body.expected)
    return Write(key=body.key, expected=expected, value=value)
