"""A fleet of instances under one supervisor; the decisions are `weldroute.fleet`'s."""
