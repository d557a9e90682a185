"""The thin daemon: one router that forwards requests on the users' platform."""
