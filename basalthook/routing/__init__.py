"""Between sockets and decisions: the owner, hops, clients' connections, discovery's watch."""
