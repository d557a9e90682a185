"""Terms that the platform states in its settings, and what they ask of a router."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.settings import AdmissionSettings

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.settings import ForwardSettings

OVERLOAD_TERM = "pressure"
"""Callers compete for slots, and callers and endpoints may read slowly."""


def apply_terms(*, settings: ForwardSettings) -> ForwardSettings:
    """Switch on what the platform's terms ask for.

    Args:
        settings: Settings as read; a section of their own overrides a term.
    """
    if OVERLOAD_TERM not in settings.terms or settings.admission is not None:
        return settings
    return replace(settings, admission=AdmissionSettings())
