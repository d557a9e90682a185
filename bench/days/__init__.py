"""Days of our own for the users' bench, each with trouble that is hard together."""
