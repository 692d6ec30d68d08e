"""Radishlift: a cluster scheduler for unlike workloads."""
