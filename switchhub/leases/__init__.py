"""Duties that only one balancer may hold at a time: leases by a majority of voters, pure."""
