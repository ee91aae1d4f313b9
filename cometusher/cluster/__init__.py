"""Membership and replication among the supervisors of a fleet; imported only if the fleet's file enables it."""
