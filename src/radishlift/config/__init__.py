"""The operators' one validated document."""
