"""The real balancer: the decision module on sockets."""
