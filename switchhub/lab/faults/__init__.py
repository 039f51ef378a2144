"""Fault injection for real balancer processes: runs plans of faults and checks what was recorded."""
