"""Links between instances of many machines; imported only where a file switches them on."""
