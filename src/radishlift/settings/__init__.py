"""Settings of the daemon, and checks of them."""
