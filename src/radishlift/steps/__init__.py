"""Model of jobs that consist of steps, and their placement, without I/O."""
