"""Ownership of partitions, claimed by conditional writes of rows."""
