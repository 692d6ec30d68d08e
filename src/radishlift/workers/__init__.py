"""Worker client, task leases and dispatch of attempts."""
