"""A virtual clock and an in-memory network under the same network code that runs on real ones."""
