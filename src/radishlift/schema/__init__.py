"""Schema of the messages, records and rows that daemons exchange."""
