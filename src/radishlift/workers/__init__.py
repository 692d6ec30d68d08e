"""Client of workers, task leases and dispatch."""
