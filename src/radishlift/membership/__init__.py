"""Peers, heartbeats and evidence of failure."""
