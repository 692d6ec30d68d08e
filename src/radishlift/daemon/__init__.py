"""The program radishliftd."""
