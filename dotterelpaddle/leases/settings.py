"""How leases are kept."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaseSettings:
    """Times of a lease, all in seconds.

    Attributes:
        duration: How long the others leave a holder alone after they last saw
            the lease renewed.
        margin: How much sooner a holder stops believing. It has to cover the
            difference of the clocks' rates over the duration.
        renew_every: Time between renewals.
        poll_every: Time between looks at a lease that another router holds.
        retry_every: Time after a failed exchange with the platform.
        release_timeout: How long a release at shutdown may take.
    """

    duration: float = 12.0
    margin: float = 3.0
    renew_every: float = 4.0
    poll_every: float = 4.0
    retry_every: float = 1.0
    release_timeout: float = 2.0

    def __post_init__(self) -> None:
        if not 0.0 < self.margin < self.duration:
            raise ValueError("margin must be above 0 and below duration")
        if self.renew_every > (self.duration - self.margin) / 2:
            raise ValueError(
                "renew_every must leave time for a second try; set it to at most "
                "half of duration less margin"
            )

    def for_leases(self, *, count: int, writes_per_second: float) -> LeaseSettings:
        """Stretch all times so that renewals keep within a write budget.

        Args:
            count: Leases that the whole fleet keeps.
            writes_per_second: Renewals of all of them together.
        """
        needed = count / writes_per_second
        if needed <= self.renew_every:
            return self
        factor = needed / self.renew_every
        return replace(
            self,
            duration=self.duration * factor,
            margin=self.margin * factor,
            renew_every=self.renew_every * factor,
            poll_every=self.poll_every * factor,
        )
