"""How messages between members travel."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import capnp

from dotterelpaddle.control.interface import MessageType, TrafficClass
from dotterelpaddle.ids import RouterId
from dotterelpaddle.membership.messages import (
    Ack,
    Gossip,
    Ping,
    RelayReply,
    RelayRequest,
    SyncReply,
    SyncRequest,
)
from dotterelpaddle.membership.rumour_codec import (
    read_member,
    read_rumours,
    write_member,
    write_rumours,
)

_schema = capnp.load(str(Path(__file__).with_name("messages.capnp")))


def _encode_ping(ping: Ping) -> bytes:
    builder = _schema.Ping.new_message(
        sequence=ping.sequence,
        target=ping.target,
        sender=ping.sender,
        incarnation=ping.incarnation,
        digest=ping.digest,
    )
    if ping.rumours:
        write_rumours(builder.init("rumours"), ping.rumours)
    return _to_bytes(builder)


def _decode_ping(body: bytes) -> Ping:
    with _schema.Ping.from_bytes(body) as reader:
        return Ping(
            sequence=reader.sequence,
            target=RouterId(reader.target),
            sender=RouterId(reader.sender),
            incarnation=reader.incarnation,
            digest=reader.digest,
            rumours=read_rumours(reader.rumours),
        )


def _encode_ack(ack: Ack) -> bytes:
    builder = _schema.Ack.new_message(
        sequence=ack.sequence,
        incarnation=ack.incarnation,
        digest=ack.digest,
        known=ack.known,
    )
    if ack.rumours:
        write_rumours(builder.init("rumours"), ack.rumours)
    return _to_bytes(builder)


def _decode_ack(body: bytes) -> Ack:
    with _schema.Ack.from_bytes(body) as reader:
        return Ack(
            sequence=reader.sequence,
            incarnation=reader.incarnation,
            digest=reader.digest,
            known=reader.known,
            rumours=read_rumours(reader.rumours),
        )


def _encode_relay_request(request: RelayRequest) -> bytes:
    builder = _schema.RelayRequest.new_message(sequence=request.sequence)
    write_member(builder.init("target"), request.target)
    return _to_bytes(builder)


def _decode_relay_request(body: bytes) -> RelayRequest:
    with _schema.RelayRequest.from_bytes(body) as reader:
        return RelayRequest(sequence=reader.sequence, target=read_member(reader.target))


def _encode_relay_reply(reply: RelayReply) -> bytes:
    return _to_bytes(
        _schema.RelayReply.new_message(
            sequence=reply.sequence, incarnation=reply.incarnation
        )
    )


def _decode_relay_reply(body: bytes) -> RelayReply:
    with _schema.RelayReply.from_bytes(body) as reader:
        return RelayReply(sequence=reader.sequence, incarnation=reader.incarnation)


def _encode_gossip(gossip: Gossip) -> bytes:
    builder = _schema.Rumours.new_message()
    write_rumours(builder, gossip.rumours)
    return _to_bytes(builder)


def _decode_gossip(body: bytes) -> Gossip:
    with _schema.Rumours.from_bytes(body) as reader:
        return Gossip(rumours=read_rumours(reader))


def _encode_sync_request(request: SyncRequest) -> bytes:
    builder = _schema.SyncRequest.new_message(digests=list(request.digests))
    write_member(builder.init("sender"), request.sender)
    return _to_bytes(builder)


def _decode_sync_request(body: bytes) -> SyncRequest:
    with _schema.SyncRequest.from_bytes(body) as reader:
        return SyncRequest(
            sender=read_member(reader.sender), digests=tuple(reader.digests)
        )


def _encode_sync_reply(reply: SyncReply) -> bytes:
    builder = _schema.SyncReply.new_message(
        buckets=list(reply.buckets), complete=reply.complete
    )
    write_rumours(builder.init("rumours"), reply.rumours)
    return _to_bytes(builder)


def _decode_sync_reply(body: bytes) -> SyncReply:
    with _schema.SyncReply.from_bytes(body) as reader:
        return SyncReply(
            rumours=read_rumours(reader.rumours),
            buckets=tuple(reader.buckets),
            complete=reader.complete,
        )


def _to_bytes(builder: Any) -> bytes:
    """Leave the packing to the envelope around the message."""
    content: bytes = builder.to_bytes()
    return content


MESSAGE_TYPES = (
    MessageType(
        code=100,
        message=Ping,
        traffic=TrafficClass.MEMBERSHIP,
        encode=_encode_ping,
        decode=_decode_ping,
    ),
    MessageType(
        code=101,
        message=Ack,
        traffic=TrafficClass.MEMBERSHIP,
        encode=_encode_ack,
        decode=_decode_ack,
    ),
    MessageType(
        code=102,
        message=RelayRequest,
        traffic=TrafficClass.MEMBERSHIP,
        encode=_encode_relay_request,
        decode=_decode_relay_request,
    ),
    MessageType(
        code=103,
        message=RelayReply,
        traffic=TrafficClass.MEMBERSHIP,
        encode=_encode_relay_reply,
        decode=_decode_relay_reply,
    ),
    MessageType(
        code=104,
        message=Gossip,
        traffic=TrafficClass.MEMBERSHIP,
        encode=_encode_gossip,
        decode=_decode_gossip,
    ),
    MessageType(
        code=105,
        message=SyncRequest,
        traffic=TrafficClass.MEMBERSHIP,
        encode=_encode_sync_request,
        decode=_decode_sync_request,
    ),
    MessageType(
        code=106,
        message=SyncReply,
        traffic=TrafficClass.MEMBERSHIP,
        encode=_encode_sync_reply,
        decode=_decode_sync_reply,
    ),
)
"""All message types of the membership; codes 100 to 199 are reserved for it."""
