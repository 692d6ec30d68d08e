"""Load tool with the traffic of each department."""
