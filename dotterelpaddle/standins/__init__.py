"""Small stand-ins for what the project does not own: platform, engine, service.

They run in the caller's process as async context managers, for tests, scenarios
and the demo, or as commands of their own. Each has switches for faults.
"""
