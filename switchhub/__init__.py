"""switchhub: a balancer for long-lived connections."""

__version__ = "0.1.0"
