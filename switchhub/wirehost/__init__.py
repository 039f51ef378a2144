"""Runs many isolated balancers in one process, driven by a simulator through a line protocol."""
