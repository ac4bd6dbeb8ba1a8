"""Between sockets and decisions: the owner, attempts, clients' connections, discovery's watch."""
