"""Stand-ins for the proxy's peers on loopback, for tests, the demo and benchmarks.

They are written from the public specifications and deliberately import neither the proxy nor weldroute, so that they
check a proxy against a second, independent implementation.
"""
