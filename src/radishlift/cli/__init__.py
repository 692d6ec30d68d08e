"""The command-line tool radishctl."""
