"""A daemon that keeps the state of its cell in the platform's store."""
