"""Decodes the operator's rows: configuration and evacuated failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.forwarding.evacuations import EvacuationChange
from dotterelpaddle.forwarding.interface import OperatorUpdate
from dotterelpaddle.ids import FailureDomain
from dotterelpaddle.logs import get_logger
from dotterelpaddle.platform.decoding import parse_object
from dotterelpaddle.platform.names import CONFIGURATION_KEY, EVACUATION_KEY_PREFIX
from dotterelpaddle.platform.rows import row_revision, row_value

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.forwarding.interface import DocumentDecoder
    from dotterelpaddle.forwarding.model import FleetConfiguration
    from dotterelpaddle.forwarding.revisions import StoreRevision
    from dotterelpaddle.ids import StoreEra
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
        self, *, rows: Sequence[Row], revision: StoreRevision, is_snapshot: bool
    ) -> OperatorUpdate:
        """Decode rows; log and ignore invalid ones.

        Args:
            rows: All rows, or the changed ones in the order of their changes.
            revision: Revision up to which the rows are complete.
            is_snapshot: Whether the rows are all that exist.
        """
        evacuations: list[EvacuationChange] = []
        undecodable: set[FailureDomain] = set()
        for row in rows:
            if not row["key"].startswith(EVACUATION_KEY_PREFIX):
                continue
            try:
                evacuations.append(decode_evacuation(row=row, era=revision.era))
            except RecordError as error:
                _log_invalid_row("evacuation_unusable", row, error)
                undecodable.add(_evacuated_domain(row))
        return OperatorUpdate(
            revision=revision,
            configuration=self._configuration(rows),
            evacuations=tuple(evacuations),
            undecodable=frozenset(undecodable),
            is_snapshot=is_snapshot,
        )

    def _configuration(self, rows: Sequence[Row]) -> FleetConfiguration | None:
        """Decode the newest valid configuration, None without one."""
        for row in reversed(rows):
            if row["key"] != CONFIGURATION_KEY or row.get("removed"):
                continue
            try:
                return self._documents.configuration(document=row_value(row=row))
            except RecordError as error:
                _log_invalid_row("configuration_unusable", row, error)
        return None


def decode_evacuation(*, row: Row, era: StoreEra) -> EvacuationChange:
    """Decode a row that asks for the evacuation of a failure domain.

    The value must be an object; its fields are ignored.

    Raises:
        RecordError: If the key names no domain or the value is not an object; the
            error names the field.
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
        revision=row_revision(row=row, era=era),
        evacuated=not removed,
    )


def _evacuated_domain(row: Row) -> FailureDomain:
    return FailureDomain(row["key"].removeprefix(EVACUATION_KEY_PREFIX))


def _log_invalid_row(event: str, row: Row, error: RecordError) -> None:
    log.error(
        event,
        key=row["key"],
        revision=row["ver"],
        field=error.field,
        cause=error.message,
    )
