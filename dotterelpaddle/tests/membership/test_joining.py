"""Whom a router asks when it joins."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.membership.contact import Contact
from dotterelpaddle.membership.joining import Joining
from dotterelpaddle.membership.settings import MembershipSettings
from dotterelpaddle.membership.view import Member, MemberState

pytestmark = pytest.mark.anyio


def _member(name: str, port: int) -> Member:
    return Member(
        router=RouterId(name),
        address=Address(host="127.0.0.1", port=port),
        failure_domain=FailureDomain(name),
        state=MemberState.ALIVE,
    )


@pytest.mark.parametrize("seed", range(10))
async def test_member_that_is_silent_does_not_hold_up_joining(seed: int) -> None:
    """Each round asks one that answers, whichever of the two is paused."""
    own, silent, well = _member("own", 1), _member("silent", 2), _member("well", 3)
    asked: list[tuple[Address, ...]] = []

    async def fetch_first(*, peers: tuple[Address, ...]) -> bool:
        asked.append(peers)
        return True

    joining = Joining(
        beliefs=SimpleNamespace(own=own, known=lambda: (own, silent, well)),  # type: ignore[arg-type]
        sync=SimpleNamespace(fetch_first=fetch_first),  # type: ignore[arg-type]
        platform=SimpleNamespace(strangers=tuple, attempted=True),  # type: ignore[arg-type]
        contact=SimpleNamespace(state=Contact.JOINING),  # type: ignore[arg-type]
        seeds=(),
        settings=MembershipSettings(),
        source=random.Random(seed),
    )
    join: Any = joining._join

    await join()

    assert asked == [(silent.address, well.address)]
