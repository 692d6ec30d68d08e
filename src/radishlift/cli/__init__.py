"""The program radishctl."""
