"""The network side of the balancer: sockets, sessions, discovery and configuration."""
