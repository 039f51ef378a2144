"""Leases that only one balancer may hold at a time, granted by a majority of voters. The core does no I/O."""
