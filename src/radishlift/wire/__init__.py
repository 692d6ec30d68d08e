"""Connections between daemons that carry typed msgpack messages."""
