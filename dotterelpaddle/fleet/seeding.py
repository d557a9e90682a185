"""Writes records straight into the platform stand-in's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.backing.interface import TableName, Transaction, Write
from dotterelpaddle.ids import AttemptId
from dotterelpaddle.records.envelope import encode

if TYPE_CHECKING:
    from dotterelpaddle.ids import Revision
    from dotterelpaddle.records.envelope import Envelope
    from dotterelpaddle.standins.platform import PlatformStandin

FIRST_ATTEMPT = AttemptId("records-of-the-shape")


def write_records(
    *, platform: PlatformStandin, envelopes: tuple[Envelope, ...]
) -> Revision:
    """Write records in one transaction, whatever the table holds."""
    writes = tuple(
        Write(key=str(each.key), expected=None, value=encode(envelope=each))
        for each in envelopes
    )
    transaction = Transaction(attempt=FIRST_ATTEMPT, writes=writes)
    table = platform.tables[TableName.RECORDS.value]
    return table.transact(transaction=transaction).revision
