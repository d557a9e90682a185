"""The steps of a scenario by their words, but for `wait_until` and `expect`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.scenarios.steps.faults import (
    Cut,
    Fault,
    Heal,
    Lag,
    ListHost,
    Lose,
    LoseAnswers,
    LoseWrites,
    Outage,
    Slow,
)
from dotterelpaddle.scenarios.steps.nodes import (
    Drop,
    Kill,
    Mend,
    Pause,
    Remember,
    Restart,
    Resume,
    Silence,
    Start,
    Stop,
    Wait,
)
from dotterelpaddle.scenarios.steps.records import (
    Apply,
    Drain,
    Join,
    Race,
    RecordText,
    Retire,
)
from dotterelpaddle.scenarios.steps.traffic import Finish, Load, Mark, Send, Surge

if TYPE_CHECKING:
    from dotterelpaddle.scenarios.words import Word

__all__ = [
    "Apply",
    "Cut",
    "Drain",
    "Drop",
    "Fault",
    "Finish",
    "Heal",
    "Join",
    "Kill",
    "Lag",
    "ListHost",
    "Load",
    "Lose",
    "LoseAnswers",
    "LoseWrites",
    "Mark",
    "Mend",
    "NodeStep",
    "Outage",
    "Pause",
    "Race",
    "RecordText",
    "Remember",
    "Restart",
    "Resume",
    "Retire",
    "STEPS",
    "Send",
    "Silence",
    "Slow",
    "Start",
    "Stop",
    "Surge",
    "Wait",
]

NodeStep = Start | Stop | Kill | Restart | Pause | Resume | Silence | Drop | Mend
"""Steps about parts of the fleet."""

STEPS: dict[str, type[Word]] = {
    "start": Start,
    "stop": Stop,
    "kill": Kill,
    "restart": Restart,
    "pause": Pause,
    "resume": Resume,
    "cut": Cut,
    "heal": Heal,
    "lose": Lose,
    "silence": Silence,
    "drop": Drop,
    "outage": Outage,
    "slow": Slow,
    "lose_answers": LoseAnswers,
    "lose_writes": LoseWrites,
    "fault": Fault,
    "mend": Mend,
    "lag": Lag,
    "list_host": ListHost,
    "apply": Apply,
    "retire": Retire,
    "race": Race,
    "drain": Drain,
    "join": Join,
    "send": Send,
    "load": Load,
    "surge": Surge,
    "finish": Finish,
    "mark": Mark,
    "wait": Wait,
    "remember": Remember,
}
"""The steps by their words, but for `wait_until` and `expect`."""
