"""What a router holds bytes for."""

from __future__ import annotations

from enum import Enum


class HeldKind(Enum):
    """What bytes are held for."""

    REQUEST = "request"
    HEAD = "head"
    ANSWER = "answer"
    UNREAD = "unread"
    CONNECTION = "connection"
    TUNNEL = "tunnel"
