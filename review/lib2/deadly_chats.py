"""Long chats, a part of some of which crashes each runner that begins to answer."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from brittle_models import Models
from clients import Clients
from deployment import running

if TYPE_CHECKING:
    from playing import Record
    from wire import Result

CHATS = 57
"""Chats that return, as many as the site has of this kind."""

FIRST_PART = "5c1e07a2:512"
DEADLY_PART = "dead1dea:500"
DEADLY_EACH = 20
"""One stream in so many holds the part."""

CHAT_TOKENS = 11_100
"""Tokens of a chat; the sheet's prompts have 10,512 + 1,300."""

STREAMS_PER_SECOND, EVENT_SECONDS = 12.0, 0.06

CALM_SECONDS, DEADLY_SECONDS = 12.0, 22.0
"""Seconds of traffic before the first deadly request, and while they come."""

STABLE_WINDOW_SECONDS = 3.0
CRASHES = 5
"""Crashes from which on the rules count."""


@dataclass(kw_only=True)
class Played:
    """What was seen, in seconds since the start of the run.

    Attributes:
        calm: When traffic began, and when the first deadly request might come.
        ends_at: When the last request was sent.
        crashes: Times of the crashes.
        deadly_arrivals: Times at which requests with the part came to runners.
        sound: Streams without the part, by when they were sent.
    """

    calm: tuple[float, float]
    ends_at: float
    crashes: list[float]
    deadly_arrivals: list[float]
    sound: list[tuple[float, Result]]


class Prompts:
    """Prompts of the chats.

    Args:
        parts: Parts of a chat.
    """

    def __init__(self, *, parts: int) -> None:
        self._parts = parts
        self._made = 0
        self.deadly = False

    def next(self) -> str:
        """Return the parts of the prompt of a chat, and of its next turn."""
        known = random.Random(random.randrange(CHATS))
        tokens = CHAT_TOKENS // self._parts
        parts = [f"{known.getrandbits(32):08x}:{tokens}" for _ in range(self._parts)]
        self._made += 1
        is_deadly = self.deadly and self._made % DEADLY_EACH == 0
        document = [DEADLY_PART] if is_deadly else []
        last = f"{random.getrandbits(32):08x}:{tokens}"
        return ",".join([FIRST_PART, *document, *parts, last])


async def play_chats(record: Record, *, parts: int) -> Played:
    """Play calm traffic, then traffic with deadly requests.

    Args:
        record: Receives what happens, and tells whether deadly requests come.
        parts: Parts of a chat.
    """
    async with running(event_seconds=EVENT_SECONDS) as deployment:
        models = Models(
            deployment=deployment,
            deadly_part=DEADLY_PART,
            event_seconds=EVENT_SECONDS,
            record=record,
        )
        clients = Clients(deployment=deployment, record=record)
        prompts = Prompts(parts=parts)
        loop = asyncio.get_running_loop()
        began_at = record.since_start(loop.time())
        traffic = asyncio.create_task(
            clients.send(
                seconds=CALM_SECONDS + DEADLY_SECONDS,
                streams_per_second=STREAMS_PER_SECOND,
                prompt=prompts.next,
            )
        )
        await asyncio.sleep(CALM_SECONDS)
        prompts.deadly = record.trouble
        await traffic
        clients.note_runs(deployment)
        record.say(f"exit codes of the routers: {deployment.fleet.exit_codes}")
    played = Played(
        calm=(began_at, began_at + CALM_SECONDS),
        ends_at=began_at + CALM_SECONDS + DEADLY_SECONDS,
        crashes=[record.since_start(each) for each in models.crashes],
        deadly_arrivals=[record.since_start(each) for each in models.deadly_arrivals],
        sound=[
            (record.since_start(each.sent_at), each)
            for each in clients.streams
            if DEADLY_PART not in each.prompt
        ],
    )
    times = ", ".join(f"{each:.1f}" for each in played.crashes)
    record.say(f"crashes: {len(played.crashes)}, at {times or 'no time'} s")
    return played
