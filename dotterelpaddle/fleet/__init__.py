"""A whole fleet in one process, for the demo, scenarios, benches and tests."""
