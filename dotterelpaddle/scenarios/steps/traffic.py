"""Steps that send calls through the fleet."""

from __future__ import annotations

from typing import Literal

from pydantic import Field

from dotterelpaddle.scenarios.words import EVERYTHING, Names, Seconds, Share, Word


class Send(Word):
    """Send single calls, all at once, and wait for their ends.

    Attributes:
        label: Name of their results, for conditions.
        at: The routers, in turn; a repeat goes to the next one.
        kind: What is called.
        account: Client account.
        token: Bearer token, the account's own by default.
        service: Service name, the shape's own by default.
        chat: Name of the chat.
        count: Number of calls.
        key: Idempotency key; `{number}` is the call's number.
        idempotent: What the caller says of repeats, None for nothing.
        attempts: How often the caller sends a call that may be repeated.
        tokens: Length of the answers.
        timeout: Seconds that the caller waits.
        hang_up_after: Seconds after which the caller goes away, 0 for never.
        background: Whether to go on with the next step at once.
    """

    label: str
    at: Names = (EVERYTHING,)
    kind: Literal["chat", "stream", "service"] = "chat"
    account: str = ""
    token: str | None = None
    service: str = ""
    chat: str = "chat-{number}"
    count: int = Field(default=1, ge=1, le=1000)
    key: str = ""
    idempotent: bool | None = None
    attempts: int = Field(default=1, ge=1, le=10)
    tokens: int = Field(default=16, ge=1, le=4096)
    timeout: Seconds = 10.0
    hang_up_after: Seconds = 0.0
    background: bool = False


class Load(Word):
    """Start returning chats in the background.

    Attributes:
        label: Name of the load.
        requests: Number of calls at most.
        rate: Calls a second.
        chats: Chats of each client account per unit of its share.
        stream_share: Share of the chat turns that ask for a stream.
        service_share: Share of the calls that go to plain services.
        keyed_share: Share of these that may run at most once.
        attempts: How often a caller sends a call that may be repeated.
        tokens: Length of each answer.
        first_prompt: Tokens of a chat's first message.
        timeout: Seconds that a caller waits.
        seed: Seed of all generators.
    """

    label: str
    requests: int = Field(default=300, ge=1, le=20_000)
    rate: float = Field(default=100.0, gt=0.0, le=2000.0)
    chats: int = Field(default=8, ge=1)
    stream_share: Share = 0.5
    service_share: Share = 0.1
    keyed_share: Share = 0.5
    attempts: int = Field(default=3, ge=1, le=10)
    tokens: int = Field(default=16, ge=1, le=4096)
    first_prompt: int = Field(default=200, ge=1)
    timeout: Seconds = 15.0
    seed: int = 0


class Surge(Word):
    """Multiply the rate of one client account of a load.

    Attributes:
        of: Label of the load.
        account: The client account.
        factor: What its rate is multiplied by; 1 ends the surge.
    """

    of: str
    account: str
    factor: float = Field(gt=0.0, le=1000.0)


class Finish(Word):
    """Wait until calls or a load in the background have ended.

    Attributes:
        of: Their label.
        early: Whether a load sends no further calls.
    """

    of: str
    early: bool = False

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value be the label."""
        return "of"


class Mark(Word):
    """Remember the counts of this moment.

    Attributes:
        label: Name of the mark, for conditions.
    """

    label: str

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value be the label."""
        return "label"
