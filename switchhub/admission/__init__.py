"""What the balancer does about its own overload."""
