"""One router process: all services put together."""
