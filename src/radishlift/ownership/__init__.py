"""Ownership of partitions by conditional rows."""
