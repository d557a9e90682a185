"""Settings of one router process, read from a YAML file."""
