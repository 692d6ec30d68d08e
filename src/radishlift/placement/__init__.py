"""Tables, policies and systems that place tasks on workers."""
