"""Handover from a running process of a balancer to a new one, so that an upgrade loses no connection."""
