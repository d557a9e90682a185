"""Decodes the operator's rows: the configuration, and evacuated failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.forwarding.evacuations import EvacuationChange
from dotterelpaddle.forwarding.interface import OperatorUpdate
from dotterelpaddle.ids import FailureDomain, Revision
from dotterelpaddle.logs import get_logger
from dotterelpaddle.platform.decoding import parse_object
from dotterelpaddle.platform.names import CONFIGURATION_KEY, EVACUATION_KEY_PREFIX
from dotterelpaddle.platform.rows import row_value

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.interface import DocumentDecoder
    from dotterelpaddle.forwarding.model import FleetConfiguration
    from dotterelpaddle.platform.rows import Row

log = get_logger(name=__name__)


class OperatorRowDecoder:
    """Decodes the rows that the operator writes.

    Args:
        documents: Decodes configurations.
    """

    def __init__(self, *, documents: DocumentDecoder) -> None:
        self._documents = documents

    def decode(
        self, *, rows: Sequence[Row], revision: Revision, is_snapshot: bool
    ) -> OperatorUpdate:
        """Decode rows; those that can't be used are logged and change nothing.

        Args:
            rows: All rows, or those that changed, in the order of their changes.
            revision: Position in the order of changes up to which they are told.
            is_snapshot: Whether rows that are not here do not exist.
        """
        evacuations: list[EvacuationChange] = []
        unclear: set[FailureDomain] = set()
        for row in rows:
            if not row["key"].startswith(EVACUATION_KEY_PREFIX):
                continue
            try:
                evacuations.append(decode_evacuation(row=row))
            except RecordError as error:
                _log_unusable("evacuation_unusable", row, error)
                unclear.add(_evacuated_domain(row))
        return OperatorUpdate(
            revision=revision,
            configuration=self._configuration(rows),
            evacuations=tuple(evacuations),
            undecodable=frozenset(unclear),
            is_snapshot=is_snapshot,
        )

    def _configuration(self, rows: Sequence[Row]) -> FleetConfiguration | None:
        """Decode the newest configuration; one that can't be used is left out."""
        for row in reversed(rows):
            if row["key"] != CONFIGURATION_KEY or row.get("removed"):
                continue
            try:
                return self._documents.configuration(document=row_value(row=row))
            except RecordError as error:
                _log_unusable("configuration_unusable", row, error)
        return None


def decode_evacuation(*, row: Row) -> EvacuationChange:
    """Decode a row that asks for the evacuation of a failure domain.

    Its value is an object whose fields say nothing; that it exists is all.

    Raises:
        RecordError: If it names no domain, or its value is no object; it names the
            field.
    """
    domain = _evacuated_domain(row)
    if not domain:
        raise RecordError(
            f"key '{row['key']}' must name a failure domain after the slash",
            field="key",
        )
    removed = bool(row.get("removed"))
    if not removed:
        parse_object(row_value(row=row))
    return EvacuationChange(
        failure_domain=domain,
        revision=Revision(row["ver"]),
        evacuated=not removed,
    )


def _evacuated_domain(row: Row) -> FailureDomain:
    return FailureDomain(row["key"].removeprefix(EVACUATION_KEY_PREFIX))


def _log_unusable(event: str, row: Row, error: RecordError) -> None:
    log.error(
        event,
        key=row["key"],
        revision=row["ver"],
        field=error.field,
        cause=error.message,
    )
