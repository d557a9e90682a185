"""When a router takes an owner for late, and when for silent."""

from __future__ import annotations

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.owners.replies import (
    MAX_SILENCE_SECONDS,
    MAX_TIMEOUT_SECONDS,
    OWNER_TIMEOUT_SECONDS,
    QUESTION_TTL_SECONDS,
    OwnerReplies,
)
from dotterelpaddle.peers.report import PeerInfo

OWNER = PeerInfo(
    router=RouterId("owner"),
    failure_domain=FailureDomain("here"),
    address=Address(host="10.0.0.1", port=1),
    link=1,
)
RESEND_SECONDS = 0.1


class Replies:
    """Replies of one owner, with a clock that tests set."""

    def __init__(self) -> None:
        self.now = 0.0
        self.replies = OwnerReplies(clock=lambda: self.now)

    @property
    def timeout(self) -> float:
        return self.replies.timeout(owner=OWNER.address)

    @property
    def is_silent(self) -> bool:
        return bool(self.replies.unresponsive(owners=[OWNER]))

    def ask(self, *, seconds: float | None) -> None:
        """Ask the owner, which replies after some seconds or never."""
        asked_at = self.now
        self.replies.record_question(owner=OWNER.address)
        self.now += RESEND_SECONDS if seconds is None else seconds
        if seconds is not None:
            self.replies.record_reply(owner=OWNER.address, asked_at=asked_at)


# Guards against a second owner that grants slots while the first one is merely busy.
@pytest.mark.parametrize("seconds", [0.002, 0.02, 0.08])
def test_timeout_follows_the_time_that_an_owner_takes(seconds: float) -> None:
    replies = Replies()
    assert replies.timeout == OWNER_TIMEOUT_SECONDS
    for _ in range(20):
        replies.ask(seconds=seconds)

    assert max(seconds, OWNER_TIMEOUT_SECONDS) <= replies.timeout
    assert replies.timeout <= MAX_TIMEOUT_SECONDS


# Guards against an owner whose replies are all late, so that none of them is counted.
def test_timeout_doubles_with_each_late_reply_until_one_arrives() -> None:
    replies = Replies()
    timeouts = []
    for _ in range(4):
        timeouts.append(replies.timeout)
        replies.replies.record_timeout(owner=OWNER, seconds=replies.timeout)
    replies.ask(seconds=0.002)

    assert timeouts == pytest.approx([0.03, 0.06, 0.12, MAX_TIMEOUT_SECONDS])
    assert replies.timeout == OWNER_TIMEOUT_SECONDS


# Guards against an owner that stays in office although it grants nothing, and against
# one that loses it for a single lost datagram of long ago.
def test_owner_is_silent_after_some_time_without_any_reply() -> None:
    replies = Replies()
    while replies.now <= MAX_SILENCE_SECONDS:
        assert not replies.is_silent
        replies.ask(seconds=None)
    replies.ask(seconds=None)
    assert replies.is_silent

    replies.ask(seconds=0.002)
    assert not replies.is_silent
    replies.ask(seconds=None)
    replies.now += QUESTION_TTL_SECONDS + RESEND_SECONDS
    assert not replies.is_silent
