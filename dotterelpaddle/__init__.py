"""A router fleet for very many returning chats."""

from __future__ import annotations

__version__ = "0.1.0"
