"""Counts of control traffic by class, and of what was dropped and why."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from dotterelpaddle.control.interface import TrafficClass

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.metrics import Metrics

IP_UDP_HEADERS = 28
"""Bytes of the IP and UDP headers of a datagram."""

IP_TCP_HEADERS = 40
"""Bytes of the IP and TCP headers of a segment without options."""

SEGMENT_SIZE = 1_448
"""Bytes of payload in a TCP segment on an Ethernet link."""

CONNECTION_SEGMENTS = 4
"""Segments without payload that each end sends for a short connection."""


class Drop(Enum):
    """Why something received was dropped."""

    FORGED = "forged"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    UNKNOWN_TYPE = "unknown_type"
    LATE_REPLY = "late_reply"
    OVERLOADED = "overloaded"
    HANDLER_FAILED = "handler_failed"


def tcp_size(*, payload: int) -> int:
    """Estimate the bytes that one end sends over a short TCP connection."""
    segments = -(-payload // SEGMENT_SIZE) + CONNECTION_SEGMENTS
    return payload + segments * IP_TCP_HEADERS


class Traffic:
    """Counts bytes, refusals and drops; cheap enough for each datagram.

    Args:
        metrics: Where `publish` adds the counts.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._sent = dict.fromkeys(TrafficClass, 0)
        self._received = dict.fromkeys(TrafficClass, 0)
        self._refused = dict.fromkeys(TrafficClass, 0)
        self._dropped = dict.fromkeys(Drop, 0)
        self._datagrams_sent = 0
        self._datagrams_received = 0
        self._published: dict[tuple[str, str], int] = {}
        self._sent_total = metrics.counter(
            name="control_sent_bytes_total",
            doc="Bytes of control traffic sent, headers included.",
        )
        self._received_total = metrics.counter(
            name="control_received_bytes_total",
            doc="Bytes of control traffic received, headers included.",
        )
        self._refused_total = metrics.counter(
            name="control_refused_total",
            doc="Messages that the byte budget or a full queue refused.",
        )
        self._dropped_total = metrics.counter(
            name="control_dropped_total",
            doc="Datagrams, frames and messages that were received and dropped.",
        )

    @property
    def sent(self) -> Mapping[TrafficClass, int]:
        """Bytes sent by class, headers included."""
        return self._sent

    @property
    def received(self) -> Mapping[TrafficClass, int]:
        """Bytes received by class, headers included."""
        return self._received

    @property
    def refused(self) -> Mapping[TrafficClass, int]:
        """Messages refused by class."""
        return self._refused

    @property
    def dropped(self) -> Mapping[Drop, int]:
        """What was received and dropped, by reason."""
        return self._dropped

    @property
    def datagrams_sent(self) -> int:
        """Datagrams sent."""
        return self._datagrams_sent

    @property
    def datagrams_received(self) -> int:
        """Datagrams received, dropped ones included."""
        return self._datagrams_received

    def count_sent(self, *, traffic: TrafficClass, size: int) -> None:
        """Count bytes sent."""
        self._sent[traffic] += size

    def count_received(self, *, traffic: TrafficClass, size: int) -> None:
        """Count bytes received."""
        self._received[traffic] += size

    def count_datagram_sent(self) -> None:
        """Count a datagram sent."""
        self._datagrams_sent += 1

    def count_datagram_received(self) -> None:
        """Count a datagram received."""
        self._datagrams_received += 1

    def refuse(self, *, traffic: TrafficClass) -> None:
        """Count a message that was not sent."""
        self._refused[traffic] += 1

    def drop(self, *, reason: Drop) -> None:
        """Count something received that was dropped."""
        self._dropped[reason] += 1

    def publish(self) -> None:
        """Add what was counted since the last call to the metrics."""
        for traffic in TrafficClass:
            name = traffic.name.lower()
            self._publish(self._sent_total, "sent", "class", name, self._sent[traffic])
            self._publish(
                self._received_total, "received", "class", name, self._received[traffic]
            )
            self._publish(
                self._refused_total, "refused", "class", name, self._refused[traffic]
            )
        for reason, count in self._dropped.items():
            self._publish(self._dropped_total, "dropped", "reason", reason.value, count)

    def _publish(
        self, counter: object, table: str, label: str, value: str, count: int
    ) -> None:
        known = self._published.get((table, value), 0)
        if count > known:
            counter.add({label: value}, count - known)  # type: ignore[attr-defined]
            self._published[table, value] = count
