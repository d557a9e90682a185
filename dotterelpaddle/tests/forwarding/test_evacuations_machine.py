"""News of evacuations that comes late, doubled and in any order."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dotterelpaddle.forwarding.evacuations import (
    EvacuationChange,
    EvacuationSnapshot,
    EvacuationTracker,
)
from dotterelpaddle.ids import FailureDomain, Revision

DOMAINS = [FailureDomain(name) for name in ("a", "b", "c")]
ROUTERS = st.sampled_from([0, 1])


class EvacuationMachine(RuleBasedStateMachine):
    """One history of evacuations, of which two routers hear in any order.

    Each router must act on the latest state of which it heard.
    """

    def __init__(self) -> None:
        super().__init__()
        self.routers = [EvacuationTracker(clock=lambda: 0.0) for _ in range(2)]
        self.heard: list[int | None] = [None, None]
        self.changes: list[EvacuationChange] = []
        self.states = [EvacuationSnapshot(revision=Revision(0), domains=frozenset())]

    @rule(domain=st.sampled_from(DOMAINS))
    def change(self, domain: FailureDomain) -> None:
        """Evacuate a domain, or take it back."""
        before = self.states[-1]
        revision = Revision(before.revision + 1)
        self.changes.append(
            EvacuationChange(
                failure_domain=domain,
                revision=revision,
                evacuated=domain not in before.domains,
            )
        )
        self.states.append(
            EvacuationSnapshot(revision=revision, domains=before.domains ^ {domain})
        )

    @rule(router=ROUTERS, data=st.data())
    def read(self, router: int, data: st.DataObject) -> None:
        """Read all of it, perhaps as of long ago."""
        state = data.draw(st.sampled_from(self.states))
        self.routers[router].apply_snapshot(snapshot=state)
        self._note(router, state.revision)

    @rule(router=ROUTERS, data=st.data())
    def watch(self, router: int, data: st.DataObject) -> None:
        """Hear what changed since a moment that the router knows."""
        known = self.heard[router]
        if known is None:
            return
        after = data.draw(st.integers(0, known))
        until = data.draw(st.integers(after, len(self.changes)))
        self.routers[router].apply_changes(
            changes=self.changes[after:until], revision=Revision(until)
        )
        self._note(router, until)

    @rule(teller=ROUTERS)
    def tell(self, teller: int) -> None:
        """Let one router tell the other what it knows."""
        told = self.routers[teller].snapshot
        if told is not None:
            self.routers[1 - teller].apply_snapshot(snapshot=told)
            self._note(1 - teller, told.revision)

    def _note(self, router: int, revision: int) -> None:
        self.heard[router] = max(revision, self.heard[router] or 0)

    @invariant()
    def latest_news_is_in_force(self) -> None:
        for router, revision in zip(self.routers, self.heard, strict=True):
            assert router.domains == self.states[revision or 0].domains


TestEvacuations = EvacuationMachine.TestCase
