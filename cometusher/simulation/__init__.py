"""Deterministic simulation: the real proxy on a virtual clock and an in-memory network, checked by test oracles."""
