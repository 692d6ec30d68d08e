"""Routing of requests to executors."""
