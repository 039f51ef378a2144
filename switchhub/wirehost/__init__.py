"""Hosts many isolated balancers behind the line protocol of the simulator."""
