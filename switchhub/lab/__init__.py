"""The lab: a fleet emulator with a load and experiment tool, in virtual time and on real sockets."""
