"""Ids, errors, clock, registry, logs and codec shared by all modules."""
