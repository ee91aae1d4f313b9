"""Fault injection: real processes under load, faults drawn from a seed, and invariants checked from outside."""
