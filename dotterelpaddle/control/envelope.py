"""The envelope of datagrams and TCP frames, encoded by pycapnp."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path

import capnp

from dotterelpaddle.exceptions import ControlError

_schema = capnp.load(str(Path(__file__).with_name("envelope.capnp")))

ENVELOPE_OVERHEAD = 44
"""Most bytes that an envelope takes besides its messages, packed."""

ITEM_OVERHEAD = 20
"""Most bytes that a message takes besides its body, packed."""

WORD = 8
"""Bytes of a word, the unit of the packed encoding."""


class Kind(IntEnum):
    """What a message is part of."""

    MESSAGE = 0
    CALL = 1
    REPLY = 2
    FAILURE = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """One message in an envelope.

    Attributes:
        code: Number of its message type.
        kind: What it is part of.
        call: Matches a reply to its call, 0 for messages.
        body: The encoded message.
        size: Most bytes that it takes in a packed envelope. The packed encoding
            drops zero bytes and spends up to two bytes on each word.
    """

    code: int
    kind: Kind = Kind.MESSAGE
    call: int = 0
    body: bytes
    size: int = field(init=False, compare=False)

    def __post_init__(self) -> None:
        words = -(-len(self.body) // WORD)
        size = len(self.body) - self.body.count(0) + 2 * words + ITEM_OVERHEAD
        object.__setattr__(self, "size", size)


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """What one datagram or TCP frame carries.

    Attributes:
        session: When the sender's channel was opened, in milliseconds.
        sequence: Number of the datagram within the session.
        items: The messages.
        sender: The sender's own address, only in TCP frames.
    """

    session: int
    sequence: int
    items: tuple[Item, ...]
    sender: str = ""


def encode(*, envelope: Envelope) -> bytes:
    """Turn an envelope into packed bytes."""
    builder = _schema.Envelope.new_message(
        session=envelope.session, sequence=envelope.sequence
    )
    if envelope.sender:
        builder.sender = envelope.sender
    target = builder.init("messages", len(envelope.items))
    for index, item in enumerate(envelope.items):
        message = target[index]
        message.code = item.code
        message.kind = item.kind.value
        message.call = item.call
        message.body = item.body
    packed: bytes = builder.to_bytes_packed()
    return packed


def decode(*, content: bytes) -> Envelope:
    """Read an envelope from packed bytes.

    Raises:
        ControlError: If the bytes are no envelope.
    """
    try:
        reader = _schema.Envelope.from_bytes_packed(content)
        items = tuple(
            Item(
                code=message.code,
                kind=Kind(message.kind),
                call=message.call,
                body=message.body,
            )
            for message in reader.messages
        )
        return Envelope(
            session=reader.session,
            sequence=reader.sequence,
            items=items,
            sender=reader.sender,
        )
    except (capnp.KjException, ValueError) as error:
        raise ControlError(f"these bytes are no envelope: {error}") from error
