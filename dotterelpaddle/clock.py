"""A clock that tests can replace."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]
"""Returns seconds on a monotonic clock."""

monotonic: Clock = time.monotonic
