"""Routing between sockets and policy: dispatcher, attempts, client connections, discovery watch."""
