"""Scripted scenarios: a small language in YAML and its runner."""
