"""`lab live`: real balancer processes on loopback between stand-ins that speak the protocol."""
