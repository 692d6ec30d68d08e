"""Runs owned partitions and routes jobs to them."""
