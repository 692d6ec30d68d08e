"""Jobs of steps: their model and the decisions on them, without I/O."""
