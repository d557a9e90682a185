"""Compressed form of deltas, for messages and snapshots."""

from __future__ import annotations

import zlib
from pathlib import Path
from typing import Any

import capnp

from dotterelpaddle.catalog.delta import Delta, Entry
from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.ids import Revision

_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))

MAX_DELTA = 16 * 1024 * 1024
"""Longest delta that is unpacked, bytes."""

TRAVERSAL_WORDS = MAX_DELTA
"""Words that pycapnp may read of one delta; packing drops zero bytes."""

COMPRESSION_LEVEL = 6

COMMON_TEXT = (
    b'{"kind":"account","name":"","provenance":{"sequence":,"writer":"",'
    b'"written_at":"2026-01-01T00:00:00+00:00"},"schema":2,"spec":{"limit":"",'
    b'"priority":"","share":1.0,"tokens":{"digests":[""],"salt":""}}}'
    b'{"kind":"route","schema":1,"spec":{"account":"","service":"","adapter":"",'
    b'"model":"","version":"","idempotent":true,"timeout":60.0,"pool":""}}'
    b'{"kind":"endpoint","schema":2,"spec":{"address":"127.0.0.1:",'
    b'"failure_domain":"","intent":"serve","checks_fencing":false,"weight":1.0,'
    b'"adapters":[],"role":"mixed","pool":""}}'
)
"""Text that is frequent in records, so that a short change compresses too."""


def pack_delta(*, delta: Delta) -> bytes:
    """Turn a delta into compressed bytes."""
    message = _schema.Delta.new_message(
        base=delta.base, head=delta.head, full=delta.full, floor=delta.floor
    )
    entries = message.init("entries", len(delta.entries))
    for index, entry in enumerate(delta.entries):
        target = entries[index]
        target.key = entry.key
        target.revision = entry.revision
        target.retired = entry.value is None
        target.value = entry.value or b""
    compressor = zlib.compressobj(
        level=COMPRESSION_LEVEL, wbits=-zlib.MAX_WBITS, zdict=COMMON_TEXT
    )
    return compressor.compress(message.to_bytes_packed()) + compressor.flush()


def unpack_delta(content: bytes) -> Delta:
    """Read a delta from compressed bytes.

    Raises:
        ControlError: If the bytes are no delta.
    """
    try:
        expander = zlib.decompressobj(wbits=-zlib.MAX_WBITS, zdict=COMMON_TEXT)
        packed = expander.decompress(content, MAX_DELTA)
        message = _schema.Delta.from_bytes_packed(
            packed, traversal_limit_in_words=TRAVERSAL_WORDS
        )
        return Delta(
            base=Revision(message.base),
            head=Revision(message.head),
            entries=tuple(_entry(each) for each in message.entries),
            full=message.full,
            floor=Revision(message.floor),
        )
    except (zlib.error, capnp.KjException, ValueError) as error:
        raise ControlError(f"these bytes are no delta: {error}") from error


def _entry(message: Any) -> Entry:
    return Entry(
        key=message.key,
        revision=Revision(message.revision),
        value=None if message.retired else bytes(message.value),
    )
