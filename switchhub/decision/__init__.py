"""The decisions of a balancer, independent of any protocol, socket or clock."""
