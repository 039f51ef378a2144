"""The lab: simulates a fleet under load, in virtual time or on real sockets, and checks its invariants."""
