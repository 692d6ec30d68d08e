"""Identifiers, errors, clocks, registries, logs and codec."""
