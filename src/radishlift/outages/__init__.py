"""Decisions about a store that does not answer."""
