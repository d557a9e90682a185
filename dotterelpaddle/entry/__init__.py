"""Where callers' requests come in."""
