"""Resumes callers' streams at the software version that began them, at any router."""
