"""Communication between balancers, active only if an operator file configures `[peers]`."""
