"""Load generator with the traffic mix of each department."""
