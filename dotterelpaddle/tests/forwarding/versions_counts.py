"""What became of the callers' streams in a world of two software versions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(kw_only=True)
class Counts:
    """What became of the callers' streams.

    Attributes:
        tried: Streams that callers tried to begin.
        begun: Streams of which the first event arrived.
        taken_up: Times that a caller took a stream up again.
        gone_on: Times that the stream went on then.
        gone_on_again: Those of them where it had been taken up before.
        whole: Streams that ended whole.
        mixed: Streams with events of two versions.
    """

    tried: int = 0
    begun: int = 0
    taken_up: int = 0
    gone_on: int = 0
    gone_on_again: int = 0
    whole: int = 0
    mixed: int = 0

    @property
    def begun_share(self) -> float:
        """Share of the streams that began."""
        return self.begun / max(1, self.tried)

    @property
    def gone_on_share(self) -> float:
        """Share of the streams taken up that went on."""
        return self.gone_on / max(1, self.taken_up)
