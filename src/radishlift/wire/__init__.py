"""Typed msgpack streams between daemons."""
