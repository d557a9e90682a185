"""Settings of the membership; the defaults fit all sizes that are planned."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class MembershipSettings:
    """How often members look after each other, and how long they wait.

    Attributes:
        tick: Seconds between looks at what is due.
        probe_interval: Seconds between probes of a member of the own failure
            domain, and of another failure domain that does not answer.
        far_interval: Seconds between a bridge's probes of another failure
            domain, and between probes of dead members.
        probe_timeout: Seconds until a probe is tried again, in the end through
            relays as well.
        probe_attempts: Attempts until a probe counts as failed.
        relays: Members that are asked to probe for another one.
        suspicion: Seconds that a suspect has to refute before it counts as dead.
        gossip_interval: Seconds between rounds of gossip while there is news.
        gossip_fanout: Members of the own failure domain told in a round.
        gossip_multiplier: Times the logarithm of the number of members, a
            rumour is told by each member.
        bridges: Members of a failure domain that watch another one.
        domain_timeout: Seconds without an answer after which a bridge reports a
            failure domain as unreachable.
        pause: Seconds between two ticks from which on this process was paused.
        isolation: Seconds without any answer after which this member knows that
            it is cut off.
        sync_after: Seconds that lists have to differ before one is fetched.
        sync_interval: Least seconds between two fetches of a list.
        sync_timeout: Seconds that a fetch may take.
        tombstone: Seconds that a dead member is remembered.
        poll_interval: Seconds between reads of the platform's host list by the
            few members of a failure domain that poll it.
        slow_poll_interval: The same for the other members.
    """

    tick: float = 0.1
    probe_interval: float = 1.0
    far_interval: float = 2.0
    probe_timeout: float = 0.25
    probe_attempts: int = 4
    relays: int = 3
    suspicion: float = 2.0
    gossip_interval: float = 0.2
    gossip_fanout: int = 3
    gossip_multiplier: float = 3.0
    bridges: int = 2
    domain_timeout: float = 4.0
    pause: float = 2.0
    isolation: float = 5.0
    sync_after: float = 3.0
    sync_interval: float = 5.0
    sync_timeout: float = 2.0
    tombstone: float = 600.0
    poll_interval: float = 5.0
    slow_poll_interval: float = 60.0
