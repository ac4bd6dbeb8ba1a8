"""Between sockets and decisions: the owner task, hops, clients' connections, discovery's watch."""
