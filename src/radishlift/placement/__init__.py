"""Tables, policies and phases that place tasks on workers."""
