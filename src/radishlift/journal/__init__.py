"""Write-ahead journal of a partition."""
