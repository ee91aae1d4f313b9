"""Takeover of in-flight requests from dead processes: tracking, the descriptor holder, and offers to successors."""
