"""Translates between the users' platform and the project's own types.

No other package uses names of the platform's wire formats.
"""
