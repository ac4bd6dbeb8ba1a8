"""TCP layer: listener, connections, the pool of connections to hosts, read buffers and timers.

Handles bytes and connection stages; knows nothing of HTTP.
"""
