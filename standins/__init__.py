"""Loopback peers written from the public specifications, for tests, the demo and benchmarks alike.

They import neither the proxy nor its decisions: what they hold a proxy to is written down a second time, on purpose.
"""
