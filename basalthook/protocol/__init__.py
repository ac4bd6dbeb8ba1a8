"""HTTP/1.1 and the messages of the application, of hosts, of discovery and of other proxies. No I/O."""
