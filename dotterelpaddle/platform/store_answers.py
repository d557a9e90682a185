"""Decodes the answers of the platform's store."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.exceptions import PlatformUnavailable
from dotterelpaddle.forwarding.revisions import StoreRevision
from dotterelpaddle.forwarding.store_clock import StoreTime
from dotterelpaddle.ids import Revision, StoreEra
from dotterelpaddle.platform.names import Field, Header
from dotterelpaddle.platform.rows import check_rows, rows_of_platform

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.platform.rows import Row

ERA = re.compile(rb"[0-9]{1,18}")


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAnswer:
    """An answer of the store.

    Attributes:
        rows: The rows.
        revision: Position of the store's last change.
        time: When the store made it, None if it does not say.
        truncated: Whether the store has further rows of the listing.
    """

    rows: list[Row]
    revision: StoreRevision
    time: StoreTime | None
    truncated: bool


def decode_era(*, headers: Iterable[tuple[bytes, bytes]], peer: str) -> StoreEra | None:
    """Decode the era of an answer, None if it names none.

    Raises:
        PlatformUnavailable: If the era is no number of up to 18 digits.
    """
    for name, value in headers:
        if name.lower() == Header.STORE_ERA:
            if not ERA.fullmatch(value):
                raise PlatformUnavailable(
                    f"the era in the answer of the store is {value!r}, not a number "
                    "of up to 18 digits",
                    peer=peer,
                )
            return StoreEra(int(value))
    return None


def decode_answer(*, content: bytes, era: StoreEra, peer: str) -> StoreAnswer:
    """Decode an answer with rows.

    Raises:
        PlatformUnavailable: If it is none that a store gives.
    """
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise PlatformUnavailable(
            f"the answer of the store is not JSON: {error}", peer=peer
        ) from error
    if not isinstance(document, dict) or not isinstance(document.get("rows"), list):
        raise PlatformUnavailable("the answer of the store has no rows", peer=peer)
    check_rows(rows=document["rows"], peer=peer)
    number = document.get("ver")
    if not isinstance(number, int):
        raise PlatformUnavailable("the answer of the store has no version", peer=peer)
    return StoreAnswer(
        rows=rows_of_platform(rows=document["rows"]),
        revision=StoreRevision(era=era, number=Revision(number)),
        time=_decode_time(document=document, era=era, peer=peer),
        truncated=bool(document.get("truncated")),
    )


def _decode_time(
    *, document: Mapping[str, Any], era: StoreEra, peer: str
) -> StoreTime | None:
    """Decode when the store made an answer, None if it does not say.

    Raises:
        PlatformUnavailable: If the time is no number, or none that a clock shows.
    """
    milliseconds = document.get(Field.NOW_MS)
    if milliseconds is None:
        return None
    if isinstance(milliseconds, bool) or not isinstance(milliseconds, int | float):
        raise PlatformUnavailable(
            f"'{Field.NOW_MS}' in the answer of the store is {milliseconds!r}, not a "
            "number",
            peer=peer,
        )
    try:
        return StoreTime.stated(era=era, seconds=milliseconds / 1000)
    except ValueError as error:
        raise PlatformUnavailable(
            f"'{Field.NOW_MS}' in the answer of the store: {error}", peer=peer
        ) from error
