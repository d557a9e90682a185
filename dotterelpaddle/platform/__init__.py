"""Translation between the users' platform and the project's own types.

Nothing outside this package knows a name of the platform's wire.
"""
