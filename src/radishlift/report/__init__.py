"""Metrics and the service-level burn report."""
