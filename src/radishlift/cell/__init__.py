"""Daemons of a cell: the leader, its scheduler and the work of all daemons."""
