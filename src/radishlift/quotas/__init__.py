"""Team quotas over the cell: shares that move between partitions."""
