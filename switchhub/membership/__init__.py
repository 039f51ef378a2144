"""Membership of the balancers: SWIM with published refinements, free of I/O."""
