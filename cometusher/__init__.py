"""The proxy: one process that carries out weldroute's decisions on real sockets."""
