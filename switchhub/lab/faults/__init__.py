"""Faults between and at real processes of the program, from outside, and what was seen of them."""
