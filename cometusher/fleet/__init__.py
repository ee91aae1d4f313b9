"""Runs a fleet of instances under one supervisor; `weldroute.fleet` makes the decisions."""
