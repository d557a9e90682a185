"""Filter that refuses requests whose prompt fits into no engine's memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import NotAccepting

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.filters import NextFilter
    from dotterelpaddle.forwarding.view import FleetView


class PromptSizeFilter:
    """Refuses requests whose prompt alone exceeds the memory of an engine.

    The output does not count: an engine may need less of it than the request allows.

    Args:
        view: Provides the memory of each service's engines.
        enabled: Whether it refuses any.
    """

    def __init__(self, *, view: FleetView, enabled: bool) -> None:
        self._view = view
        self._enabled = enabled

    async def __call__(
        self, exchange: ForwardExchange, next_filter: NextFilter
    ) -> None:
        """Run the next filter.

        Raises:
            NotAccepting: If the request fits on no engine of its service.
        """
        if self._enabled:
            self._check(exchange=exchange)
        await next_filter(exchange)

    def _check(self, *, exchange: ForwardExchange) -> None:
        configuration, count = self._view.configuration, exchange.request.token_count
        if configuration is None or exchange.service is None or count is None:
            return
        memory = configuration.engine_tokens.get(exchange.service)
        if memory is not None and count.prompt > memory:
            raise NotAccepting(
                f"the request fits on no engine of the service '{exchange.service}': "
                f"its prompt has {count.prompt} tokens, and an engine has memory for "
                f"{memory}"
            )
