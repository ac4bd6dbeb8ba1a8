"""TCP: listener, connections, the pool of connections to hosts, buffers. Knows bytes and stages, not HTTP."""
