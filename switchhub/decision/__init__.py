"""What the balancer decides, free of any protocol, socket or clock."""
