"""Calls of the operators' staff, and the figures they read."""
