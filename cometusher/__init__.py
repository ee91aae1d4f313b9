"""The real proxy around weldroute: one process on sockets that carries out the module's decisions."""
