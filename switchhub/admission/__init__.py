"""Protection of the balancer process against its own overload."""
