"""Schema of what daemons write for each other."""
