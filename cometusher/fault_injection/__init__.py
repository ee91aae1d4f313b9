"""Drills: several real processes, faults between them from a seed, load, and rules checked from outside."""
